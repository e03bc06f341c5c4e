package bench

import "container/heap"

// lowerBoundStalls returns the number of loads on demand of an optimal placement
// that knows all arrivals: it evicts the adapter whose next use is furthest ahead
// (Belady's algorithm), and has the slots of all engines in one pool, with no limit
// on batches or on the weight store. It is a lower bound for placements that load
// on demand. A placement that loads ahead can be below it.
func lowerBoundStalls(d Deployment, arrivals []arrival) int {
	next := nextUses(arrivals)
	o := oracle{slots: d.Engines * d.AdapterSlots, nextUse: map[int]int{}}
	stalls := 0
	for i, a := range arrivals {
		if a.service() {
			continue
		}
		if o.use(a.adapter, next[i]) && a.at >= warmUpTime {
			stalls++
		}
	}
	return stalls
}

// nextUses returns, for each arrival, the index of the next arrival for the same
// adapter, or len(arrivals) if there is none.
func nextUses(arrivals []arrival) []int {
	next := make([]int, len(arrivals))
	last := map[int]int{}
	for i := len(arrivals) - 1; i >= 0; i-- {
		if j, ok := last[arrivals[i].adapter]; ok {
			next[i] = j
		} else {
			next[i] = len(arrivals)
		}
		last[arrivals[i].adapter] = i
	}
	return next
}

// oracle is a pool of slots with optimal eviction. nextUse maps the adapters that it
// holds to the index of their next use.
type oracle struct {
	slots   int
	nextUse map[int]int
	queue   useHeap
}

// use records a use of the adapter, whose next use is given, and reports whether
// the adapter had to be loaded.
func (o *oracle) use(adapter, next int) bool {
	_, held := o.nextUse[adapter]
	if !held && len(o.nextUse) >= o.slots {
		o.evict()
	}
	o.nextUse[adapter] = next
	heap.Push(&o.queue, use{adapter, next})
	return !held
}

// evict removes the adapter whose next use is furthest ahead. It skips entries of
// the queue that a later use has replaced.
func (o *oracle) evict() {
	for {
		u := heap.Pop(&o.queue).(use)
		if next, held := o.nextUse[u.adapter]; held && next == u.next {
			delete(o.nextUse, u.adapter)
			return
		}
	}
}

type use struct{ adapter, next int }

type useHeap []use

func (h useHeap) Len() int           { return len(h) }
func (h useHeap) Less(i, j int) bool { return h[i].next > h[j].next }
func (h useHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *useHeap) Push(x any) { *h = append(*h, x.(use)) }

// Pop implements heap.Interface.
func (h *useHeap) Pop() any {
	last := len(*h) - 1
	u := (*h)[last]
	*h = (*h)[:last]
	return u
}
