//go:build review

package main

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// storeRow is a row of the platform's store.
type storeRow struct {
	Table     string `json:"table"`
	Part      string `json:"part"`
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Version   int64  `json:"ver"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

// answerTime is how long the store takes for a call.
const answerTime = 4 * time.Millisecond

// rowBytes is the largest value of a row.
const rowBytes = 65536

// store is a stand-in for the platform's store: rows, transactions and a feed of changes. It keeps its whole
// history and never fails.
type store struct {
	record *record
	start  time.Time

	mu      sync.Mutex
	rows    map[string]storeRow
	log     []storeRow
	version int64
	changed chan struct{}
}

func newStore(r *record) *store {
	return &store{record: r, start: time.Now(), rows: map[string]storeRow{}, changed: make(chan struct{})}
}

func rowID(table, part, key string) string { return table + "\x00" + part + "\x00" + key }

// put writes a row as the operator or a replica does.
func (s *store) put(table, key string, value any) {
	raw, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.write(storeRow{Table: table, Key: key, Value: raw, Version: s.version})
	s.notify()
}

func (s *store) write(r storeRow) {
	id := rowID(r.Table, r.Part, r.Key)
	if r.Tombstone {
		delete(s.rows, id)
	} else {
		s.rows[id] = r
	}
	s.log = append(s.log, r)
}

func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

type storeAnswer struct {
	Rows    []storeRow `json:"rows"`
	More    bool       `json:"more_pages"`
	Version int64      `json:"ver"`
	Clock   float64    `json:"now_ms"`
}

func (s *store) answer() storeAnswer {
	return storeAnswer{Rows: []storeRow{}, Version: s.version, Clock: float64(time.Since(s.start).Milliseconds())}
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(answerTime)
	switch r.URL.Path {
	case p("rows-tx"):
		s.commit(w, r)
	case p("rows-get"):
		s.get(w, r)
	case p("rows-feed"):
		s.feed(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) commit(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Expect []storeRow `json:"expect"`
		Put    []storeRow `json:"put"`
		Remove []storeRow `json:"remove"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	for _, row := range body.Put {
		if len(row.Value) > rowBytes {
			s.record.line("store: a write of %d bytes to %s/%s was refused: at most %d", len(row.Value), row.Table, row.Key, rowBytes)
			w.WriteHeader(http.StatusBadRequest)
			return
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range body.Expect {
		if s.rows[rowID(e.Table, e.Part, e.Key)].Version != e.Version {
			a := s.answer()
			for _, e := range body.Expect {
				if row, ok := s.rows[rowID(e.Table, e.Part, e.Key)]; ok {
					a.Rows = append(a.Rows, row)
				}
			}
			writeJSON(w, http.StatusPreconditionFailed, a)
			return
		}
	}
	s.version++
	for _, row := range body.Put {
		row.Version = s.version
		s.write(row)
	}
	for _, row := range body.Remove {
		row.Version, row.Tombstone, row.Value = s.version, true, nil
		s.write(row)
	}
	s.notify()
	writeJSON(w, http.StatusOK, s.answer())
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit, err := strconv.Atoi(q.Get("limit"))
	if err != nil || limit <= 0 || limit > 500 {
		limit = 500
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	a := s.answer()
	for _, row := range s.rows {
		if row.Table == q.Get("table") && row.Part == q.Get("part") && row.Key >= q.Get("from") {
			a.Rows = append(a.Rows, row)
		}
	}
	sort.Slice(a.Rows, func(i, j int) bool { return a.Rows[i].Key < a.Rows[j].Key })
	if len(a.Rows) > limit {
		a.Rows, a.More = a.Rows[:limit], true
	}
	writeJSON(w, http.StatusOK, a)
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, err := strconv.ParseInt(q.Get("after"), 10, 64)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	wait, _ := strconv.Atoi(q.Get("wait_ms")) // none means 0
	end := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer end.Stop()
	for {
		s.mu.Lock()
		a, changed := s.answer(), s.changed
		for _, row := range s.log {
			if row.Table == q.Get("table") && row.Version > after {
				a.Rows = append(a.Rows, row)
			}
		}
		s.mu.Unlock()
		if len(a.Rows) > 0 {
			writeJSON(w, http.StatusOK, a)
			return
		}
		select {
		case <-changed:
		case <-end.C:
			writeJSON(w, http.StatusOK, a)
			return
		case <-r.Context().Done():
			return
		}
	}
}
