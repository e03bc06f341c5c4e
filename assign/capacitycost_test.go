package assign

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against an event of an upstream that has the next arrival scan all upstreams for the capacity of the service.
// All are scanned at most once per capacityMaxAge.
func TestRanked_CapacityCostIndependentOfUpstreams(t *testing.T) {
	t.Parallel()
	const arrivals = 200
	for _, engines := range []int{30, 1900} {
		w := newArrivalSimulation(t, engines, 1000, 1)
		start, before := w.now, w.assigner.rankStats.scanned
		for n := range uint64(arrivals) {
			w.now = w.now.Add(time.Millisecond)
			w.assigner.Handle(w.now, LoadStated{Upstream: "e1", StartedAt: 1, Load: Load{Pace: 1}})
			arrive(w, n+20_000_000)
		}
		got := float64(w.assigner.rankStats.scanned - before)
		t.Logf("%d engines: %.1f upstreams scanned per arrival", engines, got/arrivals)
		scans := float64(w.now.Sub(start)/capacityMaxAge + 1)
		require.LessOrEqual(t, got, 2*arrivals+scans*float64(engines))
	}
}
