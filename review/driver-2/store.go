//go:build review

package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// row is a row of the table service, as the pages describe it.
type row struct {
	Table     string `json:"table"`
	Part      string `json:"part"`
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Version   int64  `json:"ver"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

// tableStore is the platform's table service. It loses nothing that it has acknowledged, and its answers are linearizable.
type tableStore struct {
	start time.Time
	txMS  time.Duration

	mu      sync.Mutex
	rows    map[string]row
	log     []row
	version int64
	changed chan struct{}
	// onCommit is called after a write under a condition, before it is answered.
	onCommit func(machine string)
}

func newTableStore() *tableStore {
	return &tableStore{start: time.Now(), txMS: 5 * time.Millisecond, rows: map[string]row{}, changed: make(chan struct{})}
}

func rowID(r row) string { return r.Table + "\x00" + r.Part + "\x00" + r.Key }

// put writes a row as the operator or a server does.
func (s *tableStore) put(table, key string, value any) {
	raw, _ := json.Marshal(value)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.write(row{Table: table, Key: key, Value: raw, Version: s.version})
	s.notify()
}

func (s *tableStore) write(r row) {
	if r.Tombstone {
		delete(s.rows, rowID(r))
	} else {
		s.rows[rowID(r)] = r
	}
	s.log = append(s.log, r)
}

func (s *tableStore) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// listen serves the store to one machine. It returns the address.
func (s *tableStore) listen(machine string) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+names["transaction"], func(w http.ResponseWriter, r *http.Request) { s.commit(machine, w, r) })
	mux.HandleFunc("GET "+names["read"], s.get)
	mux.HandleFunc("GET "+names["feed"], s.feed)
	go func() {
		_ = http.Serve(l, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			time.Sleep(2 * time.Millisecond)
			mux.ServeHTTP(w, r)
		}))
	}()
	return l.Addr().String(), nil
}

type rowsAnswer struct {
	Rows    []row   `json:"rows"`
	More    bool    `json:"more_pages"`
	Version int64   `json:"ver"`
	Clock   float64 `json:"now_ms"`
}

func (s *tableStore) clock() float64 { return float64(time.Since(s.start).Microseconds()) / 1000 }

func answerJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *tableStore) commit(machine string, w http.ResponseWriter, r *http.Request) {
	var body struct {
		Expect []row `json:"expect"`
		Put    []row `json:"put"`
		Remove []row `json:"remove"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	time.Sleep(s.txMS)
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range body.Expect {
		if s.rows[rowID(e)].Version != e.Version {
			answerJSON(w, http.StatusPreconditionFailed, rowsAnswer{Rows: []row{}, Version: s.version, Clock: s.clock()})
			return
		}
	}
	s.version++
	for _, p := range body.Put {
		p.Version = s.version
		s.write(p)
	}
	for _, d := range body.Remove {
		d.Version, d.Tombstone, d.Value = s.version, true, nil
		s.write(d)
	}
	s.notify()
	if s.onCommit != nil {
		s.onCommit(machine)
	}
	answerJSON(w, http.StatusOK, rowsAnswer{Rows: []row{}, Version: s.version, Clock: s.clock()})
}

func (s *tableStore) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit, err := strconv.Atoi(q.Get("limit"))
	if err != nil || limit <= 0 || limit > 500 {
		limit = 500
	}
	s.mu.Lock()
	a := rowsAnswer{Rows: []row{}, Version: s.version, Clock: s.clock()}
	for _, x := range s.rows {
		if x.Table == q.Get("table") && x.Part == q.Get("part") && x.Key >= q.Get("from") {
			a.Rows = append(a.Rows, x)
		}
	}
	s.mu.Unlock()
	sort.Slice(a.Rows, func(i, j int) bool { return a.Rows[i].Key < a.Rows[j].Key })
	if len(a.Rows) > limit {
		a.Rows, a.More = a.Rows[:limit], true
	}
	answerJSON(w, http.StatusOK, a)
}

func (s *tableStore) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, err := strconv.ParseInt(q.Get("after"), 10, 64)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	end := time.NewTimer(time.Duration(min(wait, 30000)) * time.Millisecond)
	defer end.Stop()
	for {
		s.mu.Lock()
		a := rowsAnswer{Rows: []row{}, Version: s.version, Clock: s.clock()}
		for i := len(s.log) - 1; i >= 0 && s.log[i].Version > after; i-- {
			if s.log[i].Table == q.Get("table") {
				a.Rows = append(a.Rows, s.log[i])
			}
		}
		changed := s.changed
		s.mu.Unlock()
		if len(a.Rows) > 0 {
			sort.SliceStable(a.Rows, func(i, j int) bool { return a.Rows[i].Version < a.Rows[j].Version })
			answerJSON(w, http.StatusOK, a)
			return
		}
		select {
		case <-changed:
		case <-end.C:
			answerJSON(w, http.StatusOK, a)
			return
		case <-r.Context().Done():
			return
		}
	}
}
