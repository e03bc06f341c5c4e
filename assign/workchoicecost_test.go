package assign

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// newPacedSimulation is like newSimulationWithResidentAdapters, with engines that have stated their pace.
func newPacedSimulation(t *testing.T, engines int) *simulation {
	w := newSimulationWithResidentAdapters(t, engines)
	for id := range w.engines {
		w.assigner.Handle(w.now, LoadStated{Upstream: id, StartedAt: 1, Load: Load{Pace: 1 + w.random.Float64()}})
	}
	return w
}

// The number of upstreams that are considered for a request must not grow with the service beyond the evaluated sample.
func TestWorkChoice_IndependentOfEngines(t *testing.T) {
	const requests = 200
	evaluated := func(engines int) uint64 {
		w := newPacedSimulation(t, engines)
		before := w.assigner.optionsEvaluated
		for n := range uint64(requests) {
			w.now = w.now.Add(time.Millisecond)
			w.runRequest(n, "owne1")
		}
		return w.assigner.optionsEvaluated - before
	}
	require.LessOrEqual(t, evaluated(1900), evaluated(2*evaluateAllLimit)+requests)
}

// Guards against a number of options considered per request that grows with the number of engines that hold its adapter, if
// upstreams are chosen by work.
func TestWorkChoice_HotAdapter(t *testing.T) {
	requireBoundedOptions(t, newPacedSimulation)
}

func BenchmarkWorkChoice_HotAdapter(b *testing.B) {
	for _, engines := range hotAdapterEngines {
		b.Run(fmt.Sprintf("engines=%d", engines), func(b *testing.B) {
			w := newPacedSimulation(&testing.T{}, engines)
			b.ReportAllocs()
			n, before := uint64(0), w.assigner.optionsEvaluated
			for b.Loop() {
				n++
				w.now = w.now.Add(time.Millisecond)
				w.runRequest(n, "all")
			}
			b.ReportMetric(float64(w.assigner.optionsEvaluated-before)/float64(n), "options/op")
		})
	}
}

func BenchmarkWorkChoice(b *testing.B) {
	for _, engines := range []int{30, 300, 1900} {
		b.Run(fmt.Sprintf("engines=%d", engines), func(b *testing.B) {
			w := newPacedSimulation(&testing.T{}, engines)
			b.ReportAllocs()
			n := uint64(0)
			for b.Loop() {
				n++
				w.now = w.now.Add(time.Millisecond)
				w.runRequest(n, "owne1")
			}
		})
	}
}
