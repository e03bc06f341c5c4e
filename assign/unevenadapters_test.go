package assign

import (
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jasminelock/jasminelock/catalog"
)

// unevenAdapters is the number of adapters. Each engine has unevenSlots adapter slots. The demand for an adapter falls with
// its place in an order that changes every unevenRanksTurn.
const (
	unevenAdapters  = 36
	unevenSlots     = 6
	unevenRanksTurn = 10 * time.Second
)

// withAdapters makes requests use adapters, which engines load on order.
func (f *unevenFleet) withAdapters() {
	f.orders = map[string]*simEngine{}
	for _, e := range f.engines {
		f.orders[e.id] = newSimEngine(e.id, unevenSlots)
	}
	f.adapter = func() string {
		place := min(int(f.random.ExpFloat64()*unevenAdapters/5), unevenAdapters-1)
		turn := int(f.now.Sub(f.start) / unevenRanksTurn)
		return "a" + strconv.Itoa((place+turn*7)%unevenAdapters)
	}
}

// carryOut passes an order to its engine, which receives it after 1 ms, and its result to the Assigner.
func (f *unevenFleet) carryOut(o Order) {
	f.schedule(f.now.Add(time.Millisecond), func() {
		result := f.orders[o.Upstream.ID].handleOrder(f.now, o)
		f.report(OrderEnded{Upstream: o.Upstream.ID, StartedAt: 1, Order: o.Number, Result: result})
	})
}

// engineReport returns what an engine reports as loaded: its adapters, or only the model if no adapters are used.
func (f *unevenFleet) engineReport(id string) *Report {
	if e, ok := f.orders[id]; ok {
		return e.report(f.now)
	}
	return &Report{Loaded: []catalog.LoadedModel{{Model: simModel}}}
}

// useAdapter adds n to the number of requests that an engine runs with the adapter of a request. It returns false, and adds
// nothing, if a request is to begin (n > 0) and the engine does not hold the adapter.
func (f *unevenFleet) useAdapter(e *unevenEngine, r *unevenRequest, n int) bool {
	engine, name := f.orders[e.id], r.request.Adapter.Adapter
	if engine == nil || name == "" {
		return true
	}
	engine.update(f.now)
	if _, held := engine.held[name]; !held && n > 0 {
		return false
	}
	engine.running[name] += n
	return true
}

// With adapters, requests can use only the engines that hold theirs, and the demand for adapters changes. The time to first
// token must be no longer than without the pace and without further copies of hot adapters, and no more requests may be
// refused.
func TestUnevenEngines_Adapters(t *testing.T) {
	t.Parallel()
	for _, perSecond := range []float64{40, 60} {
		result := func(stated bool) (time.Duration, int) {
			var times []time.Duration
			refused := 0
			for seed := range uint64(unevenSeeds) {
				f := newUnevenFleet(seed, perSecond, ByArrival)
				f.withAdapters()
				f.reported = func() bool { return stated }
				f.run(f.submit)
				refused += f.refused
				times = append(times, f.firstTokenTimes()...)
			}
			return percentile95(times), refused
		}
		with, withRefused := result(true)
		without, withoutRefused := result(false)
		t.Logf("%g per second: p95 %s, %d refused; without the pace %s, %d refused", perSecond, with, withRefused, without, withoutRefused)
		require.LessOrEqual(t, with, without)
		require.LessOrEqual(t, withRefused, withoutRefused)
	}
}
