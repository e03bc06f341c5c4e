// Package platform is a stand-in for the platform's table service, object
// store, weight store and host list, with faults that a test can switch.
package platform

import (
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/jasminelock/jasminelock/standin"
	api "github.com/jasminelock/jasminelock/store"
)

// Faults are the faults that a test can inject.
type Faults struct {
	// Down answers every call with 503 and does not carry it out.
	Down bool `json:"down"`
	// TablesDown answers calls to the table service with 503. The host list and
	// the stores still work.
	TablesDown bool `json:"tables_down"`
	// Delay is waited for before every call.
	Delay time.Duration `json:"delay"`
	// LoseAnswers is the number of writes that take effect and whose connection is
	// then closed without an answer.
	LoseAnswers int `json:"lose_answers"`
	// HostListLag is the age of the host list that is returned.
	HostListLag time.Duration `json:"host_list_lag"`
}

// Counts are the numbers of calls received, by kind.
type Counts struct {
	Reads  int64 `json:"reads"`
	Writes int64 `json:"writes"`
}

// Platform is the stand-in. It keeps its data in memory.
type Platform struct {
	mux *http.ServeMux

	// restoring is held for reading while a call is carried out and answered, and for writing during a restore, so that
	// the era of an answer is the one in which the call was carried out. It is locked before mu.
	restoring sync.RWMutex

	// mu guards all below.
	mu      sync.Mutex
	faults  Faults
	counts  Counts
	tables  map[string]map[string]api.Row
	objects map[string][]byte
	weights weightStore
	hosts   map[string]hostEntry
	history []hostList
	// era is the number of restores. Era 0 is not stated in answers.
	era int64
}

type hostEntry struct {
	host    api.Host
	expires time.Time
}

// hostList is the host list at one point in time.
type hostList struct {
	at    time.Time
	hosts []api.Host
}

// New returns a platform without data.
func New() *Platform {
	p := &Platform{
		mux:     http.NewServeMux(),
		tables:  map[string]map[string]api.Row{},
		objects: map[string][]byte{},
		weights: weightStore{infos: map[string]api.WeightInfo{}},
		hosts:   map[string]hostEntry{},
	}
	p.mux.HandleFunc("GET /tables/{table}/row", p.getRow)
	p.mux.HandleFunc("GET /tables/{table}/rows", p.listRows)
	p.mux.HandleFunc("POST /tables/commit", p.commit)
	p.mux.HandleFunc("PUT /objects/{name}", p.putObject)
	p.mux.HandleFunc("GET /objects/{name}", p.getObject)
	p.mux.HandleFunc("DELETE /objects/{name}", p.deleteObject)
	p.mux.HandleFunc("GET /weights/{source}", p.statWeight)
	p.mux.HandleFunc("GET /weights/{source}/data", p.fetchWeight)
	p.mux.HandleFunc("GET /hosts", p.listHosts)
	p.mux.HandleFunc("PUT /hosts/{name}", p.putHost)
	p.mux.HandleFunc("DELETE /hosts/{name}", p.deleteHost)
	return p
}

// SetFaults replaces the faults.
func (p *Platform) SetFaults(f Faults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = f
}

// Counts returns the numbers of calls received so far.
func (p *Platform) Counts() Counts {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.counts
}

// ServeHTTP implements http.Handler. PUT /faults replaces the faults and GET
// /counts returns the counts; neither is affected by faults.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/faults":
		p.serveFaults(w, r)
		return
	case "/counts":
		standin.WriteJSON(w, http.StatusOK, p.Counts())
		return
	}
	p.mu.Lock()
	faults := p.faults
	if r.Method == http.MethodGet {
		p.counts.Reads++
	} else {
		p.counts.Writes++
	}
	p.mu.Unlock()
	time.Sleep(faults.Delay)
	if faults.Down || (faults.TablesDown && strings.HasPrefix(r.URL.Path, "/tables/")) {
		http.Error(w, "down", http.StatusServiceUnavailable)
		return
	}
	p.serve(w, r)
	if r.Method != http.MethodGet && p.loseAnswer() {
		panic(http.ErrAbortHandler)
	}
}

// serve carries out a call and states the era in the answer.
func (p *Platform) serve(w http.ResponseWriter, r *http.Request) {
	if strings.HasPrefix(r.URL.Path, "/weights/") {
		// A fetch takes long and the weight store is not restored.
		p.stateEra(w)
		p.mux.ServeHTTP(w, r)
		return
	}
	p.restoring.RLock()
	defer p.restoring.RUnlock()
	p.stateEra(w)
	p.mux.ServeHTTP(w, r)
}

func (p *Platform) serveFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.SetFaults(f)
	standin.WriteJSON(w, http.StatusOK, f)
}

// loseAnswer reports whether the answer to a write that took effect is to be lost,
// and counts down LoseAnswers.
func (p *Platform) loseAnswer() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.faults.LoseAnswers == 0 {
		return false
	}
	p.faults.LoseAnswers--
	return true
}

func (p *Platform) getRow(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	row, ok := p.tables[r.PathValue("table")][r.URL.Query().Get("key")]
	p.mu.Unlock()
	if !ok {
		http.NotFound(w, r)
		return
	}
	standin.WriteJSON(w, http.StatusOK, row)
}

func (p *Platform) listRows(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit, err := strconv.Atoi(q.Get("limit"))
	if err != nil || limit < 1 {
		http.Error(w, "limit", http.StatusBadRequest)
		return
	}
	rows := []api.Row{}
	p.mu.Lock()
	for key, row := range p.tables[r.PathValue("table")] {
		if key > q.Get("after") && strings.HasPrefix(key, q.Get("prefix")) {
			rows = append(rows, row)
		}
	}
	p.mu.Unlock()
	slices.SortFunc(rows, func(a, b api.Row) int { return strings.Compare(a.Key, b.Key) })
	standin.WriteJSON(w, http.StatusOK, rows[:min(limit, len(rows))])
}

func (p *Platform) commit(w http.ResponseWriter, r *http.Request) {
	var txn api.Txn
	if err := json.NewDecoder(r.Body).Decode(&txn); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range txn.Conditions {
		if p.tables[c.Table][c.Key].Version != c.Version {
			http.Error(w, "condition", http.StatusConflict)
			return
		}
	}
	for _, write := range txn.Writes {
		p.write(write)
	}
}

func (p *Platform) write(w api.Write) {
	table, ok := p.tables[w.Table]
	if !ok {
		table = map[string]api.Row{}
		p.tables[w.Table] = table
	}
	if w.Delete {
		delete(table, w.Key)
		return
	}
	table[w.Key] = api.Row{Key: w.Key, Value: w.Value, Version: table[w.Key].Version + 1}
}

func (p *Platform) putObject(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if _, exists := p.objects[r.PathValue("name")]; exists && r.Header.Get("If-None-Match") == "*" {
		http.Error(w, "exists", http.StatusPreconditionFailed)
		return
	}
	p.objects[r.PathValue("name")] = data
}

func (p *Platform) getObject(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	data, ok := p.objects[r.PathValue("name")]
	p.mu.Unlock()
	if !ok {
		http.NotFound(w, r)
		return
	}
	_, _ = w.Write(data)
}

func (p *Platform) deleteObject(_ http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.objects, r.PathValue("name"))
}

func (p *Platform) putHost(w http.ResponseWriter, r *http.Request) {
	var h api.Host
	ttl, err := time.ParseDuration(r.URL.Query().Get("ttl"))
	if err != nil || json.NewDecoder(r.Body).Decode(&h) != nil {
		http.Error(w, "host", http.StatusBadRequest)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.hosts[h.Name] = hostEntry{host: h, expires: time.Now().Add(ttl)}
	p.recordHosts()
}

func (p *Platform) deleteHost(_ http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.hosts, r.PathValue("name"))
	p.recordHosts()
}

// historyLength is the number of past host lists that are kept.
const historyLength = 1024

// recordHosts appends the current host list to the history. mu must be held.
func (p *Platform) recordHosts() {
	p.history = append(p.history, hostList{at: time.Now(), hosts: p.currentHosts()})
	if len(p.history) > historyLength {
		p.history = p.history[1:]
	}
}

func (p *Platform) currentHosts() []api.Host {
	hosts := []api.Host{}
	for _, e := range p.hosts {
		if time.Now().Before(e.expires) {
			hosts = append(hosts, e.host)
		}
	}
	slices.SortFunc(hosts, func(a, b api.Host) int { return strings.Compare(a.Name, b.Name) })
	return hosts
}

func (p *Platform) listHosts(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.faults.HostListLag == 0 {
		standin.WriteJSON(w, http.StatusOK, p.currentHosts())
		return
	}
	seen := []api.Host{}
	for _, past := range p.history {
		if time.Since(past.at) >= p.faults.HostListLag {
			seen = past.hosts
		}
	}
	standin.WriteJSON(w, http.StatusOK, seen)
}
