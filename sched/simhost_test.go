package sched

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/jasminelock/jasminelock/apierr"
	"github.com/jasminelock/jasminelock/record"
	"github.com/jasminelock/jasminelock/request"
)

// simHost is one simulated host: a scheduler and its failure state.
type simHost struct {
	sim     *simulation
	name    string
	policy  *Policy
	budget  *hostBudget
	process int
	dead    bool
	paused  bool
	// An isolated host reaches neither the platform nor other hosts. In production such a host
	// soon stops serving, which the rest of the system ensures.
	isolated bool
	deferred []func()
	// leaving is the upstream that the host knows to be leaving, leavingSince the time at
	// which the host was notified of that.
	leaving      string
	leavingSince time.Time
	absentSince  time.Time
	readInFlight map[*simEngine]bool
}

// simRequest is a caller's request.
type simRequest struct {
	request  Request
	host     *simHost
	process  int
	waiting  bool
	attempts int
}

// start starts a new process on the host.
func (h *simHost) start() {
	w := h.sim
	h.process++
	h.dead, h.paused, h.deferred = false, false, nil
	h.readInFlight = map[*simEngine]bool{}
	h.budget = &hostBudget{all: w.budget, host: h}
	h.policy = New(Options{Host: h.name, Zone: "z1", Random: rand.New(rand.NewPCG(w.plan.Seed, uint64(h.process)))})
	h.policy.SetBudget(h.budget)
	h.leaving, h.leavingSince = w.leaving, w.now
	process := h.process
	h.handle(process, func(p *Policy) []Decision { return p.Configure(w.now, w.config) })
}

func (h *simHost) kill() {
	w := h.sim
	h.dead = true
	h.absentSince = w.now
	held := h.budget.held
	// The budget held by a dead host is released once its loads must have ended.
	w.after(maxLoadTime, func() { w.budget.inFlight -= held })
	for _, r := range w.requests {
		if r.host == h && r.process == h.process {
			delete(w.requests, r.request.ID)
		}
	}
}

// handle delivers an event to a process. A paused host handles it after it has resumed.
func (h *simHost) handle(process int, apply func(*Policy) []Decision) {
	if h.dead || process != h.process {
		return
	}
	if h.paused {
		h.deferred = append(h.deferred, func() { h.handle(process, apply) })
		return
	}
	decisions := apply(h.policy)
	if h.sim.mutate != nil {
		h.sim.mutate(h.policy)
	}
	for _, d := range decisions {
		if h.sim.trace != nil {
			h.sim.trace(h.name, d)
		}
		h.execute(process, d)
	}
}

func (h *simHost) resume() {
	h.paused = false
	deferred := h.deferred
	h.deferred = nil
	for _, deliver := range deferred {
		deliver()
	}
}

func (h *simHost) execute(process int, d Decision) {
	w := h.sim
	switch d := d.(type) {
	case Dispatch:
		h.dispatch(process, d)
	case Drop:
		h.drop(d)
	case Order:
		h.order(process, d)
	case Send:
		if !h.isolated {
			w.deliver(h, d.Outgoing)
		}
	case ClaimLease:
		sent := w.now
		w.after(w.randomDuration(5*time.Millisecond, 300*time.Millisecond), func() {
			r := w.claim(h, d, sent)
			w.after(w.randomDuration(5*time.Millisecond, 300*time.Millisecond), func() {
				h.handle(process, func(p *Policy) []Decision { return p.LeaseUpdated(w.now, r) })
			})
		})
	}
}

func (h *simHost) drop(d Drop) {
	w := h.sim
	r := w.requests[d.ID]
	if r == nil {
		return
	}
	delete(w.requests, d.ID)
	w.ended[d.Err.Kind.String()]++
	if d.Err.RetryAfter <= 0 {
		w.recordViolation(missingRetryAfter)
	}
	if d.Err.Kind == apierr.QueueFull && len(h.policy.waiting) < queueLimit-1 {
		w.recordViolation(missingRetryAfter)
	}
}

func (h *simHost) dispatch(process int, d Dispatch) {
	w := h.sim
	r := w.requests[d.ID]
	e := w.engine(d.Upstream)
	if r == nil || e == nil {
		return
	}
	r.waiting = false
	if r.request.Model != e.record.Model || slices.Contains(r.request.Avoid, d.Upstream) {
		w.recordViolation(wrongUpstream)
	}
	if h.leaving == d.Upstream && w.now.Sub(h.leavingSince) > reportMaxAge {
		w.recordViolation(workToLeaving)
	}
	if w.now.Sub(e.reachedAt[h]) > reportMaxAge {
		w.recordViolation(workWithoutReports)
	}
	ref := r.request.Adapter
	e.inTransit[ref]++
	w.after(w.randomDuration(time.Millisecond, maxTransitTime-100*time.Millisecond), func() {
		e.inTransit[ref]--
		e.serve(ref, func(o request.Outcome, notLoaded bool) {
			w.after(time.Millisecond, func() { h.ended(process, r, d.Upstream, o, notLoaded) })
		})
	})
}

// ended ends an attempt. A request that was not executed is enqueued again, as package core
// does.
func (h *simHost) ended(process int, r *simRequest, name string, o request.Outcome, notLoaded bool) {
	w := h.sim
	h.handle(process, func(p *Policy) []Decision {
		out := p.AttemptEnded(w.now, AttemptEnd{
			ID: r.request.ID, Upstream: name, Outcome: o, NotLoaded: notLoaded, FirstToken: 50 * time.Millisecond,
		})
		r.attempts++
		if o != request.NotExecuted || r.attempts >= 3 || !w.now.Before(r.request.Deadline) {
			delete(w.requests, r.request.ID)
			w.ended[o.String()]++
			return out
		}
		if !notLoaded {
			r.request.Avoid = append(r.request.Avoid, name)
		}
		r.waiting = true
		return append(out, p.Enqueue(w.now, r.request)...)
	})
}

func (h *simHost) order(process int, o Order) {
	w := h.sim
	e := w.engine(o.Upstream)
	done := func(err error) {
		w.after(w.randomDuration(time.Millisecond, 20*time.Millisecond), func() {
			h.handle(process, func(p *Policy) []Decision { return p.OrderEnded(w.now, OrderEnd{ID: o.ID, Err: err}) })
		})
	}
	if e == nil {
		done(errSim)
		return
	}
	slowest := 200 * time.Millisecond
	if w.plan.SlowOrders {
		slowest = evictionTimeout - 50*time.Millisecond
	}
	w.after(w.randomDuration(time.Millisecond, slowest), func() {
		replaced := false
		if l := w.leases[leaseResource(e.record)]; l != nil && e.fence > o.Fence {
			replaced = true
		}
		before := len(e.adapters)
		e.order(o, done)
		if replaced && e.record.ChecksFence && len(e.adapters) != before {
			w.recordViolation(replacedHolderExecuted)
		}
	})
}

// readReports starts a report read of each engine that has none in flight.
func (h *simHost) readReports() {
	w := h.sim
	process := h.process
	if h.dead || h.paused {
		return
	}
	for _, e := range w.engines {
		if h.readInFlight[e] {
			continue
		}
		h.readInFlight[e] = true
		report, dead := e.report(), e.dead
		w.after(w.randomDuration(time.Millisecond, 600*time.Millisecond), func() {
			if process == h.process {
				h.readInFlight[e] = false
			}
			h.handle(process, func(p *Policy) []Decision {
				if dead {
					return p.Unreachable(w.now, e.record.Name)
				}
				e.reachedAt[h] = w.now
				return p.LoadReported(w.now, e.record.Name, report)
			})
		})
	}
}

// arrive submits a new random request to the host.
func (h *simHost) arrive() {
	w := h.sim
	if h.dead || h.isolated {
		return
	}
	w.lastID++
	r := &simRequest{host: h, process: h.process, waiting: true}
	r.request = Request{
		ID: w.lastID, Organisation: fmt.Sprintf("org-%d", w.random.IntN(3)), Model: "m",
		Adapter: simAdapter(w.random.IntN(w.plan.Adapters)), Priority: record.Priority(w.random.IntN(2)),
		Tokens: 100, Prefix: w.random.Uint64N(20), Deadline: w.now.Add(w.randomDuration(2*time.Second, 12*time.Second)),
	}
	w.requests[r.request.ID] = r
	h.handle(h.process, func(p *Policy) []Decision { return p.Enqueue(w.now, r.request) })
}

// checkDeadlines records requests that have had no final decision by their deadline. A paused
// host makes its decisions after it has resumed.
func (w *simulation) checkDeadlines() {
	for id, r := range w.requests {
		if r.waiting && !r.host.paused && w.now.Sub(r.request.Deadline) > simTick &&
			w.now.Sub(r.host.policy.lastEventAt) <= simTick {
			w.recordViolation(pastDeadline)
			delete(w.requests, id)
		}
	}
}

func (w *simulation) engine(name string) *simEngine {
	for _, e := range w.engines {
		if e.record.Name == name {
			return e
		}
	}
	return nil
}

func simAdapter(i int) record.AdapterRef {
	return record.AdapterRef{Name: fmt.Sprintf("a%d", i), Version: "1"}
}
