package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/jasminelock/jasminelock/standin/caller"
	"github.com/jasminelock/jasminelock/standin/replica"
)

// callerTimeout is how long callers wait.
const callerTimeout = 5 * time.Second

// withdrawnKeyGrace is how long a withdrawn key may still be answered: the bound of a
// configuration, and what an unreachable store adds.
const withdrawnKeyGrace = 10 * time.Second

// call is one request of a caller and what came of it.
type call struct {
	id     string
	kind   string
	key    string
	path   string
	sentAt time.Time
	// status is 0 where no answer came.
	status   int
	body     string
	complete bool
	// host is the one that was asked.
	host string
}

// entryRecorder collects what callers saw.
type entryRecorder struct {
	// mu guards all below.
	mu           sync.Mutex
	calls        []call
	violations   []string
	faultCounts  map[string]int
	withdrawnAt  map[string]time.Time
	faultsOverAt time.Time
	// disturbed holds the times in which a host was killed, frozen or cut off, or the
	// store was away, which is allHosts's.
	disruptions []hostDisruption
	// emptied holds the evacuations of zones, slowStarts the times in which replicas took
	// few requests.
	evacuations []evacuation
	slowStarts  []slowStart
}

func newEntryRecorder() *entryRecorder {
	return &entryRecorder{faultCounts: map[string]int{}, withdrawnAt: map[string]time.Time{}}
}

func (rec *entryRecorder) addCall(c call) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	rec.calls = append(rec.calls, c)
}

func (rec *entryRecorder) recordViolation(format string, args ...any) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	rec.violations = append(rec.violations, fmt.Sprintf(format, args...))
}

func (rec *entryRecorder) recordFault(name string) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	rec.faultCounts[name]++
}

func (rec *entryRecorder) recordWithdrawal(key string, at time.Time) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	rec.withdrawnAt[key] = at
}

// mark begins the time in which requests must be served.
func (rec *entryRecorder) markFaultsOver() {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	rec.faultsOverAt = time.Now()
}

// EntrySummary is what a soak of entry hosts found.
type EntrySummary struct {
	Requests int            `json:"requests"`
	Statuses map[int]int    `json:"statuses"`
	Faults   map[string]int `json:"faults"`
	// ServedAfter is the part of the requests served after the faults.
	ServedAfter float64 `json:"served_after"`
	// Findings are the conditions that were broken.
	Findings []string `json:"findings"`
	// Crashes is how many replicas the crashing requests have reached.
	Crashes int `json:"crashes"`
}

// summary judges what callers saw by what replicas did.
func (rec *entryRecorder) summary(replicas []*entryReplica) *EntrySummary {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	s := &EntrySummary{Requests: len(rec.calls), Statuses: map[int]int{}, Faults: rec.faultCounts, Findings: rec.violations}
	runs := map[string]int{}
	s.checkCrashing(rec, replicas)
	s.checkEvacuations(rec, replicas)
	s.checkSlowStarts(rec, replicas)
	for _, r := range replicas {
		for _, seen := range r.Requests() {
			if seen.Ran {
				runs[seen.AttemptID()]++
			}
			s.checkReceived(&seen)
		}
	}
	afterFaults, served := 0, 0
	for i := range rec.calls {
		c := &rec.calls[i]
		if c.kind == crashKind {
			continue
		}
		s.Statuses[c.status]++
		s.checkCall(c, runs[c.id], rec.withdrawnAt)
		_, withdrawn := rec.withdrawnAt[c.key]
		if !rec.faultsOverAt.IsZero() && c.sentAt.After(rec.faultsOverAt) && !withdrawn {
			afterFaults++
			if c.status == http.StatusOK {
				served++
			}
		}
	}
	s.ServedAfter = float64(served) / float64(max(afterFaults, 1))
	if s.ServedAfter < minServedAfterFaults {
		s.addViolation("%.2f of %d requests were served after the faults, want %.2f", s.ServedAfter, afterFaults, minServedAfterFaults)
	}
	slices.Sort(s.Findings)
	return s
}

func (s *EntrySummary) addViolation(format string, args ...any) {
	s.Findings = append(s.Findings, fmt.Sprintf(format, args...))
}

// checkSeen checks what a replica was sent.
func (s *EntrySummary) checkReceived(seen *replica.Seen) {
	if seen.ShownKey() {
		s.addViolation("a replica was shown a key")
	}
	if seen.Organisation() != "org" {
		s.addViolation("a replica was told the organisation %q", seen.Organisation())
	}
}

// checkCall checks one request's answer.
func (s *EntrySummary) checkCall(c *call, runs int, withdrawnAt map[string]time.Time) {
	nonRepeatable := c.kind == "book" || c.kind == "chat"
	if nonRepeatable && runs > 1 {
		s.addViolation("%s %s ran %d times", c.kind, c.id, runs)
	}
	saysNotRun := c.status == http.StatusServiceUnavailable || c.status == http.StatusTooManyRequests
	if nonRepeatable && saysNotRun && runs > 0 {
		s.addViolation("%s %s was answered %d and ran", c.kind, c.id, c.status)
	}
	if c.status != http.StatusOK {
		return
	}
	if at, withdrawn := withdrawnAt[c.key]; withdrawn && c.sentAt.After(at.Add(withdrawnKeyGrace)) {
		s.addViolation("%s %s was served with a key that was withdrawn %s before", c.kind, c.id, c.sentAt.Sub(at))
	}
	if c.complete {
		s.checkBody(c)
	}
}

// checkBody checks an answer that looks whole.
func (s *EntrySummary) checkBody(c *call) {
	if c.kind == "book" || c.kind == "status" {
		if !strings.HasSuffix(c.body, " to "+c.path) {
			s.addViolation("%s %s got %q", c.kind, c.id, c.body)
		}
		return
	}
	var want strings.Builder
	for i := 1; i <= streamEvents; i++ {
		fmt.Fprintf(&want, "id: %d\ndata: event %d\n\n", i, i)
	}
	if c.body != want.String() {
		s.addViolation("%s %s got the stream %q", c.kind, c.id, c.body)
	}
}

// load sends requests at a mean rate until the context ends.
func (s *entrySoak) sendLoad(ctx context.Context) {
	r := rand.New(rand.NewPCG(s.options.Seed, 3))
	var group sync.WaitGroup
	for n := 0; ctx.Err() == nil; n++ {
		sleep(ctx, time.Duration(r.ExpFloat64()/s.options.Rate*float64(time.Second)))
		c, host := s.drawCall(r, n)
		group.Go(func() { s.send(host, c) })
	}
	group.Wait()
}

// draw makes a request. One in ten has a key that was withdrawn.
func (s *entrySoak) drawCall(r *rand.Rand, n int) (call, *entryHost) {
	kind := []string{"chat", "resume", "book", "status"}[r.IntN(4)]
	s.mu.Lock()
	key := s.key
	s.mu.Unlock()
	if r.IntN(10) == 0 {
		s.recorder.mu.Lock()
		for old := range s.recorder.withdrawnAt {
			key = old
			break
		}
		s.recorder.mu.Unlock()
	}
	id := "r" + strconv.Itoa(n)
	return call{id: id, kind: kind, key: key, path: "/" + kind + "/" + id}, s.hosts[r.IntN(len(s.hosts))]
}

// send sends a request and notes what came of it. Callers go on using a
// connection until it ends.
func (s *entrySoak) send(h *entryHost, c call) {
	ctx, cancel := context.WithTimeout(context.Background(), callerTimeout)
	defer cancel()
	out := caller.Call{Method: http.MethodPost, Path: c.path, Body: "body", ID: c.id, Key: c.key, Patience: callerTimeout}
	switch c.kind {
	case "status":
		out.Method = http.MethodGet
	case crashKind:
		out.Body = replica.CrashBody
	}
	if c.kind == "chat" || c.kind == "resume" || c.path == crashPaths[0] {
		out.Model, out.Adapter = "m", "a"+strconv.Itoa(len(c.id)*7%adapterCount)
		out.PromptTokens, out.OutputTokens = 500, 50
	}
	req, err := out.Request(ctx, h.callerAddress)
	if err != nil {
		s.recorder.recordViolation("request: %s", err)
		return
	}
	c.sentAt = time.Now()
	resp, err := s.client.Do(req)
	if err == nil {
		raw, readErr := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		c.status, c.body, c.complete = resp.StatusCode, string(raw), readErr == nil
	}
	c.host = h.name
	s.recorder.addCall(c)
}
