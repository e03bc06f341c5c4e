// Package engine is a stand-in for a model engine. It is OpenAI-compatible, has a
// few adapter slots, models continuous batching by a fixed time per token, accepts
// orders in the format of vLLM, and has faults that a test can inject.
package engine

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/jasminelock/jasminelock/standin"
	"github.com/jasminelock/jasminelock/upstream"
)

// Settings are an engine's fixed properties.
type Settings struct {
	// Model is the base model.
	Model string `json:"model"`
	// AdapterSlots is the number of adapters that the engine can hold at once.
	AdapterSlots int `json:"adapter_slots"`
	// LoadTime is the duration of a load without the fetch from the weight store.
	LoadTime time.Duration `json:"load_time"`
	// WeightStore is the base address of the platform from which weights are
	// fetched. If it is empty, nothing is fetched.
	WeightStore string `json:"weight_store"`
	// FirstTokenTime is the time to the first token, TokenTime the time between two
	// tokens.
	FirstTokenTime time.Duration `json:"first_token"`
	TokenTime      time.Duration `json:"token_time"`
	// ChecksFence makes the engine refuse an order with an outdated fencing number.
	ChecksFence bool `json:"checks_fence"`
	// ReportLag is the age of the load report that is returned.
	ReportLag time.Duration `json:"report_lag"`
	// Resumable makes the engine go on generating a stream after its connection has
	// closed, so that the stream can be resumed until it is cancelled.
	Resumable bool `json:"resumable"`
}

// Faults are the faults that a test can inject.
type Faults struct {
	// FailLoads is the number of loads that fail.
	FailLoads int `json:"fail_loads"`
	// Poison is a text that crashes the engine if a request's body contains it. Empty
	// means none.
	Poison string `json:"poison"`
	// CutAfterTokens is the number of tokens after which every stream is cut, 0 for
	// never.
	CutAfterTokens int `json:"cut_after_tokens"`
	// LoadDelay is added to every load.
	LoadDelay time.Duration `json:"load_delay"`
	// DropCacheEvery makes the engine drop every DropCacheEvery-th cache event, 0 for none.
	DropCacheEvery int64 `json:"cache_gap"`
	// Call is the fault that is applied to calls.
	Call standin.Fault `json:"call"`
}

// Execution is one request that the engine has executed.
type Execution struct {
	// StartedAt is when the execution started.
	StartedAt time.Time `json:"at"`
	Attempt   string    `json:"attempt"`
	Model     string    `json:"model"`
	// Body and Header are those of the request.
	Body     string      `json:"body"`
	Header   http.Header `json:"header"`
	URL      string      `json:"url"`
	Priority string      `json:"priority"`
}

// Engine is the stand-in. It serves one base model with adapters.
type Engine struct {
	settings Settings
	mux      *http.ServeMux
	calls    standin.FaultSwitch

	// mu guards all below.
	mu          sync.Mutex
	faults      Faults
	incarnation int
	sequence    int64
	fence       int64
	adapters    map[string]*adapter
	running     int
	executions  []Execution
	crashed     bool
	// incarnationCtx is the context of the incarnation. Its end interrupts all running
	// requests.
	incarnationCtx context.Context
	endIncarnation context.CancelFunc
	// servingUnloads is the number of orders to unload an adapter with running
	// requests.
	servingUnloads int
	reports        []pastReport
	role           string
	streams        map[string]*stream
	cancelled      []string
	cache          prefixCache
}

type adapter struct {
	loading bool
	running int
}

type pastReport struct {
	at     time.Time
	report upstream.Report
}

// New returns an engine without adapters.
func New(s Settings) *Engine {
	e := &Engine{settings: s, mux: http.NewServeMux(), incarnation: 1, adapters: map[string]*adapter{}, streams: map[string]*stream{}, role: "mixed"}
	e.incarnationCtx, e.endIncarnation = context.WithCancel(context.Background())
	e.mux.HandleFunc("GET /v1/streams/{attempt}", e.resumeStream)
	e.mux.HandleFunc("DELETE /v1/streams/{attempt}", e.cancelStream)
	e.mux.HandleFunc("GET /v1/cache_events", e.cacheEvents)
	e.mux.HandleFunc("POST /v1/role", e.setRole)
	e.mux.HandleFunc("POST /v1/chat/completions", e.complete)
	e.mux.HandleFunc("POST /v1/completions", e.complete)
	e.mux.HandleFunc("POST /v1/load_lora_adapter", e.load)
	e.mux.HandleFunc("POST /v1/unload_lora_adapter", e.unload)
	e.mux.HandleFunc("GET /v1/load_report", e.report)
	e.mux.HandleFunc("GET /executions", e.listExecutions)
	e.mux.HandleFunc("GET /counts", func(w http.ResponseWriter, _ *http.Request) { standin.WriteJSON(w, http.StatusOK, e.Counts()) })
	e.mux.HandleFunc("PUT /faults", e.putFaults)
	e.mux.HandleFunc("POST /restart", func(http.ResponseWriter, *http.Request) { e.Restart() })
	return e
}

// ServeHTTP implements http.Handler.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	crashed := e.crashed
	e.mu.Unlock()
	if crashed && r.URL.Path != "/restart" && r.URL.Path != "/executions" && r.URL.Path != "/counts" {
		panic(http.ErrAbortHandler)
	}
	e.mux.ServeHTTP(w, r)
}

// SetFaults replaces the faults.
func (e *Engine) SetFaults(f Faults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = f
	e.calls.Set(f.Call)
}

// Restart starts a new incarnation without adapters. Running requests are
// interrupted.
func (e *Engine) Restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.crashed = false
	e.endIncarnation()
	e.incarnationCtx, e.endIncarnation = context.WithCancel(context.Background())
	e.incarnation++
	e.sequence = 0
	e.running = 0
	e.adapters = map[string]*adapter{}
	e.streams = map[string]*stream{}
	e.cache = prefixCache{}
}

// Executions returns the requests executed so far.
func (e *Engine) Executions() []Execution {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]Execution{}, e.executions...)
}

// Counts is the part of the engine's state that tests check.
type Counts struct {
	// ServingUnloads is the number of orders to unload an adapter with running
	// requests.
	ServingUnloads int `json:"serving_unloads"`
	Incarnation    int `json:"incarnation"`
	// Crashed means that the engine serves no request until it is restarted.
	Crashed bool `json:"crashed"`
}

// Counts returns the current counts.
func (e *Engine) Counts() Counts {
	e.mu.Lock()
	defer e.mu.Unlock()
	return Counts{ServingUnloads: e.servingUnloads, Incarnation: e.incarnation, Crashed: e.crashed}
}

// Running returns the number of running requests.
func (e *Engine) Running() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.running
}

func (e *Engine) listExecutions(w http.ResponseWriter, _ *http.Request) {
	standin.WriteJSON(w, http.StatusOK, e.Executions())
}

func (e *Engine) putFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.SetFaults(f)
}

// errorBody is an error in the format of vLLM.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Message string `json:"message"`
	Type    string `json:"type"`
	Code    int    `json:"code"`
}

func writeError(w http.ResponseWriter, status int, kind, message string) {
	standin.WriteJSON(w, status, errorBody{errorDetail{message, kind, status}})
}

// checkFence refuses an order with an outdated fencing number and returns false, or
// stores the order's number. mu must be held.
func (e *Engine) checkFence(w http.ResponseWriter, r *http.Request) bool {
	if !e.settings.ChecksFence {
		return true
	}
	fence, err := strconv.ParseInt(r.Header.Get(upstream.HeaderFence), 10, 64)
	if err != nil || fence < e.fence {
		writeError(w, http.StatusPreconditionFailed, "FencedError", "outdated fencing number")
		return false
	}
	e.fence = fence
	return true
}

type loraOrder struct {
	Name string `json:"lora_name"`
	Path string `json:"lora_path"`
}

func (e *Engine) load(w http.ResponseWriter, r *http.Request) {
	var order loraOrder
	if err := json.NewDecoder(r.Body).Decode(&order); err != nil || order.Name == "" {
		writeError(w, http.StatusBadRequest, "InvalidUserInput", "lora_name is missing")
		return
	}
	a, ok := e.startLoad(w, r, order)
	if !ok {
		return
	}
	readErr := e.readWeights(r, order)
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.adapters[order.Name] != a {
		writeError(w, http.StatusServiceUnavailable, "LoadError", "the engine has restarted")
		return
	}
	if readErr != nil || e.faults.FailLoads > 0 {
		e.faults.FailLoads = max(e.faults.FailLoads-1, 0)
		delete(e.adapters, order.Name)
		writeError(w, http.StatusInternalServerError, "LoadError", "the weights could not be read")
		return
	}
	a.loading = false
}

// startLoad reserves an adapter slot. It returns false if it has answered the order.
func (e *Engine) startLoad(w http.ResponseWriter, r *http.Request, order loraOrder) (*adapter, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.checkFence(w, r) {
		return nil, false
	}
	if _, held := e.adapters[order.Name]; held {
		return nil, false // already loaded or loading: an order may be repeated
	}
	if len(e.adapters) >= e.settings.AdapterSlots {
		writeError(w, http.StatusInsufficientStorage, "NoSlotError", "no free adapter slot")
		return nil, false
	}
	a := &adapter{loading: true}
	e.adapters[order.Name] = a
	return a, true
}

func (e *Engine) unload(w http.ResponseWriter, r *http.Request) {
	var order loraOrder
	if err := json.NewDecoder(r.Body).Decode(&order); err != nil {
		writeError(w, http.StatusBadRequest, "InvalidUserInput", err.Error())
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.checkFence(w, r) {
		return
	}
	if a, held := e.adapters[order.Name]; held && a.running > 0 {
		e.servingUnloads++
		writeError(w, http.StatusConflict, "InUseError", "the adapter is serving")
		return
	}
	delete(e.adapters, order.Name)
}

func (e *Engine) report(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.sequence++
	current := upstream.Report{Incarnation: strconv.Itoa(e.incarnation), Sequence: e.sequence, Running: e.running, KVFree: 1, Role: e.role}
	for name, a := range e.adapters {
		current.Adapters = append(current.Adapters, upstream.AdapterState{Name: name, Running: a.running, Loading: a.loading})
	}
	e.reports = append(e.reports, pastReport{time.Now(), current})
	for len(e.reports) > 1 && time.Since(e.reports[1].at) >= e.settings.ReportLag {
		e.reports = e.reports[1:]
	}
	standin.WriteJSON(w, http.StatusOK, e.reports[0].report)
}

type completionRequest struct {
	Model         string          `json:"model"`
	Stream        bool            `json:"stream"`
	MaxTokens     int             `json:"max_tokens"`
	Messages      json.RawMessage `json:"messages"`
	StreamOptions struct {
		IncludeUsage bool `json:"include_usage"`
	} `json:"stream_options"`
}

// answerTokens is the length of an answer, unless the request sets a lower limit.
const answerTokens = 8

func (e *Engine) complete(w http.ResponseWriter, r *http.Request) {
	raw, err := io.ReadAll(r.Body)
	var req completionRequest
	if err != nil || json.Unmarshal(raw, &req) != nil {
		writeError(w, http.StatusBadRequest, "BadRequestError", "the body is not valid")
		return
	}
	w.Header().Set(upstream.HeaderAttempt, r.Header.Get(upstream.HeaderAttempt))
	if !e.calls.Apply(standin.BeforeExecution, w) {
		return
	}
	a, ok := e.addToBatch(w, r, req, raw)
	if !ok {
		return
	}
	defer e.removeFromBatch(req.Model, a)
	r, incarnationCtx, cancel := e.withIncarnation(r)
	defer cancel()
	tokens := answerTokens
	if req.MaxTokens > 0 {
		tokens = min(tokens, req.MaxTokens)
	}
	e.calls.Apply(standin.AfterExecution, w)
	answer := &answer{engine: e, w: w, r: r, request: req, tokens: tokens, promptTokens: len(raw) / 4}
	answer.write()
	if incarnationCtx.Err() != nil {
		panic(http.ErrAbortHandler)
	}
}

// withIncarnation returns the request with a context that also ends with the engine's
// present incarnation, and the context of the incarnation itself.
func (e *Engine) withIncarnation(r *http.Request) (*http.Request, context.Context, context.CancelFunc) {
	e.mu.Lock()
	incarnationCtx := e.incarnationCtx
	e.mu.Unlock()
	ctx, cancel := context.WithCancel(r.Context())
	stop := context.AfterFunc(incarnationCtx, cancel)
	return r.WithContext(ctx), incarnationCtx, func() {
		stop()
		cancel()
	}
}

// addToBatch adds a request to the batch. It returns false if it has answered the request,
// whose adapter is not loaded.
func (e *Engine) addToBatch(w http.ResponseWriter, r *http.Request, req completionRequest, raw []byte) (*adapter, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	a, held := e.adapters[req.Model]
	if !held || a.loading {
		w.Header().Set(upstream.HeaderNotRun, "true")
		writeError(w, http.StatusNotFound, "NotFoundError", fmt.Sprintf("The model `%s` does not exist.", req.Model))
		return nil, false
	}
	e.executions = append(e.executions, Execution{
		StartedAt: time.Now(), Attempt: r.Header.Get(upstream.HeaderAttempt), Model: req.Model, Body: string(raw), Header: r.Header.Clone(),
		URL: r.URL.String(), Priority: r.Header.Get(upstream.HeaderPriority),
	})
	e.cache.add(req.Model, raw, e.faults.DropCacheEvery)
	if e.faults.Poison != "" && strings.Contains(string(raw), e.faults.Poison) {
		e.crashed = true
		e.endIncarnation()
		panic(http.ErrAbortHandler)
	}
	a.running++
	e.running++
	return a, true
}

func (e *Engine) currentFaults() Faults {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults
}

// removeFromBatch removes a request from the batch. A request of an earlier incarnation is not
// in the present batch and does not count.
func (e *Engine) removeFromBatch(model string, a *adapter) {
	e.mu.Lock()
	defer e.mu.Unlock()
	a.running--
	if e.adapters[model] == a {
		e.running--
	}
}
