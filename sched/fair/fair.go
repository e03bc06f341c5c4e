// Package fair orders waiting requests so that organisations share an upstream
// by tokens served, not by requests sent.
//
// Each organisation has a virtual token counter, which grows by the cost of
// what is dispatched for it. The organisation with the lowest counter goes
// first. An organisation that has been idle starts from the lowest counter in
// use, so that it cannot save up service.
package fair

import (
	"time"
)

// AgingLimit is how long batch work waits behind prompt work. After that it is
// ordered as prompt work is.
const AgingLimit = 5 * time.Second

// Entry is one waiting request.
type Entry[T any] struct {
	Value        T
	Organisation string
	// Batch work may wait but must arrive.
	Batch bool
	// Cost is what the organisation's counter grows by: tokens over its weight.
	Cost float64
	// EnqueuedAt is when the request was enqueued.
	EnqueuedAt time.Time
	// removed entries are passed over and dropped when they reach the front.
	removed bool
}

// Counters are the virtual token counters of all organisations.
type Counters struct {
	served  map[string]float64
	waiting map[string]int
	// clock is the counter of the organisation that was served last.
	clock float64
}

// NewCounters returns counters at 0.
func NewCounters() *Counters {
	return &Counters{served: map[string]float64{}, waiting: map[string]int{}}
}

// Served returns an organisation's counter.
func (c *Counters) Served(org string) float64 { return c.served[org] }

// Waiting returns how many requests of an organisation wait.
func (c *Counters) Waiting(org string) int { return c.waiting[org] }

// ActiveOrganisations returns how many organisations have requests waiting.
func (c *Counters) ActiveOrganisations() int { return len(c.waiting) }

// MostWaiting returns the organisation with the most requests waiting.
func (c *Counters) MostWaiting() (string, int) {
	best, most := "", 0
	for org, n := range c.waiting {
		if n > most || (n == most && org < best) {
			best, most = org, n
		}
	}
	return best, most
}

func (c *Counters) arrived(org string) {
	if c.waiting[org] == 0 {
		c.served[org] = max(c.served[org], c.clock)
	}
	c.waiting[org]++
}

func (c *Counters) left(org string) {
	c.waiting[org]--
	if c.waiting[org] == 0 {
		delete(c.waiting, org)
	}
}

func (c *Counters) charge(org string, cost float64) {
	c.clock = max(c.clock, c.served[org])
	c.served[org] += cost
}

// Queue holds the requests that wait for one adapter version or one pool.
type Queue[T any] struct {
	counters *Counters
	lanes    []*lane[T]
	byName   map[string]*lane[T]
	length   int
}

// lane holds one organisation's requests, oldest first.
type lane[T any] struct {
	organisation string
	prompt       []*Entry[T]
	batch        []*Entry[T]
}

// NewQueue returns an empty queue that is ordered by the given counters.
func NewQueue[T any](c *Counters) *Queue[T] {
	return &Queue[T]{counters: c, byName: map[string]*lane[T]{}}
}

// Len returns how many requests wait.
func (q *Queue[T]) Len() int { return q.length }

// Push adds a request.
func (q *Queue[T]) Push(e *Entry[T]) {
	l, ok := q.byName[e.Organisation]
	if !ok {
		l = &lane[T]{organisation: e.Organisation}
		q.byName[e.Organisation] = l
		q.lanes = append(q.lanes, l)
	}
	if e.Batch {
		l.batch = append(l.batch, e)
	} else {
		l.prompt = append(l.prompt, e)
	}
	q.length++
	q.counters.arrived(e.Organisation)
}

// Remove takes a request out without charging its organisation.
func (q *Queue[T]) Remove(e *Entry[T]) {
	if e.removed {
		return
	}
	e.removed = true
	q.length--
	q.counters.left(e.Organisation)
}

// Dequeue takes a request out and charges its organisation.
func (q *Queue[T]) Dequeue(e *Entry[T]) {
	q.Remove(e)
	q.counters.charge(e.Organisation, e.Cost)
}

// Head returns the request to be served next, nil where none waits. The cost
// grows with the organisations that wait in this queue, not with requests.
func (q *Queue[T]) Head(now time.Time) *Entry[T] {
	var best *Entry[T]
	kept := q.lanes[:0]
	for _, l := range q.lanes {
		e := l.head(now)
		if e == nil {
			delete(q.byName, l.organisation)
			continue
		}
		kept = append(kept, l)
		if best == nil || Before(q.counters, now, e, best) {
			best = e
		}
	}
	clear(q.lanes[len(kept):])
	q.lanes = kept
	return best
}

// Youngest returns the organisation's request that came last, batch work first.
func (q *Queue[T]) Youngest(org string) *Entry[T] {
	l, ok := q.byName[org]
	if !ok {
		return nil
	}
	if e := last(l.batch); e != nil {
		return e
	}
	return last(l.prompt)
}

func last[T any](entries []*Entry[T]) *Entry[T] {
	for i := len(entries) - 1; i >= 0; i-- {
		if !entries[i].removed {
			return entries[i]
		}
	}
	return nil
}

func (l *lane[T]) head(now time.Time) *Entry[T] {
	l.prompt = trim(l.prompt)
	l.batch = trim(l.batch)
	switch {
	case len(l.batch) == 0 && len(l.prompt) == 0:
		return nil
	case len(l.batch) == 0:
		return l.prompt[0]
	case len(l.prompt) == 0:
		return l.batch[0]
	}
	if !waits(now, l.batch[0]) && l.batch[0].EnqueuedAt.Before(l.prompt[0].EnqueuedAt) {
		return l.batch[0]
	}
	return l.prompt[0]
}

func trim[T any](entries []*Entry[T]) []*Entry[T] {
	for len(entries) > 0 && entries[0].removed {
		entries[0] = nil
		entries = entries[1:]
	}
	return entries
}

// waits reports whether a request stands behind prompt work.
func waits[T any](now time.Time, e *Entry[T]) bool {
	return e.Batch && now.Sub(e.EnqueuedAt) < AgingLimit
}

// Before reports whether a is served before b: prompt work first, then the
// organisation that was served least, then the older request.
func Before[T any](c *Counters, now time.Time, a, b *Entry[T]) bool {
	if wa, wb := waits(now, a), waits(now, b); wa != wb {
		return wb
	}
	if sa, sb := c.served[a.Organisation], c.served[b.Organisation]; sa != sb {
		return sa < sb
	}
	return a.EnqueuedAt.Before(b.EnqueuedAt)
}
