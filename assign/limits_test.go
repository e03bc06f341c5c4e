package assign

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jasminelock/jasminelock/apierr"
	"github.com/jasminelock/jasminelock/catalog"
)

func (w *simulation) submitWithCost(number uint64, cost int64) RequestID {
	return w.submit(number, "a", func(r *Request) { r.Organisation, r.Cost = "o", cost })
}

// One organisation sends many times its rate. In every window it receives at most its rate, burst and slack, and
// nearly all of its rate and burst.
func TestRate_BoundedInEveryWindow(t *testing.T) {
	w := newSimulation(t, 1, 4, 3)
	w.run(50 * time.Millisecond)
	type use struct {
		at   time.Time
		cost int64
	}
	var used []use
	var number uint64
	for range 2400 {
		number++
		id := w.submitWithCost(number, 100)
		if _, refused := w.refused[id]; !refused {
			used = append(used, use{w.now, 100})
		}
		w.run(10 * time.Millisecond)
	}
	const limit = (1000*8+1000)*1.1 + 1000
	maxUsed := int64(0)
	for i := range used {
		sum := int64(0)
		for _, u := range used[i:] {
			if u.at.Sub(used[i].at) > 8*time.Second {
				break
			}
			sum += u.cost
		}
		maxUsed = max(maxUsed, sum)
	}
	require.LessOrEqual(t, float64(maxUsed), limit)
	require.Greater(t, float64(maxUsed), 9000.0, "the rate and the burst can be used")
}

func TestRate_RetryAfter(t *testing.T) {
	w := newSimulation(t, 1, 1, 3)
	w.run(50 * time.Millisecond)
	w.submitWithCost(1, 9000)
	w.run(time.Second)
	id := w.submitWithCost(2, 5000)
	r := w.refused[id]
	require.Equal(t, apierr.RateLimited, r.Kind)
	require.InDelta(t, 7, r.RetryAfter.Seconds(), 0.5)
	w.run(r.RetryAfter + 100*time.Millisecond)
	require.NotContains(t, w.refused, w.submitWithCost(3, 5000))
}

func TestRate_WithdrawnRequestRefunded(t *testing.T) {
	w := newSimulation(t, 1, 1, 3)
	w.run(50 * time.Millisecond)
	id := w.submitWithCost(1, 9000)
	w.handle(RequestWithdrawn{id})
	require.False(t, w.assigner.Exhausted(w.now, "o"))
	require.NotContains(t, w.refused, w.submitWithCost(2, 9000))
}

// All hosts are killed at once while an organisation is near its limit. The recorded usage survives, and the same
// usage reported by hosts is not counted twice.
func TestRate_UsageRestored(t *testing.T) {
	w := newSimulation(t, 1, 1, 3)
	w.run(50 * time.Millisecond)
	w.submitWithCost(1, 8000)
	var at time.Time
	var tokens float64
	w.assigner.EachUsage(w.now, 0.1, func(organisation string, when time.Time, n float64) {
		require.Equal(t, "o", organisation)
		at, tokens = when, tokens+n
	})
	require.InDelta(t, 8000, tokens, 1)
	w.run(time.Second)
	w.startLeader()
	w.assigner.RestoreUsage(w.now, at, "o", tokens)
	w.assigner.RecordUsage(w.now, at, "o", tokens)
	require.NotContains(t, w.refused, w.submitWithCost(2, 1000))
	require.Contains(t, w.refused, w.submitWithCost(3, 3000))
	w.assigner.RestoreEstimatedUsage(w.now, w.now.Add(-500*time.Millisecond), 500*time.Millisecond, "o")
	require.Contains(t, w.refused, w.submitWithCost(4, 500))
}

func TestRate_LowerRateAppliesImmediately(t *testing.T) {
	w := newSimulation(t, 1, 1, 3)
	w.run(50 * time.Millisecond)
	w.submitWithCost(1, 5000)
	w.config = catalog.NewConfig(catalog.ConfigParts{
		Version: 2, Services: []catalog.Service{*w.config.Service("s")},
		Organisations: []catalog.Organisation{{Name: "o", TokensPerSecond: 100, BurstTokens: 100}},
	})
	w.handle(ConfigUpdated{w.config})
	require.Contains(t, w.refused, w.submitWithCost(2, 500))
}

// Upstreams reject requests or fail. The number of retries stays below the fleet's fraction of all requests.
func TestRetryBudget_BoundsRetries(t *testing.T) {
	w := newSimulation(t, 1, 4, 3)
	w.run(50 * time.Millisecond)
	repeats := 0
	for i := range uint64(300) {
		w.submit(2*i+1, "a")
		id := w.submit(2*i+2, "a", func(r *Request) { r.Avoid = []string{"e9"} })
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
