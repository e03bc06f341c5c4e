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

// simHost is one host: a scheduler, and how it can fail.
type simHost struct {
	world   *world
	name    string
	policy  *Policy
	budget  *hostBudget
	process int
	dead    bool
	paused  bool
	// cut hosts reach neither the platform nor other hosts. As the rest of the
	// system sees to, they soon serve nobody.
	cut    bool
	missed []func()
	// leaving is the upstream that the host was told is leaving, at the time told.
	leaving  string
	told     time.Time
	absentAt time.Time
	reading  map[*simEngine]bool
}

// simRequest is a caller's request.
type simRequest struct {
	request Request
	host    *simHost
	process int
	waiting bool
	tries   int
}

// start starts a new process on the host.
func (h *simHost) start() {
	w := h.world
	h.process++
	h.dead, h.paused, h.missed = false, false, nil
	h.reading = map[*simEngine]bool{}
	h.budget = &hostBudget{all: w.budget, host: h}
	h.policy = New(Options{Host: h.name, Zone: "z1", Random: rand.New(rand.NewPCG(w.plan.Seed, uint64(h.process)))})
	h.policy.SetBudget(h.budget)
	h.leaving, h.told = w.leaving, w.now
	process := h.process
	h.handle(process, func(p *Policy) []Decision { return p.Configure(w.now, w.config) })
}

func (h *simHost) kill() {
	w := h.world
	h.dead = true
	h.absentAt = w.now
	held := h.budget.held
	// What a dead host took comes back once its loads must have ended.
	w.after(loadBound, func() { w.budget.inFlight -= held })
	for _, r := range w.requests {
		if r.host == h && r.process == h.process {
			delete(w.requests, r.request.ID)
		}
	}
}

// handle brings an event to a process. A paused host takes it up later.
func (h *simHost) handle(process int, do func(*Policy) []Decision) {
	if h.dead || process != h.process {
		return
	}
	if h.paused {
		h.missed = append(h.missed, func() { h.handle(process, do) })
		return
	}
	decisions := do(h.policy)
	if h.world.mutate != nil {
		h.world.mutate(h.policy)
	}
	for _, d := range decisions {
		if h.world.trace != nil {
			h.world.trace(h.name, d)
		}
		h.carryOut(process, d)
	}
}

func (h *simHost) resume() {
	h.paused = false
	missed := h.missed
	h.missed = nil
	for _, do := range missed {
		do()
	}
}

func (h *simHost) carryOut(process int, d Decision) {
	w := h.world
	switch d := d.(type) {
	case Dispatch:
		h.dispatch(process, d)
	case Drop:
		h.drop(d)
	case Order:
		h.order(process, d)
	case Send:
		if !h.cut {
			w.deliver(h, d.Outgoing)
		}
	case ClaimLease:
		sent := w.now
		w.after(w.between(5*time.Millisecond, 300*time.Millisecond), func() {
			r := w.claim(h, d, sent)
			w.after(w.between(5*time.Millisecond, 300*time.Millisecond), func() {
				h.handle(process, func(p *Policy) []Decision { return p.LeaseUpdated(w.now, r) })
			})
		})
	}
}

func (h *simHost) drop(d Drop) {
	w := h.world
	r := w.requests[d.ID]
	if r == nil {
		return
	}
	delete(w.requests, d.ID)
	w.ended[d.Err.Kind.String()]++
	if d.Err.RetryAfter <= 0 {
		w.broke(untruthfulReturn)
	}
	if d.Err.Kind == apierr.QueueFull && len(h.policy.waiting) < queueLimit-1 {
		w.broke(untruthfulReturn)
	}
}

func (h *simHost) dispatch(process int, d Dispatch) {
	w := h.world
	r := w.requests[d.ID]
	e := w.engine(d.Upstream)
	if r == nil || e == nil {
		return
	}
	r.waiting = false
	if r.request.Model != e.record.Model || slices.Contains(r.request.Avoid, d.Upstream) {
		w.broke(wrongUpstream)
	}
	if h.leaving == d.Upstream && w.now.Sub(h.told) > reportMaxAge {
		w.broke(workToLeaving)
	}
	if w.now.Sub(e.reachedAt[h]) > reportMaxAge {
		w.broke(workToSilent)
	}
	ref := r.request.Adapter
	e.onWay[ref]++
	w.after(w.between(time.Millisecond, transitBound-100*time.Millisecond), func() {
		e.onWay[ref]--
		e.serve(ref, func(o request.Outcome, notLoaded bool) {
			w.after(time.Millisecond, func() { h.ended(process, r, d.Upstream, o, notLoaded) })
		})
	})
}

// ended ends an attempt. What was not run is enqueued again, as the core does.
func (h *simHost) ended(process int, r *simRequest, name string, o request.Outcome, notLoaded bool) {
	w := h.world
	h.handle(process, func(p *Policy) []Decision {
		out := p.AttemptEnded(w.now, AttemptEnd{ID: r.request.ID, Upstream: name, Outcome: o, NotLoaded: notLoaded, FirstToken: 50 * time.Millisecond})
		r.tries++
		if o != request.NotExecuted || r.tries >= 3 || !w.now.Before(r.request.Deadline) {
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
	w := h.world
	e := w.engine(o.Upstream)
	done := func(err error) {
		w.after(w.between(time.Millisecond, 20*time.Millisecond), func() {
			h.handle(process, func(p *Policy) []Decision { return p.OrderEnded(w.now, OrderEnd{ID: o.ID, Err: err}) })
		})
	}
	if e == nil {
		done(errSim)
		return
	}
	slowest := 200 * time.Millisecond
	if w.plan.SlowOrders {
		slowest = orderBound - 50*time.Millisecond
	}
	w.after(w.between(time.Millisecond, slowest), func() {
		replaced := false
		if l := w.leases[leaseResource(e.record)]; l != nil && e.fence > o.Fence {
			replaced = true
		}
		before := len(e.adapters)
		e.order(o, done)
		if replaced && e.record.ChecksFence && len(e.adapters) != before {
			w.broke(oldHolderObeyed)
		}
	})
}

// readReports reads each engine that is not being read.
func (h *simHost) readReports() {
	w := h.world
	process := h.process
	if h.dead || h.paused {
		return
	}
	for _, e := range w.engines {
		if h.reading[e] {
			continue
		}
		h.reading[e] = true
		report, dead := e.report(), e.dead
		w.after(w.between(time.Millisecond, 600*time.Millisecond), func() {
			if process == h.process {
				h.reading[e] = false
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

// arrive brings a request to the host.
func (h *simHost) arrive() {
	w := h.world
	if h.dead || h.cut {
		return
	}
	w.lastID++
	r := &simRequest{host: h, process: h.process, waiting: true}
	r.request = Request{
		ID: w.lastID, Organisation: fmt.Sprintf("org-%d", w.random.IntN(3)), Model: "m",
		Adapter: simAdapter(w.random.IntN(w.plan.Adapters)), Priority: record.Priority(w.random.IntN(2)),
		Tokens: 100, Prefix: w.random.Uint64N(20), Deadline: w.now.Add(w.between(2*time.Second, 12*time.Second)),
	}
	w.requests[r.request.ID] = r
	h.handle(h.process, func(p *Policy) []Decision { return p.Enqueue(w.now, r.request) })
}

// checkDeadlines finds requests that have no final decision in time. A paused
// host decides when it goes on.
func (w *world) checkDeadlines() {
	for id, r := range w.requests {
		if r.waiting && !r.host.paused && w.now.Sub(r.request.Deadline) > simTick && w.now.Sub(r.host.policy.lastEvent) <= simTick {
			w.broke(pastDeadline)
			delete(w.requests, id)
		}
	}
}

func (w *world) engine(name string) *simEngine {
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
