package assign

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a page of shares that leaves out organisations, or states shares that the work done contradicts.
func TestRanked_SharesForOperators(t *testing.T) {
	loads := []orgLoad{{name: "a", perSecond: 60, weight: 3}, {name: "b", perSecond: 20, weight: 1}}
	w := newRankedSimulation(t, 1, 1, "a0", "b0")
	w.prefillOfTokens = true
	w.configureWeights(loads)
	w.runShares(1, loads, 30*time.Second)
	shares := w.assigner.OrganisationShares(w.now)
	require.Len(t, shares, 2)
	for i, want := range []float64{0.75, 0.25} {
		require.Equal(t, "s", shares[i].Service)
		require.Equal(t, loads[i].name, shares[i].Organisation)
		require.InDelta(t, want, shares[i].WeightShare, 0.001)
		require.InDelta(t, want, shares[i].WorkShare, 0.05)
		require.Positive(t, shares[i].Waiting)
	}
}

// Guards against refusals that do not say what the decision was made from, and against grants without the estimate.
func TestRanked_DecisionsExplainThemselves(t *testing.T) {
	w := newRankedSimulation(t, 1, 1, "a")
	for n := range uint64(200) {
		w.submit(n+1, "a", func(r *Request) { r.Priority = 1 })
	}
	w.run(2 * time.Second)
	require.NotEmpty(t, w.refused)
	for _, r := range w.refused {
		require.Equal(t, Turn, r.Rule)
		require.Regexp(t, `^rank 3, turn in \d+ ms, \d+ requests with \d+ ms of work ahead$`, r.Detail)
	}
	waited := 0
	for _, g := range w.granted {
		if g.Ranked {
			waited++
			require.GreaterOrEqual(t, g.Turn, time.Duration(0))
			require.InDelta(t, g.Turn.Seconds(), g.Held.Seconds(), 0.5)
		} else {
			require.Zero(t, g.Held)
		}
	}
	require.Greater(t, waited, 10)
}
