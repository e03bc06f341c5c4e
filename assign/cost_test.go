package assign

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jasminelock/jasminelock/catalog"
)

// request asks, starts and ends one request for an adapter that engines hold.
func (w *world) request(number uint64, adapter string) {
	a := w.assigner
	r := Request{
		ID: RequestID{"h", number}, Service: "s", Organisation: "free", Adapter: catalog.AdapterRef{Model: simModel, Adapter: adapter},
		PromptTokens: 500, OutputTokens: 50, Arrived: w.now, Target: w.now.Add(time.Second), Deadline: w.now.Add(4 * time.Second),
	}
	a.Handle(w.now, RequestSubmitted{r})
	a.Handle(w.now, FirstByteReceived{r.ID})
	a.Handle(w.now, AttemptEnded{ID: r.ID, Outcome: Completed})
}

// sized returns a world in which each engine holds an adapter of its own and one
// that all hold.
func sized(t *testing.T, engines int) *world {
	w := newWorld(t, 1, engines, 6)
	for id, e := range w.engines {
		e.held["own"+id] = 1
		e.held["all"] = 1
	}
	w.run(5 * time.Millisecond)
	return w
}

// A request costs about the same however many engines there are.
func TestTheCostOfARequestDoesNotGrowWithEngines(t *testing.T) {
	allocations := func(engines int) float64 {
		w := sized(t, engines)
		n := uint64(0)
		return testing.AllocsPerRun(200, func() {
			n++
			w.now = w.now.Add(time.Millisecond)
			w.request(n, "owne1")
		})
	}
	small, large := allocations(12), allocations(1900)
	require.LessOrEqual(t, large, small+4)
}

func BenchmarkRequest(b *testing.B) {
	for _, engines := range []int{12, 120, 1900} {
		b.Run(fmt.Sprintf("engines=%d", engines), func(b *testing.B) {
			w := sized(&testing.T{}, engines)
			b.ReportAllocs()
			n := uint64(0)
			for b.Loop() {
				n++
				w.now = w.now.Add(time.Millisecond)
				w.request(n, "owne1")
			}
		})
	}
}
