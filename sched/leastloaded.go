package sched

import (
	"errors"
	"slices"
	"strings"
	"time"

	"github.com/jasminelock/jasminelock/apierr"
	"github.com/jasminelock/jasminelock/record"
	"github.com/jasminelock/jasminelock/request"
	"github.com/jasminelock/jasminelock/upstream"
	"github.com/jasminelock/jasminelock/wire"
)

// Limits of the least-loaded scheduler.
const (
	// reportMaxAge is how old a report may be before its upstream gets no new work.
	reportMaxAge = 2 * time.Second
	// queueLimit is how many requests may wait on one host.
	queueLimit = 4096
	// retryAfterFull is told to callers when the queue is full.
	retryAfterFull = 2 * time.Second
	// loadBackoff is how long a failed load is not tried again on an upstream.
	loadBackoff = 2 * time.Second
)

// LeastLoaded sends each request to the least loaded upstream that holds its
// adapter, and makes room by evicting the least recently used idle adapter.
// It is the baseline that other schedulers are measured against.
type LeastLoaded struct {
	config    *record.Config
	budget    Budget
	upstreams map[string]*upstreamState
	waiting   []Request
	running   map[RequestID]runningRequest
	orders    map[OrderID]loadOrder
	lastOrder OrderID
}

type upstreamState struct {
	record      *record.Upstream
	report      upstream.Report
	reportedAt  time.Time
	unreachable bool
	inFlight    map[record.AdapterRef]int
	inFlightAll int
	// resident holds when each loaded adapter was last used.
	resident map[record.AdapterRef]time.Time
	loading  map[record.AdapterRef]OrderID
	retryAt  map[record.AdapterRef]time.Time
}

type runningRequest struct {
	upstream *upstreamState
	adapter  record.AdapterRef
}

type loadOrder struct {
	upstream *upstreamState
	op       Operation
	adapter  record.AdapterRef
}

// NewLeastLoaded returns an empty scheduler.
func NewLeastLoaded() *LeastLoaded {
	return &LeastLoaded{
		config:    record.NewConfig(),
		upstreams: map[string]*upstreamState{},
		running:   map[RequestID]runningRequest{},
		orders:    map[OrderID]loadOrder{},
	}
}

// SetBudget implements Scheduler.
func (s *LeastLoaded) SetBudget(b Budget) { s.budget = b }

// Configure implements Scheduler.
func (s *LeastLoaded) Configure(now time.Time, c *record.Config) []Decision {
	s.config = c
	for name, u := range c.Upstreams() {
		if old, ok := s.upstreams[name]; ok && old.record.URL == u.URL {
			old.record = u
			continue
		}
		s.upstreams[name] = &upstreamState{
			record:   u,
			inFlight: map[record.AdapterRef]int{},
			resident: map[record.AdapterRef]time.Time{},
			loading:  map[record.AdapterRef]OrderID{},
			retryAt:  map[record.AdapterRef]time.Time{},
		}
	}
	for name := range s.upstreams {
		if _, ok := c.Upstream(name); !ok {
			delete(s.upstreams, name)
		}
	}
	return s.schedule(now)
}

// Members implements Scheduler.
func (s *LeastLoaded) Members(time.Time, []string) []Decision { return nil }

// Enqueue implements Scheduler.
func (s *LeastLoaded) Enqueue(now time.Time, r Request) []Decision {
	if len(s.waiting) >= queueLimit {
		return []Decision{Drop{ID: r.ID, Err: apierr.New(apierr.QueueFull, "").WithRetryAfter(retryAfterFull), Why: Reason{Rule: "queue_full"}}}
	}
	s.waiting = append(s.waiting, r)
	return s.schedule(now)
}

// Cancel implements Scheduler.
func (s *LeastLoaded) Cancel(_ time.Time, id RequestID) []Decision {
	s.waiting = slices.DeleteFunc(s.waiting, func(r Request) bool { return r.ID == id })
	return nil
}

// LoadReported implements Scheduler.
func (s *LeastLoaded) LoadReported(now time.Time, name string, r upstream.Report) []Decision {
	u, ok := s.upstreams[name]
	if !ok {
		return nil
	}
	if u.report.Incarnation != r.Incarnation {
		clear(u.resident)
	}
	u.report = r
	u.reportedAt = now
	u.unreachable = false
	seen := map[record.AdapterRef]bool{}
	for _, a := range r.Adapters {
		ref, ok := record.ParseAdapterRef(a.Name)
		if !ok || a.Loading {
			continue
		}
		seen[ref] = true
		if _, known := u.resident[ref]; !known {
			u.resident[ref] = now
		}
	}
	for ref := range u.resident {
		if !seen[ref] && u.inFlight[ref] == 0 {
			delete(u.resident, ref)
		}
	}
	return s.schedule(now)
}

// CacheUpdated implements Scheduler.
func (s *LeastLoaded) CacheUpdated(time.Time, string, []upstream.CacheEvent) []Decision { return nil }

// Unreachable implements Scheduler.
func (s *LeastLoaded) Unreachable(now time.Time, name string) []Decision {
	if u, ok := s.upstreams[name]; ok {
		u.unreachable = true
	}
	return s.schedule(now)
}

// AttemptEnded implements Scheduler.
func (s *LeastLoaded) AttemptEnded(now time.Time, e AttemptEnd) []Decision {
	run, ok := s.running[e.ID]
	if !ok {
		return nil
	}
	delete(s.running, e.ID)
	u := run.upstream
	u.inFlightAll--
	u.inFlight[run.adapter]--
	if e.NotLoaded {
		delete(u.resident, run.adapter)
	}
	if e.Outcome == request.NotExecuted && !e.NotLoaded {
		u.unreachable = true
	}
	return s.schedule(now)
}

// OrderEnded implements Scheduler.
func (s *LeastLoaded) OrderEnded(now time.Time, e OrderEnd) []Decision {
	o, ok := s.orders[e.ID]
	if !ok {
		return nil
	}
	delete(s.orders, e.ID)
	delete(o.upstream.loading, o.adapter)
	if o.op == Load {
		s.budget.LoadEnded(now, o.upstream.record.Model)
	}
	switch {
	case o.op == Load && e.Err == nil:
		o.upstream.resident[o.adapter] = now
	case o.op == Load && !errors.Is(e.Err, upstream.ErrNoSlot):
		o.upstream.retryAt[o.adapter] = now.Add(loadBackoff)
	}
	return s.schedule(now)
}

// LeaseUpdated implements Scheduler.
func (s *LeastLoaded) LeaseUpdated(time.Time, LeaseResult) []Decision { return nil }

// Receive implements Scheduler.
func (s *LeastLoaded) Receive(time.Time, string, wire.Message) []Decision { return nil }

// Tick implements Scheduler.
func (s *LeastLoaded) Tick(now time.Time) []Decision {
	var out []Decision
	s.waiting = slices.DeleteFunc(s.waiting, func(r Request) bool {
		if now.Before(r.Deadline) {
			return false
		}
		out = append(out, Drop{ID: r.ID, Err: apierr.New(apierr.DeadlineExceeded, "no upstream was free in time"), Why: Reason{Rule: "deadline"}})
		return true
	})
	return append(out, s.schedule(now)...)
}

// schedule dispatches what can be dispatched, oldest first.
func (s *LeastLoaded) schedule(now time.Time) []Decision {
	var out []Decision
	s.waiting = slices.DeleteFunc(s.waiting, func(r Request) bool {
		decisions, done := s.try(now, r)
		out = append(out, decisions...)
		return done
	})
	return out
}

func (s *LeastLoaded) try(now time.Time, r Request) ([]Decision, bool) {
	best, why := s.pick(now, r)
	if best != nil {
		best.inFlightAll++
		best.inFlight[r.Adapter]++
		if r.Adapter.Name != "" {
			best.resident[r.Adapter] = now
		}
		s.running[r.ID] = runningRequest{best, r.Adapter}
		return []Decision{Dispatch{ID: r.ID, Upstream: best.record.Name, Why: why}}, true
	}
	if r.Adapter.Name == "" || s.isLoading(r.Adapter) {
		return nil, false
	}
	return s.load(now, r), false
}

func (s *LeastLoaded) pick(now time.Time, r Request) (*upstreamState, Reason) {
	var best *upstreamState
	why := Reason{Rule: "least_loaded"}
	for _, u := range s.usable(now, r) {
		_, resident := u.resident[r.Adapter]
		if r.Adapter.Name != "" && !resident {
			continue
		}
		if u.inFlightAll >= u.record.MaxBatch {
			continue
		}
		why.Alternatives = append(why.Alternatives, Alternative{Upstream: u.record.Name, Note: "resident"})
		if best == nil || u.inFlightAll < best.inFlightAll {
			best = u
		}
	}
	return best, why
}

// usable returns the upstreams of the request's model or pool that may get new
// work, in the order of their names.
func (s *LeastLoaded) usable(now time.Time, r Request) []*upstreamState {
	var out []*upstreamState
	for _, u := range s.upstreams {
		switch {
		case r.Pool != "" && (u.record.Class != record.ClassService || u.record.Pool != r.Pool):
		case r.Pool == "" && (u.record.Class != record.ClassEngine || u.record.Model != r.Model):
		case u.record.Leaving, u.unreachable, now.Sub(u.reportedAt) > reportMaxAge, slices.Contains(r.Avoid, u.record.Name):
		default:
			out = append(out, u)
		}
	}
	slices.SortFunc(out, func(a, b *upstreamState) int { return strings.Compare(a.record.Name, b.record.Name) })
	return out
}

func (s *LeastLoaded) isLoading(ref record.AdapterRef) bool {
	for _, u := range s.upstreams {
		if _, ok := u.loading[ref]; ok {
			return true
		}
	}
	return false
}

// load orders the adapter onto the least loaded upstream with a free slot, or
// makes a slot free.
func (s *LeastLoaded) load(now time.Time, r Request) []Decision {
	var best *upstreamState
	for _, u := range s.usable(now, r) {
		if now.Before(u.retryAt[r.Adapter]) || len(u.loading) > 0 {
			continue
		}
		if best == nil || u.inFlightAll < best.inFlightAll {
			best = u
		}
	}
	if best == nil {
		return nil
	}
	if len(best.resident)+len(best.loading) < best.record.AdapterSlots {
		if s.budget.TakeLoad(now, r.Model) != BudgetTaken {
			return nil
		}
		return []Decision{s.order(best, Load, r.Adapter, "free_slot")}
	}
	victim, ok := best.leastRecentlyUsed()
	if !ok {
		return nil
	}
	delete(best.resident, victim)
	return []Decision{s.order(best, Unload, victim, "lru")}
}

func (s *LeastLoaded) order(u *upstreamState, op Operation, ref record.AdapterRef, rule string) Order {
	s.lastOrder++
	s.orders[s.lastOrder] = loadOrder{u, op, ref}
	u.loading[ref] = s.lastOrder
	return Order{ID: s.lastOrder, Upstream: u.record.Name, Operation: op, Adapter: ref, Why: Reason{Rule: rule}}
}

// leastRecentlyUsed returns the idle adapter that was used longest ago. An
// upstream with any work of this host in flight evicts nothing.
func (u *upstreamState) leastRecentlyUsed() (record.AdapterRef, bool) {
	var victim record.AdapterRef
	found := false
	if u.inFlightAll > 0 || u.report.Running+u.report.Waiting > 0 {
		return victim, false
	}
	for ref, used := range u.resident {
		older := !found || used.Before(u.resident[victim]) || (used.Equal(u.resident[victim]) && ref.String() < victim.String())
		if older {
			victim, found = ref, true
		}
	}
	return victim, found
}

// Explain implements Scheduler.
func (s *LeastLoaded) Explain(now time.Time, r Request) Reason {
	_, why := s.pick(now, r)
	return why
}
