//go:build review

package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// engineSettings describe a model replica.
type engineSettings struct {
	id, service, zone, model string
	slots, adapterSlots      int
	kvTotal                  int
	tokensPerMS              float64
	eventEvery               time.Duration
	coldLoad, warmLoad       time.Duration
	reportLag                time.Duration
}

// engine is a model replica, as the pages describe it: it reads one prompt after the other, makes events for all streams at
// once, carries out orders whose `expect` is its own count, and reports its state as of some hundred milliseconds ago.
type engine struct {
	engineSettings
	rec     *recorder
	store   *tableStore
	address string
	born    int64

	mu        sync.Mutex
	adapters  map[string]bool
	coming    map[string]bool
	evicting  map[string]bool
	held      map[string]bool
	using     map[string]int
	seq       int64
	fence     int64
	running   int
	waiting   int
	prefillAt time.Time
	history   []engineState
	beat      int64
	// overfilled is set if the engine was ordered to hold more adapters than it has places for.
	overfilled bool
	// ran counts how often each request began to run, by attempt id.
	ran map[string]int
}

type engineState struct {
	at   time.Time
	body map[string]any
}

func startEngine(rec *recorder, store *tableStore, s engineSettings) (*engine, error) {
	e := &engine{
		engineSettings: s, rec: rec, store: store, born: time.Now().UnixMilli(), adapters: map[string]bool{}, coming: map[string]bool{},
		evicting: map[string]bool{}, held: map[string]bool{}, using: map[string]int{}, ran: map[string]int{},
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	e.address = l.Addr().String()
	e.mu.Lock()
	e.changed()
	e.mu.Unlock()
	go func() { _ = http.Serve(l, e) }()
	go func() {
		for {
			e.register()
			time.Sleep(1200 * time.Millisecond)
		}
	}()
	return e, nil
}

func (e *engine) models() []map[string]any {
	names := []string{}
	for name := range e.adapters {
		names = append(names, name+"@1")
	}
	return []map[string]any{{"name": e.model, "version": 1, "adapters": names}}
}

func (e *engine) register() {
	e.mu.Lock()
	e.beat++
	entry := map[string]any{
		"service": e.service, "address": e.address, "zone": e.zone, "version": "1", "slots": e.slots, "state": "ready",
		"cold_remaining_ms": 0, "seq": e.beat, "born": e.born, "stage": "colocated", "models": e.models(),
	}
	e.mu.Unlock()
	e.store.put("servers", e.id, entry)
}

// changed records the present state for later reports. The caller holds e.mu.
func (e *engine) changed() {
	coming := []string{}
	for name := range e.coming {
		coming = append(coming, e.model+"/"+name+"@1")
	}
	e.history = append(e.history, engineState{time.Now(), map[string]any{
		"stage": "colocated", "models": e.models(), "busy": false, "seq": e.seq, "coming": coming, "queued": e.waiting, "running": e.running,
		"kv_used": 0, "kv_total": e.kvTotal, "handles": 0, "born": e.born,
	}})
	if n := len(e.history); n > 400 {
		e.history = append([]engineState(nil), e.history[n-200:]...)
	}
}

func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if want := r.Header.Get("Jasminelock-Expect-Instance"); want != "" && want != e.id {
		w.Header().Set("Jasminelock-Instance-Id", e.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch r.URL.Path {
	case names["report"]:
		e.report(w)
	case names["order"]:
		e.order(w, r)
	default:
		e.serve(w, r)
	}
}

func (e *engine) report(w http.ResponseWriter) {
	e.mu.Lock()
	state := e.history[0]
	for _, s := range e.history {
		if time.Since(s.at) >= e.reportLag {
			state = s
		}
	}
	e.mu.Unlock()
	answerJSON(w, http.StatusOK, state.body)
}

type orderBody struct {
	Operation string `json:"operation"`
	Model     string `json:"model"`
	Adapter   string `json:"adapter"`
	Expect    *int64 `json:"expect"`
	Holder    string `json:"holder"`
	Fence     int64  `json:"-"`
}

func (e *engine) order(w http.ResponseWriter, r *http.Request) {
	var o orderBody
	raw, _ := io.ReadAll(r.Body)
	err := json.Unmarshal(raw, &o)
	var fields map[string]json.RawMessage
	_ = json.Unmarshal(raw, &fields)
	_ = json.Unmarshal(fields[names["fence"]], &o.Fence)
	if err != nil || o.Holder == "" || o.Fence == 0 || o.Model != e.model || o.Adapter == "" {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	status := e.apply(&o)
	e.rec.line("%s order %s %s by %s token %d expect %d -> %d (adapters %d, coming %d, seq %d)", e.id, o.Operation, o.Adapter, o.Holder, o.Fence,
		deref(o.Expect), status, len(e.adapters), len(e.coming), e.seq)
	e.mu.Unlock()
	w.WriteHeader(status)
}

func deref(n *int64) int64 {
	if n == nil {
		return -1
	}
	return *n
}

// apply carries out an order. The caller holds e.mu.
func (e *engine) apply(o *orderBody) int {
	if o.Fence < e.fence {
		return http.StatusPreconditionFailed
	}
	e.fence = o.Fence
	load := o.Operation == "load"
	switch {
	case o.Expect != nil && *o.Expect != e.seq:
		return http.StatusConflict
	case load && e.coming[o.Adapter], !load && e.evicting[o.Adapter]:
		return http.StatusAccepted // under way
	case load && e.adapters[o.Adapter] && !e.evicting[o.Adapter], !load && !e.adapters[o.Adapter] && !e.coming[o.Adapter]:
		return http.StatusOK // holds already
	case load && e.evicting[o.Adapter], !load && e.coming[o.Adapter], load && len(e.coming) >= 4:
		return http.StatusConflict
	}
	e.seq++
	if !load {
		if e.using[o.Adapter] > 0 {
			e.evicting[o.Adapter] = true
			e.changed()
			return http.StatusAccepted
		}
		delete(e.adapters, o.Adapter)
		e.changed()
		return http.StatusOK
	}
	e.coming[o.Adapter] = true
	if len(e.adapters)+len(e.coming) > e.adapterSlots {
		e.overfilled = true
		e.rec.say("%s was ordered to hold %d adapters, it has places for %d", e.id, len(e.adapters)+len(e.coming), e.adapterSlots)
	}
	took := e.coldLoad
	if e.held[o.Adapter] {
		took = e.warmLoad
	}
	e.held[o.Adapter] = true
	name := o.Adapter
	time.AfterFunc(took, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		delete(e.coming, name)
		e.adapters[name] = true
		e.changed()
	})
	e.changed()
	return http.StatusAccepted
}

// loadHeader is the load, with the fourth figure, which says how long work takes (100 means as usual). The caller holds e.mu.
func (e *engine) loadHeader() string {
	return fmt.Sprintf("%d,%d,%d,100", e.running, e.waiting, e.slots)
}

func (e *engine) reject(w http.ResponseWriter, r *http.Request, status int) {
	h := w.Header()
	h.Set(names["attempt"], r.Header.Get(names["attempt"]))
	h.Set("Jasminelock-Replica-Load", e.loadHeader())
	if status == http.StatusServiceUnavailable {
		h.Set("Jasminelock-Not-Executed", "1")
	} else {
		h.Set("Jasminelock-Instance-Id", e.id)
	}
	w.WriteHeader(status)
}

func (e *engine) serve(w http.ResponseWriter, r *http.Request) {
	buf := make([]byte, 32<<10)
	for {
		if _, err := r.Body.Read(buf); err != nil {
			break
		}
	}
	model, adapter, _ := strings.Cut(r.Header.Get(names["model"]), "/")
	prompt, output, _ := strings.Cut(r.Header.Get("Jasminelock-Token-Usage"), ",")
	promptTokens, _ := strconv.Atoi(prompt)
	outputTokens, _ := strconv.Atoi(output)
	id := r.Header.Get(names["attempt"])
	e.mu.Lock()
	switch {
	case model != e.model || !e.adapters[adapter]:
		e.reject(w, r, http.StatusMisdirectedRequest)
		e.mu.Unlock()
		return
	case outputTokens > e.kvTotal-promptTokens: // larger than the memory: rejected as if it were full
		e.reject(w, r, http.StatusServiceUnavailable)
		e.mu.Unlock()
		return
	case e.evicting[adapter] || e.running+e.waiting >= 4*e.slots:
		e.reject(w, r, http.StatusServiceUnavailable)
		e.mu.Unlock()
		return
	}
	e.using[adapter]++
	e.waiting++
	now := time.Now()
	if e.prefillAt.Before(now) {
		e.prefillAt = now
	}
	e.prefillAt = e.prefillAt.Add(time.Duration(float64(promptTokens) / e.tokensPerMS * float64(time.Millisecond)))
	first := e.prefillAt.Add(14 * time.Millisecond)
	w.Header().Set("Jasminelock-Replica-Load", e.loadHeader())
	e.mu.Unlock()
	ended := func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.using[adapter]--; e.using[adapter] == 0 && e.evicting[adapter] {
			delete(e.evicting, adapter)
			delete(e.adapters, adapter)
			e.changed()
		}
	}
	defer ended()
	gone := !sleepUntil(r.Context(), first)
	e.mu.Lock()
	e.waiting--
	if gone {
		e.mu.Unlock()
		return
	}
	e.running++
	e.ran[id]++
	e.mu.Unlock()
	defer func() {
		e.mu.Lock()
		e.running--
		e.mu.Unlock()
	}()
	h := w.Header()
	h.Set(names["attempt"], id)
	h.Set("Jasminelock-Response-Signature", e.id+"."+id)
	h.Set("Jasminelock-Weight-Versions", "1")
	h.Set("Content-Type", "text/event-stream")
	out := http.NewResponseController(w)
	for i := 1; i <= max(outputTokens/3, 1); i++ {
		fmt.Fprintf(w, "id: %d\ndata: %s.%d\n\n", i, id, i)
		if out.Flush() != nil || !sleepUntil(r.Context(), first.Add(time.Duration(i)*e.eventEvery)) {
			return
		}
	}
}

// sleepUntil waits until a moment. It reports false if the context has ended before.
func sleepUntil(ctx context.Context, at time.Time) bool {
	t := time.NewTimer(time.Until(at))
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
