package assign

import (
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jasminelock/jasminelock/catalog"
)

// simEngine simulates an engine according to the protocol: it counts accepted orders, rejects orders with another
// sequence number, and reports a fault if it is ordered to hold more adapters than it has slots.
type simEngine struct {
	id       string
	slots    int
	sequence int64
	fence    int64
	held     map[string]int64
	loading  map[string]time.Time
	versions map[string]int64
	warm     map[string]bool
	running  map[string]int
	// evicting holds the adapters that are dropped once no request uses them.
	evicting map[string]bool
	// prefillUntil is the time at which the prefill of all assigned prompts ends.
	prefillUntil time.Time
	// burstStart is the start of the present prefill burst. delayedAt is the last time at which the engine's
	// streams waited for longer than the simulation's maxPrefillBurst.
	burstStart, delayedAt time.Time
	fault                 string
	// history holds past states, since reports lag behind.
	history []simReport
}

type simReport struct {
	at     time.Time
	report Report
}

func newSimEngine(id string, slots int) *simEngine {
	return &simEngine{
		id: id, slots: slots, held: map[string]int64{}, loading: map[string]time.Time{}, versions: map[string]int64{},
		warm: map[string]bool{}, running: map[string]int{}, evicting: map[string]bool{},
	}
}

// update completes the loads and evictions that are due.
func (e *simEngine) update(now time.Time) {
	for name, at := range e.loading {
		if !now.Before(at) {
			e.held[name] = max(e.versions[name], 1)
			delete(e.loading, name)
		}
	}
	for name := range e.evicting {
		if e.running[name] == 0 {
			e.drop(name)
		}
	}
}

func (e *simEngine) drop(name string) {
	delete(e.held, name)
	delete(e.evicting, name)
	e.warm[name] = true
}

// handleOrder handles an order and returns the engine's answer.
func (e *simEngine) handleOrder(now time.Time, o Order) OrderResult {
	e.update(now)
	name := o.Adapter.Adapter
	if o.Fence < e.fence {
		return OrderFenced
	}
	e.fence = o.Fence
	if _, under := e.loading[name]; under && !o.Evict {
		return OrderAccepted // in progress, not counted again
	}
	if o.Evict && e.evicting[name] {
		return OrderAccepted
	}
	if o.Sequence != e.sequence {
		return OrderConflict
	}
	version, held := e.held[name]
	if !o.Evict && held && (o.Version == 0 || o.Version == version) {
		return OrderSatisfied
	}
	e.sequence++
	if o.Evict {
		if held && e.running[name] > 0 {
			e.evicting[name] = true
			e.recordState(now)
			return OrderAccepted
		}
		e.drop(name)
		e.recordState(now)
		return OrderSatisfied
	}
	took := 330 * time.Millisecond
	if e.warm[name] {
		took = 25 * time.Millisecond
	}
	e.versions[name] = o.Version
	e.loading[name] = now.Add(took)
	if len(e.held)+len(e.loading) > e.slots {
		e.fault = "ordered to hold " + strconv.Itoa(len(e.held)+len(e.loading)) + " adapters"
	}
	e.recordState(now)
	return OrderAccepted
}

// recordState saves the engine's state for later reports.
func (e *simEngine) recordState(now time.Time) {
	e.history = append(e.history, simReport{now, e.state()})
}

func (e *simEngine) state() Report {
	r := Report{Sequence: e.sequence}
	l := catalog.LoadedModel{Model: "m"}
	for name, v := range e.held {
		l.Adapters = append(l.Adapters, catalog.LoadedAdapter{Name: name, Version: v})
	}
	c := catalog.LoadedModel{Model: "m"}
	for name := range e.loading {
		c.Adapters = append(c.Adapters, catalog.LoadedAdapter{Name: name, Version: e.versions[name]})
	}
	r.Loaded, r.Loading = []catalog.LoadedModel{l}, []catalog.LoadedModel{c}
	return r
}

// report returns the state as of 200 ms ago.
func (e *simEngine) report(now time.Time) *Report {
	e.update(now)
	if len(e.history) == 0 {
		r := e.state()
		return &r
	}
	out := Report{Loaded: []catalog.LoadedModel{{Model: "m"}}}
	for _, h := range e.history {
		if now.Sub(h.at) < 200*time.Millisecond {
			break
		}
		out = h.report
	}
	return &out
}

// simulation drives a succession of Assigners against simulated engines in virtual time.
type simulation struct {
	t           *testing.T
	random      *rand.Rand
	now         time.Time
	assigner    *Assigner
	engines     map[string]*simEngine
	records     map[string]*catalog.Upstream
	config      *catalog.Config
	events      []timedEvent
	granted     map[RequestID]Grant
	adapters    map[RequestID]string
	refused     map[RequestID]Refuse
	submittedAt map[RequestID]time.Time
	waits       []time.Duration
	fence       int64
	// lostOrders is the fraction of orders without an answer. Half of them are carried out, seconds later.
	lostOrders float64
	loads      int
	versions   catalog.Versions
	// swappedAnswers is the fraction of orders that receive the answer to the previous order of the engine, which
	// is kept in lastAnswer.
	swappedAnswers float64
	lastAnswer     map[string]OrderResult
	// maxPrefillBurst is the time for which an engine may prefill before its streams are late, 0 for no limit.
	// eventGaps counts the finished streams by their gaps.
	maxPrefillBurst time.Duration
	eventGaps       map[EventGaps]int
	// evictsInUse counts the orders to drop an adapter that running requests used.
	evictsInUse int
	// prefillOfTokens makes the prefill time of a request depend on its prompt; promptTokens holds the prompts.
	prefillOfTokens bool
	promptTokens    map[RequestID]int
	// hidesCost makes all prompts look alike to the Assigner.
	hidesCost bool
}

type timedEvent struct {
	at time.Time
	do func()
}

const simModel = "m"

// simEventTime is the time that an engine without prefill work takes to produce an event.
const simEventTime = 30 * time.Millisecond

// simNoAdapter is the adapter of a request to a plain service.
var simNoAdapter catalog.AdapterRef

func newSimulation(t *testing.T, seed uint64, engines, slots int) *simulation {
	w := &simulation{
		t: t, random: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1_000_000, 0), engines: map[string]*simEngine{},
		records: map[string]*catalog.Upstream{}, granted: map[RequestID]Grant{}, adapters: map[RequestID]string{},
		refused: map[RequestID]Refuse{}, submittedAt: map[RequestID]time.Time{}, lastAnswer: map[string]OrderResult{}, versions: catalog.Versions{},
		promptTokens: map[RequestID]int{},
	}
	w.config = catalog.NewConfig(catalog.ConfigParts{
		Version: 1,
		Services: []catalog.Service{{Name: "s", Engine: &catalog.Engine{
			BatchSize: 64, CacheTokens: 150_000, AdapterSlots: slots, WeightsMB: 100,
			Models: []catalog.Model{{Name: simModel, WeightsMB: 50, AdapterCount: 100}},
		}}, {Name: "plain"}},
		Organisations: []catalog.Organisation{{Name: "o", TokensPerSecond: 1000, BurstTokens: 1000}, {Name: "free"}},
	})
	for i := range engines {
		id := "e" + strconv.Itoa(i)
		w.engines[id] = newSimEngine(id, slots)
		w.records[id] = &catalog.Upstream{
			ID: id, StartedAt: 1, Service: "s", Address: "10.0.0.1:1", Zone: "z", Slots: 64,
			Loaded: []catalog.LoadedModel{{Model: simModel}},
		}
	}
	w.startLeader()
	return w
}

// startLeader starts an Assigner without state, like that of a new leader.
func (w *simulation) startLeader() { w.startLeaderHoldingEvictions(0) }

// startLeaderHoldingEvictions starts a leader's Assigner that evicts no adapter for the given time.
func (w *simulation) startLeaderHoldingEvictions(d time.Duration) {
	w.fence++
	o := Options{SendsOrders: true, Fence: w.fence, Share: 1, Random: w.random, Limits: simLimits}
	if d > 0 {
		o.HoldEvictions = w.now.Add(d)
	}
	w.assigner = New(o)
	w.handle(ConfigUpdated{w.config})
	w.handle(VersionsUpdated{w.versions})
	w.handle(UpstreamsUpdated{w.records})
}

var simLimits = Limits{RetryRatio: 0.2, RetrySlack: 50, RateWindow: 8 * time.Second, RateTolerance: 0.1, RateSlackTokens: 1000}

func (w *simulation) schedule(d time.Duration, do func()) {
	w.events = append(w.events, timedEvent{w.now.Add(d), do})
}

// handle passes an event to the Assigner and carries out its decisions.
func (w *simulation) handle(ev Event) {
	a := w.assigner
	for _, d := range a.Handle(w.now, ev) {
		switch d := d.(type) {
		case Grant:
			w.grant(d)
		case Refuse:
			w.refused[d.ID] = d
		case Order:
			w.carryOut(a, d)
		case ReadReport:
			w.schedule(3*time.Millisecond, func() {
				if a == w.assigner {
					w.handle(ReportReceived{Upstream: d.Upstream.ID, StartedAt: 1, Report: w.engines[d.Upstream.ID].report(w.now)})
				}
			})
		}
	}
}

func (w *simulation) grant(g Grant) {
	w.granted[g.ID] = g
	if at, ok := w.submittedAt[g.ID]; ok {
		w.waits = append(w.waits, w.now.Sub(at))
	}
	name := w.adapters[g.ID]
	if name == "" {
		return
	}
	e := w.engines[g.Upstream]
	e.update(w.now)
	if _, held := e.held[name]; !held || e.evicting[name] {
		a := w.assigner
		w.schedule(2*time.Millisecond, func() {
			if a == w.assigner {
				w.handle(AttemptEnded{ID: g.ID, Outcome: NotLoaded})
			}
		})
		return
	}
	e.running[name]++
	a := w.assigner
	prefillTime := 80 * time.Millisecond
	if w.prefillOfTokens {
		prefillTime = time.Duration(w.promptTokens[g.ID]) * assumedPrefillPerToken
	}
	if e.prefillUntil.Add(simEventTime).Before(w.now) {
		e.burstStart = w.now
	}
	if e.prefillUntil.Before(w.now) {
		e.prefillUntil = w.now
	}
	e.prefillUntil = e.prefillUntil.Add(prefillTime)
	if w.maxPrefillBurst > 0 && e.prefillUntil.Sub(e.burstStart) > w.maxPrefillBurst {
		e.delayedAt = e.prefillUntil
	}
	firstByteAt := e.prefillUntil
	w.schedule(e.prefillUntil.Sub(w.now), func() {
		if a == w.assigner {
			w.handle(FirstByteReceived{ID: g.ID})
		}
	})
	w.schedule(e.prefillUntil.Sub(w.now)+300*time.Millisecond, func() {
		e.running[name]--
		gaps := EventGapsUnknown
		if w.maxPrefillBurst > 0 {
			gaps = EventGapsWithinLimit
			if e.delayedAt.After(firstByteAt) {
				gaps = EventGapsOverLimit
			}
			w.eventGaps[gaps]++
		}
		if a == w.assigner {
			w.handle(AttemptEnded{ID: g.ID, Outcome: Completed, EventGaps: gaps})
		}
	})
}

// carryOut has an engine handle an order, or loses the answer and possibly the order.
func (w *simulation) carryOut(a *Assigner, o Order) {
	e := w.engines[o.Upstream.ID]
	if !o.Evict {
		w.loads++
	}
	if w.random.Float64() < w.lostOrders {
		if w.random.Float64() < 0.5 {
			w.schedule(2*time.Second+time.Duration(w.random.Int64N(int64(8*time.Second))), func() { e.handleOrder(w.now, o) })
		}
		w.answer(a, o, OrderUnanswered, 150*time.Millisecond)
		return
	}
	w.schedule(time.Millisecond, func() {
		if o.Evict && e.running[o.Adapter.Adapter] > 0 && !e.evicting[o.Adapter.Adapter] {
			w.evictsInUse++
		}
		result := e.handleOrder(w.now, o)
		if last, ok := w.lastAnswer[e.id]; ok && w.swappedAnswers > 0 && w.random.Float64() < w.swappedAnswers {
			result, w.lastAnswer[e.id] = last, result
		} else if w.swappedAnswers > 0 {
			w.lastAnswer[e.id] = result
		}
		w.answer(a, o, result, time.Millisecond)
	})
}

func (w *simulation) answer(a *Assigner, o Order, r OrderResult, after time.Duration) {
	w.schedule(after, func() {
		if a == w.assigner {
			w.handle(OrderEnded{Upstream: o.Upstream.ID, StartedAt: 1, Order: o.Number, Result: r})
		}
	})
}

// submit submits a request for an adapter.
func (w *simulation) submit(number uint64, adapter string, change ...func(*Request)) RequestID {
	r := Request{
		ID: RequestID{"h", number}, Service: "s", Organisation: "free",
		Adapter: catalog.AdapterRef{Model: simModel, Adapter: adapter}, PromptTokens: 2000, OutputTokens: 100,
		Arrived: w.now, Target: w.now.Add(800 * time.Millisecond), Deadline: w.now.Add(4 * time.Second),
	}
	for _, f := range change {
		f(&r)
	}
	w.adapters[r.ID], w.submittedAt[r.ID], w.promptTokens[r.ID] = adapter, w.now, r.PromptTokens
	if w.hidesCost {
		r.PromptTokens = 2000
	}
	w.handle(RequestSubmitted{r})
	return r.ID
}

// run advances the time in steps of one millisecond.
func (w *simulation) run(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); {
		w.now = w.now.Add(time.Millisecond)
		due := w.events[:0:0]
		var rest []timedEvent
		for _, e := range w.events {
			if e.at.After(w.now) {
				rest = append(rest, e)
			} else {
				due = append(due, e)
			}
		}
		w.events = rest
		for _, e := range due {
			e.do()
		}
		if at, ok := w.assigner.NextWakeup(w.now); ok && !at.After(w.now) {
			w.handle(Tick{})
		}
		for _, e := range w.engines {
			require.Empty(w.t, e.fault, "engine %s at %s", e.id, w.now)
		}
	}
}
