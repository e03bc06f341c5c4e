package assign

import (
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jasminelock/jasminelock/catalog"
)

// simEngine is an engine as the protocol describes it: it counts the orders that
// it accepts, refuses those that expect another count, and crashes when it is
// ordered to hold more adapters than it has slots.
type simEngine struct {
	id       string
	slots    int
	sequence int64
	fence    int64
	held     map[string]int64
	coming   map[string]time.Time
	versions map[string]int64
	warm     map[string]bool
	running  map[string]int
	// leaving adapters are dropped once nothing runs on them.
	leaving map[string]bool
	// readUntil is when the prompts given so far have been read.
	readUntil time.Time
	// readSince is when it last began to read after a rest, longAt when the streams
	// that it ran were last kept waiting for longer than the world's longestPause.
	readSince, longAt time.Time
	broke             string
	// history holds what reports say, which lag behind.
	history []simReport
}

type simReport struct {
	at     time.Time
	report Report
}

func newSimEngine(id string, slots int) *simEngine {
	return &simEngine{
		id: id, slots: slots, held: map[string]int64{}, coming: map[string]time.Time{}, versions: map[string]int64{},
		warm: map[string]bool{}, running: map[string]int{}, leaving: map[string]bool{},
	}
}

// arrive lets loads end whose time has come.
func (e *simEngine) arrive(now time.Time) {
	for name, at := range e.coming {
		if !now.Before(at) {
			e.held[name] = max(e.versions[name], 1)
			delete(e.coming, name)
		}
	}
	for name := range e.leaving {
		if e.running[name] == 0 {
			e.drop(name)
		}
	}
}

func (e *simEngine) drop(name string) {
	delete(e.held, name)
	delete(e.leaving, name)
	e.warm[name] = true
}

// order takes an order and returns the engine's answer.
func (e *simEngine) order(now time.Time, o Order) OrderResult {
	e.arrive(now)
	name := o.Adapter.Adapter
	if o.Fence < e.fence {
		return OrderFenced
	}
	e.fence = o.Fence
	if _, under := e.coming[name]; under && !o.Evict {
		return OrderAccepted // it is being carried out, and not counted again
	}
	if o.Evict && e.leaving[name] {
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
			e.leaving[name] = true
			e.remember(now)
			return OrderAccepted
		}
		e.drop(name)
		e.remember(now)
		return OrderSatisfied
	}
	took := 330 * time.Millisecond
	if e.warm[name] {
		took = 25 * time.Millisecond
	}
	e.versions[name] = o.Version
	e.coming[name] = now.Add(took)
	if len(e.held)+len(e.coming) > e.slots {
		e.broke = "ordered to hold " + strconv.Itoa(len(e.held)+len(e.coming)) + " adapters"
	}
	e.remember(now)
	return OrderAccepted
}

// remember keeps the engine's state for the reports to come.
func (e *simEngine) remember(now time.Time) {
	e.history = append(e.history, simReport{now, e.state()})
}

func (e *simEngine) state() Report {
	r := Report{Sequence: e.sequence}
	l := catalog.LoadedModel{Model: "m"}
	for name, v := range e.held {
		l.Adapters = append(l.Adapters, catalog.LoadedAdapter{Name: name, Version: v})
	}
	c := catalog.LoadedModel{Model: "m"}
	for name := range e.coming {
		c.Adapters = append(c.Adapters, catalog.LoadedAdapter{Name: name, Version: e.versions[name]})
	}
	r.Loaded, r.Loading = []catalog.LoadedModel{l}, []catalog.LoadedModel{c}
	return r
}

// report returns the state as of 200 ms ago.
func (e *simEngine) report(now time.Time) *Report {
	e.arrive(now)
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

// world drives one Assigner after another against simulated engines in virtual
// time.
type world struct {
	t        *testing.T
	random   *rand.Rand
	now      time.Time
	assigner *Assigner
	engines  map[string]*simEngine
	records  map[string]*catalog.Upstream
	config   *catalog.Config
	events   []timed
	granted  map[RequestID]Grant
	adapter  map[RequestID]string
	refused  map[RequestID]Refuse
	asked    map[RequestID]time.Time
	waits    []time.Duration
	fence    int64
	// lost is the share of orders that get no answer; half of them are carried
	// out, seconds later.
	lost     float64
	loads    int
	versions catalog.Versions
	// crossed is the share of orders that are answered with the answer to the order
	// before, which lastAnswer holds for each engine.
	crossed    float64
	lastAnswer map[string]OrderResult
	// longestPause is how long an engine may read without a rest before its streams
	// are late, 0 for ever. pauses counts how streams came of late.
	longestPause time.Duration
	pauses       map[EventGaps]int
	// inUse counts the orders to drop an adapter that requests ran on.
	inUse int
}

type timed struct {
	at time.Time
	do func()
}

const simModel = "m"

// simEvent is how long an engine that reads nothing takes to make an event.
const simEvent = 30 * time.Millisecond

// simNoAdapter is what a request to a plain service asks for.
var simNoAdapter catalog.AdapterRef

func newWorld(t *testing.T, seed uint64, engines, slots int) *world {
	w := &world{
		t: t, random: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1_000_000, 0), engines: map[string]*simEngine{},
		records: map[string]*catalog.Upstream{}, granted: map[RequestID]Grant{}, adapter: map[RequestID]string{},
		refused: map[RequestID]Refuse{}, asked: map[RequestID]time.Time{}, lastAnswer: map[string]OrderResult{}, versions: catalog.Versions{},
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
	w.lead()
	return w
}

// lead starts an Assigner that knows nothing, as a new lead is.
func (w *world) lead() { w.leadHolding(0) }

// leadHolding starts one that drops no adapter for a while.
func (w *world) leadHolding(d time.Duration) {
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

func (w *world) at(d time.Duration, do func()) { w.events = append(w.events, timed{w.now.Add(d), do}) }

// handle brings an event to the Assigner and carries its decisions out.
func (w *world) handle(ev Event) {
	a := w.assigner
	for _, d := range a.Handle(w.now, ev) {
		switch d := d.(type) {
		case Grant:
			w.grant(d)
		case Refuse:
			w.refused[d.ID] = d
		case Order:
			w.order(a, d)
		case ReadReport:
			w.at(3*time.Millisecond, func() {
				if a == w.assigner {
					w.handle(ReportReceived{Upstream: d.Upstream.ID, StartedAt: 1, Report: w.engines[d.Upstream.ID].report(w.now)})
				}
			})
		}
	}
}

func (w *world) grant(g Grant) {
	w.granted[g.ID] = g
	if at, ok := w.asked[g.ID]; ok {
		w.waits = append(w.waits, w.now.Sub(at))
	}
	name := w.adapter[g.ID]
	if name == "" {
		return
	}
	e := w.engines[g.Upstream]
	e.arrive(w.now)
	if _, held := e.held[name]; !held || e.leaving[name] {
		a := w.assigner
		w.at(2*time.Millisecond, func() {
			if a == w.assigner {
				w.handle(AttemptEnded{ID: g.ID, Outcome: NotLoaded})
			}
		})
		return
	}
	e.running[name]++
	a := w.assigner
	const reading = 80 * time.Millisecond
	if e.readUntil.Add(simEvent).Before(w.now) {
		e.readSince = w.now
	}
	if e.readUntil.Before(w.now) {
		e.readUntil = w.now
	}
	e.readUntil = e.readUntil.Add(reading)
	if w.longestPause > 0 && e.readUntil.Sub(e.readSince) > w.longestPause {
		e.longAt = e.readUntil
	}
	began := e.readUntil
	w.at(e.readUntil.Sub(w.now), func() {
		if a == w.assigner {
			w.handle(FirstByteReceived{ID: g.ID})
		}
	})
	w.at(e.readUntil.Sub(w.now)+300*time.Millisecond, func() {
		e.running[name]--
		pauses := EventGapsUnknown
		if w.longestPause > 0 {
			pauses = EventGapsWithinLimit
			if e.longAt.After(began) {
				pauses = EventGapsOverLimit
			}
			w.pauses[pauses]++
		}
		if a == w.assigner {
			w.handle(AttemptEnded{ID: g.ID, Outcome: Completed, EventGaps: pauses})
		}
	})
}

// order has an engine answer, or loses the answer and perhaps the order.
func (w *world) order(a *Assigner, o Order) {
	e := w.engines[o.Upstream.ID]
	if !o.Evict {
		w.loads++
	}
	if w.random.Float64() < w.lost {
		if w.random.Float64() < 0.5 {
			w.at(2*time.Second+time.Duration(w.random.Int64N(int64(8*time.Second))), func() { e.order(w.now, o) })
		}
		w.answer(a, o, OrderUnanswered, 150*time.Millisecond)
		return
	}
	w.at(time.Millisecond, func() {
		if o.Evict && e.running[o.Adapter.Adapter] > 0 && !e.leaving[o.Adapter.Adapter] {
			w.inUse++
		}
		result := e.order(w.now, o)
		if last, ok := w.lastAnswer[e.id]; ok && w.crossed > 0 && w.random.Float64() < w.crossed {
			result, w.lastAnswer[e.id] = last, result
		} else if w.crossed > 0 {
			w.lastAnswer[e.id] = result
		}
		w.answer(a, o, result, time.Millisecond)
	})
}

func (w *world) answer(a *Assigner, o Order, r OrderResult, after time.Duration) {
	w.at(after, func() {
		if a == w.assigner {
			w.handle(OrderEnded{Upstream: o.Upstream.ID, StartedAt: 1, Order: o.Number, Result: r})
		}
	})
}

// ask asks for an upstream for an adapter.
func (w *world) ask(number uint64, adapter string, change ...func(*Request)) RequestID {
	r := Request{
		ID: RequestID{"h", number}, Service: "s", Organisation: "free",
		Adapter: catalog.AdapterRef{Model: simModel, Adapter: adapter}, PromptTokens: 2000, OutputTokens: 100,
		Arrived: w.now, Target: w.now.Add(800 * time.Millisecond), Deadline: w.now.Add(4 * time.Second),
	}
	for _, f := range change {
		f(&r)
	}
	w.adapter[r.ID], w.asked[r.ID] = adapter, w.now
	w.handle(RequestSubmitted{r})
	return r.ID
}

// run lets time pass in steps of a millisecond.
func (w *world) run(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); {
		w.now = w.now.Add(time.Millisecond)
		due := w.events[:0:0]
		var rest []timed
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
			require.Empty(w.t, e.broke, "engine %s at %s", e.id, w.now)
		}
	}
}
