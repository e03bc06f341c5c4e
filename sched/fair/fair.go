// Package fair orders waiting requests so that organisations share an upstream by tokens
// served, not by requests sent.
//
// Each organisation has a virtual token counter, which grows by the cost of every request
// dispatched for it. The organisation with the lowest counter is served first. An organisation
// that has been idle starts from at least the counter of the organisation served last, so that
// it cannot accumulate credit.
package fair

import (
	"time"
)

// AgingLimit is how long batch requests wait behind prompt requests. After that they are
// ordered in the same way.
const AgingLimit = 5 * time.Second

// Entry is one waiting request.
type Entry[T any] struct {
	Value        T
	Organisation string
	// Batch marks a request that may wait behind prompt requests.
	Batch bool
	// Cost is the amount by which the organisation's counter grows: tokens divided by the
	// organisation's weight.
	Cost float64
	// EnqueuedAt is when the request was enqueued.
	EnqueuedAt time.Time
	// removed entries stay in their lane until they reach the front, and are skipped.
	removed bool
}

// Counters are the virtual token counters of all organisations.
type Counters struct {
	served  map[string]float64
	waiting map[string]int
	// clock is the counter of the organisation that was served last.
	clock float64
}

// NewCounters returns counters that are all 0.
func NewCounters() *Counters {
	return &Counters{served: map[string]float64{}, waiting: map[string]int{}}
}

// Served returns an organisation's counter.
func (c *Counters) Served(org string) float64 { return c.served[org] }

// Waiting returns how many requests of an organisation are waiting.
func (c *Counters) Waiting(org string) int { return c.waiting[org] }

// ActiveOrganisations returns how many organisations have requests waiting.
func (c *Counters) ActiveOrganisations() int { return len(c.waiting) }

// MostWaiting returns the organisation with the most waiting requests, and their number.
func (c *Counters) MostWaiting() (string, int) {
	best, most := "", 0
	for org, n := range c.waiting {
		if n > most || (n == most && org < best) {
			best, most = org, n
		}
	}
	return best, most
}

func (c *Counters) addWaiting(org string) {
	if c.waiting[org] == 0 {
		c.served[org] = max(c.served[org], c.clock)
	}
	c.waiting[org]++
}

func (c *Counters) removeWaiting(org string) {
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
	counters           *Counters
	lanes              []*lane[T]
	laneByOrganisation map[string]*lane[T]
	length             int
}

// lane holds one organisation's requests, oldest first.
type lane[T any] struct {
	organisation string
	prompt       []*Entry[T]
	batch        []*Entry[T]
}

// NewQueue returns an empty queue that is ordered by the given counters.
func NewQueue[T any](c *Counters) *Queue[T] {
	return &Queue[T]{counters: c, laneByOrganisation: map[string]*lane[T]{}}
}

// Len returns how many requests are waiting.
func (q *Queue[T]) Len() int { return q.length }

// Push adds a request.
func (q *Queue[T]) Push(e *Entry[T]) {
	l, ok := q.laneByOrganisation[e.Organisation]
	if !ok {
		l = &lane[T]{organisation: e.Organisation}
		q.laneByOrganisation[e.Organisation] = l
		q.lanes = append(q.lanes, l)
	}
	if e.Batch {
		l.batch = append(l.batch, e)
	} else {
		l.prompt = append(l.prompt, e)
	}
	q.length++
	q.counters.addWaiting(e.Organisation)
}

// Remove removes a request without charging its organisation.
func (q *Queue[T]) Remove(e *Entry[T]) {
	if e.removed {
		return
	}
	e.removed = true
	q.length--
	q.counters.removeWaiting(e.Organisation)
}

// Dequeue removes a request and charges its cost to its organisation.
func (q *Queue[T]) Dequeue(e *Entry[T]) {
	q.Remove(e)
	q.counters.charge(e.Organisation, e.Cost)
}

// Head returns the request to be served next, nil if none is waiting. Its run time grows with
// the number of organisations in this queue, not with the number of requests.
func (q *Queue[T]) Head(now time.Time) *Entry[T] {
	var best *Entry[T]
	kept := q.lanes[:0]
	for _, l := range q.lanes {
		e := l.head(now)
		if e == nil {
			delete(q.laneByOrganisation, l.organisation)
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

// Youngest returns the organisation's request that was added last, batch requests first; nil
// if it has none.
func (q *Queue[T]) Youngest(org string) *Entry[T] {
	l, ok := q.laneByOrganisation[org]
	if !ok {
		return nil
	}
	if e := lastWaiting(l.batch); e != nil {
		return e
	}
	return lastWaiting(l.prompt)
}

func lastWaiting[T any](entries []*Entry[T]) *Entry[T] {
	for i := len(entries) - 1; i >= 0; i-- {
		if !entries[i].removed {
			return entries[i]
		}
	}
	return nil
}

func (l *lane[T]) head(now time.Time) *Entry[T] {
	l.prompt = trimRemoved(l.prompt)
	l.batch = trimRemoved(l.batch)
	switch {
	case len(l.batch) == 0 && len(l.prompt) == 0:
		return nil
	case len(l.batch) == 0:
		return l.prompt[0]
	case len(l.prompt) == 0:
		return l.batch[0]
	}
	if !yieldsToPrompt(now, l.batch[0]) && l.batch[0].EnqueuedAt.Before(l.prompt[0].EnqueuedAt) {
		return l.batch[0]
	}
	return l.prompt[0]
}

func trimRemoved[T any](entries []*Entry[T]) []*Entry[T] {
	for len(entries) > 0 && entries[0].removed {
		entries[0] = nil
		entries = entries[1:]
	}
	return entries
}

// yieldsToPrompt reports whether a request is ordered behind prompt requests: it is a batch
// request younger than AgingLimit.
func yieldsToPrompt[T any](now time.Time, e *Entry[T]) bool {
	return e.Batch && now.Sub(e.EnqueuedAt) < AgingLimit
}

// Before reports whether a is served before b: prompt and aged batch requests first, then the
// organisation with the lower counter, then the older request.
func Before[T any](c *Counters, now time.Time, a, b *Entry[T]) bool {
	if wa, wb := yieldsToPrompt(now, a), yieldsToPrompt(now, b); wa != wb {
		return wb
	}
	if sa, sb := c.served[a.Organisation], c.served[b.Organisation]; sa != sb {
		return sa < sb
	}
	return a.EnqueuedAt.Before(b.EnqueuedAt)
}
