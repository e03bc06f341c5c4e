package fairshare

import (
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// rankedQueue returns a queue with counters for each rank.
func rankedQueue(interval time.Duration) (*Queue[int], func(rank int) *Counters) {
	byRank := map[int]*Counters{}
	counters := func(rank int) *Counters {
		if byRank[rank] == nil {
			byRank[rank] = NewCounters()
		}
		return byRank[rank]
	}
	return NewQueue(&Options[int]{
		Counters: counters, AgingTime: 10 * time.Second,
		Interval: func(*Entry[int]) (time.Duration, time.Duration) { return interval, 0 },
	}), counters
}

func after(d time.Duration) time.Time { return testStart.Add(d) }

// Guards against an order within an organisation in which more requests than necessary miss their target or their last useful
// moment.
func TestQueue_OrderWithinOrganisation(t *testing.T) {
	const second = time.Second
	entry := func(target, lastUseful time.Duration) *Entry[int] {
		return &Entry[int]{Organisation: "o", EnqueuedAt: testStart, Target: after(target), LastUseful: after(lastUseful)}
	}
	cases := map[string]struct {
		entries []*Entry[int]
		want    int
	}{
		"first target":                           {[]*Entry[int]{entry(3*second, 9*second), entry(2*second, 9*second)}, 1},
		"on time before late":                    {[]*Entry[int]{entry(0, 9*second), entry(2*second, 9*second)}, 1},
		"late ones by last useful moment":        {[]*Entry[int]{entry(0, 9*second), entry(0, 8*second)}, 1},
		"late and due soon, no loss for others":  {[]*Entry[int]{entry(3*second, 9*second), entry(0, 1300*time.Millisecond)}, 1},
		"late and due soon, others would be too": {[]*Entry[int]{entry(1050*time.Millisecond, 9*second), entry(0, 1300*time.Millisecond)}, 0},
		"last chance of a late one":              {[]*Entry[int]{entry(1050*time.Millisecond, 9*second), entry(0, 1090*time.Millisecond)}, 1},
		"last chance of several late ones": {[]*Entry[int]{
			entry(1050*time.Millisecond, 9*second), entry(0, 1350*time.Millisecond), entry(0, 1360*time.Millisecond), entry(0, 1370*time.Millisecond), entry(0, 1380*time.Millisecond),
		}, 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			q, _ := rankedQueue(100 * time.Millisecond)
			for i, e := range c.entries {
				e.Value = i
				q.Push(testStart, e)
			}
			require.Equal(t, c.want, q.Head(after(second)).Value)
		})
	}
}

// Guards against a request that never moves up, or that moves up at the wrong time or without the notice.
func TestQueue_Aging(t *testing.T) {
	q, counters := rankedQueue(0)
	var moves []int
	q.options.Moved = func(e *Entry[int], from int) { moves = append(moves, from, e.CurrentRank()) }
	q.Push(testStart, &Entry[int]{Organisation: "a", Rank: 2, EnqueuedAt: testStart})
	q.Push(testStart, &Entry[int]{Organisation: "b", Rank: 1, EnqueuedAt: after(5 * time.Second)})
	require.Equal(t, "b", q.Head(after(9*time.Second)).Organisation)
	require.Equal(t, "a", q.Head(after(10*time.Second)).Organisation, "equal ranks and counters: the older one")
	require.Equal(t, 1, counters(1).Waiting("a"))
	require.Zero(t, counters(2).Waiting("a"))
	require.Equal(t, 0, func() int { q.Age(after(40 * time.Second)); return q.FirstRank() }())
	require.Equal(t, []int{2, 1, 1, 0, 1, 0}, moves)
	for q.Len() > 0 {
		q.Dequeue(q.Head(after(40 * time.Second)))
	}
	require.Nil(t, q.Head(after(40*time.Second)))
}

// A request that is set aside still counts as waiting. Guards against an organisation that loses what it is owed.
func TestQueue_SetAsideKeepsCounter(t *testing.T) {
	q, counters := rankedQueue(0)
	first := &Entry[int]{Organisation: "owed", EnqueuedAt: testStart, Cost: 1}
	q.Push(testStart, first)
	for range 5 {
		counters(0).Charge("other", 10)
	}
	q.SetAside(first)
	require.Equal(t, 1, q.Len())
	require.Nil(t, q.Head(testStart))
	q.Restore(first)
	require.Zero(t, counters(0).Served("owed"))
	require.Equal(t, first, q.Head(testStart))
}

// naiveHead returns the rank and the organisation's counter of the first request, found by a search over all entries; the rank
// is -1 if there are none.
func naiveHead(entries map[*Entry[int]]bool, counters func(int) *Counters) (rank int, served float64) {
	rank = -1
	for e := range entries {
		c := counters(e.CurrentRank()).Served(e.Organisation)
		if rank < 0 || e.CurrentRank() < rank || (e.CurrentRank() == rank && c < served) {
			rank, served = e.CurrentRank(), c
		}
	}
	return rank, served
}

// Random operations on two queues that share counters. Guards against a lane whose place in the order is not updated when a
// counter or a rank changes.
func TestQueue_HeadIsFirstOfAll(t *testing.T) {
	for seed := range uint64(20) {
		random := rand.New(rand.NewPCG(seed, 1))
		a, counters := rankedQueue(50 * time.Millisecond)
		b := NewQueue(a.options)
		entries := map[*Queue[int]]map[*Entry[int]]bool{a: {}, b: {}}
		now := testStart
		for range 2000 {
			now = now.Add(time.Duration(random.IntN(20)) * time.Millisecond)
			q := []*Queue[int]{a, b}[random.IntN(2)]
			switch random.IntN(5) {
			case 0, 1:
				e := &Entry[int]{
					Organisation: strconv.Itoa(random.IntN(8)), Rank: random.IntN(3), Cost: random.Float64(), EnqueuedAt: now,
					Target: now.Add(time.Duration(random.IntN(3000)) * time.Millisecond),
				}
				e.LastUseful = e.Target.Add(time.Duration(random.IntN(3000)) * time.Millisecond)
				q.Push(now, e)
				entries[q][e] = true
			case 2:
				for e := range entries[q] {
					q.Remove(e)
					delete(entries[q], e)
					break
				}
			case 3:
				if e := q.Head(now); e != nil {
					q.SetAside(e)
					q.Restore(e)
				}
			default:
				if e := q.Head(now); e != nil {
					q.Dequeue(e)
					delete(entries[q], e)
				}
			}
			head := q.Head(now)
			rank, served := naiveHead(entries[q], counters)
			require.Equal(t, len(entries[q]), q.Len())
			if rank < 0 {
				require.Nil(t, head)
				continue
			}
			require.Equal(t, rank, head.CurrentRank(), "seed %d", seed)
			require.InDelta(t, served, counters(rank).Served(head.Organisation), 0, "seed %d", seed)
		}
	}
}

// Guards against counters that are kept for every organisation that has ever sent a request, though others have been
// served more since.
func TestCounters_IdleOnesAreDropped(t *testing.T) {
	c := NewCounters()
	c.AddWaiting("busy")
	for n := range 10_000 {
		org := strconv.Itoa(n)
		c.AddWaiting(org)
		c.Charge(org, 1)
		c.RemoveWaiting(org)
		c.Charge("busy", 2)
	}
	require.Less(t, len(c.served), 1000)
}
