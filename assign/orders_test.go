package assign

import (
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jasminelock/jasminelock/catalog"
)

// zipfAsk asks for adapters of which few are asked for often, at a mean rate.
func (w *world) zipfAsk(perSecond float64, adapters int, d time.Duration, number *uint64) {
	for end := w.now.Add(d); w.now.Before(end); {
		if w.random.Float64() < perSecond/1000 {
			*number++
			rank := int(float64(adapters) * w.random.Float64() * w.random.Float64() * w.random.Float64())
			w.ask(*number, "a"+strconv.Itoa(rank))
		}
		w.run(time.Millisecond)
	}
}

// Pattern: orders without answers that are carried out seconds later, while the
// lead changes again and again. No engine is ever ordered to hold more than it
// has slots for, nor to drop what requests run on.
func TestEnginesAreNeverOverfilled(t *testing.T) {
	for seed := range uint64(12) {
		w := newWorld(t, seed, 4, 3)
		w.lost = 0.3
		var number uint64
		for range 4 {
			w.zipfAsk(30, 40, 2*time.Second, &number)
			w.events = append([]timed(nil), w.events...)
			w.lead()
		}
		w.zipfAsk(30, 40, 2*time.Second, &number)
		require.NotEmpty(t, w.granted)
	}
}

// The check above sees an engine that counts orders which were given twice.
func TestOverfillingIsSeen(t *testing.T) {
	e := newSimEngine("e", 1)
	now := time.Unix(1, 0)
	require.Equal(t, OrderAccepted, e.order(now, Order{Adapter: catalog.AdapterRef{Model: "m", Adapter: "a"}}))
	require.Empty(t, e.broke)
	require.Equal(t, OrderConflict, e.order(now, Order{Adapter: catalog.AdapterRef{Model: "m", Adapter: "b"}}))
	require.Equal(t, OrderAccepted, e.order(now, Order{Adapter: catalog.AdapterRef{Model: "m", Adapter: "b"}, Sequence: 1}))
	require.NotEmpty(t, e.broke)
}

// Pattern: one order in three gets no answer. Requests do not wait for longer
// than a load takes, and some tries of its order.
func TestLostOrdersAreGivenAgainSoon(t *testing.T) {
	w := newWorld(t, 7, 4, 6)
	w.lost = 0.3
	w.run(100 * time.Millisecond)
	for i := range uint64(12) {
		w.ask(i+1, "a"+strconv.Itoa(int(i)))
	}
	w.run(2500 * time.Millisecond)
	require.Len(t, w.granted, 12)
}

func TestAnOrderThatIsUnderWayIsCountedOnce(t *testing.T) {
	w := newWorld(t, 1, 1, 3)
	w.run(50 * time.Millisecond)
	for i := range uint64(9) {
		w.ask(i+1, "a"+strconv.Itoa(int(i)))
		w.run(700 * time.Millisecond)
	}
	require.Len(t, w.granted, 9)
	require.Equal(t, w.engines["e0"].sequence, w.assigner.upstreams["e0"].orders.sequence)
}

func TestANewerVersionIsServedAlone(t *testing.T) {
	w := newWorld(t, 1, 2, 3)
	w.run(50 * time.Millisecond)
	first := w.ask(1, "a")
	w.run(400 * time.Millisecond)
	require.Contains(t, w.granted, first)
	ref := catalog.AdapterRef{Model: simModel, Adapter: "a"}
	w.versions = catalog.Versions{ref: 2}
	w.handle(VersionsUpdated{w.versions})
	second := w.ask(2, "a")
	require.NotContains(t, w.granted, second, "an older version is not granted")
	w.run(1500 * time.Millisecond)
	require.Equal(t, int64(2), w.granted[second].Version)
	for _, e := range w.engines {
		require.NotEqual(t, int64(1), e.held["a"], "the older version was dropped")
	}
}

func TestARestartedEngineIsGivenItsModelAndNothingBefore(t *testing.T) {
	w := newWorld(t, 1, 1, 3)
	w.run(50 * time.Millisecond)
	w.ask(1, "a")
	w.run(time.Second)
	reborn := *w.records["e0"]
	reborn.StartedAt, reborn.Loaded = 2, nil
	w.records = map[string]*catalog.Upstream{"e0": &reborn}
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

func TestAnAnswerOfAnEarlierIncarnationIsIgnored(t *testing.T) {
	w := newWorld(t, 1, 1, 3)
	w.run(50 * time.Millisecond)
	w.handle(OrderEnded{Upstream: "e0", StartedAt: 99, Order: 1, Result: OrderFenced})
	w.handle(ReportReceived{Upstream: "e0", StartedAt: 99, Report: &Report{Sequence: 50}})
	require.Zero(t, w.assigner.upstreams["e0"].orders.sequence)
}

func TestAFencedOrderEndsTheLead(t *testing.T) {
	w := newWorld(t, 1, 1, 3)
	w.run(50 * time.Millisecond)
	var stepDown bool
	a := w.assigner
	for _, d := range a.Handle(w.now, RequestSubmitted{Request{
		ID: RequestID{"h", 1}, Service: "s", Adapter: catalog.AdapterRef{Model: simModel, Adapter: "a"}, PromptTokens: 1,
		Arrived: w.now, Target: w.now.Add(time.Second), Deadline: w.now.Add(time.Second),
	}}) {
		if o, ok := d.(Order); ok {
			for _, d := range a.Handle(w.now, OrderEnded{Upstream: "e0", StartedAt: 1, Order: o.Number, Result: OrderFenced}) {
				_, is := d.(StepDown)
				stepDown = stepDown || is
			}
		}
	}
	require.True(t, stepDown)
}

// Pattern: an engine keeps an adapter that it was ordered to drop, since requests
// run on it that the lead does not know of. Other adapters are loaded meanwhile.
func TestAnAdapterThatStaysInUseHoldsUpNoOther(t *testing.T) {
	w := newWorld(t, 1, 1, 3)
	w.run(50 * time.Millisecond)
	for i, name := range []string{"a", "b", "c"} {
		w.ask(uint64(i+1), name)
		w.run(time.Second)
	}
	for i := range uint64(4) {
		w.ask(10+i, "b")
		w.ask(20+i, "c")
	}
	w.run(3 * time.Second)
	engine := w.engines["e0"]
	engine.running["a"]++
	for i, name := range []string{"d", "f"} {
		id := w.ask(uint64(30+i), name)
		w.run(1200 * time.Millisecond)
		require.Contains(t, w.granted, id)
	}
	require.True(t, engine.leaving["a"])
	engine.running["a"]--
	w.run(300 * time.Millisecond)
	require.NotContains(t, engine.held, "a")
	require.Equal(t, engine.sequence, w.assigner.upstreams["e0"].orders.sequence)
}

// Pattern: a new lead is asked for adapters at once, while hosts have yet to tell
// what runs. Nothing in use is ordered away, and what waits is served soon after.
func TestANewLeadDropsNothingBeforeHostsHaveTold(t *testing.T) {
	for _, told := range []bool{true, false} {
		w := newWorld(t, 1, 2, 3)
		w.run(50 * time.Millisecond)
		running := map[RequestID]string{}
		for i := range uint64(6) {
			running[w.ask(i+1, "a"+strconv.Itoa(int(i)))] = "a" + strconv.Itoa(int(i))
		}
		w.run(700 * time.Millisecond)
		for _, e := range w.engines {
			for name := range e.held {
				e.running[name]++ // they run on
			}
		}
		const hold, late = 600 * time.Millisecond, 300 * time.Millisecond
		w.leadHolding(hold)
		id := w.ask(50, "new")
		w.run(late)
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
		wait := hold - late
		if told {
			w.handle(HostsReported{})
			wait = 0
		}
		w.run(wait + 400*time.Millisecond)
		require.Contains(t, w.granted, id)
		require.Zero(t, w.inUse)
	}
}

// Pattern: a second copy of an order's answer comes late and is taken for the answer to
// the next order. What the engine counts shows it, and no engine is overfilled.
func TestCrossedAnswersToOrdersOverfillNoEngine(t *testing.T) {
	for seed := range uint64(8) {
		w := newWorld(t, seed, 3, 4)
		w.crossed = 0.1
		var number uint64
		w.zipfAsk(25, 30, 8*time.Second, &number)
		w.run(3 * time.Second)
		require.Greater(t, len(w.granted), int(number)*3/4, "requests are served all the same")
	}
}
