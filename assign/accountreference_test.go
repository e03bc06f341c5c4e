package assign

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jasminelock/jasminelock/catalog"
)

// randomLine is a line with random requests. Its methods with the prefix reference visit all of them.
type randomLine struct {
	*line
	now     time.Time
	random  *rand.Rand
	queues  map[queueKey]*queue
	waiting []*requestState
	number  uint64
}

func newRandomLine(seed uint64) *randomLine {
	l := newLine(&service{name: "s"}, newWeights(catalog.NewConfig(catalog.ConfigParts{})), &rankStats{})
	return &randomLine{line: l, now: time.Unix(1_000_000, 0), random: rand.New(rand.NewPCG(seed, 3)), queues: map[queueKey]*queue{}}
}

// push adds a request with random times, which are equal to those of others at times. Two models have adapters of the same
// names.
func (l *randomLine) push(adapters int, limit time.Duration) *requestState {
	l.number++
	adapter := catalog.AdapterRef{Model: "m" + string("12"[l.random.IntN(2)]), Adapter: fmt.Sprintf("a%d", l.random.IntN(adapters))}
	steps := func(d time.Duration) time.Duration { return d / 50 * time.Duration(l.random.IntN(51)) }
	e := &requestState{request: Request{
		ID: RequestID{"h", l.number}, Service: "s", Organisation: fmt.Sprintf("org%d", l.random.IntN(2)), Adapter: adapter,
		Priority: l.random.IntN(2), Arrived: l.now, Target: l.now.Add(steps(limit)),
	}}
	e.work, e.lastUseful, e.line = time.Duration(1+l.random.IntN(1000))*time.Millisecond, l.now.Add(steps(limit)), l.line
	l.arrived(l.now, e.request.Rank(), e)
	key := queueKey{"s", adapter}
	if l.queues[key] == nil {
		l.queues[key] = &queue{key: key}
	}
	l.add(l.now, l.queues[key], e)
	l.waiting = append(l.waiting, e)
	return e
}

func (l *randomLine) drop() {
	i := l.random.IntN(len(l.waiting))
	e := l.waiting[i]
	l.remove(l.queues[queueKey{"s", e.request.Adapter}], e)
	l.waiting = slices.Delete(l.waiting, i, i+1)
}

// advance advances the time, and changes the rate of work and the gap between turns.
func (l *randomLine) advance(d time.Duration) {
	l.now = l.now.Add(d)
	l.sweep(l.now)
	l.prior.gap = time.Duration(l.random.IntN(3)) * 30 * time.Millisecond
	l.updateIntervals(l.now, math.Exp2(float64(l.random.IntN(10))))
}

// of returns the requests of an entry's rank and organisation, by adapter.
func (l *randomLine) of(entry *waitingEntry) map[string][]*waitingEntry {
	all := map[string][]*waitingEntry{}
	for _, e := range l.waiting {
		if e.waiting.CurrentRank() == entry.CurrentRank() && e.request.Organisation == entry.Organisation {
			all[e.request.Adapter.Adapter] = append(all[e.request.Adapter.Adapter], e.waiting)
		}
	}
	return all
}

func referenceDueBefore(x, y *waitingEntry) bool {
	if !x.LastUseful.Equal(y.LastUseful) {
		return x.LastUseful.Before(y.LastUseful)
	}
	return x.Sequence() < y.Sequence()
}

func (l *randomLine) referenceAhead(entry *waitingEntry) (time.Duration, float64) {
	own, count := time.Duration(0), 0.0
	all := l.of(entry)
	for _, other := range all[entry.Value.request.Adapter.Adapter] {
		if other != entry && referenceDueBefore(other, entry) {
			own += other.Work
			count++
		}
	}
	total, share := own, own+2*entry.Work
	for name, entries := range all {
		if name == entry.Value.request.Adapter.Adapter {
			continue
		}
		work := time.Duration(0)
		for _, other := range entries {
			work += other.Work
		}
		served := min(work, share)
		total += served
		count += float64(len(entries)) * float64(served) / float64(work)
	}
	return total, count
}

func sortByLastUseful(entries []*waitingEntry) {
	slices.SortFunc(entries, func(x, y *waitingEntry) int { return x.LastUseful.Compare(y.LastUseful) })
}

func (l *randomLine) referenceEndangersOthers(entry *waitingEntry) bool {
	interval, margin := l.interval(entry)
	drain := l.ranks[entry.CurrentRank()].drain
	turn := func(ahead int) time.Duration { return min(interval*time.Duration(ahead), drain) }
	var later []*waitingEntry
	before := 0
	for _, other := range l.of(entry)[entry.Value.request.Adapter.Adapter] {
		switch {
		case other == entry:
		case referenceDueBefore(other, entry):
			before++
		default:
			later = append(later, other)
		}
	}
	sortByLastUseful(later)
	for i, other := range later {
		left := other.LastUseful.Sub(l.now)
		if turn(before+i) <= left && turn(before+i+1)+margin > left {
			return true
		}
	}
	return false
}

func (l *randomLine) referenceEndangersLate(entry *waitingEntry, wait time.Duration) bool {
	if l.now.After(entry.Target) || float64(wait) <= freeFraction*float64(entry.LastUseful.Sub(l.now)) {
		return false
	}
	r := l.ranks[entry.CurrentRank()]
	rate := r.accounts[entry.Organisation].arrivals.rate(l.now)
	if r.interval <= 0 || rate < overloadRatio*entry.Work.Seconds()/r.interval.Seconds() {
		return false
	}
	interval, margin := l.interval(entry)
	for _, entries := range l.of(entry) {
		var late []*waitingEntry
		for _, e := range entries {
			if l.now.After(e.Target) {
				late = append(late, e)
			}
		}
		sortByLastUseful(late)
		for i, e := range late {
			left := e.LastUseful.Sub(l.now)
			if interval*time.Duration(i+len(entries)-len(late))+margin > left && left > interval {
				return true
			}
		}
	}
	return false
}

// Guards against estimates and checks of an arrival that differ from those computed from all waiting requests.
func TestAccount_SameAsReference(t *testing.T) {
	t.Parallel()
	answers := map[string]int{}
	for seed := range uint64(200) {
		l := newRandomLine(seed)
		adapters, limit := 1+l.random.IntN(4), time.Duration(1+l.random.IntN(40))*time.Second
		size := 1 + l.random.IntN(60)
		for range 300 {
			switch n := l.random.IntN(10); {
			case n < 5 || len(l.waiting) == 0:
				l.push(adapters, limit)
			case n < 8 && len(l.waiting) > size:
				l.drop()
			case n < 8:
				l.push(adapters, limit)
			default:
				l.advance(time.Duration(l.random.IntN(2)) * limit / time.Duration(10+l.random.IntN(100)))
			}
			if len(l.waiting) == 0 {
				continue
			}
			entry := l.waiting[l.random.IntN(len(l.waiting))].waiting
			work, count := l.ranks[entry.CurrentRank()].accounts[entry.Organisation].ahead(entry)
			wantWork, wantCount := l.referenceAhead(entry)
			require.Equal(t, wantWork, work, "seed %d", seed)
			require.InDelta(t, wantCount, count, 1e-9*(1+wantCount), "seed %d", seed)
			others := l.endangersOthers(l.now, entry)
			require.Equal(t, l.referenceEndangersOthers(entry), others, "seed %d", seed)
			wait := time.Duration(l.random.IntN(2)) * limit
			late := l.endangersLate(l.now, entry, wait)
			require.Equal(t, l.referenceEndangersLate(entry, wait), late, "seed %d", seed)
			answers[fmt.Sprint("others ", others)]++
			answers[fmt.Sprint("late ", late)]++
		}
	}
	t.Log(answers)
	for _, answer := range []string{"others true", "others false", "late true", "late false"} {
		require.Greater(t, answers[answer], 500, answer)
	}
}

// newSteadyQueue returns the requests of one adapter whose last useful moments are an interval apart, as in an overload that
// lasts, and whose turns come the given number of intervals before.
func newSteadyQueue(n int, interval, slack time.Duration, targets time.Duration) (*randomLine, *waitingEntry) {
	l := newRandomLine(1)
	q := &queue{key: queueKey{service: "s"}}
	var first *waitingEntry
	for i := range n {
		l.number++
		e := &requestState{request: Request{ID: RequestID{"h", l.number}, Service: "s", Arrived: l.now, Target: l.now.Add(targets)}}
		e.work, e.line, e.lastUseful = interval, l.line, l.now.Add(slack+interval*time.Duration(i+1))
		l.add(l.now, q, e)
		if i == 0 {
			first = e.waiting
		}
	}
	return l, first
}

// Guards against checks of an arrival that visit all requests behind it if each of them has nearly as much time as the next.
func TestAccount_ChecksOfSteadyQueue(t *testing.T) {
	t.Parallel()
	const interval = 10 * time.Millisecond
	for _, n := range []int{10, 1000, 10_000} {
		for _, slack := range []int{2, 5, 20, 200} {
			for _, targets := range []time.Duration{-time.Second, time.Hour} {
				l, first := newSteadyQueue(n, interval, time.Duration(slack)*interval, targets)
				acct := l.ranks[first.CurrentRank()].accounts[""]
				held := acct.adapters[""]
				acct.expire(l.now)
				// The first check computes the slacks for the interval.
				held.losesLater(l.now, first, turnTimes{interval: interval, drain: time.Hour})
				held.losesLate(l.now, interval, 0)
				before := l.stats.visited
				require.False(t, held.losesLater(l.now, first, turnTimes{interval: interval, drain: time.Hour}))
				others := l.stats.visited - before
				require.False(t, held.losesLate(l.now, interval, 0))
				t.Logf("%d waiting, %d intervals to spare, targets in %s: %d and %d visits", n, slack, targets, others, l.stats.visited-before-others)
				require.LessOrEqual(t, float64(l.stats.visited-before), 40*math.Log2(float64(n)+2))
			}
		}
	}
}
