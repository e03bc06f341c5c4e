package fair

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

var start = time.Unix(1000, 0)

// served takes n requests and returns how many each organisation had.
func served(q *Queue[int], now time.Time, n int) map[string]int {
	out := map[string]int{}
	for range n {
		e := q.Head(now)
		if e == nil {
			return out
		}
		q.Dequeue(e)
		out[e.Organisation]++
	}
	return out
}

func push(q *Queue[int], org string, n int, e Entry[int]) {
	for i := range n {
		next := e
		next.Organisation = org
		next.EnqueuedAt = e.EnqueuedAt.Add(time.Duration(i) * time.Millisecond)
		q.Push(&next)
	}
}

func TestQueueOrder(t *testing.T) {
	prompt := Entry[int]{Cost: 100, EnqueuedAt: start}
	batch := Entry[int]{Cost: 100, EnqueuedAt: start, Batch: true}
	cases := map[string]struct {
		fill func(*Queue[int])
		at   time.Duration
		take int
		want map[string]int
	}{
		"many requests give no larger part": {func(q *Queue[int]) {
			push(q, "greedy", 100, prompt)
			push(q, "small", 5, prompt)
		}, 0, 10, map[string]int{"greedy": 5, "small": 5}},
		"a dear request counts as several": {func(q *Queue[int]) {
			push(q, "dear", 20, Entry[int]{Cost: 300, EnqueuedAt: start})
			push(q, "cheap", 20, prompt)
		}, 0, 8, map[string]int{"dear": 2, "cheap": 6}},
		"batch work waits for prompt work": {func(q *Queue[int]) {
			push(q, "batch", 5, batch)
			push(q, "prompt", 5, prompt)
		}, 0, 5, map[string]int{"prompt": 5}},
		"batch work that has aged takes turns": {func(q *Queue[int]) {
			push(q, "batch", 5, batch)
			push(q, "prompt", 5, prompt)
		}, AgingLimit + time.Second, 4, map[string]int{"prompt": 2, "batch": 2}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			q := NewQueue[int](NewCounters())
			c.fill(q)
			assert.Equal(t, c.want, served(q, start.Add(c.at), c.take))
		})
	}
}

func TestIdleOrganisationSavesNothingUp(t *testing.T) {
	q := NewQueue[int](NewCounters())
	push(q, "busy", 50, Entry[int]{Cost: 100, EnqueuedAt: start})
	served(q, start, 30)
	push(q, "idle", 50, Entry[int]{Cost: 100, EnqueuedAt: start})
	got := served(q, start, 10)
	// It is ahead by the one request that set the clock, and wins one tie.
	assert.InDelta(t, got["busy"], got["idle"], 2)
}

func TestRemovedRequestsAreNotServed(t *testing.T) {
	c := NewCounters()
	q := NewQueue[int](c)
	push(q, "a", 3, Entry[int]{Cost: 1, EnqueuedAt: start})
	q.Remove(q.Head(start))
	q.Remove(q.Youngest("a"))
	require.Equal(t, 1, q.Len())
	assert.Equal(t, 1, c.Waiting("a"))
	q.Dequeue(q.Head(start))
	assert.Nil(t, q.Head(start))
	assert.Zero(t, c.ActiveOrganisations())
}
