// Package replica is a stand-in for a server behind the system on the users'
// platform: an engine or a plain service that echoes attempt ids, signs its answers,
// carries out orders, and has faults that a test can inject.
package replica

import (
	"cmp"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/jasminelock/jasminelock/standin"
)

// Options describe a replica.
type Options struct {
	// ID is the replica's instance id.
	ID string
	// Model is the base model of an engine, "" for a plain service.
	Model string
	// AdapterSlots is the number of adapters that an engine can hold.
	AdapterSlots int
	// Events is the number of events of a stream, EventPause the time between two. 0
	// events means an answer without a stream.
	Events     int
	EventPause time.Duration
	// AnswerAfter is the time from the receipt of a request to the head of its answer.
	AnswerAfter time.Duration
}

// Request is a request as it was received.
type Request struct {
	Method string
	URI    string
	Header http.Header
	Body   string
	// Executed is false if the replica rejected the request as full.
	Executed bool
	// ReceivedAt is the time of arrival.
	ReceivedAt time.Time
	// RateLimit is the limit that the answer states, "" for none.
	RateLimit string
}

// AttemptID returns the attempt id that was sent with the request.
func (s *Request) AttemptID() string { return s.Header.Get("Jasminelock-Attempt-Id") }

// Organisation returns the name of the organisation that was sent with the request.
func (s *Request) Organisation() string { return s.Header.Get("Jasminelock-Tenant") }

// ExpectedReplica returns the instance id of the replica that the request is meant for.
func (s *Request) ExpectedReplica() string { return s.Header.Get("Jasminelock-Expect-Instance") }

// Deadline returns the remaining time that was sent with the request, in
// milliseconds.
func (s *Request) Deadline() string { return s.Header.Get("Jasminelock-Deadline-Ms") }

// HasKey reports whether the request contained the caller's key.
func (s *Request) HasKey() bool { return s.Header.Get("Authorization") != "" }

// Replica is the stand-in. It implements http.Handler.
type Replica struct {
	options Options

	// mu guards all below.
	mu       sync.Mutex
	requests []Request
	adapters map[string]int64
	sequence int64
	// highestFence is the highest fencing token of an order. orders are all orders.
	highestFence int64
	orders       []Order
	faults       Faults
	cancelled    int
	// crash takes the replica down; it may be nil.
	crash func()
	// crashParts are the parts of prompts that crash the replica, crashEnding is how it ends.
	crashParts  map[string]bool
	crashEnding CrashEnding
	// partCrashes are the times at which a request with such a part crashed the replica.
	partCrashes []time.Time
	// rateLimit is the limit that answers state, "" for none.
	rateLimit string
	// pace is the pace that answers state, "" for none.
	pace string
}

// Faults are the faults that a test can inject. A number is that of the requests,
// streams or orders that a fault affects.
type Faults struct {
	// Full rejects requests without executing them.
	Full int
	// Fail answers requests that were executed with FailStatus, 500 if that is 0.
	Fail       int
	FailStatus int
	// DropConnections closes the connection instead of sending an answer.
	DropConnections int
	// CutAfterEvents is the number of events after which a stream is cut.
	CutAfterEvents int
	// CutStreams is the number of streams that are cut.
	CutStreams int
	// LoseOrders carries out orders without answering them.
	LoseOrders int
	// Unsigned omits the signature of answers.
	Unsigned int
	// Leaving marks every answer with the header that announces a shutdown.
	Leaving bool
	// Endless sends an endless body.
	Endless int
	// DripStreams sends one byte every EventPause and never a complete event.
	DripStreams int
	// RetryAfter is the header that is sent with every rejection, "" for none.
	RetryAfter string
}

// New returns a replica without adapters.
func New(o Options) *Replica { return &Replica{options: o, adapters: map[string]int64{}} }

// SetFaults replaces the faults.
func (r *Replica) SetFaults(f Faults) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.faults = f
}

// SetRateLimit sets the number of requests a second that every answer states as the replica's limit,
// "" for none. The replica does not enforce it.
func (r *Replica) SetRateLimit(text string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rateLimit = text
}

// SetPace sets the pace that every answer states, "" for none. The replica does not work at that pace.
func (r *Replica) SetPace(text string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.pace = text
}

// load returns the load that answers state. The caller holds r.mu.
func (r *Replica) load() string {
	const counts = "1,0,8"
	if r.pace == "" {
		return counts
	}
	return counts + "," + r.pace
}

// Restart removes the adapters and resets the sequence number of orders.
func (r *Replica) Restart() {
	r.mu.Lock()
	defer r.mu.Unlock()
	clear(r.adapters)
	r.sequence, r.highestFence = 0, 0
}

// Requests returns the requests that were executed or rejected.
func (r *Replica) Requests() []Request {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Request(nil), r.requests...)
}

// AddRequest adds a request to the received requests.
func (r *Replica) AddRequest(s Request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.requests = append(r.requests, s)
}

// AdapterCount returns the number of adapters that the replica holds.
func (r *Replica) AdapterCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.adapters)
}

// Cancelled returns the number of streams that ended because their connection closed.
func (r *Replica) Cancelled() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.cancelled
}

// consume reports whether a fault applies, and counts down its occurrences.
func (r *Replica) consume(n *int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if *n <= 0 {
		return false
	}
	*n--
	return true
}

// ServeHTTP implements http.Handler.
func (r *Replica) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	if want := req.Header.Get("Jasminelock-Expect-Instance"); want != "" && want != r.options.ID {
		w.Header().Set("Jasminelock-Instance-Id", r.options.ID)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch req.URL.Path {
	case "/v1/order":
		r.order(w, req)
	case "/v1/report":
		r.report(w)
	default:
		r.serve(w, req)
	}
}

func (r *Replica) report(w http.ResponseWriter) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var names []string
	for name, v := range r.adapters {
		names = append(names, name+"@"+strconv.FormatInt(v, 10))
	}
	standin.WriteJSON(w, http.StatusOK, map[string]any{
		"models": []map[string]any{{"name": r.options.Model, "version": 1, "adapters": names}}, "seq": r.sequence,
	})
}

// readBody returns what can be read of a request's body.
func readBody(req *http.Request) []byte {
	body := make([]byte, 0, max(req.ContentLength, 0))
	buf := make([]byte, 4096)
	for {
		n, err := req.Body.Read(buf)
		body = append(body, buf[:n]...)
		if err != nil {
			return body
		}
	}
}

// serve executes a request, or fails it as the faults demand.
func (r *Replica) serve(w http.ResponseWriter, req *http.Request) {
	body := readBody(req)
	full := r.consume(&r.faults.Full)
	r.mu.Lock()
	leaving, retryAfter, failStatus, crash, rateLimit, load := r.faults.Leaving, r.faults.RetryAfter, r.faults.FailStatus, r.crash, r.rateLimit, r.load()
	r.mu.Unlock()
	r.AddRequest(Request{req.Method, req.RequestURI, req.Header.Clone(), string(body), !full, time.Now(), rateLimit})
	h := w.Header()
	h.Set("Jasminelock-Attempt-Id", req.Header.Get("Jasminelock-Attempt-Id"))
	h.Set("Jasminelock-Replica-Load", load)
	if rateLimit != "" {
		h.Set("Server-Limit", rateLimit)
	}
	if leaving {
		h.Set("Server-Leaving", "1")
	}
	switch {
	case full:
		h.Set("Jasminelock-Not-Executed", "1")
		if retryAfter != "" {
			h.Set("Retry-After", retryAfter)
		}
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case crash != nil && string(body) == CrashBody:
		crash()
		panic(http.ErrAbortHandler)
	case crash != nil && r.hasCrashPart(req.Header):
		r.crashUnder(w, crash)
		return
	case r.consume(&r.faults.DropConnections):
		panic(http.ErrAbortHandler)
	}
	r.work(req)
	if !r.consume(&r.faults.Unsigned) {
		h.Set("Jasminelock-Response-Signature", r.options.ID)
	}
	if r.consume(&r.faults.Fail) {
		w.WriteHeader(cmp.Or(failStatus, http.StatusInternalServerError))
		return
	}
	if r.consume(&r.faults.Endless) {
		repeat(w, req, strings.Repeat("x", 16<<10), 0)
		return
	}
	if r.consume(&r.faults.DripStreams) {
		repeat(w, req, "x", r.options.EventPause)
		return
	}
	if r.options.Events > 0 {
		r.stream(w, req)
		return
	}
	_, _ = fmt.Fprintf(w, "answer of %s to %s", r.options.ID, req.RequestURI)
}

// work waits for Options.AnswerAfter, and aborts if the caller leaves meanwhile.
func (r *Replica) work(req *http.Request) {
	if r.options.AnswerAfter <= 0 {
		return
	}
	select {
	case <-time.After(r.options.AnswerAfter):
	case <-req.Context().Done():
		panic(http.ErrAbortHandler)
	}
}

// repeat sends the text repeatedly, with a pause after each, until the caller closes
// the connection.
func repeat(w http.ResponseWriter, req *http.Request, text string, pause time.Duration) {
	out := http.NewResponseController(w)
	for req.Context().Err() == nil {
		if _, err := w.Write([]byte(text)); err != nil {
			return
		}
		if pause > 0 {
			_ = out.Flush()
			time.Sleep(pause)
		}
	}
}

// LongPath is part of the paths of requests whose streams last for longStream.
const LongPath = "/long"

// longStream is the duration of a long stream.
const longStream = 2 * time.Second

// stream sends the events that follow Last-Event-Id, or all if it is not set.
func (r *Replica) stream(w http.ResponseWriter, req *http.Request) {
	from, err := strconv.Atoi(req.Header.Get("Last-Event-Id"))
	if err != nil {
		from = 0
	}
	w.Header().Set("Content-Type", "text/event-stream")
	pause := r.options.EventPause
	if strings.Contains(req.URL.Path, LongPath) {
		pause = longStream / time.Duration(r.options.Events)
	}
	out := http.NewResponseController(w)
	cut := r.consume(&r.faults.CutStreams)
	for i := from + 1; i <= r.options.Events; i++ {
		if cut && i > from+r.faults.CutAfterEvents {
			_, _ = fmt.Fprintf(w, "id: %d\ndata: ha", i)
			_ = out.Flush()
			panic(http.ErrAbortHandler)
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: event %d\n\n", i, i)
		_ = out.Flush()
		select {
		case <-time.After(pause):
		case <-req.Context().Done():
			r.mu.Lock()
			r.cancelled++
			r.mu.Unlock()
			return
		}
	}
}
