package sched

import (
	"container/heap"
	"slices"
	"strings"
	"time"

	"github.com/jasminelock/jasminelock/apierr"
	"github.com/jasminelock/jasminelock/record"
	"github.com/jasminelock/jasminelock/sched/fair"
)

// Bounds of what Retry-After says when the queue is full.
const (
	minRetryAfter = time.Second
	maxRetryAfter = 30 * time.Second
)

// Enqueue implements Scheduler.
func (p *Policy) Enqueue(now time.Time, r Request) []Decision {
	p.begin(now)
	if !p.makeRoom(now, r) {
		return p.take(now)
	}
	g := p.groupOf(r)
	w := &waitingRequest{request: r, group: g}
	w.entry = &fair.Entry[*waitingRequest]{
		Value: w, Organisation: r.Organisation, Batch: r.Priority == record.PriorityBatch, Cost: float64(max(r.Tokens, 1)) / p.weightOf(r.Organisation), EnqueuedAt: now,
	}
	p.waiting[r.ID] = w
	g.queue.Push(w.entry)
	g.demand.add(now, 1)
	g.lastUsed = now
	p.hungry[g] = struct{}{}
	p.serveGroup(now, g)
	if g.queue.Len() > 0 {
		heap.Push(&p.deadlines, w)
		p.placeOne(now, g)
	}
	return p.take(now)
}

func (p *Policy) groupOf(r Request) *group {
	if r.Pool != "" {
		return p.poolGroup(r.Pool)
	}
	return p.adapterGroup(r.Adapter, r.Model)
}

// makeRoom keeps the queue within its bound. The organisation with the most
// requests waiting gives up its youngest one; where that is the one that asks,
// the new request is refused.
func (p *Policy) makeRoom(now time.Time, r Request) bool {
	if len(p.waiting) < queueLimit {
		return true
	}
	org, most := p.counters.MostWaiting()
	if org == r.Organisation || p.counters.Waiting(r.Organisation)+1 >= most {
		p.decide(Drop{ID: r.ID, Err: p.queueFull(now), Why: Reason{Rule: "queue_full"}})
		return false
	}
	var victim *waitingRequest
	for _, w := range p.waiting {
		if w.request.Organisation == org && (victim == nil || younger(w, victim)) {
			victim = w
		}
	}
	p.drop(now, victim, p.queueFull(now), "queue_share")
	return true
}

func younger(a, b *waitingRequest) bool {
	if a.entry.Batch != b.entry.Batch {
		return a.entry.Batch
	}
	if !a.entry.EnqueuedAt.Equal(b.entry.EnqueuedAt) {
		return a.entry.EnqueuedAt.After(b.entry.EnqueuedAt)
	}
	return a.request.ID > b.request.ID
}

func (p *Policy) queueFull(now time.Time) *apierr.Error {
	return apierr.New(apierr.QueueFull, "").WithRetryAfter(p.drained.timeFor(now, len(p.waiting)))
}

// drop ends a waiting request.
func (p *Policy) drop(_ time.Time, w *waitingRequest, err *apierr.Error, rule string) {
	p.forget(w)
	p.decide(Drop{ID: w.request.ID, Err: err, Why: Reason{Rule: rule}})
}

// forget takes a request out of the queue.
func (p *Policy) forget(w *waitingRequest) {
	w.group.queue.Remove(w.entry)
	delete(p.waiting, w.request.ID)
	p.sated(w.group)
}

func (p *Policy) sated(g *group) {
	if g.queue.Len() == 0 {
		delete(p.hungry, g)
		g.coldSince = time.Time{}
	}
}

// Cancel implements Scheduler.
func (p *Policy) Cancel(now time.Time, id RequestID) []Decision {
	p.begin(now)
	if w, ok := p.waiting[id]; ok {
		p.forget(w)
	}
	return p.take(now)
}

// expire drops the requests whose deadline has passed.
func (p *Policy) expire(now time.Time) {
	for len(p.deadlines) > 0 && !now.Before(p.deadlines[0].request.Deadline) {
		w, _ := heap.Pop(&p.deadlines).(*waitingRequest)
		if p.waiting[w.request.ID] != w {
			continue
		}
		err := apierr.New(apierr.DeadlineExceeded, "no upstream was free in time").WithRetryAfter(minRetryAfter)
		p.drop(now, w, err, "deadline")
	}
}

// serveGroup dispatches what waits for a group while one of its upstreams can
// take it.
func (p *Policy) serveGroup(now time.Time, g *group) {
	for g.queue.Len() > 0 {
		head := g.queue.Head(now).Value
		s := p.best(now, g, &head.request)
		if s == nil {
			return
		}
		p.dispatch(now, head, s)
	}
}

// serveUpstream dispatches waiting work to an upstream that has room. Of the
// adapters it holds, the one whose first request is ordered first is served.
func (p *Policy) serveUpstream(now time.Time, v *upstreamView) {
	for v.room() > 0 && v.usable(now) {
		var best *fair.Entry[*waitingRequest]
		var from *slot
		for _, s := range v.slots {
			if s.group.queue.Len() == 0 || s.state != slotResident {
				continue
			}
			e := s.group.queue.Head(now)
			if !p.serves(now, s, &e.Value.request) {
				continue
			}
			if best == nil || p.before(now, e, best) {
				best, from = e, s
			}
		}
		if best == nil {
			return
		}
		p.dispatch(now, best.Value, from)
	}
}

// before orders requests of different groups. Ties are broken by the request's
// number, so that the order of a map decides nothing.
func (p *Policy) before(now time.Time, a, b *fair.Entry[*waitingRequest]) bool {
	if fair.Before(p.counters, now, a, b) {
		return true
	}
	return !fair.Before(p.counters, now, b, a) && a.Value.request.ID < b.Value.request.ID
}

func (p *Policy) dispatch(now time.Time, w *waitingRequest, s *slot) {
	why := p.explain(now, w.group, &w.request)
	w.group.queue.Dequeue(w.entry)
	delete(p.waiting, w.request.ID)
	p.sated(w.group)
	s.inFlight++
	s.view.inFlight++
	s.lastUsed = now
	s.use.requests++
	s.view.prefixes.add(w.request.Prefix)
	p.running[w.request.ID] = runningSlot{s, now}
	p.drained.add(now)
	p.decide(Dispatch{ID: w.request.ID, Upstream: s.view.record.Name, Why: why})
}

// sortedHungry returns the groups with requests waiting, by name.
func (p *Policy) sortedHungry() []*group {
	return sortedGroups(p.hungry)
}

func sortedGroups(set map[*group]struct{}) []*group {
	out := make([]*group, 0, len(set))
	for g := range set {
		out = append(out, g)
	}
	slices.SortFunc(out, func(a, b *group) int { return strings.Compare(a.name, b.name) })
	return out
}

// deadlineHeap orders waiting requests by their deadlines. Requests that have
// left the queue stay until they come to the top.
type deadlineHeap []*waitingRequest

func (h deadlineHeap) Len() int { return len(h) }
func (h deadlineHeap) Less(i, j int) bool {
	return h[i].request.Deadline.Before(h[j].request.Deadline)
}
func (h deadlineHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *deadlineHeap) Push(x any) {
	w, _ := x.(*waitingRequest)
	*h = append(*h, w)
}

// Pop implements heap.Interface.
func (h *deadlineHeap) Pop() any {
	old := *h
	w := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return w
}

// drainRate measures how fast the queue is served.
type drainRate struct {
	count decayed
}

func (d *drainRate) add(now time.Time) { d.count.add(now, 1) }

// timeFor returns how long it takes to serve n requests, within the bounds of
// Retry-After.
func (d *drainRate) timeFor(now time.Time, n int) time.Duration {
	perSecond := d.count.read(now) / secondsPerHalfLife
	if perSecond <= 0 {
		return maxRetryAfter
	}
	wait := time.Duration(float64(n) / perSecond * float64(time.Second))
	return min(max(wait, minRetryAfter), maxRetryAfter)
}
