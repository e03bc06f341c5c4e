package fairshare

import (
	"cmp"
	"container/heap"
	"slices"
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
	// onTime holds the requests that can still meet their target, by target. late holds the others, sorted by their
	// last useful moment.
	onTime targetHeap[T]
	late   []*Entry[T]
	// lateTurn is the latest time from which the late requests must have all turns of the lane to be served in time, if
	// turns come at the given interval. It is valid if lateKnown is set.
	lateTurn  time.Time
	interval  time.Duration
	lateKnown bool
}

func (l *lane[T]) len() int { return len(l.onTime) + len(l.late) }

func (l *lane[T]) push(e *Entry[T]) {
	e.lane = l
	if e.late {
		l.insertLate(e)
		return
	}
	heap.Push(&l.onTime, e)
}

func (l *lane[T]) insertLate(e *Entry[T]) {
	i, _ := slices.BinarySearchFunc(l.late, e, compareLastUseful)
	l.late = slices.Insert(l.late, i, e)
	l.lateKnown = false
}

func (l *lane[T]) remove(e *Entry[T]) {
	if !e.late {
		heap.Remove(&l.onTime, e.position)
		return
	}
	i, _ := slices.BinarySearchFunc(l.late, e, compareLastUseful)
	l.late = slices.Delete(l.late, i, i+1)
	l.lateKnown = false
}

// compareLastUseful orders requests by their last useful moments, then by arrival.
func compareLastUseful[T any](x, y *Entry[T]) int {
	return cmp.Or(x.LastUseful.Compare(y.LastUseful), cmp.Compare(x.sequence, y.sequence))
}

// head returns the lane's next request.
func (l *lane[T]) head(now time.Time, interval func(*Entry[T]) (time.Duration, time.Duration)) *Entry[T] {
	for len(l.onTime) > 0 && !l.onTime[0].Target.IsZero() && now.After(l.onTime[0].Target) {
		e, _ := heap.Pop(&l.onTime).(*Entry[T])
		e.late = true
		l.insertLate(e)
	}
	switch {
	case len(l.late) == 0:
		return l.onTime[0]
	case len(l.onTime) == 0:
		return l.late[0]
	}
	between, margin := l.late[0].Work, time.Duration(0)
	if interval != nil {
		between, margin = interval(l.late[0])
	}
	if l.lateFirst(now, between, margin) {
		return l.late[0]
	}
	return l.onTime[0]
}

// closeTurns is the number of turns before its last useful moment from which a late request may go before others.
const closeTurns = 3

// lateFirst reports whether the late requests go before those that can still meet their targets, given the time between
// two turns of the lane and the time by which a turn may come later. They do if one of them would otherwise not be served in time, or if the last useful moment of
// the first one is close and the others still meet their targets one turn later.
func (l *lane[T]) lateFirst(now time.Time, interval, margin time.Duration) bool {
	if l.late[0].LastUseful.Sub(now) <= closeTurns*interval+margin && l.onTime[0].Target.Sub(now) > interval+margin {
		return true
	}
	if !l.lateKnown || l.interval != interval {
		l.updateLateTurn(interval)
	}
	return l.lateTurn.Sub(now) <= interval+margin
}

func (l *lane[T]) updateLateTurn(interval time.Duration) {
	l.interval, l.lateKnown = interval, true
	for i, e := range l.late {
		if turn := e.LastUseful.Add(-time.Duration(i) * interval); i == 0 || turn.Before(l.lateTurn) {
			l.lateTurn = turn
		}
	}
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
