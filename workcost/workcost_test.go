package workcost

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"
)

// observe records n requests whose work has the given median and log-spread.
func observe(l *Learner, random *rand.Rand, k Key, n int, prior, median, spread float64) {
	for range n {
		l.Observe(k, prior, median*math.Exp(spread*random.NormFloat64()))
	}
}

func TestEstimate_PriorWithoutObservations(t *testing.T) {
	require.InDelta(t, 500, New(10).Estimate(Key{Route: "r"}, 500).Median, 1e-9)
}

// A learner that averaged the work itself would be far off, since few large requests dominate the sum.
func TestEstimate_MedianAndSpread(t *testing.T) {
	l, random := New(100), rand.New(rand.NewPCG(1, 1))
	k := Key{Route: "r", Organisation: "o", Adapter: "a"}
	observe(l, random, k, 400, 500, 80, 1.5)
	got := l.Estimate(k, 500)
	require.InDelta(t, math.Log(80), math.Log(got.Median), 0.35)
	require.InDelta(t, 1.5, got.Spread, 0.3)
	require.InDelta(t, got.Median*math.Exp(got.Spread*got.Spread/2), got.Mean(), 1e-6)
}

// A new organisation or adapter starts from what is known of its route, and moves to its own figure with its requests.
func TestEstimate_Hierarchy(t *testing.T) {
	l, random := New(1000), rand.New(rand.NewPCG(2, 1))
	for i := range 20 {
		observe(l, random, Key{Route: "r", Organisation: fmt.Sprint("o", i)}, 30, 500, 80, 0.3)
	}
	unseen := Key{Route: "r", Organisation: "new", Adapter: "x"}
	require.InDelta(t, 80, l.Estimate(unseen, 500).Median, 25)
	observe(l, random, unseen, 40, 500, 2000, 0.3)
	require.Greater(t, l.Estimate(unseen, 500).Median, 1200.0)
	require.InDelta(t, 80, l.Estimate(Key{Route: "r", Organisation: "o3"}, 500).Median, 40)
	require.InDelta(t, 500, l.Estimate(Key{Route: "other", Organisation: "new"}, 500).Median, 1e-9, "another route")
	require.InDelta(t, 500, l.Estimate(Key{Route: "r", Organisation: "new", Hinted: true}, 500).Median, 1e-9)
}

// A hint that is right at the median keeps its value however much the hinted lengths differ.
func TestEstimate_Hints(t *testing.T) {
	l, random := New(100), rand.New(rand.NewPCG(3, 1))
	k := Key{Route: "r", Hinted: true}
	for range 300 {
		actual := 100 * math.Exp(1.6*random.NormFloat64())
		l.Observe(k, actual*math.Exp(0.5*random.NormFloat64()), actual)
	}
	got := l.Estimate(k, 40)
	require.InDelta(t, 40, got.Median, 6)
	require.InDelta(t, 0.5, got.Spread, 0.1)
}

// Guards against recording figures that are not positive, and against an infinite figure that makes an estimate infinite.
func TestObserve_InvalidFigures(t *testing.T) {
	l := New(10)
	for _, figure := range []float64{0, -1, math.NaN()} {
		l.Observe(Key{Route: "r"}, 500, figure)
		l.Observe(Key{Route: "r"}, figure, 500)
	}
	require.Zero(t, l.Len())
	l.Observe(Key{Route: "r"}, 1, math.Inf(1))
	require.False(t, math.IsInf(l.Estimate(Key{Route: "r"}, 1).Mean(), 0))
}

// Guards against memory that grows with the number of adapters, which callers choose, and against the loss of entries in use.
func TestLearner_Bounded(t *testing.T) {
	l := New(30)
	used := Key{Route: "r", Organisation: "o", Adapter: "used"}
	for i := range 1000 {
		l.Observe(used, 10, 100)
		l.Observe(Key{Route: "r", Organisation: "o", Adapter: fmt.Sprint(i)}, 10, 10)
	}
	require.Equal(t, 30, l.Len())
	require.Len(t, l.entries, 30)
	require.Greater(t, l.Estimate(used, 10).Median, 60.0)
}

func BenchmarkObserve(b *testing.B) {
	for _, entries := range []int{100, 100_000} {
		b.Run(fmt.Sprint("entries=", entries), func(b *testing.B) {
			l := New(entries)
			for i := range entries {
				l.Observe(Key{Route: "r", Organisation: fmt.Sprint(i)}, 10, 10)
			}
			b.ReportAllocs()
			k := Key{Route: "r", Organisation: "1", Adapter: "a"}
			for b.Loop() {
				l.Observe(k, 10, 12)
				l.Estimate(k, 10)
			}
		})
	}
}
