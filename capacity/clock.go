package capacity

import (
	"container/heap"
	"time"
)

// clock runs events in virtual time. Events of the same time run in the order in
// which they were scheduled.
type clock struct {
	now          time.Time
	events       eventQueue
	lastSequence int
}

func newClock() *clock { return &clock{now: time.Unix(1_900_000_000, 0)} }

// after schedules do to be called once d has passed.
func (c *clock) after(d time.Duration, do func()) {
	c.lastSequence++
	heap.Push(&c.events, event{c.now.Add(d), c.lastSequence, do})
}

// every calls do first after delay, and then once per interval.
func (c *clock) every(delay, interval time.Duration, do func()) {
	c.after(delay, func() {
		do()
		c.every(interval, interval, do)
	})
}

// run advances the time by d and runs all events that are due until then.
func (c *clock) run(d time.Duration) {
	end := c.now.Add(d)
	for len(c.events) > 0 && !c.events[0].at.After(end) {
		e := heap.Pop(&c.events).(event)
		c.now = e.at
		e.callback()
	}
	c.now = end
}

type event struct {
	at       time.Time
	sequence int
	callback func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	if q[i].at.Equal(q[j].at) {
		return q[i].sequence < q[j].sequence
	}
	return q[i].at.Before(q[j].at)
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}
