package assign

import (
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jasminelock/jasminelock/fairshare"
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

// fairTurns returns the turns that each organisation gets if nobody is refused: each turn of the simulation goes to the
// organisation with a waiting request that has had the fewest, and one that was idle gets no credit.
func (w *simulation) fairTurns(loads []orgLoad) map[string]float64 {
	var arrivals, turns []time.Time
	organisation := map[time.Time][]string{}
	for id, at := range w.submittedAt {
		arrivals = append(arrivals, at)
		organisation[at] = append(organisation[at], strings.TrimRight(w.adapters[id], "0123456789"))
		if g, ok := w.granted[id]; ok {
			turns = append(turns, at.Add(g.Held))
		}
	}
	slices.SortFunc(arrivals, time.Time.Compare)
	arrivals = slices.Compact(arrivals)
	slices.SortFunc(turns, time.Time.Compare)
	counters, served := fairshare.NewCounters(), map[string]float64{}
	for _, turn := range turns {
		for len(arrivals) > 0 && !arrivals[0].After(turn) {
			for _, o := range organisation[arrivals[0]] {
				counters.AddWaiting(o)
			}
			arrivals = arrivals[1:]
		}
		first := ""
		for _, o := range loads {
			if counters.Waiting(o.name) > 0 && (first == "" || counters.Served(o.name) < counters.Served(first)) {
				first = o.name
			}
		}
		counters.Charge(first, 1)
		counters.RemoveWaiting(first)
		served[first]++
	}
	return served
}

// One organisation floods a service that has been idle. Guards against shares that are lost in the first seconds, by
// refusals or by counters that do not start at the same level. What an organisation does not ask for in these seconds is
// left to the others, so that shares of the whole time are no measure.
func TestRanked_FairInFirstSeconds(t *testing.T) {
	t.Parallel()
	loads := []orgLoad{
		{name: "a", perSecond: 60}, {name: "b", perSecond: 4}, {name: "c", perSecond: 4.5}, {name: "d", perSecond: 4}, {name: "e", perSecond: 5},
	}
	for seed := range uint64(10) {
		w := newRankedSimulation(t, 1, 1, "a0", "b0", "c0", "d0", "e0")
		w.prefillOfTokens = true
		w.configureWeights(loads)
		sent, served, _ := w.runShares(seed, loads, 10*time.Second)
		fair, total := w.fairTurns(loads), 0.0
		for _, n := range served {
			total += n
		}
		overall := maxMin(loads, sent, total)
		for _, o := range loads {
			t.Logf("seed %d, %s: served %.0f, %.0f without refusals, share of the whole time %.1f", seed, o.name, served[o.name], fair[o.name], overall[o.name])
			require.GreaterOrEqual(t, served[o.name], 0.9*fair[o.name], "seed %d, %s", seed, o.name)
		}
	}
}

// Two adapters of one organisation are in demand, one of them by far more requests, which have less time. Guards against an
// adapter that gets more turns than the other by either.
func TestRanked_FairBetweenAdapters(t *testing.T) {
	t.Parallel()
	loads := []struct {
		name      string
		perSecond float64
		timeout   time.Duration
	}{{"x", 60, 4 * time.Second}, {"y", 9, 8 * time.Second}}
	for seed := range uint64(3) {
		w := newRankedSimulation(t, 1, 1, "x", "y")
		random := rand.New(rand.NewPCG(seed, 4))
		n, sent := uint64(0), map[string]int{}
		const d = 30 * time.Second
		for end := w.now.Add(d); w.now.Before(end); w.run(5 * time.Millisecond) {
			for _, o := range loads {
				if random.Float64() < o.perSecond*0.005 {
					n++
					sent[o.name]++
					w.submit(n, o.name, func(r *Request) { r.Target, r.Deadline = w.now.Add(o.timeout/4), w.now.Add(o.timeout) })
				}
			}
		}
		served := map[string]int{}
		for id := range w.granted {
			served[w.adapters[id]]++
		}
		share := float64(served["x"]+served["y"]) / 2
		t.Logf("seed %d: sent %v, served %v, equal share %.1f", seed, sent, served, share)
		require.GreaterOrEqual(t, float64(served["y"]), 0.9*min(share, float64(sent["y"])))
	}
}

// Requests for one adapter wait, and then those of the same organisation for another, with more time. Guards against turns
// that go to one adapter alone until its requests have been served.
func TestRanked_AdaptersTakeTurns(t *testing.T) {
	w := newRankedSimulation(t, 1, 1, "x", "y")
	for i, name := range []string{"x", "y"} {
		for n := range uint64(60) {
			w.submit(100*uint64(i)+n+1, name, func(r *Request) {
				r.Target, r.Deadline = w.now.Add(time.Duration(5+5*i)*time.Second), w.now.Add(time.Duration(20+20*i)*time.Second)
			})
		}
	}
	before := len(w.granted)
	w.run(4 * time.Second)
	turns := map[string]int{}
	for id, g := range w.granted {
		if g.Ranked {
			turns[w.adapters[id]]++
		}
	}
	t.Logf("%d assigned at once, then turns %v", before, turns)
	require.Empty(t, w.refused)
	require.GreaterOrEqual(t, float64(turns["y"]), 0.9*float64(turns["x"]+turns["y"])/2)
}

// The configuration changes the weights while requests wait. Guards against weights that stay as they were.
func TestRanked_WeightsFollowConfiguration(t *testing.T) {
	t.Parallel()
	loads := []orgLoad{{name: "a", perSecond: 40}, {name: "b", perSecond: 40}}
	w := newRankedSimulation(t, 1, 1, "a0", "b0")
	w.prefillOfTokens = true
	_, equal, _ := w.runShares(1, loads, 20*time.Second)
	require.InDelta(t, 0.5, equal["a"]/(equal["a"]+equal["b"]), 0.05)
	for _, weights := range [][2]float64{{4, 1}, {1, 4}} {
		loads[0].weight, loads[1].weight = weights[0], weights[1]
		w.configureWeights(loads)
		_, served, _ := w.runShares(2, loads, 20*time.Second)
		a, b := served["a"], served["b"]
		want := weights[0] / (weights[0] + weights[1])
		t.Logf("weights %v: %.0f and %.0f turns", weights, a, b)
		require.InDelta(t, want, a/(a+b), 0.05)
	}
}
