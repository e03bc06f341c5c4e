package assign

import (
	"cmp"
	"container/heap"
	"strings"
	"time"
)

// headKey is a request's place in the order of a service.
type headKey struct {
	rank int
	// served is the counter of the organisation, account breaks ties.
	served  float64
	account uint64
	// adapterServed is the counter of the adapter within the organisation.
	adapterServed float64
	// late is set for a request that has missed its target; due is its last useful moment, or its target.
	late    bool
	due     time.Time
	arrived time.Time
	id      RequestID
}

// key returns the place of an entry in the order of the service.
func (l *line) key(now time.Time, entry *waitingEntry) headKey {
	e, r := entry.Value, l.ranks[entry.CurrentRank()]
	acct := r.accounts[entry.Organisation]
	k := headKey{
		rank: entry.CurrentRank(), served: r.counters.Served(entry.Organisation), account: acct.number,
		adapterServed: acct.order.Served(adapterKey(&e.request)), due: entry.Target, arrived: e.request.Arrived, id: e.request.ID,
	}
	if now.After(entry.Target) {
		interval, margin := l.interval(entry)
		k.late, k.due = entry.LastUseful.Sub(now) > interval+margin, entry.LastUseful
	}
	return k
}

func (k headKey) compare(other headKey) int {
	late := func(l bool) int {
		if l {
			return 1
		}
		return 0
	}
	return cmp.Or(
		cmp.Compare(k.rank, other.rank), cmp.Compare(k.served, other.served), cmp.Compare(k.account, other.account),
		cmp.Compare(k.adapterServed, other.adapterServed), cmp.Compare(late(k.late), late(other.late)),
		k.due.Compare(other.due), k.arrived.Compare(other.arrived), strings.Compare(k.id.Host, other.id.Host),
		cmp.Compare(k.id.Number, other.id.Number),
	)
}

// updateHead updates the place of a queue in the order after a change of the queue.
func (l *line) updateHead(now time.Time, q *queue) {
	head := q.ordered.Head(now)
	switch {
	case head == nil && q.headIndex > 0:
		heap.Remove(&l.heads, q.headIndex-1)
	case head == nil:
	case q.headIndex > 0:
		q.head = l.key(now, head)
		heap.Fix(&l.heads, q.headIndex-1)
	default:
		q.head = l.key(now, head)
		heap.Push(&l.heads, q)
	}
}

// first returns the queue whose first request is first in the order of the service, nil if there is none.
func (l *line) first(now time.Time) *queue {
	for len(l.heads) > 0 {
		q := l.heads[0]
		head := q.ordered.Head(now)
		if head == nil {
			heap.Remove(&l.heads, 0)
			continue
		}
		if key := l.key(now, head); key != q.head {
			q.head = key
			heap.Fix(&l.heads, 0)
			if l.heads[0] != q {
				continue
			}
		}
		return q
	}
	return nil
}

// sweepLineInterval is the interval at which the places of all queues of a service are updated for the time that has
// passed. It is far below agingTime.
const sweepLineInterval = 500 * time.Millisecond

// sweep moves up the requests that have aged, in all queues.
func (l *line) sweep(now time.Time) {
	if now.Sub(l.sweptAt) < sweepLineInterval {
		return
	}
	l.sweptAt = now
	for _, r := range l.ranks {
		r.prune(now)
	}
	for _, q := range l.heads {
		if head := q.ordered.Head(now); head != nil {
			q.head = l.key(now, head)
		}
	}
	heap.Init(&l.heads)
}

// headHeap is a heap of queues, ordered by their first requests.
type headHeap []*queue

// Len implements heap.Interface.
func (h headHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h headHeap) Less(i, j int) bool { return h[i].head.compare(h[j].head) < 0 }

// Swap implements heap.Interface.
func (h headHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].headIndex, h[j].headIndex = i+1, j+1
}

// Push implements heap.Interface.
func (h *headHeap) Push(x any) {
	q := x.(*queue) //nolint:errcheck,forcetypeassert // only line pushes
	*h = append(*h, q)
	q.headIndex = len(*h)
}

// Pop implements heap.Interface.
func (h *headHeap) Pop() any {
	last := len(*h) - 1
	q := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	q.headIndex = 0
	return q
}
