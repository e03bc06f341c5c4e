// Package baseline provides simple schedulers to compare the daemon's scheduler
// with. Each runs on a single host that receives every request, which favours it.
package baseline

import (
	"cmp"
	"errors"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/jasminelock/jasminelock/apierr"
	"github.com/jasminelock/jasminelock/record"
	"github.com/jasminelock/jasminelock/sched"
	"github.com/jasminelock/jasminelock/upstream"
	"github.com/jasminelock/jasminelock/wire"
)

// loadBackoff is the time before a failed load is retried on the same replica.
const loadBackoff = time.Second

// Ranker orders the replicas that may serve a request, best first.
type Ranker interface {
	Rank(r sched.Request, replicas []*Replica)
	// Sticky reports whether only the first replica is used, even if another one
	// already holds the adapter.
	Sticky() bool
}

// Replica is the state of an upstream in a baseline.
type Replica struct {
	Record      *record.Upstream
	InFlight    int
	lastUse     map[record.AdapterRef]time.Time // by adapter held
	inUse       map[record.AdapterRef]int
	loading     map[record.AdapterRef]bool
	backoff     map[record.AdapterRef]time.Time
	unloading   bool // an unload is in progress
	incarnation string
}

// Scheduler is a baseline scheduler: it sends requests to replicas in the order of
// a ranker, and evicts the least recently used idle adapter.
type Scheduler struct {
	ranker    Ranker
	budget    sched.Budget
	config    *record.Config
	replicas  []*Replica
	waiting   []sched.Request
	running   map[sched.RequestID]placement
	orders    map[sched.OrderID]pendingOrder
	lastOrder sched.OrderID
}

type placement struct {
	replica *Replica
	adapter record.AdapterRef
}

type pendingOrder struct {
	placement
	operation sched.Operation
}

// New returns a baseline scheduler with the given ranker.
func New(r Ranker) *Scheduler {
	return &Scheduler{ranker: r, running: map[sched.RequestID]placement{}, orders: map[sched.OrderID]pendingOrder{}}
}

// SetBudget implements sched.Scheduler.
func (s *Scheduler) SetBudget(b sched.Budget) { s.budget = b }

// Configure implements sched.Scheduler.
func (s *Scheduler) Configure(now time.Time, c *record.Config) []sched.Decision {
	s.config = c
	for name, u := range c.Upstreams() {
		i := slices.IndexFunc(s.replicas, func(r *Replica) bool { return r.Record.Name == name })
		if i >= 0 {
			s.replicas[i].Record = u
			continue
		}
		s.replicas = append(s.replicas, &Replica{
			Record: u, lastUse: map[record.AdapterRef]time.Time{}, inUse: map[record.AdapterRef]int{},
			loading: map[record.AdapterRef]bool{}, backoff: map[record.AdapterRef]time.Time{},
		})
	}
	slices.SortFunc(s.replicas, func(a, b *Replica) int { return strings.Compare(a.Record.Name, b.Record.Name) })
	return s.schedule(now)
}

// Members implements sched.Scheduler.
func (s *Scheduler) Members(time.Time, []string) []sched.Decision { return nil }

// Enqueue implements sched.Scheduler.
func (s *Scheduler) Enqueue(now time.Time, r sched.Request) []sched.Decision {
	s.waiting = append(s.waiting, r)
	return s.schedule(now)
}

// Cancel implements sched.Scheduler.
func (s *Scheduler) Cancel(_ time.Time, id sched.RequestID) []sched.Decision {
	s.waiting = slices.DeleteFunc(s.waiting, func(r sched.Request) bool { return r.ID == id })
	return nil
}

// LoadReported implements sched.Scheduler. A new incarnation holds no adapters.
func (s *Scheduler) LoadReported(now time.Time, name string, r upstream.Report) []sched.Decision {
	for _, replica := range s.replicas {
		if replica.Record.Name != name || replica.incarnation == r.Incarnation {
			continue
		}
		if replica.incarnation != "" {
			clear(replica.lastUse)
		}
		replica.incarnation = r.Incarnation
	}
	return s.schedule(now)
}

// CacheUpdated implements sched.Scheduler.
func (s *Scheduler) CacheUpdated(time.Time, string, []upstream.CacheEvent) []sched.Decision {
	return nil
}

// Unreachable implements sched.Scheduler.
func (s *Scheduler) Unreachable(time.Time, string) []sched.Decision { return nil }

// AttemptEnded implements sched.Scheduler.
func (s *Scheduler) AttemptEnded(now time.Time, e sched.AttemptEnd) []sched.Decision {
	p, ok := s.running[e.ID]
	if !ok {
		return nil
	}
	delete(s.running, e.ID)
	p.replica.InFlight--
	p.replica.inUse[p.adapter]--
	if e.NotLoaded {
		delete(p.replica.lastUse, p.adapter)
	}
	return s.schedule(now)
}

// OrderEnded implements sched.Scheduler.
func (s *Scheduler) OrderEnded(now time.Time, e sched.OrderEnd) []sched.Decision {
	o, ok := s.orders[e.ID]
	if !ok {
		return nil
	}
	delete(s.orders, e.ID)
	if o.operation == sched.Unload {
		o.replica.unloading = false
		return s.schedule(now)
	}
	s.budget.LoadEnded(now, o.replica.Record.Model)
	delete(o.replica.loading, o.adapter)
	switch {
	case e.Err == nil:
		o.replica.lastUse[o.adapter] = now
	case !errors.Is(e.Err, upstream.ErrNoSlot):
		o.replica.backoff[o.adapter] = now.Add(loadBackoff)
	}
	return s.schedule(now)
}

// LeaseUpdated implements sched.Scheduler.
func (s *Scheduler) LeaseUpdated(time.Time, sched.LeaseResult) []sched.Decision { return nil }

// Receive implements sched.Scheduler.
func (s *Scheduler) Receive(time.Time, string, wire.Message) []sched.Decision { return nil }

// Explain implements sched.Scheduler.
func (s *Scheduler) Explain(time.Time, sched.Request) sched.Reason {
	return sched.Reason{Rule: "baseline"}
}

// Tick implements sched.Scheduler.
func (s *Scheduler) Tick(now time.Time) []sched.Decision {
	var out []sched.Decision
	s.waiting = slices.DeleteFunc(s.waiting, func(r sched.Request) bool {
		late := !now.Before(r.Deadline)
		if late {
			out = append(out, sched.Drop{ID: r.ID, Err: apierr.New(apierr.DeadlineExceeded, "")})
		}
		return late
	})
	return append(out, s.schedule(now)...)
}

func (s *Scheduler) schedule(now time.Time) []sched.Decision {
	var out []sched.Decision
	s.waiting = slices.DeleteFunc(s.waiting, func(r sched.Request) bool {
		d, done := s.tryDispatch(now, r)
		if d != nil {
			out = append(out, d)
		}
		return done
	})
	return out
}

// tryDispatch dispatches a request, or orders the load or unload that it waits for.
// It returns the decision, which may be nil, and whether the request was
// dispatched.
func (s *Scheduler) tryDispatch(now time.Time, r sched.Request) (sched.Decision, bool) {
	replicas := s.eligible(r)
	s.ranker.Rank(r, replicas)
	for i, replica := range replicas {
		if s.ranker.Sticky() && i > 0 {
			break
		}
		_, held := replica.lastUse[r.Adapter]
		if (held || r.Pool != "") && replica.InFlight < replica.Record.MaxBatch {
			return s.dispatch(now, r, replica), true
		}
	}
	if r.Pool != "" {
		return nil, false
	}
	if s.anyLoading(r.Adapter, replicas) {
		return nil, false
	}
	for _, replica := range replicas {
		_, held := replica.lastUse[r.Adapter]
		if held || now.Before(replica.backoff[r.Adapter]) {
			continue
		}
		return s.load(now, r, replica), false
	}
	return nil, false
}

// eligible returns the replicas that may serve a request.
func (s *Scheduler) eligible(r sched.Request) []*Replica {
	var out []*Replica
	for _, replica := range s.replicas {
		u := replica.Record
		fits := u.Class == record.ClassEngine && u.Model == r.Model
		if r.Pool != "" {
			fits = u.Class == record.ClassService && u.Pool == r.Pool
		}
		if fits && !u.Leaving && !slices.Contains(r.Avoid, u.Name) {
			out = append(out, replica)
		}
	}
	return out
}

func (s *Scheduler) anyLoading(ref record.AdapterRef, replicas []*Replica) bool {
	return slices.ContainsFunc(replicas, func(r *Replica) bool { return r.loading[ref] })
}

func (s *Scheduler) dispatch(now time.Time, r sched.Request, replica *Replica) sched.Decision {
	replica.InFlight++
	replica.inUse[r.Adapter]++
	if r.Pool == "" {
		replica.lastUse[r.Adapter] = now
	}
	s.running[r.ID] = placement{replica, r.Adapter}
	return sched.Dispatch{ID: r.ID, Upstream: replica.Record.Name, Why: sched.Reason{Rule: "baseline"}}
}

// load orders the load of an adapter or, if the replica has no free slot, the
// unload of another adapter. It returns nil if neither is possible.
func (s *Scheduler) load(now time.Time, r sched.Request, replica *Replica) sched.Decision {
	if len(replica.lastUse)+len(replica.loading) < replica.Record.AdapterSlots {
		if s.budget.TakeLoad(now, r.Model) != sched.BudgetTaken {
			return nil
		}
		replica.loading[r.Adapter] = true
		return s.order(sched.Load, replica, r.Adapter)
	}
	victim, ok := replica.leastRecentlyUsed()
	if !ok || replica.unloading {
		return nil
	}
	delete(replica.lastUse, victim)
	replica.unloading = true
	return s.order(sched.Unload, replica, victim)
}

func (s *Scheduler) order(op sched.Operation, replica *Replica, ref record.AdapterRef) sched.Decision {
	s.lastOrder++
	s.orders[s.lastOrder] = pendingOrder{placement{replica, ref}, op}
	return sched.Order{ID: s.lastOrder, Upstream: replica.Record.Name, Operation: op, Adapter: ref, Fence: 1, Why: sched.Reason{Rule: "baseline"}}
}

// leastRecentlyUsed returns the least recently used adapter that is not in use, and
// false if there is none.
func (r *Replica) leastRecentlyUsed() (record.AdapterRef, bool) {
	var idle []record.AdapterRef
	for ref := range r.lastUse {
		if r.inUse[ref] == 0 {
			idle = append(idle, ref)
		}
	}
	if len(idle) == 0 {
		return record.AdapterRef{}, false
	}
	slices.SortFunc(idle, func(a, b record.AdapterRef) int {
		return cmp.Or(r.lastUse[a].Compare(r.lastUse[b]), strings.Compare(a.String(), b.String()))
	})
	return idle[0], true
}

// Random ranks replicas in random order.
type Random struct{ Rand *rand.Rand }

// Rank implements Ranker.
func (k Random) Rank(_ sched.Request, replicas []*Replica) {
	k.Rand.Shuffle(len(replicas), func(i, j int) { replicas[i], replicas[j] = replicas[j], replicas[i] })
}

// Sticky implements Ranker.
func (Random) Sticky() bool { return false }

// LeastLoaded ranks replicas by their requests in flight, fewest first.
type LeastLoaded struct{}

// Rank implements Ranker.
func (LeastLoaded) Rank(_ sched.Request, replicas []*Replica) {
	slices.SortStableFunc(replicas, func(a, b *Replica) int { return cmp.Compare(a.InFlight, b.InFlight) })
}

// Sticky implements Ranker.
func (LeastLoaded) Sticky() bool { return false }

// BoundedHash ranks by consistent hashing with bounded loads: the replica of an
// adapter is the first in its hash order whose load is below the bound.
type BoundedHash struct{}

// maxLoadRatio is the bound on the ratio of the load of a replica to the mean load.
const maxLoadRatio = 1.25

// Rank implements Ranker.
func (BoundedHash) Rank(r sched.Request, replicas []*Replica) {
	total := 0
	for _, replica := range replicas {
		total += replica.InFlight
	}
	bound := int(math.Ceil(float64(total+1) / float64(max(len(replicas), 1)) * maxLoadRatio))
	over := func(x *Replica) int {
		if x.InFlight >= bound {
			return 1
		}
		return 0
	}
	slices.SortStableFunc(replicas, func(a, b *Replica) int {
		return cmp.Or(cmp.Compare(over(a), over(b)), cmp.Compare(replicaHash(r, a), replicaHash(r, b)))
	})
}

// Sticky implements Ranker.
func (BoundedHash) Sticky() bool { return true }

func replicaHash(r sched.Request, replica *Replica) uint64 {
	return xxhash.Sum64String(r.Adapter.String() + "\x00" + replica.Record.Name)
}
