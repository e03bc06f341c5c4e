package assign

import (
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jasminelock/jasminelock/apierr"
	"github.com/jasminelock/jasminelock/catalog"
)

// newSimulationAfterEviction returns a simulation in which one engine held the adapter "a" and has since evicted
// it, and the ID of that engine.
func newSimulationAfterEviction(t *testing.T) (w *simulation, holder string) {
	w = newSimulation(t, 1, 3, 2)
	w.run(50 * time.Millisecond)
	first := w.submit(1, "a")
	w.run(time.Second)
	holder = w.granted[first].Upstream
	for i := range uint64(12) {
		w.submit(i+2, "b"+strconv.Itoa(int(i)))
		w.run(500 * time.Millisecond)
	}
	return w, holder
}

func TestPlace_ResidentAdapterGrantedImmediately(t *testing.T) {
	w := newSimulation(t, 1, 4, 3)
	w.run(50 * time.Millisecond)
	first := w.submit(1, "a")
	w.run(time.Second)
	second := w.submit(2, "a")
	require.Contains(t, w.granted, second)
	require.Equal(t, w.granted[first].Upstream, w.granted[second].Upstream)
	require.Equal(t, "resident", w.granted[second].Rule)
}

// A rarely used adapter is requested again. The engine that held it loads it ten times as fast as others, and is
// preferred even if it has no free slot for a moment.
func TestPlace_PrefersPreviousHolder(t *testing.T) {
	w, holder := newSimulationAfterEviction(t)
	require.NotContains(t, w.engines[holder].held, "a", "others have taken its slot")
	again := w.submit(50, "a")
	w.run(700 * time.Millisecond)
	require.Equal(t, holder, w.granted[again].Upstream)
}

// The leader changes after an adapter was evicted. Hosts report to the new leader which engine held the adapter,
// and the adapter is loaded there.
func TestPlace_NewLeaderUsesReportedHolder(t *testing.T) {
	w, holder := newSimulationAfterEviction(t)
	require.NotContains(t, w.engines[holder].held, "a")
	w.startLeader()
	ref := catalog.AdapterRef{Model: simModel, Adapter: "a"}
	w.assigner.RestoreAdapterLocation(w.now, ref, holder, 1)
	w.assigner.RestoreAdapterLocation(w.now, ref, holder, 99)
	w.assigner.RestoreAdapterLocation(w.now, ref, "gone", 1)
	w.run(50 * time.Millisecond)
	again := w.submit(50, "a")
	w.run(700 * time.Millisecond)
	require.Equal(t, holder, w.granted[again].Upstream)
}

// One adapter receives more requests than one engine can prefill. It is loaded on further engines before requests
// wait for long.
func TestPlace_BusyAdapterGetsMoreCopies(t *testing.T) {
	w := newSimulation(t, 3, 6, 3)
	w.run(50 * time.Millisecond)
	for i := range uint64(120) {
		w.submit(i+1, "hot")
		w.run(30 * time.Millisecond)
	}
	require.Len(t, w.granted, 120)
	copies := len(w.assigner.adapterIndex.slots[catalog.AdapterRef{Model: simModel, Adapter: "hot"}])
	require.Greater(t, copies, 2)
	for _, wait := range w.waits[30:] {
		require.Less(t, wait, 500*time.Millisecond)
	}
}

// Many adapters are requested at the same moment. Loads beyond the store's capacity at full speed are postponed,
// so that slots stay free for adapters that engines hold or held recently.
func TestColdLoads_Bounded(t *testing.T) {
	w := newSimulation(t, 1, 6, 6)
	w.run(50 * time.Millisecond)
	for i := range uint64(36) {
		w.submit(i+1, "a"+strconv.Itoa(int(i)))
	}
	loads := 0
	for _, u := range w.assigner.upstreams {
		loads += u.pendingLoads()
	}
	require.LessOrEqual(t, loads, 4)
	require.Positive(t, loads)
}

// simulateColdLoads runs rounds of loads, each with as many concurrent loads as are allowed. The store serves the
// given number of loads at full speed.
func simulateColdLoads(c *coldLoadLimiter, now *time.Time, capacity, rounds int, noise func() time.Duration) {
	for range rounds {
		var round []*slot
		for c.mayStart() {
			s := &slot{cold: true, orderedAt: *now}
			c.start(s)
			round = append(round, s)
		}
		took := time.Duration(float64(coldLoad) * max(1, float64(len(round))/float64(capacity)))
		*now = now.Add(took)
		for _, s := range round {
			c.complete(*now, s, took+noise())
			c.discard(s)
		}
	}
}

// The store's capacity is small or large. The window approaches it from below and from above.
func TestColdLoads_WindowFollowsStoreCapacity(t *testing.T) {
	for _, capacity := range []int{6, 30, 72, 400} {
		c, now := newColdLoadLimiter(), time.Unix(0, 0)
		c.setEngineCount(100)
		noNoise := func() time.Duration { return 0 }
		simulateColdLoads(&c, &now, capacity, 60, noNoise)
		mean := 0.0
		const rounds = 40
		for range rounds {
			simulateColdLoads(&c, &now, capacity, 1, noNoise)
			mean += c.window / rounds
		}
		require.Greater(t, mean, float64(capacity))
		require.Less(t, mean, slowRoundRatio*coldWindowIncrease*float64(capacity))
		require.Empty(t, c.inFlight)
	}
}

// Every second load is delayed by something other than the store, and one load comes from an engine's memory.
// Neither says anything about the store, so the window stays.
func TestColdLoads_SlowPollsKeepWindow(t *testing.T) {
	c, now := newColdLoadLimiter(), time.Unix(0, 0)
	c.setEngineCount(100)
	n := 0
	simulateColdLoads(&c, &now, 72, 40, func() time.Duration {
		n++
		return time.Duration(n%2) * 400 * time.Millisecond
	})
	require.Greater(t, c.window, 60.0)
	s := &slot{cold: true}
	c.start(s)
	c.complete(now, s, 25*time.Millisecond)
	require.GreaterOrEqual(t, c.baseline.value(), coldLoad)
}

// The store is slow for a while. The window shrinks, and grows again when the store recovers.
func TestColdLoads_WindowRecovers(t *testing.T) {
	c, now := newColdLoadLimiter(), time.Unix(0, 0)
	c.setEngineCount(100)
	simulateColdLoads(&c, &now, 72, 20, func() time.Duration { return 0 })
	simulateColdLoads(&c, &now, 72, 30, func() time.Duration { return 700 * time.Millisecond })
	require.Less(t, c.window, 20.0)
	simulateColdLoads(&c, &now, 72, 25, func() time.Duration { return 0 })
	require.Greater(t, c.window, 60.0)
}

// One load is far faster than the store can be. The baseline recovers from it.
func TestWindowedMin_Expires(t *testing.T) {
	var m windowedMin
	now := time.Unix(1, 0)
	m.add(now, 100*time.Millisecond)
	for range 5 {
		now = now.Add(baselineWindow)
		m.add(now, coldLoad)
	}
	require.Equal(t, coldLoad, m.value())
}

func TestPlace_BacklogBounded(t *testing.T) {
	w := newSimulation(t, 1, 1, 3)
	w.run(50 * time.Millisecond)
	w.submit(1, "a")
	w.run(time.Second)
	for i := range uint64(40) {
		w.submit(i+2, "a", func(r *Request) { r.PromptTokens = 4000 })
	}
	u := w.assigner.upstreams["e0"]
	require.Less(t, u.backlog(), maxBacklog+4000*u.prefillPerToken+time.Millisecond)
	require.NotZero(t, w.assigner.Waiting())
}

// More requests arrive than can be prefilled before the callers leave. The excess is refused immediately, with a
// retry-after time.
func TestSubmit_OverloadRefusedImmediately(t *testing.T) {
	w := newSimulation(t, 1, 1, 3)
	w.run(50 * time.Millisecond)
	w.submit(1, "a")
	w.run(time.Second)
	for i := range uint64(200) {
		w.submit(i+2, "a")
	}
	require.NotEmpty(t, w.refused)
	for id, r := range w.refused {
		require.Equal(t, apierr.QueueFull, r.Kind)
		require.Equal(t, w.now, w.submittedAt[id], "refused immediately")
		require.GreaterOrEqual(t, r.RetryAfter, minRetryAfter)
	}
	require.Less(t, len(w.refused), 180, "requests that can be served are queued")
}

func TestSubmit_NoRefusalWithFreeEngines(t *testing.T) {
	w := newSimulation(t, 5, 6, 6)
	w.run(50 * time.Millisecond)
	var number uint64
	w.submitSkewed(20, 30, 6*time.Second, &number)
	w.run(2 * time.Second)
	require.Empty(t, w.refused)
	require.Len(t, w.granted, int(number))
}

// Requests of different priorities are queued, one of them past its target. Those that can still meet their target
// come first, by priority.
func TestQueue_Order(t *testing.T) {
	w := newSimulation(t, 1, 1, 1)
	w.run(50 * time.Millisecond)
	w.submit(1, "a")
	w.run(400 * time.Millisecond) // the request runs and holds the only slot
	late := w.submit(2, "b", func(r *Request) { r.Target = w.now })
	low := w.submit(3, "b", func(r *Request) { r.Priority = 2 })
	high := w.submit(4, "b", func(r *Request) { r.Priority = 0 })
	w.run(15 * time.Millisecond)
	var order []RequestID
	for _, q := range w.assigner.queues.byKey {
		for _, e := range q.entries {
			order = append(order, e.request.ID)
		}
	}
	require.Equal(t, []RequestID{high, low, late}, order)
}

func TestPlace_SkipsDrainingAndPausedUpstreams(t *testing.T) {
	w := newSimulation(t, 1, 2, 3)
	w.run(50 * time.Millisecond)
	w.submit(1, "a")
	w.run(time.Second)
	used := w.granted[RequestID{"h", 1}].Upstream
	leaving := map[string]*catalog.Upstream{}
	for id, u := range w.records {
		c := *u
		c.Draining = id == used
		leaving[id] = &c
	}
	w.handle(UpstreamsUpdated{leaving})
	next := w.submit(2, "a")
	w.run(700 * time.Millisecond)
	require.NotEqual(t, used, w.granted[next].Upstream)

	w.handle(UpstreamsUpdated{w.records})
	w.assigner.upstreams[used].pause(w.now, time.Second)
	third := w.submit(3, "a")
	w.run(100 * time.Millisecond)
	require.NotEqual(t, used, w.granted[third].Upstream)
}

func TestPlace_PlainServiceLeastWork(t *testing.T) {
	w := newSimulation(t, 1, 1, 1)
	records := map[string]*catalog.Upstream{}
	for _, id := range []string{"p0", "p1"} {
		records[id] = &catalog.Upstream{ID: id, Service: "plain", Zone: "z", Slots: 6}
	}
	w.handle(UpstreamsUpdated{records})
	counts := map[string]int{}
	for i := range uint64(10) {
		id := w.submit(i+1, "", func(r *Request) { r.Service, r.Adapter = "plain", catalog.AdapterRef{} })
		counts[w.granted[id].Upstream]++
	}
	require.Equal(t, map[string]int{"p0": 5, "p1": 5}, counts)
}

// All upstreams of a service have failed, or are full for a moment. Requests still go to failed upstreams, and
// wait for full ones.
func TestPlace_AllUpstreamsFailed(t *testing.T) {
	w := newSimulation(t, 1, 1, 1)
	records := map[string]*catalog.Upstream{}
	for _, id := range []string{"p0", "p1"} {
		records[id] = &catalog.Upstream{ID: id, Service: "plain", Zone: "z", Slots: 6}
	}
	w.handle(UpstreamsUpdated{records})
	plain := func(r *Request) { r.Service, r.Adapter = "plain", catalog.AdapterRef{} }
	for i := range uint64(2) {
		id := w.submit(i+1, "", plain)
		w.handle(AttemptEnded{ID: id, Outcome: Unreachable})
	}
	require.Contains(t, w.granted, w.submit(3, "", plain))
	for _, u := range w.assigner.service("plain").upstreams {
		u.fullUntil = w.now.Add(fullPause)
	}
	queued := w.submit(4, "", plain)
	require.NotContains(t, w.granted, queued)
	require.NotContains(t, w.refused, queued)
	w.run(fullPause + 20*time.Millisecond)
	require.Contains(t, w.granted, queued)
}

func TestCandidates_Bounded(t *testing.T) {
	w := newSimulation(t, 1, 400, 3)
	w.run(50 * time.Millisecond)
	e := &requestState{request: Request{Service: "s", Adapter: catalog.AdapterRef{Model: simModel, Adapter: "a"}}}
	require.LessOrEqual(t, len(w.assigner.candidates(w.assigner.service("s"), e)), sampledCandidates+1)
}

// Without a leader, a host sends no orders and uses the adapters that engines hold.
func TestPlace_WithoutOrdersUsesResidentAdapters(t *testing.T) {
	w := newSimulation(t, 1, 2, 3)
	w.assigner = New(Options{Share: 0.5, Random: w.random, Limits: simLimits})
	w.engines["e1"].held["a"] = 3
	held := *w.records["e1"]
	held.Loaded = []catalog.LoadedModel{{Model: simModel, Adapters: []catalog.LoadedAdapter{{Name: "a", Version: 3}}}}
	w.records["e1"] = &held
	w.handle(ConfigUpdated{w.config})
	w.handle(UpstreamsUpdated{w.records})
	id := w.submit(1, "a")
	require.Equal(t, "e1", w.granted[id].Upstream)
	other := w.submit(2, "b")
	w.run(maxWaitWithoutOrders + 50*time.Millisecond)
	require.Contains(t, w.refused, other)
	require.Zero(t, w.loads)
}
