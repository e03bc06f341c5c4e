package bench

import (
	"container/heap"
	"time"
)

// epoch is the start of virtual time. The value is arbitrary.
var epoch = time.Date(2000, 1, 1, 0, 0, 0, 0, time.UTC)

// clock runs functions at virtual times. Functions of the same time run in the
// order in which they were added.
type clock struct {
	now          time.Time
	lastSequence int64
	events       eventHeap
}

type event struct {
	at       time.Time
	sequence int64
	run      func()
}

func newClock() *clock {
	return &clock{now: epoch}
}

// after schedules f to run once d has passed.
func (c *clock) after(d time.Duration, f func()) {
	c.lastSequence++
	heap.Push(&c.events, event{at: c.now.Add(max(d, 0)), sequence: c.lastSequence, run: f})
}

// every runs f first after offset, and then once per interval.
func (c *clock) every(offset, interval time.Duration, f func()) {
	c.after(offset, func() {
		f()
		c.every(interval, interval, f)
	})
}

// runUntil advances the time to end and runs all events that are due until then.
func (c *clock) runUntil(end time.Time) {
	for len(c.events) > 0 && !c.events[0].at.After(end) {
		e := heap.Pop(&c.events).(event)
		c.now = e.at
		e.run()
	}
	c.now = end
}

type eventHeap []event

func (h eventHeap) Len() int      { return len(h) }
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

func (h eventHeap) Less(i, j int) bool {
	if !h[i].at.Equal(h[j].at) {
		return h[i].at.Before(h[j].at)
	}
	return h[i].sequence < h[j].sequence
}

// Push implements heap.Interface.
func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }

// Pop implements heap.Interface.
func (h *eventHeap) Pop() any {
	last := len(*h) - 1
	e := (*h)[last]
	(*h)[last] = event{}
	*h = (*h)[:last]
	return e
}
