package assign

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jasminelock/jasminelock/apierr"
)

// fromHost sets the host of a request.
func fromHost(host string) func(*Request) { return func(r *Request) { r.ID.Host = host } }

// An upstream announces its departure with an answer, before the store's list shows it. It receives no more
// requests, even if it is listed again, until it has restarted.
func TestFeedback_LeavingUpstreamNotUsed(t *testing.T) {
	w := newSimulation(t, 1, 2, 3)
	w.run(50 * time.Millisecond)
	first := w.submit(1, "a")
	w.run(time.Second)
	leavingID := w.granted[first].Upstream
	w.handle(UpstreamLeaving{Upstream: leavingID, StartedAt: 99})
	require.Equal(t, leavingID, w.granted[w.submit(2, "a")].Upstream, "announced by another incarnation")
	w.handle(UpstreamLeaving{Upstream: leavingID, StartedAt: 1})
	w.handle(UpstreamsUpdated{w.records})
	for n := range uint64(20) {
		id := w.submit(10+n, "a")
		w.run(700 * time.Millisecond)
		require.Contains(t, w.granted, id)
		require.NotEqual(t, leavingID, w.granted[id].Upstream)
	}
	for id := range w.records {
		w.handle(UpstreamLeaving{Upstream: id, StartedAt: 1})
	}
	last := w.submit(50, "a")
	require.Equal(t, "no_upstream", w.refused[last].Rule, "refused immediately, since no upstream is left")
}

// An upstream rejects requests from one host for a time. It keeps serving other hosts, and that host's requests go
// elsewhere.
func TestFeedback_BackOffIsPerHost(t *testing.T) {
	w := newSimulation(t, 1, 2, 3)
	w.run(50 * time.Millisecond)
	first := w.submit(1, "a", fromHost("h1"))
	w.run(time.Second)
	refusingID := w.granted[first].Upstream
	second := w.submit(2, "a", fromHost("h1"))
	w.handle(AttemptEnded{ID: second, Outcome: Full, Feedback: UpstreamFeedback{BackOff: 2 * time.Second}})
	until := w.now.Add(2 * time.Second)
	w.run(fullPause)
	for n := uint64(10); w.now.Before(until); n += 2 {
		other, fromRefused := w.submit(n, "a", fromHost("h2")), w.submit(n+1, "a", fromHost("h1"))
		w.run(120 * time.Millisecond)
		if w.now.Before(until) {
			require.NotEqual(t, refusingID, w.granted[fromRefused].Upstream)
		}
		require.Contains(t, w.granted, other)
	}
	used := map[string]bool{}
	for id, g := range w.granted {
		if id.Host == "h2" {
			used[g.Upstream] = true
		}
	}
	require.True(t, used[refusingID], "other hosts are served there")
}

// All upstreams of a plain service reject requests from a host for longer than its callers wait. The callers are
// refused immediately, with a matching retry-after time.
func TestFeedback_AllUpstreamsBackOff(t *testing.T) {
	w := newSimulation(t, 1, 1, 1)
	for _, id := range []string{"p1", "p2"} {
		r := *w.records["e0"]
		r.ID, r.Service, r.Loaded = id, "plain", nil
		w.records[id] = &r
	}
	w.handle(UpstreamsUpdated{w.records})
	plain := func(r *Request) { r.Service, r.Adapter = "plain", simNoAdapter }
	for n := range uint64(2) {
		id := w.submit(n+1, "", plain)
		w.handle(AttemptEnded{ID: id, Outcome: Full, Feedback: UpstreamFeedback{BackOff: 10 * time.Second}})
		w.run(fullPause)
	}
	refused := w.submit(10, "", plain)
	require.Equal(t, apierr.QueueFull, w.refused[refused].Kind)
	require.GreaterOrEqual(t, w.refused[refused].RetryAfter, 9*time.Second)
	require.Contains(t, w.granted, w.submit(11, "", plain, fromHost("h2")), "the upstreams rejected one host, not all")
}
