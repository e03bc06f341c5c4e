//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Times of an engine, as the users' sheets state them.
const (
	coldLoadTime = 250 * time.Millisecond
	warmLoadTime = 25 * time.Millisecond
	// firstEventTime is the time to the first event, tokensPerEvent the tokens of each.
	firstEventTime = 60 * time.Millisecond
	tokensPerEvent = 3
)

// modelName is the base model of all engines.
const modelName = "model-m"

// engineSlots is the number of adapters that an engine holds.
const engineSlots = 6

// run is one run of a request at a replica.
type run struct {
	id      string
	replica string
	adapter string
	began   time.Time
	ended   time.Time
	whole   bool
	// after is the number of the last event before the run.
	after int
}

// heldAdapter is an adapter on an engine.
type heldAdapter struct {
	ready    time.Time
	runs     int
	evicting bool
}

// engine is a stand-in for a replica that serves a model with adapters. It is sound: it answers every request and order,
// and stops a run when its connection closes.
type engine struct {
	id     string
	born   int64
	pause  time.Duration
	record *record

	mu       sync.Mutex
	sequence int64
	fence    int64
	adapters map[string]*heldAdapter
	warm     map[string]bool
	runs     []*run
	orders   []order
	// overfull counts orders to load beyond the slots.
	overfull int
}

// order is an order that an engine has received.
type order struct {
	at      time.Time
	holder  string
	fence   int64
	adapter string
	status  int
}

func newEngine(id string, pause time.Duration, r *record, adapters ...string) *engine {
	e := &engine{id: id, born: time.Now().UnixMilli(), pause: pause, record: r, adapters: map[string]*heldAdapter{}, warm: map[string]bool{}}
	for _, a := range adapters {
		e.adapters[a] = &heldAdapter{ready: time.Now()}
	}
	return e
}

// models returns what the engine holds and what it is loading, in the form of its reports. mu must be held.
func (e *engine) models() (held []map[string]any, coming []string) {
	names := []string{}
	for name, a := range e.adapters {
		if time.Now().Before(a.ready) {
			coming = append(coming, modelName+"/"+name+"@1")
			continue
		}
		names = append(names, name+"@1")
	}
	return []map[string]any{{"name": modelName, "version": 1, "adapters": names}}, coming
}

// row returns the engine's row in the platform's store.
func (e *engine) row(service, address, zone string) map[string]any {
	e.mu.Lock()
	defer e.mu.Unlock()
	held, _ := e.models()
	return map[string]any{
		"service": service, "address": address, "zone": zone, "version": "v1", "slots": 64, "state": "ready",
		"cold_remaining_ms": 0, "stage": "colocated", "models": held, "seq": e.sequence, "born": e.born,
	}
}

// ServeHTTP implements http.Handler.
func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if id := r.Header.Get(p("attempt")); id != "" {
		w.Header().Set(p("attempt"), id)
	}
	w.Header().Set(p("instance"), e.id)
	if want := r.Header.Get(p("expect")); want != "" && want != e.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch r.URL.Path {
	case p("order"):
		e.order(w, r)
	case p("report"):
		e.mu.Lock()
		held, coming := e.models()
		a := map[string]any{"stage": "colocated", "models": held, "busy": false, "seq": e.sequence, "coming": coming, "born": e.born, "queued": 0}
		e.mu.Unlock()
		writeJSON(w, http.StatusOK, a)
	default:
		e.serve(w, r)
	}
}

func (e *engine) order(w http.ResponseWriter, r *http.Request) {
	var raw map[string]json.RawMessage
	if err := json.NewDecoder(r.Body).Decode(&raw); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	var operation, adapter, holder string
	var fence, expect int64
	_ = json.Unmarshal(raw["operation"], &operation)
	_ = json.Unmarshal(raw["adapter"], &adapter)
	_ = json.Unmarshal(raw["holder"], &holder)
	_ = json.Unmarshal(raw[p("fence")], &fence)
	_, hasExpect := raw["expect"]
	_ = json.Unmarshal(raw["expect"], &expect)
	e.mu.Lock()
	defer e.mu.Unlock()
	status := e.apply(operation, adapter, holder, fence, hasExpect, expect)
	e.orders = append(e.orders, order{time.Now(), holder, fence, adapter, status})
	if status == http.StatusAccepted {
		e.record.line("order at %s: %s %s of %s, fence %d: %d", e.id, operation, adapter, holder, fence, status)
	}
	w.WriteHeader(status)
}

// apply carries out an order and returns the status of its answer. mu must be held.
func (e *engine) apply(operation, adapter, holder string, fence int64, hasExpect bool, expect int64) int {
	a := e.adapters[adapter]
	switch {
	case holder == "" || fence == 0 || (operation != "load" && operation != "evict"):
		return http.StatusBadRequest
	case fence < e.fence:
		return http.StatusPreconditionFailed
	}
	e.fence = fence
	switch {
	case operation == "load" && (adapter == "" || a != nil && !a.evicting && !time.Now().Before(a.ready)):
		return http.StatusOK
	case operation == "evict" && a == nil:
		return http.StatusOK
	case operation == "load" && a != nil && !a.evicting, operation == "evict" && a.evicting:
		return http.StatusAccepted // it is being carried out
	case hasExpect && expect != e.sequence:
		return http.StatusConflict
	case operation == "evict":
		e.sequence++
		if a.runs == 0 {
			e.drop(adapter)
			return http.StatusOK
		}
		a.evicting = true
		return http.StatusAccepted
	case a != nil:
		return http.StatusConflict
	}
	e.sequence++
	if len(e.adapters) >= engineSlots {
		e.overfull++
		e.record.line("LIMIT: %s is ordered to load %s beyond its %d slots", e.id, adapter, engineSlots)
	}
	took := coldLoadTime
	if e.warm[adapter] {
		took = warmLoadTime
	}
	e.adapters[adapter] = &heldAdapter{ready: time.Now().Add(took)}
	return http.StatusAccepted
}

func (e *engine) drop(adapter string) {
	delete(e.adapters, adapter)
	e.warm[adapter] = true
}

// begin admits a request and returns its run, or the status of the rejection.
func (e *engine) begin(r *http.Request) (*run, int) {
	model, adapter, _ := strings.Cut(r.Header.Get(p("model")), "/")
	e.mu.Lock()
	defer e.mu.Unlock()
	a := e.adapters[adapter]
	want := r.Header.Get(p("version"))
	switch {
	case model != modelName || a == nil || (want != "" && want != "1"):
		return nil, http.StatusMisdirectedRequest
	case a.evicting || time.Now().Before(a.ready):
		return nil, http.StatusServiceUnavailable
	}
	a.runs++
	x := &run{id: r.Header.Get(p("attempt")), replica: e.id, adapter: adapter, began: time.Now()}
	e.runs = append(e.runs, x)
	return x, 0
}

func (e *engine) end(x *run, whole bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	x.ended, x.whole = time.Now(), whole
	if a := e.adapters[x.adapter]; a != nil {
		if a.runs--; a.runs == 0 && a.evicting {
			e.drop(x.adapter)
		}
	}
	e.record.line("run at %s of %s on %s after event %d: %.3f to %.3f, whole %t",
		e.id, x.id, x.adapter, x.after, e.record.at(x.began), e.record.at(x.ended), whole)
}

// serve answers a request with a stream of as many events as its usage states.
func (e *engine) serve(w http.ResponseWriter, r *http.Request) {
	x, status := e.begin(r)
	if x == nil {
		w.Header().Set(p("notrun"), "1")
		w.WriteHeader(status)
		return
	}
	_, output, _ := strings.Cut(r.Header.Get(p("usage")), ",")
	tokens, _ := strconv.Atoi(output)
	events := max(tokens/tokensPerEvent, 1)
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id")) // none means 0
	x.after = after
	w.Header().Set(p("signature"), "sig."+e.id+"."+x.id)
	w.Header().Set("Content-Type", "text/event-stream")
	out := http.NewResponseController(w)
	for i := after + 1; i <= events; i++ {
		wait := e.pause
		if i == after+1 {
			wait = firstEventTime
		}
		select {
		case <-time.After(wait):
		case <-r.Context().Done():
			e.end(x, false)
			return
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s event %d of %d\n\n", i, x.id, i, events); err != nil {
			e.end(x, false)
			return
		}
		_ = out.Flush()
	}
	e.end(x, true)
}

// runsOf returns the runs of a request.
func (e *engine) runsOf(id string) []run {
	e.mu.Lock()
	defer e.mu.Unlock()
	var out []run
	for _, x := range e.runs {
		if x.id == id {
			out = append(out, *x)
		}
	}
	return out
}

// holds returns the names of the adapters that the engine holds.
func (e *engine) holds() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	var out []string
	for name := range e.adapters {
		out = append(out, name)
	}
	return out
}
