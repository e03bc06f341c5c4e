package assign

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jasminelock/jasminelock/apierr"
	"github.com/jasminelock/jasminelock/catalog"
)

func (w *world) askCost(number uint64, cost int64) RequestID {
	return w.ask(number, "a", func(r *Request) { r.Organisation, r.Cost = "o", cost })
}

// Pattern: one organisation sends many times its rate. Over any window it gets
// no more than its rate and burst and the slack; it gets nearly all of them.
func TestNoWindowHoldsMoreThanTheRateAllows(t *testing.T) {
	w := newWorld(t, 1, 4, 3)
	w.run(50 * time.Millisecond)
	type use struct {
		at   time.Time
		cost int64
	}
	var used []use
	var number uint64
	for range 2400 {
		number++
		id := w.askCost(number, 100)
		if _, refused := w.refused[id]; !refused {
			used = append(used, use{w.now, 100})
		}
		w.run(10 * time.Millisecond)
	}
	const most = (1000*8+1000)*1.1 + 1000
	best := int64(0)
	for i := range used {
		sum := int64(0)
		for _, u := range used[i:] {
			if u.at.Sub(used[i].at) > 8*time.Second {
				break
			}
			sum += u.cost
		}
		best = max(best, sum)
	}
	require.LessOrEqual(t, float64(best), most)
	require.Greater(t, float64(best), 9000.0, "the rate and the burst are given")
}

func TestARefusalTellsWhenTheRateIsFree(t *testing.T) {
	w := newWorld(t, 1, 1, 3)
	w.run(50 * time.Millisecond)
	w.askCost(1, 9000)
	w.run(time.Second)
	id := w.askCost(2, 5000)
	r := w.refused[id]
	require.Equal(t, apierr.RateLimited, r.Kind)
	require.InDelta(t, 7, r.RetryAfter.Seconds(), 0.5)
	w.run(r.RetryAfter + 100*time.Millisecond)
	require.NotContains(t, w.refused, w.askCost(3, 5000))
}

func TestWhatHasNotRunCostsNothing(t *testing.T) {
	w := newWorld(t, 1, 1, 3)
	w.run(50 * time.Millisecond)
	id := w.askCost(1, 9000)
	w.handle(RequestWithdrawn{id})
	require.False(t, w.assigner.Exhausted(w.now, "o"))
	require.NotContains(t, w.refused, w.askCost(2, 9000))
}

// Pattern: every host is killed at once while an organisation is at its limit.
// The record outlives them, and what hosts tell of the same use is not counted
// twice.
func TestUsageIsRecalled(t *testing.T) {
	w := newWorld(t, 1, 1, 3)
	w.run(50 * time.Millisecond)
	w.askCost(1, 8000)
	var at time.Time
	var tokens float64
	w.assigner.EachUsage(w.now, 0.1, func(organisation string, when time.Time, n float64) {
		require.Equal(t, "o", organisation)
		at, tokens = when, tokens+n
	})
	require.InDelta(t, 8000, tokens, 1)
	w.run(time.Second)
	w.lead()
	w.assigner.RestoreUsage(w.now, at, "o", tokens)
	w.assigner.RecordUsage(w.now, at, "o", tokens)
	require.NotContains(t, w.refused, w.askCost(2, 1000))
	require.Contains(t, w.refused, w.askCost(3, 3000))
	w.assigner.RestoreEstimatedUsage(w.now, w.now.Add(-500*time.Millisecond), 500*time.Millisecond, "o")
	require.Contains(t, w.refused, w.askCost(4, 500))
}

func TestALowerRateHoldsAtOnce(t *testing.T) {
	w := newWorld(t, 1, 1, 3)
	w.run(50 * time.Millisecond)
	w.askCost(1, 5000)
	w.config = catalog.NewConfig(catalog.ConfigParts{
		Version: 2, Services: []catalog.Service{*w.config.Service("s")},
		Organisations: []catalog.Organisation{{Name: "o", TokensPerSecond: 100, BurstTokens: 100}},
	})
	w.handle(ConfigUpdated{w.config})
	require.Contains(t, w.refused, w.askCost(2, 500))
}

// Pattern: upstreams turn requests away or fail. What is sent again stays below
// the fleet's part of all requests.
func TestRepeatsAreBounded(t *testing.T) {
	w := newWorld(t, 1, 4, 3)
	w.run(50 * time.Millisecond)
	repeats := 0
	for i := range uint64(300) {
		w.ask(2*i+1, "a")
		id := w.ask(2*i+2, "a", func(r *Request) { r.Avoid = []string{"e9"} })
		if r, refused := w.refused[id]; refused {
			require.Equal(t, "retry_budget", r.Rule)
		} else {
			repeats++
		}
		w.run(20 * time.Millisecond)
	}
	require.LessOrEqual(t, float64(repeats), 0.2*300+50)
	require.Greater(t, repeats, 20)
}
