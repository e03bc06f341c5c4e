package fairshare

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

var testStart = time.Unix(1000, 0)

func newTestQueue(c *Counters) *Queue[int] {
	return NewQueue(&Options[int]{Counters: func(int) *Counters { return c }, AgingTime: AgingTime})
}

// dispatch dispatches up to n requests and returns how many of each organisation.
func dispatch(q *Queue[int], now time.Time, n int) map[string]int {
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

func pushMany(q *Queue[int], org string, n int, e Entry[int]) {
	for i := range n {
		next := e
		next.Organisation = org
		next.EnqueuedAt = e.EnqueuedAt.Add(time.Duration(i) * time.Millisecond)
		q.Push(e.EnqueuedAt, &next)
	}
}

func TestQueue_Order(t *testing.T) {
	prompt := Entry[int]{Cost: 100, EnqueuedAt: testStart}
	batch := Entry[int]{Cost: 100, EnqueuedAt: testStart, Rank: 1}
	cases := map[string]struct {
		fill func(*Queue[int])
		at   time.Duration
		take int
		want map[string]int
	}{
		"many requests give no larger share": {func(q *Queue[int]) {
			pushMany(q, "greedy", 100, prompt)
			pushMany(q, "small", 5, prompt)
		}, 0, 10, map[string]int{"greedy": 5, "small": 5}},
		"an expensive request counts as several": {func(q *Queue[int]) {
			pushMany(q, "dear", 20, Entry[int]{Cost: 300, EnqueuedAt: testStart})
			pushMany(q, "cheap", 20, prompt)
		}, 0, 8, map[string]int{"dear": 2, "cheap": 6}},
		"batch requests wait for prompt requests": {func(q *Queue[int]) {
			pushMany(q, "batch", 5, batch)
			pushMany(q, "prompt", 5, prompt)
		}, 0, 5, map[string]int{"prompt": 5}},
		"aged batch requests alternate with prompt requests": {func(q *Queue[int]) {
			pushMany(q, "batch", 5, batch)
			pushMany(q, "prompt", 5, prompt)
		}, AgingTime + time.Second, 4, map[string]int{"prompt": 2, "batch": 2}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			q := newTestQueue(NewCounters())
			c.fill(q)
			assert.Equal(t, c.want, dispatch(q, testStart.Add(c.at), c.take))
		})
	}
}

func TestQueue_IdleOrganisationSavesNoCredit(t *testing.T) {
	q := newTestQueue(NewCounters())
	pushMany(q, "busy", 50, Entry[int]{Cost: 100, EnqueuedAt: testStart})
	dispatch(q, testStart, 30)
	pushMany(q, "idle", 50, Entry[int]{Cost: 100, EnqueuedAt: testStart})
	got := dispatch(q, testStart, 10)
	// The idle organisation starts at the counter before the last charge, so it is one request
	// ahead, and it wins one tie.
	assert.InDelta(t, got["busy"], got["idle"], 2)
}

func TestQueue_RemovedNotServed(t *testing.T) {
	c := NewCounters()
	q := newTestQueue(c)
	pushMany(q, "a", 3, Entry[int]{Cost: 1, EnqueuedAt: testStart})
	q.Remove(q.Head(testStart))
	q.Remove(q.Youngest("a"))
	require.Equal(t, 1, q.Len())
	assert.Equal(t, 1, c.Waiting("a"))
	q.Dequeue(q.Head(testStart))
	assert.Nil(t, q.Head(testStart))
	assert.Zero(t, c.ActiveOrganisations())
}
