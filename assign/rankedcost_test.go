package assign

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jasminelock/jasminelock/catalog"
)

const (
	costWaiting       = 10_000
	costOrganisations = 1000
)

// newRankedSimulationWithQueue returns a simulation of a ranked service in which requests of many organisations are
// queued for adapters that no engine holds.
func newRankedSimulationWithQueue(t *testing.T, engines int) *simulation {
	w := newSimulation(t, 1, engines, 6)
	for id, e := range w.engines {
		e.held["own"+id] = 1
		e.held["all"] = 1
	}
	w.startRankedLeader()
	w.run(5 * time.Millisecond)
	longDeadline := func(org int) func(r *Request) {
		return func(r *Request) {
			r.Organisation = fmt.Sprintf("org%d", org)
			r.Target, r.Deadline = w.now.Add(3000*time.Second), w.now.Add(10_000*time.Second)
		}
	}
	for n := range costWaiting {
		w.submit(uint64(n+1_000_000), fmt.Sprintf("cold%d", n%(costWaiting/2)), longDeadline(n%costOrganisations))
	}
	require.Greater(t, w.assigner.Waiting(), costWaiting/2)
	return w
}

// Guards against a number of options considered per request that grows with the number of engines or of waiting requests,
// for an adapter that one engine holds. The bound is the sum of the choice of an upstream, a pass over the first queues every
// 10 ms, and the queues of the engine when the request starts and when it ends.
func TestRanked_CostIndependentOfQueueLength(t *testing.T) {
	t.Parallel()
	const requests = 200
	const pass = maxQueuesPerPass * maxFailedTries * (sampledCandidates + 2) / 10
	for _, engines := range []int{30, 300, 3000} {
		w := newRankedSimulationWithQueue(t, engines)
		before := w.assigner.optionsEvaluated
		for n := range uint64(requests) {
			w.now = w.now.Add(time.Millisecond)
			w.runRequest(n+1, "owne1")
			w.assigner.Handle(w.now, Tick{})
			w.assigner.NextWakeup(w.now)
		}
		got := float64(w.assigner.optionsEvaluated-before) / requests
		t.Logf("%d engines, %d waiting: %.0f options evaluated per request", engines, w.assigner.Waiting(), got)
		require.LessOrEqual(t, got, float64(pass+evaluateAllLimit+3*maxFailedTries))
	}
}

func BenchmarkRankedRequest(b *testing.B) {
	for _, engines := range []int{30, 300, 3000} {
		b.Run(fmt.Sprintf("engines=%d", engines), func(b *testing.B) {
			w := newRankedSimulationWithQueue(&testing.T{}, engines)
			b.ReportAllocs()
			n, before := uint64(0), w.assigner.optionsEvaluated
			for b.Loop() {
				n++
				w.now = w.now.Add(time.Millisecond)
				w.runRequest(n, "owne1")
				w.assigner.Handle(w.now, Tick{})
			}
			b.ReportMetric(float64(w.assigner.optionsEvaluated-before)/float64(n), "options/op")
		})
	}
}

// BenchmarkRankedAdmission measures the submission of a request that is queued, with the estimate of its turn, beside
// requests of many organisations.
func BenchmarkRankedAdmission(b *testing.B) {
	w := newRankedSimulationWithQueue(&testing.T{}, 30)
	n := uint64(10_000_000)
	b.ReportAllocs()
	for b.Loop() {
		n++
		r := Request{
			ID: RequestID{"h", n}, Service: "s", Organisation: fmt.Sprintf("org%d", n%costOrganisations),
			Adapter: catalog.AdapterRef{Model: simModel, Adapter: fmt.Sprintf("cold%d", n%5000)}, PromptTokens: 500, OutputTokens: 50,
			Arrived: w.now, Target: w.now.Add(time.Second), Deadline: w.now.Add(9000 * time.Second),
		}
		w.assigner.Handle(w.now, RequestSubmitted{r})
		w.assigner.Handle(w.now, RequestWithdrawn{r.ID})
	}
}
