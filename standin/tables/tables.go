// Package tables is a stand-in for the table service of the users' platform:
// conditional transactions, reads and a feed of changes over HTTP, with one
// version counter for all rows, and faults.
package tables

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"

	"github.com/jasminelock/jasminelock/standin"
)

// Row is a row in the service's JSON format.
type Row struct {
	Table     string `json:"table"`
	Part      string `json:"part"`
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Version   int64  `json:"ver"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

// Faults are the faults that a test can inject.
type Faults struct {
	// Down answers every call with 503.
	Down bool
	// Silent answers no call until Silent is reset.
	Silent bool
	// LoseCommits is the number of transactions that are committed and not answered.
	LoseCommits int
	// SlowTable is a table whose reads take SlowBy longer, "" for none.
	SlowTable string
	SlowBy    time.Duration
}

// Tables is the stand-in. It implements http.Handler.
type Tables struct {
	mux   *http.ServeMux
	start time.Time

	// mu guards all below.
	mu      sync.Mutex
	rows    map[string]Row
	log     []Row
	version int64
	// logStart is the version after which log is complete. Earlier changes were dropped.
	logStart int64
	faults   Faults
	changed  chan struct{}
	calls    map[string]int
	// era is stated in every response if it is above 0.
	era int64
	// written holds the rows that were written or removed since the last restore.
	written map[string]bool
}

// New returns an empty service.
func New() *Tables {
	t := &Tables{mux: http.NewServeMux(), start: time.Now(), rows: map[string]Row{}, changed: make(chan struct{}), calls: map[string]int{}}
	t.mux.HandleFunc("POST /v1/rows-tx", t.commit)
	t.mux.HandleFunc("GET /v1/rows-get", t.get)
	t.mux.HandleFunc("GET /v1/rows-feed", t.feed)
	return t
}

// SetFaults replaces the faults.
func (t *Tables) SetFaults(f Faults) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.faults = f
	t.notify()
}

// Put writes a row outside a transaction, as the operator or an upstream does. A
// value that is not a []byte is encoded as JSON.
func (t *Tables) Put(table, key string, value any) {
	raw, ok := value.([]byte)
	if !ok {
		raw, _ = json.Marshal(value) // test values always encode
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.version++
	t.write(Row{Table: table, Key: key, Value: raw, Version: t.version})
	t.notify()
}

// Remove deletes a row.
func (t *Tables) Remove(table, key string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.version++
	t.write(Row{Table: table, Key: key, Version: t.version, Tombstone: true})
	t.notify()
}

// DropLog drops the log of changes, so that a feed of an older version gets 410.
func (t *Tables) DropLog() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.log, t.logStart = nil, t.version
	t.notify()
}

// Calls returns the number of calls to a path.
func (t *Tables) Calls(path string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.calls[path]
}

// write stores or deletes a row and appends it to the log. mu must be held.
func (t *Tables) write(r Row) {
	id := r.Table + "\x00" + r.Part + "\x00" + r.Key
	if r.Tombstone {
		delete(t.rows, id)
	} else {
		t.rows[id] = r
	}
	t.log = append(t.log, r)
	if t.written != nil {
		t.written[id] = true
	}
}

func (t *Tables) notify() {
	close(t.changed)
	t.changed = make(chan struct{})
}

// ServeHTTP implements http.Handler.
func (t *Tables) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	for {
		t.mu.Lock()
		faults, changed := t.faults, t.changed
		if !faults.Silent {
			t.calls[r.URL.Path]++
		}
		t.mu.Unlock()
		if !faults.Silent {
			if faults.Down {
				t.mu.Lock()
				t.stateEra(w)
				t.mu.Unlock()
				w.WriteHeader(http.StatusServiceUnavailable)
				return
			}
			if r.Method == http.MethodGet && r.URL.Query().Get("table") == faults.SlowTable {
				time.Sleep(faults.SlowBy)
			}
			t.mux.ServeHTTP(w, r)
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		}
	}
}

type response struct {
	Rows    []Row   `json:"rows,omitempty"`
	More    bool    `json:"more_pages"`
	Version int64   `json:"ver"`
	Clock   float64 `json:"now_ms"`
}

func (t *Tables) clock() float64 { return float64(time.Since(t.start).Milliseconds()) }

func (t *Tables) commit(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Expect []Row `json:"expect"`
		Put    []Row `json:"put"`
		Remove []Row `json:"remove"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stateEra(w)
	for _, e := range body.Expect {
		if t.rows[e.Table+"\x00"+e.Part+"\x00"+e.Key].Version != e.Version {
			standin.WriteJSON(w, http.StatusPreconditionFailed, response{Version: t.version, Clock: t.clock()})
			return
		}
	}
	t.version++
	for _, p := range body.Put {
		p.Version = t.version
		t.write(p)
	}
	for _, d := range body.Remove {
		d.Version, d.Tombstone = t.version, true
		t.write(d)
	}
	t.notify()
	if t.faults.LoseCommits > 0 {
		t.faults.LoseCommits--
		panic(http.ErrAbortHandler)
	}
	standin.WriteJSON(w, http.StatusOK, response{Version: t.version, Clock: t.clock()})
}

func (t *Tables) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit, err := strconv.Atoi(q.Get("limit"))
	if err != nil || limit <= 0 {
		limit = 500
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stateEra(w)
	a := response{Version: t.version, Clock: t.clock()}
	for _, row := range t.rows {
		if row.Table == q.Get("table") && row.Part == q.Get("part") && row.Key >= q.Get("from") {
			a.Rows = append(a.Rows, row)
		}
	}
	sort.Slice(a.Rows, func(i, j int) bool { return a.Rows[i].Key < a.Rows[j].Key })
	if len(a.Rows) > limit {
		a.Rows, a.More = a.Rows[:limit], true
	}
	standin.WriteJSON(w, http.StatusOK, a)
}

func (t *Tables) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, err := strconv.ParseInt(q.Get("after"), 10, 64)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	wait, err := strconv.Atoi(q.Get("wait_ms"))
	if err != nil {
		wait = 0
	}
	end := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer end.Stop()
	for {
		a, changed, status := t.changesSince(w, q.Get("table"), after)
		if status != http.StatusOK {
			w.WriteHeader(status)
			return
		}
		if len(a.Rows) > 0 {
			standin.WriteJSON(w, http.StatusOK, a)
			return
		}
		select {
		case <-changed:
		case <-end.C:
			standin.WriteJSON(w, http.StatusOK, a)
			return
		case <-r.Context().Done():
			return
		}
	}
}

// changesSince returns the changes of a table after a version, and a channel that is closed
// at the next change. status is not 200 if the changes are not available. It states the era in
// the header of w.
func (t *Tables) changesSince(w http.ResponseWriter, table string, after int64) (a response, changed chan struct{}, status int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stateEra(w)
	switch {
	case t.faults.Down:
		return a, nil, http.StatusServiceUnavailable
	case after < t.logStart || after > t.version:
		return a, nil, http.StatusGone
	}
	a = response{Version: t.version, Clock: t.clock()}
	for _, row := range t.log {
		if row.Table == table && row.Version > after {
			a.Rows = append(a.Rows, row)
		}
	}
	return a, t.changed, http.StatusOK
}
