package fairshare

import (
	"container/heap"
	"time"
)

// AgingTime is how long the batch requests of package sched wait behind its prompt requests. After that they are
// ordered in the same way.
const AgingTime = 5 * time.Second

// Entry is one waiting request.
type Entry[T any] struct {
	Value        T
	Organisation string
	// Rank is the request's priority, 0 for the most urgent.
	Rank int
	// Cost is the amount by which the organisation's counter grows: work divided by the organisation's weight.
	Cost float64
	// EnqueuedAt is the time from which the request ages.
	EnqueuedAt time.Time
	// Target is the time until which the request should be served, and LastUseful the time until which serving it is
	// of use. Requests of an organisation are ordered by these, or by their arrival if Target is zero.
	Target, LastUseful time.Time
	// Work is the time that serving the request takes. It bounds what others lose by waiting for it.
	Work time.Duration

	// rank is the rank after aging, of the lane that holds the entry.
	rank     int
	sequence uint64
	lane     *lane[T]
	// late is set if the entry is in the lane's heap of late requests; position is its index in its heap. agesAt and
	// agingIndex belong to the queue's aging heap.
	late       bool
	position   int
	agesAt     time.Time
	agingIndex int
}

// CurrentRank returns the rank of a queued entry after aging, as of the last call of a method with a time.
func (e *Entry[T]) CurrentRank() int { return e.rank }

// Sequence returns the number of the entry in the order of arrival at its queue.
func (e *Entry[T]) Sequence() uint64 { return e.sequence }

// Queue holds the requests that wait for the same upstreams. It orders them by rank, then by the counters of their
// organisations, then by what they lose by waiting. No operation visits all requests: a lane's place in the order is
// updated when the lane reaches the front, which is sound because counters only grow.
type Queue[T any] struct {
	options *Options[T]
	// ranks holds the lanes of each rank, as a heap by the recorded counter.
	ranks    []laneHeap[T]
	lanes    map[laneKey]*lane[T]
	aging    agingHeap[T]
	length   int
	sequence uint64
}

// Options configures a Queue.
type Options[T any] struct {
	// Counters returns the counters that order the organisations of a rank.
	Counters func(rank int) *Counters
	// AgingTime is the time after which a waiting request moves up by AgingRanks ranks, 1 if that is 0.
	AgingTime  time.Duration
	AgingRanks int
	// Interval, if set, returns the expected time between two turns of an entry's lane, and the time by which a turn
	// may come later than that.
	Interval func(e *Entry[T]) (interval, margin time.Duration)
	// Moved, if set, is called when a request has moved up from a rank to the next one.
	Moved func(e *Entry[T], from int)
}

type laneKey struct {
	rank         int
	organisation string
}

// NewQueue returns an empty queue. Queues may share their options, which must not be modified.
func NewQueue[T any](o *Options[T]) *Queue[T] { return &Queue[T]{options: o} }

// Len returns how many requests are waiting.
func (q *Queue[T]) Len() int { return q.length }

// Push adds a request.
func (q *Queue[T]) Push(now time.Time, e *Entry[T]) {
	q.sequence++
	e.sequence = q.sequence
	e.rank = q.agedRank(now, e)
	q.options.Counters(e.rank).AddWaiting(e.Organisation)
	q.length++
	q.insert(e)
}

// Remove removes a request without charging its organisation.
func (q *Queue[T]) Remove(e *Entry[T]) {
	if e.lane == nil {
		return
	}
	q.SetAside(e)
	q.length--
	q.options.Counters(e.rank).RemoveWaiting(e.Organisation)
	if q.length == 0 {
		q.ranks, q.lanes, q.aging = nil, nil, nil // most queues are empty, and there is one for each adapter
	}
}

// Dequeue removes a request and charges its cost to its organisation.
func (q *Queue[T]) Dequeue(e *Entry[T]) {
	if e.lane == nil {
		return
	}
	q.options.Counters(e.rank).Charge(e.Organisation, e.Cost)
	q.Remove(e)
}

// SetAside takes a request out of the order for a moment, until Restore. It still counts as waiting.
func (q *Queue[T]) SetAside(e *Entry[T]) {
	l := e.lane
	l.remove(e)
	e.lane = nil
	if e.agingIndex >= 0 {
		heap.Remove(&q.aging, e.agingIndex)
	}
	if l.len() == 0 {
		delete(q.lanes, laneKey{l.rank, l.organisation})
		heap.Remove(&q.ranks[l.rank], l.position)
		return
	}
	l.updateFirst()
	heap.Fix(&q.ranks[l.rank], l.position)
}

// Restore puts back a request that was set aside.
func (q *Queue[T]) Restore(e *Entry[T]) { q.insert(e) }

// insert adds an entry to the lane of its present rank.
func (q *Queue[T]) insert(e *Entry[T]) {
	key := laneKey{e.rank, e.Organisation}
	l, ok := q.lanes[key]
	if !ok {
		l = &lane[T]{organisation: e.Organisation, rank: e.rank, served: q.options.Counters(e.rank).Served(e.Organisation)}
		if q.lanes == nil {
			q.lanes = map[laneKey]*lane[T]{}
		}
		q.lanes[key] = l
		for len(q.ranks) <= e.rank {
			q.ranks = append(q.ranks, nil)
		}
		heap.Push(&q.ranks[e.rank], l)
	}
	l.push(e)
	l.updateFirst()
	heap.Fix(&q.ranks[e.rank], l.position)
	e.agingIndex = -1
	if e.rank > 0 && q.options.AgingTime > 0 {
		step := max(q.options.AgingRanks, 1)
		e.agesAt = e.EnqueuedAt.Add(time.Duration((e.Rank-e.rank)/step+1) * q.options.AgingTime)
		heap.Push(&q.aging, e)
	}
}

// agedRank returns the rank of a request at a time.
func (q *Queue[T]) agedRank(now time.Time, e *Entry[T]) int {
	rank := max(e.Rank, 0)
	if q.options.AgingTime > 0 {
		rank -= int(max(now.Sub(e.EnqueuedAt), 0)/q.options.AgingTime) * max(q.options.AgingRanks, 1)
	}
	return max(rank, 0)
}

// Age moves up the requests that have waited long enough.
func (q *Queue[T]) Age(now time.Time) {
	for len(q.aging) > 0 && !now.Before(q.aging[0].agesAt) {
		e := q.aging[0]
		q.Remove(e)
		from := e.rank
		e.rank = q.agedRank(now, e)
		q.options.Counters(e.rank).AddWaiting(e.Organisation)
		q.length++
		q.insert(e)
		if q.options.Moved != nil {
			q.options.Moved(e, from)
		}
	}
}

// Head returns the request to be served next, nil if none is waiting.
func (q *Queue[T]) Head(now time.Time) *Entry[T] {
	q.Age(now)
	for rank := range q.ranks {
		lanes := &q.ranks[rank]
		for len(*lanes) > 0 {
			l := (*lanes)[0]
			if served := q.options.Counters(rank).Served(l.organisation); served != l.served {
				l.served = served
				heap.Fix(lanes, 0)
				continue
			}
			return l.head(now, q.options.Interval)
		}
	}
	return nil
}

// FirstRank returns the rank of the first request that waits, as of the last call of a method with a time. The queue must
// not be empty.
func (q *Queue[T]) FirstRank() int {
	for rank := range q.ranks {
		if len(q.ranks[rank]) > 0 {
			return rank
		}
	}
	return len(q.ranks)
}

// Each calls f for every request, in no particular order.
func (q *Queue[T]) Each(f func(e *Entry[T])) {
	for _, l := range q.lanes {
		for _, e := range l.onTime {
			f(e)
		}
		for _, e := range l.late {
			f(e)
		}
	}
}

// Youngest returns the organisation's request that was added last, those of the lowest rank first; nil if it has none.
func (q *Queue[T]) Youngest(organisation string) *Entry[T] {
	for rank := len(q.ranks) - 1; rank >= 0; rank-- {
		l, ok := q.lanes[laneKey{rank, organisation}]
		if !ok {
			continue
		}
		var youngest *Entry[T]
		for _, e := range append(append([]*Entry[T]{}, l.onTime...), l.late...) {
			if youngest == nil || e.sequence > youngest.sequence {
				youngest = e
			}
		}
		return youngest
	}
	return nil
}

// Before reports whether a is served before b, for requests of different queues with the same options: by rank, then
// the organisation with the lower counter, then the older request.
func (q *Queue[T]) Before(now time.Time, a, b *Entry[T]) bool {
	ra, rb := q.agedRank(now, a), q.agedRank(now, b)
	if ra != rb {
		return ra < rb
	}
	c := q.options.Counters(ra)
	if sa, sb := c.Served(a.Organisation), c.Served(b.Organisation); sa != sb {
		return sa < sb
	}
	return a.EnqueuedAt.Before(b.EnqueuedAt)
}
