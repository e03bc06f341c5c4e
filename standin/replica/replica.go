// Package replica is a stand-in for a server behind the system on the users'
// platform: an engine or a plain service that echoes attempt ids, signs its
// answers, takes orders, and fails as it is told.
package replica

import (
	"encoding/json"
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
	// Model is the base model that an engine holds, "" for a plain service.
	Model string
	// AdapterSlots is how many adapters an engine holds.
	AdapterSlots int
	// Events is how many events a stream has, EventPause the time between two.
	Events     int
	EventPause time.Duration
}

// CrashBody is the body of a request that crashes each replica which begins to run it.
const CrashBody = "crash"

// Request is a request as it arrived.
type Request struct {
	Method string
	URI    string
	Header http.Header
	Body   string
	// Executed says that the replica did not turn the request away.
	Executed bool
	// ReceivedAt is when it arrived.
	ReceivedAt time.Time
}

// AttemptID returns the caller's id of the request.
func (s *Request) AttemptID() string { return s.Header.Get("Jasminelock-Attempt-Id") }

// Organisation returns whose request the replica was told that it is.
func (s *Request) Organisation() string { return s.Header.Get("Jasminelock-Tenant") }

// ExpectedReplica returns the replica that the request was meant for.
func (s *Request) ExpectedReplica() string { return s.Header.Get("Jasminelock-Expect-Instance") }

// Deadline returns the time left, as the replica was told it.
func (s *Request) Deadline() string { return s.Header.Get("Jasminelock-Deadline-Ms") }

// HasKey reports whether the replica was shown the caller's key.
func (s *Request) HasKey() bool { return s.Header.Get("Authorization") != "" }

// Replica is the stand-in. It implements http.Handler.
type Replica struct {
	options Options

	// mu guards all below.
	mu       sync.Mutex
	seen     []Request
	held     map[string]int64
	sequence int64
	faults   Faults
	canceled int
	// crash takes the replica down, nil where nothing does.
	crash func()
}

// Faults are what goes wrong.
type Faults struct {
	// Full turns requests away that have not run.
	Full int
	// Fail answers requests with 500.
	Fail int
	// DropConnections ends the connection instead of an answer.
	DropConnections int
	// CutAfterEvents ends streams after so many events.
	CutAfterEvents int
	// CutStreams is how many streams are cut.
	CutStreams int
	// LoseOrders carries orders out without answering.
	LoseOrders int
	// Unsigned leaves the signature out.
	Unsigned int
	// Leaving says in every answer that the replica leaves.
	Leaving bool
	// Endless sends bytes without end in place of the body.
	Endless int
	// DripStreams sends a byte of an event each EventPause, and no whole event.
	DripStreams int
	// RetryAfter is sent with every rejection, "" for none.
	RetryAfter string
}

// New returns a replica that holds no adapter.
func New(o Options) *Replica { return &Replica{options: o, held: map[string]int64{}} }

// SetFaults changes what goes wrong.
func (r *Replica) SetFaults(f Faults) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.faults = f
}

// OnCrash has f called, which takes the replica down, when a request with CrashBody
// begins to run. That request is not answered.
func (r *Replica) OnCrash(f func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.crash = f
}

// Restart forgets what the replica held and the orders that it took.
func (r *Replica) Restart() {
	r.mu.Lock()
	defer r.mu.Unlock()
	clear(r.held)
	r.sequence = 0
}

// Requests returns the requests that ran or were turned away.
func (r *Replica) Requests() []Request {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Request(nil), r.seen...)
}

// AddRequest adds a request to those that have arrived.
func (r *Replica) AddRequest(s Request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.seen = append(r.seen, s)
}

// AdapterCount returns the adapters that the replica holds.
func (r *Replica) AdapterCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.held)
}

// Cancelled returns how many requests ended since their connection closed.
func (r *Replica) Cancelled() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.canceled
}

// take uses one of a fault's occurrences.
func (r *Replica) take(n *int) bool {
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

type orderBody struct {
	Operation string `json:"operation"`
	Adapter   string `json:"adapter"`
	Version   int64  `json:"version"`
	Expect    int64  `json:"expect"`
}

func (r *Replica) order(w http.ResponseWriter, req *http.Request) {
	var o orderBody
	if err := json.NewDecoder(req.Body).Decode(&o); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	status := r.carryOut(o)
	if r.take(&r.faults.LoseOrders) {
		panic(http.ErrAbortHandler)
	}
	w.WriteHeader(status)
}

func (r *Replica) carryOut(o orderBody) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, held := r.held[o.Adapter]
	switch {
	case o.Expect != r.sequence:
		return http.StatusConflict
	case o.Operation == "load" && held:
		return http.StatusOK
	case o.Operation == "load":
		r.held[o.Adapter] = max(o.Version, 1)
		r.sequence++
		return http.StatusAccepted
	}
	delete(r.held, o.Adapter)
	r.sequence++
	return http.StatusOK
}

func (r *Replica) report(w http.ResponseWriter) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var adapters []string
	for name, v := range r.held {
		adapters = append(adapters, name+"@"+strconv.FormatInt(v, 10))
	}
	standin.WriteJSON(w, http.StatusOK, map[string]any{
		"models": []map[string]any{{"name": r.options.Model, "version": 1, "adapters": adapters}}, "seq": r.sequence,
	})
}

// serve runs a request.
func (r *Replica) serve(w http.ResponseWriter, req *http.Request) {
	body := make([]byte, 0, max(req.ContentLength, 0))
	buf := make([]byte, 4096)
	for {
		n, err := req.Body.Read(buf)
		body = append(body, buf[:n]...)
		if err != nil {
			break
		}
	}
	full := r.take(&r.faults.Full)
	r.AddRequest(Request{req.Method, req.RequestURI, req.Header.Clone(), string(body), !full, time.Now()})
	h := w.Header()
	h.Set("Jasminelock-Attempt-Id", req.Header.Get("Jasminelock-Attempt-Id"))
	h.Set("Jasminelock-Replica-Load", "1,0,8")
	r.mu.Lock()
	leaving, retryAfter, crash := r.faults.Leaving, r.faults.RetryAfter, r.crash
	r.mu.Unlock()
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
	case r.take(&r.faults.DropConnections):
		panic(http.ErrAbortHandler)
	}
	if !r.take(&r.faults.Unsigned) {
		h.Set("Jasminelock-Response-Signature", r.options.ID)
	}
	if r.take(&r.faults.Fail) {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	if r.take(&r.faults.Endless) {
		repeat(w, req, strings.Repeat("x", 16<<10), 0)
		return
	}
	if r.take(&r.faults.DripStreams) {
		repeat(w, req, "x", r.options.EventPause)
		return
	}
	if r.options.Events > 0 {
		r.stream(w, req)
		return
	}
	_, _ = fmt.Fprintf(w, "answer of %s to %s", r.options.ID, req.RequestURI)
}

// repeat sends a text again and again until the caller closes.
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

// stream sends events, from the one after Last-Event-Id on.
func (r *Replica) stream(w http.ResponseWriter, req *http.Request) {
	from, err := strconv.Atoi(req.Header.Get("Last-Event-Id"))
	if err != nil {
		from = 0
	}
	w.Header().Set("Content-Type", "text/event-stream")
	out := http.NewResponseController(w)
	cut := r.take(&r.faults.CutStreams)
	for i := from + 1; i <= r.options.Events; i++ {
		if cut && i > from+r.faults.CutAfterEvents {
			_, _ = fmt.Fprintf(w, "id: %d\ndata: ha", i)
			_ = out.Flush()
			panic(http.ErrAbortHandler)
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: event %d\n\n", i, i)
		_ = out.Flush()
		select {
		case <-time.After(r.options.EventPause):
		case <-req.Context().Done():
			r.mu.Lock()
			r.canceled++
			r.mu.Unlock()
			return
		}
	}
}
