package assign

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jasminelock/jasminelock/catalog"
)

// newArrivalSimulation returns a simulation of a ranked service in which requests of one organisation wait for adapters that
// no engine holds. Half of them have missed their targets. Their last useful moments are far enough apart that all can be
// served.
func newArrivalSimulation(t *testing.T, engines, waiting, adapters int) *simulation {
	w := newSimulation(t, 1, engines, 6)
	for id, e := range w.engines {
		e.held["own"+id] = 1
	}
	w.startRankedLeader()
	w.run(5 * time.Millisecond)
	for n := range waiting {
		w.submit(uint64(n+1_000_000), fmt.Sprintf("cold%d", n%adapters), func(r *Request) {
			r.Organisation = "own"
			r.Target, r.Deadline = w.now.Add(time.Second), w.now.Add(10_000*time.Second+time.Duration(n)*time.Second)
			if n%2 == 0 {
				r.Target = r.Deadline
			}
		})
	}
	require.GreaterOrEqual(t, w.assigner.Waiting(), waiting*9/10)
	w.now = w.now.Add(2 * time.Second)
	w.handle(Tick{})
	return w
}

// arrive submits a request of the organisation whose requests wait, and withdraws it.
func arrive(w *simulation, n uint64) {
	r := Request{
		ID: RequestID{"h", n}, Service: "s", Organisation: "own",
		Adapter: catalog.AdapterRef{Model: simModel, Adapter: "cold0"}, PromptTokens: 500, OutputTokens: 50,
		Arrived: w.now, Target: w.now.Add(time.Second), Deadline: w.now.Add(12_000 * time.Second),
	}
	w.assigner.Handle(w.now, RequestSubmitted{r})
	w.assigner.Handle(w.now, RequestWithdrawn{r.ID})
}

// Guards against an arrival that visits all waiting requests of its own organisation: the estimate of its turn and the
// checks of what it puts back visit a number that is logarithmic in them.
func TestRanked_ArrivalCostLogarithmicInOwnQueue(t *testing.T) {
	t.Parallel()
	const arrivals = 200
	for _, engines := range []int{30, 1900} {
		for _, adapters := range []int{1, 100} {
			for _, waiting := range []int{10, 1000, 10_000} {
				w := newArrivalSimulation(t, engines, waiting, adapters)
				before := w.assigner.rankStats.visited
				for n := range uint64(arrivals) {
					arrive(w, n+20_000_000)
				}
				got := float64(w.assigner.rankStats.visited-before) / arrivals
				t.Logf("%d engines, %d waiting for %d adapters: %.0f visits per arrival", engines, w.assigner.Waiting(), adapters, got)
				require.Positive(t, got)
				require.LessOrEqual(t, got, 40*math.Log2(float64(waiting)+2))
			}
		}
	}
}

// BenchmarkRankedArrival measures the arrival and the withdrawal of a request, with and without an event of an upstream
// before it.
func BenchmarkRankedArrival(b *testing.B) {
	for _, engines := range []int{30, 1900} {
		for _, waiting := range []int{10, 1000, 10_000} {
			for _, events := range []bool{false, true} {
				b.Run(fmt.Sprintf("engines=%d/waiting=%d/events=%t", engines, waiting, events), func(b *testing.B) {
					w := newArrivalSimulation(&testing.T{}, engines, waiting, 1)
					before, n := w.assigner.rankStats, uint64(0)
					for b.Loop() {
						n++
						if events {
							w.assigner.Handle(w.now, LoadStated{Upstream: "e1", StartedAt: 1, Load: Load{Pace: 1}})
						}
						arrive(w, n+20_000_000)
					}
					b.ReportMetric(float64(w.assigner.rankStats.visited-before.visited)/float64(n), "visits/op")
					b.ReportMetric(float64(w.assigner.rankStats.scanned-before.scanned)/float64(n), "scanned/op")
				})
			}
		}
	}
}
