package assign

import (
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jasminelock/jasminelock/catalog"
	"github.com/jasminelock/jasminelock/throttle"
)

// The operators' bound on an upstream that states a rate limit: in any limitWindow at most limitFactor times what the
// limit allows and limitSlack requests.
const (
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
)

// addPlain adds upstreams of the plain service with the given IDs.
func (w *simulation) addPlain(ids ...string) {
	w.records = copyRecords(w.records)
	for _, id := range ids {
		w.records[id] = &catalog.Upstream{ID: id, StartedAt: 1, Service: "plain", Zone: "z", Slots: 6}
	}
	w.handle(UpstreamsUpdated{w.records})
}

func copyRecords(records map[string]*catalog.Upstream) map[string]*catalog.Upstream {
	listed := map[string]*catalog.Upstream{}
	for id, r := range records {
		listed[id] = r
	}
	return listed
}

// limitRate makes an upstream state a rate limit.
func (w *simulation) limitRate(id string, perSecond float64) {
	w.handle(RateLimitUpdated{
		Upstream: throttle.Incarnation{ID: id, StartedAt: 1}, Limit: throttle.Limit{PerSecond: perSecond, HeardAt: w.now}, Share: throttle.LeaderShare,
	})
}

// submitPlain submits a request to the plain service that ends 20 ms after it is assigned.
func (w *simulation) submitPlain(number uint64, change ...func(*Request)) RequestID {
	change = append([]func(*Request){func(r *Request) { r.Service, r.Adapter, r.PromptTokens = "plain", simNoAdapter, 0 }}, change...)
	return w.submit(number, "", change...)
}

// endPlain ends the assigned requests to the plain service.
func (w *simulation) endPlain() {
	for id := range w.granted {
		if w.adapters[id] == "" {
			w.handle(AttemptEnded{ID: id, Outcome: Completed})
		}
	}
}

// requireBound checks the operators' bound on the times at which requests were assigned.
func requireBound(t *testing.T, times []time.Time, perSecond float64) {
	t.Helper()
	for i, first := range times {
		n := 0
		for _, at := range times[i:] {
			if at.Sub(first) < limitWindow {
				n++
			}
		}
		require.LessOrEqual(t, float64(n), limitFactor*perSecond*limitWindow.Seconds()+limitSlack)
	}
}

// Guards against an upstream that gets more than its limit, or less although requests would use it, beside others.
func TestRateLimit_OneOfMany(t *testing.T) {
	for _, count := range []int{3, 60} {
		w := newSimulation(t, 1, 1, 3)
		const limited = "q" // the last one by name, which ties are decided by
		ids := []string{limited}
		for i := range count - 1 {
			ids = append(ids, "p"+strconv.Itoa(i))
		}
		w.addPlain(ids...)
		w.limitRate(limited, 1.9)
		var times []time.Time
		for n := range uint64(1000) {
			id := w.submitPlain(n)
			require.Contains(t, w.granted, id, "the other upstreams have room")
			if g := w.granted[id]; g.Upstream == limited {
				times = append(times, w.now)
				require.Equal(t, throttle.State{Limited: true, PerSecond: 1.9, Share: 1, Age: g.RateLimit.Age}, g.RateLimit)
			} else {
				require.False(t, g.RateLimit.Limited)
			}
			w.run(20 * time.Millisecond)
			w.endPlain()
		}
		requireBound(t, times, 1.9)
		require.Greater(t, float64(len(times)), 0.8*1.9*20, "%d upstreams", count)
	}
}

// Guards against a new request that overtakes more urgent ones which wait for the same upstream's limit, and against
// one that is less urgent and goes first.
func TestRateLimit_UrgencyDecides(t *testing.T) {
	w := newSimulation(t, 1, 1, 3)
	w.addPlain("p")
	w.limitRate("p", 2)
	long := func(priority int) func(*Request) {
		return func(r *Request) {
			r.Priority, r.Target, r.Deadline = priority, w.now.Add(time.Minute), w.now.Add(time.Minute)
		}
	}
	var order []RequestID
	want := map[RequestID]int{}
	for n := range uint64(12) {
		priority := int(n * 5 % 3)
		want[w.submitPlain(n, long(priority))] = priority
	}
	for n := range uint64(4000) {
		before := len(w.granted)
		if n%50 == 0 {
			w.submitPlain(100+n, long(9)) // arrives all the time and is less urgent than all others
		}
		w.run(2 * time.Millisecond)
		for id := range w.granted {
			if _, waited := want[id]; waited && len(w.granted) > before && !slices.Contains(order, id) {
				order = append(order, id)
			}
		}
	}
	require.Len(t, order, 12)
	for i := range order[1:] {
		require.LessOrEqual(t, want[order[i]], want[order[i+1]], "position %d", i)
	}
	require.LessOrEqual(t, len(w.granted), 2*8+1)
}

// Guards against requests that wait although the limits let none of them through in time, and against a refusal
// without the right rule, the state of the limits and a time to return.
func TestRateLimit_RefusedAtOnce(t *testing.T) {
	w := newSimulation(t, 1, 1, 3)
	w.addPlain("p0", "p1")
	w.limitRate("p0", 1)
	w.limitRate("p1", 2)
	var refused []RequestID
	for n := range uint64(40) {
		id := w.submitPlain(n) // may wait for half of its 4 s, in which 4 to 6 requests go through
		if r, ok := w.refused[id]; ok {
			refused = append(refused, id)
			require.Equal(t, UpstreamRate, r.Rule)
			require.InDelta(t, 3, r.RateLimit.PerSecond, 1e-9)
			require.Greater(t, r.RetryAfter, time.Second)
			require.LessOrEqual(t, r.RetryAfter, 9*time.Second)
		}
	}
	require.InDelta(t, 35, len(refused), 1)
	w.run(3 * time.Second)
	require.Len(t, w.granted, 40-len(refused), "what was not refused at once is served")
	require.Len(t, w.refused, len(refused))

	returns := map[time.Duration]int{}
	for _, id := range refused {
		returns[w.refused[id].RetryAfter.Truncate(time.Second)]++
	}
	require.Greater(t, len(returns), 4, "callers do not return together: %v", returns)
}

// Guards against requests that wait on although more urgent ones have taken what the limits allow until they expire.
func TestRateLimit_OvertakenRequestsRefused(t *testing.T) {
	w := newSimulation(t, 1, 1, 3)
	w.addPlain("p")
	w.limitRate("p", 2)
	var low []RequestID
	for n := range uint64(3) {
		low = append(low, w.submitPlain(n, func(r *Request) { r.Priority = 5 }))
	}
	require.Empty(t, w.refused)
	for n := range uint64(3) {
		w.submitPlain(10 + n)
	}
	w.run(200 * time.Millisecond)
	require.NotEmpty(t, w.refused)
	for id, r := range w.refused {
		require.Contains(t, low, id)
		require.Equal(t, UpstreamRate, r.Rule)
	}
	w.run(4 * time.Second)
	for n := range uint64(3) {
		require.Contains(t, w.granted, RequestID{"h", 10 + n})
	}
}

// Guards against orders that are not counted: an engine that states a limit is ordered to load adapters, asked whether
// it has, and sent requests.
func TestRateLimit_OrdersCount(t *testing.T) {
	w := newSimulation(t, 1, 1, 3)
	w.run(time.Second)
	const perSecond = 2.5
	w.limitRate("e0", perSecond)
	var times []time.Time
	for n := range uint64(200) {
		w.submit(n, "a"+strconv.Itoa(int(n)%5))
		for range 100 {
			granted, sequence := len(w.granted), w.assigner.lastOrderNumber
			w.run(time.Millisecond)
			for range len(w.granted) - granted + int(w.assigner.lastOrderNumber-sequence) {
				times = append(times, w.now)
			}
		}
	}
	requireBound(t, times, perSecond)
	for i := range times {
		for j := i; j < len(times); j++ {
			allowed := 1 + perSecond*(times[j].Sub(times[i])+250*time.Millisecond).Seconds()
			require.LessOrEqual(t, float64(j-i+1), allowed+1, "the limit itself, with what may be sent at once")
		}
	}
	require.Greater(t, float64(len(times)), 0.7*perSecond*20)
	require.Greater(t, float64(len(w.granted)), 0.5*perSecond*20, "orders leave half of the limit to requests")
}

// Guards against orders to an engine with a limit that keep the Assigner busy without an effect.
func TestRateLimit_NoBusyWakeups(t *testing.T) {
	w := newSimulation(t, 1, 1, 3)
	w.run(time.Second)
	w.limitRate("e0", 0.5)
	w.submit(1, "a", func(r *Request) { r.Deadline = w.now.Add(time.Minute) })
	ticks := 0
	for end := w.now.Add(10 * time.Second); w.now.Before(end); w.now = w.now.Add(time.Millisecond) {
		if at, ok := w.assigner.NextWakeup(w.now); ok && !at.After(w.now) {
			ticks++
			w.handle(Tick{})
		}
	}
	require.Less(t, ticks, 1200, "a pass each 10 ms while a request waits, and some more")
}

// Guards against the loss of a limit while the store does not list the upstream, and against one that is applied to
// another start.
func TestRateLimit_KeptWhileUnlisted(t *testing.T) {
	w := newSimulation(t, 1, 1, 3)
	w.addPlain("p")
	w.limitRate("p", 1)
	gone := copyRecords(w.records)
	delete(gone, "p")
	w.handle(UpstreamsUpdated{gone})
	w.run(100 * time.Millisecond)
	w.handle(UpstreamsUpdated{w.records})
	for n := range uint64(10) {
		w.submitPlain(n)
	}
	require.Empty(t, w.granted)
	restarted := copyRecords(w.records)
	restarted["p"] = &catalog.Upstream{ID: "p", StartedAt: 2, Service: "plain", Zone: "z", Slots: 6}
	w.handle(UpstreamsUpdated{restarted})
	for n := range uint64(10) {
		w.submitPlain(100 + n)
	}
	require.Greater(t, len(w.granted), 9)
	w.limitRate("p", 1) // a late report about the start before
	for n := range uint64(10) {
		w.submitPlain(200 + n)
	}
	require.Greater(t, len(w.granted), 19)
}

// Guards against assignments that were not sent but use up the limit, and requests of another Assigner that do not.
func TestRateLimit_PermitsAndUnsentRequests(t *testing.T) {
	w := newSimulation(t, 1, 1, 3)
	w.addPlain("p")
	w.limitRate("p", 2)
	w.run(500 * time.Millisecond)
	id := w.submitPlain(1)
	require.Contains(t, w.granted, id)
	w.handle(AttemptEnded{ID: id, Outcome: NotSent})
	require.Contains(t, w.granted, w.submitPlain(2))
	require.NotContains(t, w.granted, w.submitPlain(3))

	key := throttle.Incarnation{ID: "p", StartedAt: 1}
	w.handle(RequestWithdrawn{RequestID{"h", 3}})
	w.run(600 * time.Millisecond)
	_, ok := w.assigner.TakePermit(w.now, key)
	require.True(t, ok)
	wait, ok := w.assigner.TakePermit(w.now, key)
	require.False(t, ok)
	require.Greater(t, wait, 100*time.Millisecond)
	_, ok = w.assigner.TakePermit(w.now, throttle.Incarnation{ID: "p", StartedAt: 2})
	require.True(t, ok, "another start has no limit")
}

// Guards against queued requests that wait on for an upstream whose limit has ended.
func TestRateLimit_EndServesQueue(t *testing.T) {
	w := newSimulation(t, 1, 1, 3)
	w.addPlain("p")
	w.limitRate("p", 1)
	id := w.submitPlain(1)
	require.NotContains(t, w.granted, id)
	w.handle(RateLimitEnded{throttle.Incarnation{ID: "p", StartedAt: 1}})
	w.run(20 * time.Millisecond)
	require.Contains(t, w.granted, id)
}

// Guards against an engine with a limit that is never sent a request again, since it holds none of the adapters that
// are asked for. Nobody would find out that its limit has ended.
func TestRateLimit_EngineWithoutAdapters(t *testing.T) {
	w := newSimulation(t, 1, 2, 3)
	w.run(time.Second)
	w.limitRate("e0", 1.5)
	served := 0
	for n := range uint64(240) {
		id := w.submit(n, "a"+strconv.Itoa(int(n)%3))
		w.run(250 * time.Millisecond)
		if w.granted[id].Upstream == "e0" {
			served++
		}
	}
	require.Positive(t, served)
	require.Len(t, w.granted, 240, "the other engine has room")
	for _, wait := range w.waits {
		require.Less(t, wait, 800*time.Millisecond, "no request misses its target because of the engine with the limit")
	}
}
