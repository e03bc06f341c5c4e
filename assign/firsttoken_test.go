package assign

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// unevenReport is a quality of the load reports: the age of the pace in them, the fraction of them that state no pace, and
// the Assigner's scheduling. With ByUrgency, the Assigner learns the pace from measurements (LearnPace).
type unevenReport struct {
	name       string
	age        time.Duration
	missing    float64
	scheduling Scheduling
}

var unevenReports = []unevenReport{
	{name: "current"},
	{name: "old", age: 200 * time.Millisecond},
	{name: "half missing", missing: 0.5},
	{name: "missing", missing: 1, scheduling: ByUrgency},
}

// unevenLoads are 0.6 and 0.78 of 100 requests per second, at which the oracle's times grow without bound.
var unevenLoads = []float64{60, 78}

const unevenSeeds = 3

// unevenOracle returns the oracle's 95th percentile over all seeds.
func unevenOracle(perSecond float64) time.Duration {
	var times []time.Duration
	for seed := range uint64(unevenSeeds) {
		f := newUnevenFleet(seed, perSecond, ByArrival)
		f.run(f.oracle)
		times = append(times, f.firstTokenTimes()...)
	}
	return percentile95(times)
}

// unevenResult returns the 95th percentile over all seeds with an Assigner.
func unevenResult(t *testing.T, perSecond float64, reports unevenReport) time.Duration {
	var times []time.Duration
	for seed := range uint64(unevenSeeds) {
		f := newUnevenFleet(seed, perSecond, reports.scheduling)
		f.reportAge = reports.age
		random := rand.New(rand.NewPCG(seed, 9))
		f.reported = func() bool { return random.Float64() >= reports.missing }
		f.run(f.submit)
		require.Zero(t, f.refused)
		times = append(times, f.firstTokenTimes()...)
	}
	return percentile95(times)
}

// Engines of uneven speed, some of them slower for a moment, with requests of very different cost. Guards against requests
// that queue behind others on slow engines because the pace or the remaining work of the engines is not considered.
func TestUnevenEngines_TimeToFirstToken(t *testing.T) {
	for _, perSecond := range unevenLoads {
		oracle := unevenOracle(perSecond)
		for _, reports := range unevenReports {
			t.Run(fmt.Sprintf("%g per second, reports %s", perSecond, reports.name), func(t *testing.T) {
				got := unevenResult(t, perSecond, reports)
				t.Logf("p95 %s, oracle %s, ratio %.2f", got, oracle, float64(got)/float64(oracle))
				require.LessOrEqual(t, float64(got), unevenRatio*float64(oracle))
			})
		}
	}
}

// Guards against a new leader that does not know the engines' paces within a second, from the answers to its own and to
// adopted requests.
func TestUnevenEngines_NewLeaderLearnsPace(t *testing.T) {
	const changeAt = 10 * time.Second
	f := newUnevenFleet(1, unevenLoads[1], ByArrival)
	f.schedule(f.start.Add(changeAt), func() {
		f.startLeader(2)
		for _, r := range f.requests {
			for _, e := range f.engines {
				switch {
				case slices.Contains(e.waiting, r):
					f.handle(RequestAdopted{Request: r.request, Upstream: e.id})
				case slices.Contains(e.streams, r):
					f.handle(RequestAdopted{Request: r.request, Upstream: e.id, FirstByteReceived: true})
				}
			}
		}
	})
	known := 0
	f.schedule(f.start.Add(changeAt+time.Second), func() {
		for _, s := range f.assigner.UpstreamStats(f.now) {
			speed := f.byID[s.ID].speed
			if s.PaceStated && s.SlowPace > 0.9*speed && s.SlowPace < 1.1*speed {
				known++
			}
		}
	})
	f.run(f.submit)
	require.GreaterOrEqual(t, known, unevenEngines-unevenEngines/6, "an engine that is slow at that moment may not be known yet")
}

// The bound must find an Assigner that does not consider the pace: the one of a service whose upstreams state none.
func TestUnevenEngines_PaceIgnored(t *testing.T) {
	t.Parallel()
	perSecond := unevenLoads[len(unevenLoads)-1]
	oracle := unevenOracle(perSecond)
	got := unevenResult(t, perSecond, unevenReport{missing: 1})
	t.Logf("p95 %s, oracle %s, ratio %.2f", got, oracle, float64(got)/float64(oracle))
	require.Greater(t, float64(got), unevenRatio*float64(oracle))
}
