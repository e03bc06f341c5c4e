package sched

import (
	"container/heap"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/jasminelock/jasminelock/record"
	"github.com/jasminelock/jasminelock/request"
	"github.com/jasminelock/jasminelock/upstream"
	"github.com/jasminelock/jasminelock/wire"
)

var simStart = time.Unix(1_000_000, 0)

// simulation runs several schedulers on virtual time, with small fakes of the systems around
// them.
type simulation struct {
	plan       plan
	random     *rand.Rand
	now        time.Time
	events     eventQueue
	eventCount int
	config     *record.Config
	hosts      []*simHost
	engines    []*simEngine
	leases     map[string]*simLease
	budget     *simBudget
	// mutate disables a mechanism after each event, for the tests of the checkers.
	mutate     func(*Policy)
	violations map[violation]int
	// trace is called with each decision, for the test that a seed always gives the same
	// simulation.
	trace     func(host string, d Decision)
	requests  map[RequestID]*simRequest
	lastID    RequestID
	ended     map[string]int
	evictions int
	// leaving is the upstream that is marked as leaving in the configuration.
	leaving string
}

// violation is a property that was violated.
type violation string

const (
	servingEvicted         violation = "an adapter in use was evicted"
	replacedHolderExecuted violation = "an engine that checks fencing numbers executed an order of a replaced holder"
	overBudget             violation = "more loads than the budget allows"
	workToLeaving          violation = "new work for a leaving upstream"
	workWithoutReports     violation = "new work for an upstream without recent reports"
	pastDeadline           violation = "no final decision by the deadline"
	wrongUpstream          violation = "a request on an upstream that may not serve it"
	missingRetryAfter      violation = "a refusal without a Retry-After"
)

func (w *simulation) recordViolation(v violation) { w.violations[v]++ }

// event is an action that is scheduled for a time. Events at the same time run in the order in
// which they were scheduled.
type event struct {
	at       time.Time
	sequence int
	action   func()
}

type eventQueue []event

func (a eventQueue) Len() int { return len(a) }
func (a eventQueue) Less(i, j int) bool {
	if !a[i].at.Equal(a[j].at) {
		return a[i].at.Before(a[j].at)
	}
	return a[i].sequence < a[j].sequence
}
func (a eventQueue) Swap(i, j int) { a[i], a[j] = a[j], a[i] }
func (a *eventQueue) Push(x any)   { *a = append(*a, x.(event)) }
func (a *eventQueue) Pop() any {
	old := *a
	e := old[len(old)-1]
	*a = old[:len(old)-1]
	return e
}

func (w *simulation) after(delay time.Duration, action func()) {
	w.eventCount++
	heap.Push(&w.events, event{w.now.Add(delay), w.eventCount, action})
}

// every repeats an action until the simulation ends.
func (w *simulation) every(first, interval time.Duration, action func()) {
	w.after(first, func() {
		action()
		w.every(interval, interval, action)
	})
}

func (w *simulation) run(until time.Duration) {
	end := simStart.Add(until)
	for len(w.events) > 0 && !w.events[0].at.After(end) {
		e := heap.Pop(&w.events).(event)
		w.now = e.at
		e.action()
	}
}

// randomDuration returns a uniformly distributed duration from low to high, both included.
func (w *simulation) randomDuration(low, high time.Duration) time.Duration {
	return low + time.Duration(w.random.Int64N(int64(high-low)+1))
}

// simBudget is the exact load budget that all hosts share.
type simBudget struct {
	sim        *simulation
	tokens     float64
	refilledAt time.Time
	inFlight   int
	taken      int
	started    int
}

// Limits of the fake weight store.
const (
	simLoadsPerSecond = 4.0
	simLoadBurst      = 4.0
	simLoadsInFlight  = 3
)

// hostBudget is one host's view of the shared budget.
type hostBudget struct {
	all  *simBudget
	host *simHost
	held int
}

func (b *hostBudget) TakeLoad(now time.Time, _ string) BudgetAnswer {
	a := b.all
	a.tokens = min(simLoadBurst, a.tokens+now.Sub(a.refilledAt).Seconds()*simLoadsPerSecond)
	a.refilledAt = now
	if a.tokens < 1 || a.inFlight >= simLoadsInFlight {
		return BudgetRefused
	}
	a.tokens--
	a.inFlight++
	a.taken++
	b.held++
	return BudgetTaken
}

func (b *hostBudget) LoadEnded(time.Time, string) {
	if b.held == 0 {
		b.all.sim.recordViolation(overBudget)
		return
	}
	b.held--
	b.all.inFlight--
}

// simLease is a row of the lease table.
type simLease struct {
	holder  *simHost
	process int
	fence   int64
	expires time.Time
}

// claim behaves like the table service: the holding process renews its lease, another process
// gets it once it has expired.
func (w *simulation) claim(h *simHost, c ClaimLease, sent time.Time) LeaseResult {
	r := LeaseResult{Resource: c.Resource, SentAt: sent, TTL: c.TTL}
	if w.now.Before(w.plan.outageUntil(w.now)) || h.isolated {
		return r
	}
	l := w.leases[c.Resource]
	if l == nil {
		l = &simLease{}
		w.leases[c.Resource] = l
	}
	own := l.holder == h && l.process == h.process
	if !own && w.now.Before(l.expires) {
		r.Holder = l.holder.name
		return r
	}
	if !own {
		l.fence++
	}
	l.holder, l.process, l.expires = h, h.process, w.now.Add(c.TTL)
	if w.random.Float64() < w.plan.Loss {
		return r // the answer is lost although the write has taken effect
	}
	r.Granted, r.Fence, r.Holder = true, l.fence, h.name
	return r
}

// simEngine is a fake model engine.
type simEngine struct {
	sim         *simulation
	record      *record.Upstream
	incarnation int
	dead        bool
	reachedAt   map[*simHost]time.Time
	adapters    map[record.AdapterRef]bool // true if loaded, false while loading
	running     map[record.AdapterRef]int
	inTransit   map[record.AdapterRef]int
	fence       int64
}

func (e *simEngine) loading() int {
	n := 0
	for _, ready := range e.adapters {
		if !ready {
			n++
		}
	}
	return n
}

func (e *simEngine) report() upstream.Report {
	r := upstream.Report{Incarnation: fmt.Sprint(e.incarnation), Role: "mixed"}
	for ref, ready := range e.adapters {
		r.Running += e.running[ref]
		r.Adapters = append(r.Adapters, upstream.AdapterState{Name: ref.String(), Running: e.running[ref], Loading: !ready})
	}
	slices.SortFunc(r.Adapters, func(a, b upstream.AdapterState) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	return r
}

var errSim = errors.New("simulated failure of an order")

// acceptFence checks the fencing number of an order, and records it if the order is accepted.
func (e *simEngine) acceptFence(o Order) bool {
	if !e.record.ChecksFence {
		return true
	}
	if o.Fence < e.fence {
		return false
	}
	e.fence = o.Fence
	return true
}

func (e *simEngine) order(o Order, done func(error)) {
	w := e.sim
	if e.dead {
		done(errSim)
		return
	}
	if !e.acceptFence(o) {
		done(upstream.ErrFenced)
		return
	}
	switch o.Operation {
	case Load:
		e.load(o, done)
	case Unload:
		if !o.Deadline.IsZero() && w.now.After(o.Deadline) {
			done(errSim)
			return
		}
		e.unload(o)
		done(nil)
	case SetRole:
		done(nil)
	}
}

func (e *simEngine) load(o Order, done func(error)) {
	w := e.sim
	if _, held := e.adapters[o.Adapter]; held {
		done(nil)
		return
	}
	if len(e.adapters) >= e.record.AdapterSlots {
		done(upstream.ErrNoSlot)
		return
	}
	e.adapters[o.Adapter] = false
	w.budget.started++
	all := 0
	for _, other := range w.engines {
		all += other.loading()
	}
	if w.budget.started > w.budget.taken || all > simLoadsInFlight {
		w.recordViolation(overBudget)
	}
	atStart := e.incarnation
	w.after(w.randomDuration(100*time.Millisecond, 800*time.Millisecond), func() {
		switch {
		case e.incarnation != atStart:
			done(errSim)
		case w.random.Float64() < w.plan.LoadFailures:
			delete(e.adapters, o.Adapter)
			done(errSim)
		default:
			e.adapters[o.Adapter] = true
			done(nil)
		}
	})
}

func (e *simEngine) unload(o Order) {
	w := e.sim
	if _, held := e.adapters[o.Adapter]; !held {
		return
	}
	w.evictions++
	if e.running[o.Adapter]+e.inTransit[o.Adapter] > 0 {
		w.recordViolation(servingEvicted)
		return
	}
	delete(e.adapters, o.Adapter)
}

func (e *simEngine) restart() {
	e.incarnation++
	e.dead = false
	e.adapters, e.running = map[record.AdapterRef]bool{}, map[record.AdapterRef]int{}
}

// serve runs an attempt and calls done with its outcome and whether the adapter was not
// loaded.
func (e *simEngine) serve(ref record.AdapterRef, done func(request.Outcome, bool)) {
	w := e.sim
	switch ready := e.adapters[ref]; {
	case e.dead: // the connection is refused
		done(request.NotExecuted, false)
		return
	case !ready:
		done(request.NotExecuted, true)
		return
	}
	e.running[ref]++
	atStart := e.incarnation
	w.after(w.randomDuration(50*time.Millisecond, w.plan.MaxAnswerTime), func() {
		if e.incarnation != atStart {
			done(request.Lost, false)
			return
		}
		e.running[ref]--
		done(request.Completed, false)
	})
}

// deliver sends a message, with the losses, duplicates and delays of the plan.
func (w *simulation) deliver(from *simHost, o wire.Outgoing) {
	raw, err := wire.Encode(o.Message)
	if err != nil {
		panic(err)
	}
	copies := 1
	if w.random.Float64() < w.plan.Loss {
		copies = 0
	} else if w.random.Float64() < w.plan.Duplicates {
		copies = 2
	}
	for range copies {
		w.after(w.randomDuration(time.Millisecond, w.plan.MessageDelay), func() {
			to := w.host(o.To)
			if to == nil || w.plan.partitioned(w.now, from.name, to.name) {
				return
			}
			m, err := wire.Decode(raw)
			if err != nil {
				panic(err)
			}
			to.handle(to.process, func(p *Policy) []Decision { return p.Receive(w.now, from.name, m) })
		})
	}
}

func (w *simulation) host(name string) *simHost {
	for _, h := range w.hosts {
		if h.name == name {
			return h
		}
	}
	return nil
}
