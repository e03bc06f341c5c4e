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

var worldStart = time.Unix(1_000_000, 0)

// world is several schedulers on virtual time with small fakes around them.
type world struct {
	plan    plan
	random  *rand.Rand
	now     time.Time
	agenda  agenda
	count   int
	config  *record.Config
	hosts   []*simHost
	engines []*simEngine
	leases  map[string]*simLease
	budget  *simBudget
	// mutate breaks a mechanism after each event, for tests of the checkers.
	mutate     func(*Policy)
	violations map[violation]int
	// trace is told each decision, for the test that a seed gives one run.
	trace     func(host string, d Decision)
	requests  map[RequestID]*simRequest
	lastID    RequestID
	ended     map[string]int
	evictions int
	// leaving is the upstream that the records say is leaving.
	leaving string
}

// violation names a property that was broken.
type violation string

const (
	servingEvicted   violation = "an adapter in use was evicted"
	oldHolderObeyed  violation = "a fenced engine obeyed a replaced holder"
	overBudget       violation = "more loads than the budget"
	workToLeaving    violation = "new work for a leaving upstream"
	workToSilent     violation = "new work for a silent upstream"
	pastDeadline     violation = "no final decision by the deadline"
	wrongUpstream    violation = "a request on an upstream that is not for it"
	untruthfulReturn violation = "a refusal without a time to come back"
)

func (w *world) broke(v violation) { w.violations[v]++ }

// event is something that happens at a time. Events of one time keep their order.
type event struct {
	at    time.Time
	order int
	do    func()
}

type agenda []event

func (a agenda) Len() int { return len(a) }
func (a agenda) Less(i, j int) bool {
	if !a[i].at.Equal(a[j].at) {
		return a[i].at.Before(a[j].at)
	}
	return a[i].order < a[j].order
}
func (a agenda) Swap(i, j int) { a[i], a[j] = a[j], a[i] }
func (a *agenda) Push(x any)   { *a = append(*a, x.(event)) }
func (a *agenda) Pop() any {
	old := *a
	e := old[len(old)-1]
	*a = old[:len(old)-1]
	return e
}

func (w *world) after(d time.Duration, do func()) {
	w.count++
	heap.Push(&w.agenda, event{w.now.Add(d), w.count, do})
}

// every repeats until the world ends.
func (w *world) every(first, d time.Duration, do func()) {
	w.after(first, func() {
		do()
		w.every(d, d, do)
	})
}

func (w *world) run(until time.Duration) {
	end := worldStart.Add(until)
	for len(w.agenda) > 0 && !w.agenda[0].at.After(end) {
		e := heap.Pop(&w.agenda).(event)
		w.now = e.at
		e.do()
	}
}

// between returns a random duration.
func (w *world) between(low, high time.Duration) time.Duration {
	return low + time.Duration(w.random.Int64N(int64(high-low)+1))
}

// simBudget is one exact budget for all hosts.
type simBudget struct {
	world    *world
	tokens   float64
	at       time.Time
	inFlight int
	taken    int
	started  int
}

// Bounds of the fake weight store.
const (
	simLoadsPerSecond = 4.0
	simLoadBurst      = 4.0
	simLoadsInFlight  = 3
)

// hostBudget is one host's view of the budget.
type hostBudget struct {
	all  *simBudget
	host *simHost
	held int
}

func (b *hostBudget) TakeLoad(now time.Time, _ string) BudgetAnswer {
	a := b.all
	a.tokens = min(simLoadBurst, a.tokens+now.Sub(a.at).Seconds()*simLoadsPerSecond)
	a.at = now
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
		b.all.world.broke(overBudget)
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

// claim answers as the table service does: a process keeps its own lease,
// another one gets it after it has run out.
func (w *world) claim(h *simHost, c ClaimLease, sent time.Time) LeaseResult {
	r := LeaseResult{Resource: c.Resource, SentAt: sent, TTL: c.TTL}
	if w.now.Before(w.plan.outageUntil(w.now)) || h.cut {
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
		return r // the answer is lost after the write has taken effect
	}
	r.Granted, r.Fence, r.Holder = true, l.fence, h.name
	return r
}

// simEngine is a model engine.
type simEngine struct {
	world       *world
	record      *record.Upstream
	incarnation int
	dead        bool
	reachedAt   map[*simHost]time.Time
	adapters    map[record.AdapterRef]bool // true once loaded
	running     map[record.AdapterRef]int
	onWay       map[record.AdapterRef]int
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

var errSim = errors.New("the load has failed")

// obey checks the fence of an order.
func (e *simEngine) obey(o Order) bool {
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
	w := e.world
	if e.dead {
		done(errSim)
		return
	}
	if !e.obey(o) {
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
	w := e.world
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
		w.broke(overBudget)
	}
	born := e.incarnation
	w.after(w.between(100*time.Millisecond, 800*time.Millisecond), func() {
		switch {
		case e.incarnation != born:
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
	w := e.world
	if _, held := e.adapters[o.Adapter]; !held {
		return
	}
	w.evictions++
	if e.running[o.Adapter]+e.onWay[o.Adapter] > 0 {
		w.broke(servingEvicted)
		return
	}
	delete(e.adapters, o.Adapter)
}

func (e *simEngine) restart() {
	e.incarnation++
	e.dead = false
	e.adapters, e.running = map[record.AdapterRef]bool{}, map[record.AdapterRef]int{}
}

// serve runs an attempt and tells how it ended.
func (e *simEngine) serve(ref record.AdapterRef, done func(request.Outcome, bool)) {
	w := e.world
	switch ready := e.adapters[ref]; {
	case e.dead: // the connection is refused
		done(request.NotExecuted, false)
		return
	case !ready:
		done(request.NotExecuted, true)
		return
	}
	e.running[ref]++
	born := e.incarnation
	w.after(w.between(50*time.Millisecond, w.plan.MaxAnswerTime), func() {
		if e.incarnation != born {
			done(request.Lost, false)
			return
		}
		e.running[ref]--
		done(request.Completed, false)
	})
}

// deliver sends a message with the faults of the plan.
func (w *world) deliver(from *simHost, o wire.Outgoing) {
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
		w.after(w.between(time.Millisecond, w.plan.MessageDelay), func() {
			to := w.host(o.To)
			if to == nil || w.plan.parted(w.now, from.name, to.name) {
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

func (w *world) host(name string) *simHost {
	for _, h := range w.hosts {
		if h.name == name {
			return h
		}
	}
	return nil
}
