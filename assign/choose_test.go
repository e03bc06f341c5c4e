package assign

import (
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jasminelock/jasminelock/apierr"
	"github.com/jasminelock/jasminelock/catalog"
)

// worldThatForgot returns a world in which an engine held the adapter "a" and
// gave its place to others since.
func worldThatForgot(t *testing.T) (w *world, home string) {
	w = newWorld(t, 1, 3, 2)
	w.run(50 * time.Millisecond)
	first := w.ask(1, "a")
	w.run(time.Second)
	home = w.granted[first].Upstream
	for i := range uint64(12) {
		w.ask(i+2, "b"+strconv.Itoa(int(i)))
		w.run(500 * time.Millisecond)
	}
	return w, home
}

func TestAResidentAdapterIsUsedAtOnce(t *testing.T) {
	w := newWorld(t, 1, 4, 3)
	w.run(50 * time.Millisecond)
	first := w.ask(1, "a")
	w.run(time.Second)
	second := w.ask(2, "a")
	require.Contains(t, w.granted, second)
	require.Equal(t, w.granted[first].Upstream, w.granted[second].Upstream)
	require.Equal(t, "resident", w.granted[second].Rule)
}

// Pattern: a rarely used adapter comes back. The engine that held it loads it
// ten times as fast, and is waited for when its places are taken for a moment.
func TestAnAdapterReturnsToTheEngineThatHeldIt(t *testing.T) {
	w, home := worldThatForgot(t)
	require.NotContains(t, w.engines[home].held, "a", "others have taken its place")
	again := w.ask(50, "a")
	w.run(700 * time.Millisecond)
	require.Equal(t, home, w.granted[again].Upstream)
}

// Pattern: the lead changes. The next one is told by hosts which engines held
// which adapters, and loads them there.
func TestANewLeadIsToldWhichEnginesHeldAnAdapter(t *testing.T) {
	w, home := worldThatForgot(t)
	require.NotContains(t, w.engines[home].held, "a")
	w.lead()
	ref := catalog.AdapterRef{Model: simModel, Adapter: "a"}
	w.assigner.RestoreAdapterLocation(w.now, ref, home, 1)
	w.assigner.RestoreAdapterLocation(w.now, ref, home, 99)
	w.assigner.RestoreAdapterLocation(w.now, ref, "gone", 1)
	w.run(50 * time.Millisecond)
	again := w.ask(50, "a")
	w.run(700 * time.Millisecond)
	require.Equal(t, home, w.granted[again].Upstream)
}

// Pattern: one adapter gets a fifth of all requests, more than an engine reads.
// It is copied before its engine has fallen far behind.
func TestABusyAdapterIsCopied(t *testing.T) {
	w := newWorld(t, 3, 6, 3)
	w.run(50 * time.Millisecond)
	for i := range uint64(120) {
		w.ask(i+1, "hot")
		w.run(30 * time.Millisecond)
	}
	require.Len(t, w.granted, 120)
	copies := len(w.assigner.holders.slots[catalog.AdapterRef{Model: simModel, Adapter: "hot"}])
	require.Greater(t, copies, 2)
	for _, wait := range w.waits[30:] {
		require.Less(t, wait, 500*time.Millisecond)
	}
}

// Pattern: many adapters are asked for once, at a moment. Loads that the weight
// store cannot carry at full speed are put off, so that places stay free for
// adapters that engines hold or held.
func TestLoadsFromTheStoreAreBounded(t *testing.T) {
	w := newWorld(t, 1, 6, 6)
	w.run(50 * time.Millisecond)
	for i := range uint64(36) {
		w.ask(i+1, "a"+strconv.Itoa(int(i)))
	}
	coming := 0
	for _, u := range w.assigner.upstreams {
		coming += u.coming()
	}
	require.LessOrEqual(t, coming, 4)
	require.Positive(t, coming)
}

// storeLoads plays loads one after another, as many at once as are allowed, from a
// store that carries so many at full speed.
func storeLoads(c *coldLoads, now *time.Time, carries, rounds int, noise func() time.Duration) {
	for range rounds {
		var round []*slot
		for c.free() {
			s := &slot{cold: true, orderedAt: *now}
			c.begin(s)
			round = append(round, s)
		}
		took := time.Duration(float64(coldLoad) * max(1, float64(len(round))/float64(carries)))
		*now = now.Add(took)
		for _, s := range round {
			c.end(*now, s, took+noise())
			c.forget(s)
		}
	}
}

// Pattern: the weight store carries few loads at once, or many. The bound comes
// near what it carries, from below and from above.
func TestTheBoundOfLoadsFollowsWhatTheStoreCarries(t *testing.T) {
	for _, carries := range []int{6, 30, 72, 400} {
		c, now := newColdLoads(), time.Unix(0, 0)
		c.engines(100)
		quiet := func() time.Duration { return 0 }
		storeLoads(&c, &now, carries, 60, quiet)
		mean := 0.0
		const rounds = 40
		for range rounds {
			storeLoads(&c, &now, carries, 1, quiet)
			mean += c.window / rounds
		}
		require.Greater(t, mean, float64(carries))
		require.Less(t, mean, slowCold*coldGrow*float64(carries))
		require.Empty(t, c.flying)
	}
}

// Pattern: loads that are slow by themselves, one in two, and one that came from an
// engine's memory. They tell nothing of the store, and the bound stays.
func TestSlowPollsDoNotBoundLoads(t *testing.T) {
	c, now := newColdLoads(), time.Unix(0, 0)
	c.engines(100)
	n := 0
	storeLoads(&c, &now, 72, 40, func() time.Duration {
		n++
		return time.Duration(n%2) * 400 * time.Millisecond
	})
	require.Greater(t, c.window, 60.0)
	s := &slot{cold: true}
	c.begin(s)
	c.end(now, s, 25*time.Millisecond)
	require.GreaterOrEqual(t, c.usual.known(), coldLoad)
}

// Pattern: the store is slow for a while. The bound falls, and recovers with it.
func TestTheBoundOfLoadsRecovers(t *testing.T) {
	c, now := newColdLoads(), time.Unix(0, 0)
	c.engines(100)
	storeLoads(&c, &now, 72, 20, func() time.Duration { return 0 })
	storeLoads(&c, &now, 72, 30, func() time.Duration { return 700 * time.Millisecond })
	require.Less(t, c.window, 20.0)
	storeLoads(&c, &now, 72, 25, func() time.Duration { return 0 })
	require.Greater(t, c.window, 60.0)
}

// Pattern: an engine loads one adapter far faster than the store can. The usual
// time recovers from it.
func TestAFastLoadIsForgotten(t *testing.T) {
	var f fastest
	now := time.Unix(1, 0)
	f.see(now, 100*time.Millisecond)
	for range 5 {
		now = now.Add(usualFor)
		f.see(now, coldLoad)
	}
	require.Equal(t, coldLoad, f.known())
}

func TestAnEngineThatIsReadingGetsNoMoreThanItCanStartSoon(t *testing.T) {
	w := newWorld(t, 1, 1, 3)
	w.run(50 * time.Millisecond)
	w.ask(1, "a")
	w.run(time.Second)
	for i := range uint64(40) {
		w.ask(i+2, "a", func(r *Request) { r.PromptTokens = 4000 })
	}
	u := w.assigner.upstreams["e0"]
	require.Less(t, u.backlog(), maxBacklog+4000*u.prefill+time.Millisecond)
	require.NotZero(t, w.assigner.Waiting())
}

// Pattern: more is asked for than can be read before the callers leave. What
// cannot be served is refused at once and told when to come back.
func TestWhatCannotBeServedIsRefusedAtOnce(t *testing.T) {
	w := newWorld(t, 1, 1, 3)
	w.run(50 * time.Millisecond)
	w.ask(1, "a")
	w.run(time.Second)
	for i := range uint64(200) {
		w.ask(i+2, "a")
	}
	require.NotEmpty(t, w.refused)
	for id, r := range w.refused {
		require.Equal(t, apierr.QueueFull, r.Kind)
		require.Equal(t, w.now, w.asked[id], "at once")
		require.GreaterOrEqual(t, r.RetryAfter, leastReturn)
	}
	require.Less(t, len(w.refused), 180, "what can be served waits")
}

func TestNothingIsRefusedWhileEnginesAreFree(t *testing.T) {
	w := newWorld(t, 5, 6, 6)
	w.run(50 * time.Millisecond)
	var number uint64
	w.zipfAsk(20, 30, 6*time.Second, &number)
	w.run(2 * time.Second)
	require.Empty(t, w.refused)
	require.Len(t, w.granted, int(number))
}

// Pattern: urgent and less urgent requests wait together, and some are late
// already: those that can still be in time go first, by priority.
func TestTheOrderOfWaiting(t *testing.T) {
	w := newWorld(t, 1, 1, 1)
	w.run(50 * time.Millisecond)
	w.ask(1, "a")
	w.run(400 * time.Millisecond) // it runs, and holds the only place
	late := w.ask(2, "b", func(r *Request) { r.Target = w.now })
	low := w.ask(3, "b", func(r *Request) { r.Priority = 2 })
	high := w.ask(4, "b", func(r *Request) { r.Priority = 0 })
	w.run(15 * time.Millisecond)
	var order []RequestID
	for _, q := range w.assigner.queues.byKey {
		for _, e := range q.entries {
			order = append(order, e.request.ID)
		}
	}
	require.Equal(t, []RequestID{high, low, late}, order)
}

func TestAnUpstreamThatLeavesOrFailsIsLeftAlone(t *testing.T) {
	w := newWorld(t, 1, 2, 3)
	w.run(50 * time.Millisecond)
	w.ask(1, "a")
	w.run(time.Second)
	used := w.granted[RequestID{"h", 1}].Upstream
	leaving := map[string]*catalog.Upstream{}
	for id, u := range w.records {
		c := *u
		c.Draining = id == used
		leaving[id] = &c
	}
	w.handle(UpstreamsUpdated{leaving})
	next := w.ask(2, "a")
	w.run(700 * time.Millisecond)
	require.NotEqual(t, used, w.granted[next].Upstream)

	w.handle(UpstreamsUpdated{w.records})
	w.assigner.upstreams[used].pause(w.now, time.Second)
	third := w.ask(3, "a")
	w.run(100 * time.Millisecond)
	require.NotEqual(t, used, w.granted[third].Upstream)
}

func TestPlainServicesGetTheLeastWork(t *testing.T) {
	w := newWorld(t, 1, 1, 1)
	records := map[string]*catalog.Upstream{}
	for _, id := range []string{"p0", "p1"} {
		records[id] = &catalog.Upstream{ID: id, Service: "plain", Zone: "z", Slots: 6}
	}
	w.handle(UpstreamsUpdated{records})
	counts := map[string]int{}
	for i := range uint64(10) {
		id := w.ask(i+1, "", func(r *Request) { r.Service, r.Adapter = "plain", catalog.AdapterRef{} })
		counts[w.granted[id].Upstream]++
	}
	require.Equal(t, map[string]int{"p0": 5, "p1": 5}, counts)
}

// Pattern: every upstream of a service has failed, or is full for a moment.
// Requests still go to those that failed, and wait for those that are full.
func TestWhereAllHaveFailedOneIsTried(t *testing.T) {
	w := newWorld(t, 1, 1, 1)
	records := map[string]*catalog.Upstream{}
	for _, id := range []string{"p0", "p1"} {
		records[id] = &catalog.Upstream{ID: id, Service: "plain", Zone: "z", Slots: 6}
	}
	w.handle(UpstreamsUpdated{records})
	plain := func(r *Request) { r.Service, r.Adapter = "plain", catalog.AdapterRef{} }
	for i := range uint64(2) {
		id := w.ask(i+1, "", plain)
		w.handle(AttemptEnded{ID: id, Outcome: Unreachable})
	}
	require.Contains(t, w.granted, w.ask(3, "", plain))
	for _, u := range w.assigner.service("plain").upstreams {
		u.fullUntil = w.now.Add(fullPause)
	}
	waits := w.ask(4, "", plain)
	require.NotContains(t, w.granted, waits)
	require.NotContains(t, w.refused, waits)
	w.run(fullPause + 20*time.Millisecond)
	require.Contains(t, w.granted, waits)
}

func TestAChoiceWeighsABoundedNumberOfEngines(t *testing.T) {
	w := newWorld(t, 1, 400, 3)
	w.run(50 * time.Millisecond)
	e := &entry{request: Request{Service: "s", Adapter: catalog.AdapterRef{Model: simModel, Adapter: "a"}}}
	require.LessOrEqual(t, len(w.assigner.candidates(w.assigner.service("s"), e)), weighedOthers+1)
}

// Without a lead, a host gives no orders and uses what engines hold.
func TestWithoutOrdersOnlyResidentAdaptersAreUsed(t *testing.T) {
	w := newWorld(t, 1, 2, 3)
	w.assigner = New(Options{Share: 0.5, Random: w.random, Limits: simLimits})
	w.engines["e1"].held["a"] = 3
	held := *w.records["e1"]
	held.Loaded = []catalog.LoadedModel{{Model: simModel, Adapters: []catalog.LoadedAdapter{{Name: "a", Version: 3}}}}
	w.records["e1"] = &held
	w.handle(ConfigUpdated{w.config})
	w.handle(UpstreamsUpdated{w.records})
	id := w.ask(1, "a")
	require.Equal(t, "e1", w.granted[id].Upstream)
	other := w.ask(2, "b")
	w.run(idlePatience + 50*time.Millisecond)
	require.Contains(t, w.refused, other)
	require.Zero(t, w.loads)
}
