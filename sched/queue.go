package sched

import (
	"container/heap"
	"slices"
	"strings"
	"time"

	"github.com/jasminelock/jasminelock/apierr"
	"github.com/jasminelock/jasminelock/fairshare"
	"github.com/jasminelock/jasminelock/record"
)

// Limits of the Retry-After sent when the queue is full.
const (
	minRetryAfter = time.Second
	maxRetryAfter = 30 * time.Second
)

// Enqueue implements Scheduler.
func (p *Policy) Enqueue(now time.Time, r Request) []Decision {
	p.beginEvent(now)
	if !p.makeRoom(now, r) {
		return p.endEvent(now)
	}
	g := p.groupOf(r)
	w := &waitingRequest{request: r, group: g}
	w.entry = &fairshare.Entry[*waitingRequest]{
		Value: w, Organisation: r.Organisation, Rank: rankOf(r),
		Cost: float64(max(r.Tokens, 1)) / p.queueWeight(r.Organisation), EnqueuedAt: now,
	}
	p.waiting[r.ID] = w
	g.queue.Push(now, w.entry)
	g.demand.add(now, 1)
	g.lastUsed = now
	p.pendingGroups[g] = struct{}{}
	p.serveGroup(now, g)
	if g.queue.Len() > 0 {
		heap.Push(&p.deadlines, w)
		p.placeGroup(now, g)
	}
	return p.endEvent(now)
}

// batchRank is the rank of batch requests. Prompt requests have rank 0.
const batchRank = 1

func rankOf(r Request) int {
	if r.Priority == record.PriorityBatch {
		return batchRank
	}
	return 0
}

// queueOptions returns the options of queues that are ordered by the given counters, which cover both ranks.
func queueOptions(c *fairshare.Counters) *fairshare.Options[*waitingRequest] {
	return &fairshare.Options[*waitingRequest]{
		Counters: func(int) *fairshare.Counters { return c }, AgingTime: fairshare.AgingTime,
	}
}

func (p *Policy) groupOf(r Request) *requestGroup {
	if r.Pool != "" {
		return p.poolGroup(r.Pool)
	}
	return p.adapterGroup(r.Adapter, r.Model)
}

// makeRoom keeps the queue within queueLimit and reports whether the new request may be
// queued. If the queue is full, the youngest request of the organisation with the most waiting
// requests is dropped; if that is the new request's organisation, the new request is refused.
func (p *Policy) makeRoom(now time.Time, r Request) bool {
	if len(p.waiting) < queueLimit {
		return true
	}
	org, most := p.counters.MostWaiting()
	if org == r.Organisation || p.counters.Waiting(r.Organisation)+1 >= most {
		p.emit(Drop{ID: r.ID, Err: p.queueFullError(now), Why: Reason{Rule: "queue_full"}})
		return false
	}
	var victim *waitingRequest
	for _, w := range p.waiting {
		if w.request.Organisation == org && (victim == nil || younger(w, victim)) {
			victim = w
		}
	}
	p.dropWaiting(now, victim, p.queueFullError(now), "queue_share")
	return true
}

func younger(a, b *waitingRequest) bool {
	if a.entry.Rank != b.entry.Rank {
		return a.entry.Rank > b.entry.Rank
	}
	if !a.entry.EnqueuedAt.Equal(b.entry.EnqueuedAt) {
		return a.entry.EnqueuedAt.After(b.entry.EnqueuedAt)
	}
	return a.request.ID > b.request.ID
}

func (p *Policy) queueFullError(now time.Time) *apierr.Error {
	return apierr.New(apierr.QueueFull, "").WithRetryAfter(p.drain.timeFor(now, len(p.waiting)))
}

// dropWaiting ends a waiting request with an error.
func (p *Policy) dropWaiting(_ time.Time, w *waitingRequest, err *apierr.Error, rule string) {
	p.removeWaiting(w)
	p.emit(Drop{ID: w.request.ID, Err: err, Why: Reason{Rule: rule}})
}

// removeWaiting removes a request from the queue.
func (p *Policy) removeWaiting(w *waitingRequest) {
	w.group.queue.Remove(w.entry)
	delete(p.waiting, w.request.ID)
	p.unmarkPendingIfEmpty(w.group)
}

func (p *Policy) unmarkPendingIfEmpty(g *requestGroup) {
	if g.queue.Len() == 0 {
		delete(p.pendingGroups, g)
		g.coldSince = time.Time{}
	}
}

// Cancel implements Scheduler.
func (p *Policy) Cancel(now time.Time, id RequestID) []Decision {
	p.beginEvent(now)
	if w, ok := p.waiting[id]; ok {
		p.removeWaiting(w)
	}
	return p.endEvent(now)
}

// expire drops the requests whose deadline has passed.
func (p *Policy) expire(now time.Time) {
	for len(p.deadlines) > 0 && !now.Before(p.deadlines[0].request.Deadline) {
		w, _ := heap.Pop(&p.deadlines).(*waitingRequest)
		if p.waiting[w.request.ID] != w {
			continue
		}
		err := apierr.New(apierr.DeadlineExceeded, "no upstream had free capacity before the deadline").
			WithRetryAfter(minRetryAfter)
		p.dropWaiting(now, w, err, "deadline")
	}
}

// serveGroup dispatches a group's waiting requests as long as one of its slots can take the
// next one.
func (p *Policy) serveGroup(now time.Time, g *requestGroup) {
	for g.queue.Len() > 0 {
		head := g.queue.Head(now).Value
		s := p.bestSlot(now, g, &head.request)
		if s == nil {
			return
		}
		p.dispatch(now, head, s)
	}
}

// serveUpstream dispatches waiting requests to an upstream while it has free capacity. Among
// the resident adapters it serves the one whose next request is first in the fair order.
func (p *Policy) serveUpstream(now time.Time, v *upstreamView) {
	for v.freeCapacity() > 0 && v.usable(now) {
		var best *fairshare.Entry[*waitingRequest]
		var from *slot
		for _, s := range v.slots {
			if s.group.queue.Len() == 0 || s.state != slotResident {
				continue
			}
			e := s.group.queue.Head(now)
			if !p.mayDispatch(now, s, &e.Value.request) {
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

// before reports whether a is served before b, for requests of different groups. Ties are
// broken by the request ID, so that the result does not depend on the iteration order of a
// map.
func (p *Policy) before(now time.Time, a, b *fairshare.Entry[*waitingRequest]) bool {
	q := a.Value.group.queue
	if q.Before(now, a, b) {
		return true
	}
	return !q.Before(now, b, a) && a.Value.request.ID < b.Value.request.ID
}

func (p *Policy) dispatch(now time.Time, w *waitingRequest, s *slot) {
	why := p.explain(now, w.group, &w.request)
	w.group.queue.Dequeue(w.entry)
	delete(p.waiting, w.request.ID)
	p.unmarkPendingIfEmpty(w.group)
	s.inFlight++
	s.view.inFlight++
	s.lastUsed = now
	s.grant.requests++
	s.view.prefixes.add(w.request.Prefix)
	p.running[w.request.ID] = runningSlot{s, now}
	p.drain.add(now)
	p.emit(Dispatch{ID: w.request.ID, Upstream: s.view.record.Name, Why: why})
}

// sortedPendingGroups returns the groups with requests waiting, sorted by name.
func (p *Policy) sortedPendingGroups() []*requestGroup {
	return sortedGroups(p.pendingGroups)
}

func sortedGroups(set map[*requestGroup]struct{}) []*requestGroup {
	out := make([]*requestGroup, 0, len(set))
	for g := range set {
		out = append(out, g)
	}
	slices.SortFunc(out, func(a, b *requestGroup) int { return strings.Compare(a.name, b.name) })
	return out
}

// deadlineHeap orders waiting requests by deadline. Requests that have left the queue stay in
// it until they reach the top.
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

// drainRate measures the rate at which requests are dispatched.
type drainRate struct {
	count decayingCount
}

func (d *drainRate) add(now time.Time) { d.count.add(now, 1) }

// timeFor returns the expected time to dispatch n requests, limited to minRetryAfter and
// maxRetryAfter.
func (d *drainRate) timeFor(now time.Time, n int) time.Duration {
	perSecond := d.count.valueAt(now) / demandMeanLifeSeconds
	if perSecond <= 0 {
		return maxRetryAfter
	}
	wait := time.Duration(float64(n) / perSecond * float64(time.Second))
	return min(max(wait, minRetryAfter), maxRetryAfter)
}
