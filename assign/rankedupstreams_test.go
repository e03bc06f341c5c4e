package assign

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jasminelock/jasminelock/catalog"
)

// All upstreams of a service are paused after failures and full for a moment. Guards against requests that are refused,
// or that wait for the end of the pause although there is no better upstream.
func TestRanked_AllUpstreamsFailed(t *testing.T) {
	w := newRankedSimulation(t, 1, 1)
	records := map[string]*catalog.Upstream{}
	for _, id := range []string{"p0", "p1"} {
		records[id] = &catalog.Upstream{ID: id, Service: "plain", Zone: "z", Slots: 6}
	}
	w.handle(UpstreamsUpdated{records})
	for i := range uint64(2) {
		id := w.submitPlain(i + 1)
		w.handle(AttemptEnded{ID: id, Outcome: Unreachable})
	}
	require.Contains(t, w.granted, w.submitPlain(3))
	for _, u := range w.assigner.service("plain").upstreams {
		u.fullUntil = w.now.Add(fullPause)
	}
	queued := w.submitPlain(4)
	require.NotContains(t, w.granted, queued)
	require.NotContains(t, w.refused, queued)
	w.run(fullPause + 20*time.Millisecond)
	require.Contains(t, w.granted, queued)
}

// All zones are evacuated, and then one is not any more. Guards against requests that are refused since the capacity is
// taken to be what it was before the event.
func TestRanked_CapacityFollowsEvacuation(t *testing.T) {
	w := newRankedSimulation(t, 1, 1)
	w.handle(EvacuationsUpdated{map[string]bool{"z": true}})
	r := w.refused[w.submit(1, "a")]
	require.Equal(t, "no_upstream", r.Rule)
	require.Positive(t, r.RetryAfter)
	w.handle(EvacuationsUpdated{map[string]bool{}})
	id := w.submit(2, "a")
	w.run(time.Second)
	require.Contains(t, w.granted, id)
}

// All upstreams of a plain service refuse the requests of one host for longer than its callers wait. Guards against
// callers that wait, or return too early, and against refusals for other hosts.
func TestRanked_AllUpstreamsBackOff(t *testing.T) {
	w := newRankedSimulation(t, 1, 1)
	w.addPlain("p1", "p2")
	for n := range uint64(2) {
		id := w.submitPlain(n + 1)
		w.handle(AttemptEnded{ID: id, Outcome: Full, Feedback: UpstreamFeedback{BackOff: 10 * time.Second}})
		w.run(fullPause)
	}
	refused := w.submitPlain(10)
	require.Contains(t, w.refused, refused)
	require.GreaterOrEqual(t, w.refused[refused].RetryAfter, 9*time.Second)
	require.Contains(t, w.granted, w.submitPlain(11, fromHost("h2")))
}

// A host without a leader assigns requests to engines without sending orders. Guards against a less urgent request that
// goes first, and against requests that wait for an adapter which nobody loads.
func TestRanked_WithoutLeader(t *testing.T) {
	w := newSimulation(t, 1, 1, 3)
	w.engines["e0"].held["a"] = 1
	held := *w.records["e0"]
	held.Loaded = []catalog.LoadedModel{{Model: simModel, Adapters: []catalog.LoadedAdapter{{Name: "a", Version: 1}}}}
	w.records = map[string]*catalog.Upstream{"e0": &held}
	w.assigner = New(Options{Share: 0.5, Random: w.random, Limits: simLimits, Scheduling: ByUrgency})
	w.handle(ConfigUpdated{w.config})
	w.handle(UpstreamsUpdated{w.records})
	for n := range uint64(60) {
		w.submit(n+1, "a", func(r *Request) { r.Priority, r.Deadline = 2, w.now.Add(10*time.Second) })
	}
	urgent := w.submit(100, "a", func(r *Request) { r.Priority = 0 })
	unknown := w.submit(101, "b", func(r *Request) { r.Priority = 0 })
	w.run(maxWaitWithoutOrders + 50*time.Millisecond)
	require.Contains(t, w.granted, urgent)
	require.Less(t, w.granted[urgent].Held, 300*time.Millisecond)
	require.Contains(t, w.refused, unknown)
	require.Zero(t, w.loads)
}

// An upstream states its pace while requests wait, so that the service becomes ranked. Guards against requests that are
// lost or counted twice on the way, and against an order that stays as it was.
func TestRanked_FromFirstStatedPace(t *testing.T) {
	w := newSimulation(t, 1, 1, 3)
	w.run(50 * time.Millisecond)
	w.submit(1, "a")
	w.submit(2, "b")
	w.run(1500 * time.Millisecond)
	n := uint64(10)
	for range 20 {
		for i, name := range []string{"a", "b"} {
			w.submit(n, name, func(r *Request) {
				r.Priority, r.Target, r.Deadline = 2*i, w.now.Add(10*time.Second), w.now.Add(20*time.Second)
			})
			n++
		}
	}
	a := w.assigner
	waiting := a.Waiting()
	require.Greater(t, waiting, 20)
	a.service("s").statesPace = true
	w.run(10 * time.Millisecond)
	s := a.service("s")
	require.NotNil(t, s.line)
	require.Equal(t, a.Waiting(), s.line.count)
	require.Zero(t, a.queues.unranked)
	w.run(5 * time.Second)
	require.Empty(t, w.refused)
	require.Zero(t, a.Waiting())
	var last [2]time.Duration
	for id, g := range w.granted {
		if id.Number >= 10 && g.Ranked {
			last[id.Number%2] = max(last[id.Number%2], g.Held)
		}
	}
	require.Less(t, last[0], last[1], "the more urgent requests are served first")
}
