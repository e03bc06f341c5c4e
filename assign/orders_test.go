package assign

import (
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jasminelock/jasminelock/catalog"
)

// submitSkewed submits requests at a mean rate, most of them for a few of the adapters.
func (w *simulation) submitSkewed(perSecond float64, adapters int, d time.Duration, number *uint64) {
	for end := w.now.Add(d); w.now.Before(end); {
		if w.random.Float64() < perSecond/1000 {
			*number++
			rank := int(float64(adapters) * w.random.Float64() * w.random.Float64() * w.random.Float64())
			w.submit(*number, "a"+strconv.Itoa(rank))
		}
		w.run(time.Millisecond)
	}
}

// Unanswered orders are carried out seconds later, while the leader changes repeatedly. No engine may be ordered
// to hold more adapters than it has slots. TestEvictions_HeldUntilHostsReport checks that no adapter in use is
// evicted.
func TestOrders_NeverOverfillEngine(t *testing.T) {
	for seed := range uint64(12) {
		w := newSimulation(t, seed, 4, 3)
		w.lostOrders = 0.3
		var number uint64
		for range 4 {
			w.submitSkewed(30, 40, 2*time.Second, &number)
			w.events = append([]timedEvent(nil), w.events...)
			w.startLeader()
		}
		w.submitSkewed(30, 40, 2*time.Second, &number)
		require.NotEmpty(t, w.granted)
	}
}

// TestOrders_NeverOverfillEngine relies on simEngine to detect an overfilled engine.
func TestSimEngine_DetectsOverfill(t *testing.T) {
	e := newSimEngine("e", 1)
	now := time.Unix(1, 0)
	require.Equal(t, OrderAccepted, e.handleOrder(now, Order{Adapter: catalog.AdapterRef{Model: "m", Adapter: "a"}}))
	require.Empty(t, e.fault)
	require.Equal(t, OrderConflict, e.handleOrder(now, Order{Adapter: catalog.AdapterRef{Model: "m", Adapter: "b"}}))
	require.Equal(t, OrderAccepted, e.handleOrder(now, Order{Adapter: catalog.AdapterRef{Model: "m", Adapter: "b"}, Sequence: 1}))
	require.NotEmpty(t, e.fault)
}

// One order in three receives no answer. Requests wait no longer than for a load and a few retries of its order.
func TestOrders_UnansweredRetried(t *testing.T) {
	w := newSimulation(t, 7, 4, 6)
	w.lostOrders = 0.3
	w.run(100 * time.Millisecond)
	for i := range uint64(12) {
		w.submit(i+1, "a"+strconv.Itoa(int(i)))
	}
	w.run(2500 * time.Millisecond)
	require.Len(t, w.granted, 12)
}

func TestOrders_RepeatedOrderCountedOnce(t *testing.T) {
	w := newSimulation(t, 1, 1, 3)
	w.run(50 * time.Millisecond)
	for i := range uint64(9) {
		w.submit(i+1, "a"+strconv.Itoa(int(i)))
		w.run(700 * time.Millisecond)
	}
	require.Len(t, w.granted, 9)
	require.Equal(t, w.engines["e0"].sequence, w.assigner.upstreams["e0"].orders.sequence)
}

func TestVersions_OldVersionNotServed(t *testing.T) {
	w := newSimulation(t, 1, 2, 3)
	w.run(50 * time.Millisecond)
	first := w.submit(1, "a")
	w.run(400 * time.Millisecond)
	require.Contains(t, w.granted, first)
	ref := catalog.AdapterRef{Model: simModel, Adapter: "a"}
	w.versions = catalog.Versions{ref: 2}
	w.handle(VersionsUpdated{w.versions})
	second := w.submit(2, "a")
	require.NotContains(t, w.granted, second, "an older version is not granted")
	w.run(1500 * time.Millisecond)
	require.Equal(t, int64(2), w.granted[second].Version)
	for _, e := range w.engines {
		require.NotEqual(t, int64(1), e.held["a"], "the older version was dropped")
	}
}

func TestOrders_RestartedEngineLoadsModelFirst(t *testing.T) {
	w := newSimulation(t, 1, 1, 3)
	w.run(50 * time.Millisecond)
	w.submit(1, "a")
	w.run(time.Second)
	restarted := *w.records["e0"]
	restarted.StartedAt, restarted.Loaded = 2, nil
	w.records = map[string]*catalog.Upstream{"e0": &restarted}
	var orders []Order
	for _, d := range w.assigner.Handle(w.now, UpstreamsUpdated{w.records}) {
		require.IsType(t, ReadReport{}, d)
	}
	for _, d := range w.assigner.Handle(w.now, ReportReceived{Upstream: "e0", StartedAt: 2, Report: &Report{}}) {
		if o, ok := d.(Order); ok {
			orders = append(orders, o)
		}
	}
	require.Len(t, orders, 1)
	require.Equal(t, catalog.AdapterRef{Model: simModel}, orders[0].Adapter)
	require.Zero(t, orders[0].Sequence)
}

func TestOrders_EarlierIncarnationIgnored(t *testing.T) {
	w := newSimulation(t, 1, 1, 3)
	w.run(50 * time.Millisecond)
	w.handle(OrderEnded{Upstream: "e0", StartedAt: 99, Order: 1, Result: OrderFenced})
	w.handle(ReportReceived{Upstream: "e0", StartedAt: 99, Report: &Report{Sequence: 50}})
	require.Zero(t, w.assigner.upstreams["e0"].orders.sequence)
}

func TestOrders_FencedStepsDown(t *testing.T) {
	w := newSimulation(t, 1, 1, 3)
	w.run(50 * time.Millisecond)
	var stepDown bool
	a := w.assigner
	for _, d := range a.Handle(w.now, RequestSubmitted{Request{
		ID: RequestID{"h", 1}, Service: "s", Adapter: catalog.AdapterRef{Model: simModel, Adapter: "a"}, PromptTokens: 1,
		Arrived: w.now, Target: w.now.Add(time.Second), Deadline: w.now.Add(time.Second),
	}}) {
		if o, ok := d.(Order); ok {
			for _, d := range a.Handle(w.now, OrderEnded{Upstream: "e0", StartedAt: 1, Order: o.Number, Result: OrderFenced}) {
				_, isStepDown := d.(StepDown)
				stepDown = stepDown || isStepDown
			}
		}
	}
	require.True(t, stepDown)
}

// An engine keeps an adapter that it was ordered to drop, because of requests that the leader does not know. Other
// adapters must be loaded meanwhile.
func TestOrders_AdapterInUseDoesNotBlockLoads(t *testing.T) {
	w := newSimulation(t, 1, 1, 3)
	w.run(50 * time.Millisecond)
	for i, name := range []string{"a", "b", "c"} {
		w.submit(uint64(i+1), name)
		w.run(time.Second)
	}
	for i := range uint64(4) {
		w.submit(10+i, "b")
		w.submit(20+i, "c")
	}
	w.run(3 * time.Second)
	engine := w.engines["e0"]
	engine.running["a"]++
	for i, name := range []string{"d", "f"} {
		id := w.submit(uint64(30+i), name)
		w.run(1200 * time.Millisecond)
		require.Contains(t, w.granted, id)
	}
	require.True(t, engine.evicting["a"])
	engine.running["a"]--
	w.run(300 * time.Millisecond)
	require.NotContains(t, engine.held, "a")
	require.Equal(t, engine.sequence, w.assigner.upstreams["e0"].orders.sequence)
}

// Adapters are requested from a new leader before the hosts have reported their running requests. No adapter in
// use may be evicted, and the waiting request is served soon after the reports or the end of the hold.
func TestEvictions_HeldUntilHostsReport(t *testing.T) {
	for _, hostsReport := range []bool{true, false} {
		w := newSimulation(t, 1, 2, 3)
		w.run(50 * time.Millisecond)
		running := map[RequestID]string{}
		for i := range uint64(6) {
			running[w.submit(i+1, "a"+strconv.Itoa(int(i)))] = "a" + strconv.Itoa(int(i))
		}
		w.run(700 * time.Millisecond)
		for _, e := range w.engines {
			for name := range e.held {
				e.running[name]++ // the requests of this adapter keep running
			}
		}
		const hold, reportDelay = 600 * time.Millisecond, 300 * time.Millisecond
		w.startLeaderHoldingEvictions(hold)
		id := w.submit(50, "new")
		w.run(reportDelay)
		for old, name := range running {
			if name == "a0" {
				w.engines[w.granted[old].Upstream].running[name] = 0
				continue
			}
			w.handle(RequestAdopted{Upstream: w.granted[old].Upstream, FirstByteReceived: true, Request: Request{
				ID: old, Service: "s", Adapter: catalog.AdapterRef{Model: simModel, Adapter: name}, PromptTokens: 10, OutputTokens: 10,
				Arrived: w.now, Target: w.now.Add(time.Second), Deadline: w.now.Add(9 * time.Second),
			}})
		}
		require.NotContains(t, w.granted, id)
		wait := hold - reportDelay
		if hostsReport {
			w.handle(HostsReported{})
			wait = 0
		}
		w.run(wait + 400*time.Millisecond)
		require.Contains(t, w.granted, id)
		require.Zero(t, w.evictsInUse)
	}
}

// A duplicate of an order's answer arrives late and is taken for the answer to the next order. The sequence number
// reveals it, and no engine is overfilled.
func TestOrders_SwappedAnswersDoNotOverfill(t *testing.T) {
	for seed := range uint64(8) {
		w := newSimulation(t, seed, 3, 4)
		w.swappedAnswers = 0.1
		var number uint64
		w.submitSkewed(25, 30, 8*time.Second, &number)
		w.run(3 * time.Second)
		require.Greater(t, len(w.granted), int(number)*3/4, "requests are still served")
	}
}
