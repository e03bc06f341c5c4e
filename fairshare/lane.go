package fairshare

import (
	"container/heap"
	"time"
)

// lane holds the requests of one organisation and rank.
type lane[T any] struct {
	organisation string
	rank         int
	// served is the organisation's counter as recorded in the heap of lanes; position is the index there.
	served   float64
	position int
	// first is the number of the request at the front that arrived first, as of the last change of the lane.
	first uint64
	// onTime holds the requests that can still meet their target, by target. late holds the others, by their last
	// useful moment.
	onTime targetHeap[T]
	late   lastUsefulHeap[T]
}

func (l *lane[T]) len() int { return len(l.onTime) + len(l.late) }

func (l *lane[T]) push(e *Entry[T]) {
	e.lane = l
	if e.late {
		heap.Push(&l.late, e)
		return
	}
	heap.Push(&l.onTime, e)
}

func (l *lane[T]) remove(e *Entry[T]) {
	if e.late {
		heap.Remove(&l.late, e.position)
		return
	}
	heap.Remove(&l.onTime, e.position)
}

// head returns the lane's next request.
func (l *lane[T]) head(now time.Time, interval func(*Entry[T]) time.Duration) *Entry[T] {
	for len(l.onTime) > 0 && !l.onTime[0].Target.IsZero() && now.After(l.onTime[0].Target) {
		e, _ := heap.Pop(&l.onTime).(*Entry[T])
		e.late = true
		heap.Push(&l.late, e)
	}
	switch {
	case len(l.late) == 0:
		return l.onTime[0]
	case len(l.onTime) == 0:
		return l.late[0]
	}
	var between time.Duration
	if interval != nil {
		between = interval(l.late[0])
	}
	if GoesFirst(now, l.late[0], l.onTime[0], between) {
		return l.late[0]
	}
	return l.onTime[0]
}

// closeTurns is the number of turns before its last useful moment from which a late request may go before others.
const closeTurns = 3

// GoesFirst reports whether a late request goes before one of the same organisation and rank that can still meet its
// target, given the time between two turns of the organisation. It does if there will be no other turn for it, or if
// its last useful moment is close and the other request still meets its target one turn later.
func GoesFirst[T any](now time.Time, late, onTime *Entry[T], interval time.Duration) bool {
	left := late.LastUseful.Sub(now)
	if left <= interval {
		return true
	}
	return left <= closeTurns*interval && onTime.Target.Sub(now) > interval
}

// laneHeap orders lanes by their recorded counters.
type laneHeap[T any] []*lane[T]

func (h laneHeap[T]) Len() int { return len(h) }
func (h laneHeap[T]) Less(i, j int) bool {
	if h[i].served != h[j].served {
		return h[i].served < h[j].served
	}
	return h[i].first < h[j].first
}

// updateFirst records the number of the request that arrived first among those at the front of the lane's heaps. The
// heap of lanes breaks ties by it.
func (l *lane[T]) updateFirst() {
	l.first = 0
	if len(l.onTime) > 0 {
		l.first = l.onTime[0].sequence
	}
	if len(l.late) > 0 && (l.first == 0 || l.late[0].sequence < l.first) {
		l.first = l.late[0].sequence
	}
}

func (h laneHeap[T]) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].position, h[j].position = i, j
}

// Push implements heap.Interface.
func (h *laneHeap[T]) Push(x any) {
	l, _ := x.(*lane[T])
	l.position = len(*h)
	*h = append(*h, l)
}

// Pop implements heap.Interface.
func (h *laneHeap[T]) Pop() any { return popLast((*[]*lane[T])(h)) }

// targetHeap orders requests by their targets, then by arrival.
type targetHeap[T any] []*Entry[T]

func (h targetHeap[T]) Len() int { return len(h) }
func (h targetHeap[T]) Less(i, j int) bool {
	if !h[i].Target.Equal(h[j].Target) {
		return h[i].Target.Before(h[j].Target)
	}
	return h[i].sequence < h[j].sequence
}
func (h targetHeap[T]) Swap(i, j int) { swapEntries(h, i, j) }

// Push implements heap.Interface.
func (h *targetHeap[T]) Push(x any) { pushEntry((*[]*Entry[T])(h), x) }

// Pop implements heap.Interface.
func (h *targetHeap[T]) Pop() any { return popLast((*[]*Entry[T])(h)) }

// lastUsefulHeap orders requests by their last useful moments, then by arrival.
type lastUsefulHeap[T any] []*Entry[T]

func (h lastUsefulHeap[T]) Len() int { return len(h) }
func (h lastUsefulHeap[T]) Less(i, j int) bool {
	if !h[i].LastUseful.Equal(h[j].LastUseful) {
		return h[i].LastUseful.Before(h[j].LastUseful)
	}
	return h[i].sequence < h[j].sequence
}
func (h lastUsefulHeap[T]) Swap(i, j int) { swapEntries(h, i, j) }

// Push implements heap.Interface.
func (h *lastUsefulHeap[T]) Push(x any) { pushEntry((*[]*Entry[T])(h), x) }

// Pop implements heap.Interface.
func (h *lastUsefulHeap[T]) Pop() any { return popLast((*[]*Entry[T])(h)) }

func swapEntries[T any](h []*Entry[T], i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].position, h[j].position = i, j
}

func pushEntry[T any](h *[]*Entry[T], x any) {
	e, _ := x.(*Entry[T])
	e.position = len(*h)
	*h = append(*h, e)
}

func popLast[E any](h *[]*E) *E {
	last := len(*h) - 1
	x := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return x
}

// agingHeap orders requests by the time at which they move up.
type agingHeap[T any] []*Entry[T]

func (h agingHeap[T]) Len() int           { return len(h) }
func (h agingHeap[T]) Less(i, j int) bool { return h[i].agesAt.Before(h[j].agesAt) }
func (h agingHeap[T]) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].agingIndex, h[j].agingIndex = i, j
}

// Push implements heap.Interface.
func (h *agingHeap[T]) Push(x any) {
	e, _ := x.(*Entry[T])
	e.agingIndex = len(*h)
	*h = append(*h, e)
}

// Pop implements heap.Interface.
func (h *agingHeap[T]) Pop() any {
	e := popLast((*[]*Entry[T])(h))
	e.agingIndex = -1
	return e
}
