package assign

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jasminelock/jasminelock/catalog"
)

// runRequest submits, starts and ends one request for an adapter that engines hold.
func (w *simulation) runRequest(number uint64, adapter string) {
	a := w.assigner
	r := Request{
		ID: RequestID{"h", number}, Service: "s", Organisation: "free", Adapter: catalog.AdapterRef{Model: simModel, Adapter: adapter},
		PromptTokens: 500, OutputTokens: 50, Zone: "z", Arrived: w.now, Target: w.now.Add(time.Second), Deadline: w.now.Add(4 * time.Second),
	}
	a.Handle(w.now, RequestSubmitted{r})
	a.Handle(w.now, FirstByteReceived{r.ID})
	a.Handle(w.now, AttemptEnded{ID: r.ID, Outcome: Completed})
}

// newSimulationWithResidentAdapters returns a simulation in which each engine holds an adapter of its own and one
// that all engines hold.
func newSimulationWithResidentAdapters(t *testing.T, engines int) *simulation {
	w := newSimulation(t, 1, engines, 6)
	for id, e := range w.engines {
		e.held["own"+id] = 1
		e.held["all"] = 1
	}
	w.run(5 * time.Millisecond)
	return w
}

// The cost of a request must not grow with the number of engines.
func TestRequestCost_IndependentOfEngines(t *testing.T) {
	allocations := func(engines int) float64 {
		w := newSimulationWithResidentAdapters(t, engines)
		n := uint64(0)
		return testing.AllocsPerRun(200, func() {
			n++
			w.now = w.now.Add(time.Millisecond)
			w.runRequest(n, "owne1")
		})
	}
	small, large := allocations(12), allocations(1900)
	require.LessOrEqual(t, large, small+4)
}

// hotAdapterEngines are the numbers of engines at which the cost of a request for an adapter that all of them hold is measured.
var hotAdapterEngines = []int{30, 300, 1900, 3000}

// maxRequestOptions bounds the options that are evaluated to choose an upstream for one request, whatever the number of
// engines: the holders of its adapter, the one that held it last or the prefix of the prompt, and the sample.
const maxRequestOptions = maxEvaluatedHolders + 2 + sampledCandidates

// optionsPerRequest returns the mean number of options evaluated for a request for an adapter that all engines hold.
func (w *simulation) optionsPerRequest(requests uint64) float64 {
	before := w.assigner.optionsEvaluated
	for n := range requests {
		w.now = w.now.Add(time.Millisecond)
		w.runRequest(n+1, "all")
		w.assigner.Handle(w.now, Tick{})
		w.assigner.NextWakeup(w.now)
	}
	return float64(w.assigner.optionsEvaluated-before) / float64(requests)
}

// Guards against a number of options considered per request that grows with the number of engines that hold its adapter.
func TestRequestCost_HotAdapter(t *testing.T) {
	requireBoundedOptions(t, newSimulationWithResidentAdapters)
}

// requireBoundedOptions requires that the options evaluated per request for hotAdapter are bounded, whatever the number of engines.
func requireBoundedOptions(t *testing.T, newSimulation func(t *testing.T, engines int) *simulation) {
	t.Helper()
	for _, engines := range hotAdapterEngines {
		t.Run(fmt.Sprintf("%d engines", engines), func(t *testing.T) {
			got := newSimulation(t, engines).optionsPerRequest(200)
			t.Logf("%.0f options evaluated per request", got)
			require.LessOrEqual(t, got, float64(maxRequestOptions))
		})
	}
}

// As TestRequestCost_HotAdapter, in a ranked service in which requests of many organisations wait for other adapters.
func TestRequestCost_HotAdapterBesideQueue(t *testing.T) {
	t.Parallel()
	const pass = maxQueuesPerPass * maxFailedTries * (sampledCandidates + 2) / 10
	for _, engines := range hotAdapterEngines {
		t.Run(fmt.Sprintf("%d engines", engines), func(t *testing.T) {
			w := newRankedSimulationWithQueue(t, engines)
			got := w.optionsPerRequest(200)
			t.Logf("%d waiting: %.0f options evaluated per request", w.assigner.Waiting(), got)
			require.LessOrEqual(t, got, float64(pass+maxRequestOptions+3*maxFailedTries))
		})
	}
}

func BenchmarkRequest_HotAdapter(b *testing.B) {
	for _, engines := range hotAdapterEngines {
		b.Run(fmt.Sprintf("engines=%d", engines), func(b *testing.B) {
			w := newSimulationWithResidentAdapters(&testing.T{}, engines)
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

func BenchmarkRequest(b *testing.B) {
	for _, engines := range []int{12, 120, 1900} {
		b.Run(fmt.Sprintf("engines=%d", engines), func(b *testing.B) {
			w := newSimulationWithResidentAdapters(&testing.T{}, engines)
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
