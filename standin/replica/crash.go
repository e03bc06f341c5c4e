package replica

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"
)

// CrashBody is the body of a request that crashes the replica that starts to execute
// it.
const CrashBody = "crash"

// CrashEnding is how a replica ends under a request with a part of a prompt that crashes it.
type CrashEnding int

// The endings.
const (
	// CrashBeforeHead ends the replica before it answers.
	CrashBeforeHead CrashEnding = iota
	// CrashAfterEvent ends it after the first event of a chunked stream.
	CrashAfterEvent
	// CrashUnframed ends it inside an event of a stream without length or chunks.
	CrashUnframed
	// CrashSilent ends it after a second without an answer.
	CrashSilent
	// crashEndings is the number of endings.
	crashEndings
)

// CrashEndings returns all endings.
func CrashEndings() []CrashEnding {
	var all []CrashEnding
	for e := range crashEndings {
		all = append(all, e)
	}
	return all
}

// silence is the time from the begin of a request to a CrashSilent.
const silence = time.Second

// SetCrashParts sets the parts of prompts that crash the replica, unless they are the last part, and how it
// ends.
func (r *Replica) SetCrashParts(ending CrashEnding, ids ...string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.crashParts, r.crashEnding = map[string]bool{}, ending
	for _, id := range ids {
		r.crashParts[id] = true
	}
}

// PartsOf returns the parts of a request's prompt, without the last one.
func PartsOf(h http.Header) []string {
	var ids []string
	for pair := range strings.SplitSeq(h.Get("Jasminelock-Prompt-Prefix"), ",") {
		id, _, _ := strings.Cut(pair, ":")
		ids = append(ids, id)
	}
	return ids[:len(ids)-1]
}

// hasCrashPart reports whether a request crashes the replica by a part of its prompt.
func (r *Replica) hasCrashPart(h http.Header) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.ContainsFunc(PartsOf(h), func(id string) bool { return r.crashParts[id] })
}

// crashUnder ends the replica in the way that is set while it answers a request.
func (r *Replica) crashUnder(w http.ResponseWriter, crash func()) {
	r.mu.Lock()
	ending := r.crashEnding
	r.mu.Unlock()
	out := http.NewResponseController(w)
	switch ending {
	case CrashAfterEvent:
		w.Header().Set("Jasminelock-Response-Signature", r.options.ID)
		w.Header().Set("Content-Type", "text/event-stream")
		_, _ = fmt.Fprint(w, "id: 1\ndata: event 1\n\n")
		_ = out.Flush()
	case CrashUnframed:
		if c, _, err := out.Hijack(); err == nil {
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nJasminelock-Attempt-Id: %s\r\nJasminelock-Response-Signature: %s\r\n"+
				"Content-Type: text/event-stream\r\nConnection: close\r\n\r\nid: 1\ndata: event 1\n\nid: 2\ndata: ha",
				w.Header().Get("Jasminelock-Attempt-Id"), r.options.ID)
			r.recordPartCrash()
			crash()
			_ = c.Close()
			return
		}
	case CrashSilent:
		time.Sleep(silence)
	}
	r.recordPartCrash()
	crash()
	panic(http.ErrAbortHandler)
}

func (r *Replica) recordPartCrash() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.partCrashes = append(r.partCrashes, time.Now())
}

// PartCrashes returns the times at which requests with a part that crashes the replica did so, in order. Several that ran
// at the same time each count.
func (r *Replica) PartCrashes() []time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]time.Time(nil), r.partCrashes...)
}

// OnCrash sets the function that takes the replica down. It is called when a request with CrashBody, or with a part
// that crashes the replica, starts to be executed; that request is not answered to its end.
func (r *Replica) OnCrash(f func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.crash = f
}
