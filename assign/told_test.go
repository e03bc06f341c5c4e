package assign

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jasminelock/jasminelock/apierr"
)

// from has a request come from a host.
func from(host string) func(*Request) { return func(r *Request) { r.ID.Host = host } }

// Pattern: an upstream tells with an answer that it leaves, which the store does
// not say yet. It gets nothing more, also once it is listed again, until it has
// started anew.
func TestAnUpstreamThatSaysThatItLeavesGetsNoMore(t *testing.T) {
	w := newWorld(t, 1, 2, 3)
	w.run(50 * time.Millisecond)
	first := w.ask(1, "a")
	w.run(time.Second)
	leaves := w.granted[first].Upstream
	w.handle(UpstreamLeaving{Upstream: leaves, StartedAt: 99})
	require.Equal(t, leaves, w.granted[w.ask(2, "a")].Upstream, "that was another start of it")
	w.handle(UpstreamLeaving{Upstream: leaves, StartedAt: 1})
	w.handle(UpstreamsUpdated{w.records})
	for n := range uint64(20) {
		id := w.ask(10+n, "a")
		w.run(700 * time.Millisecond)
		require.Contains(t, w.granted, id)
		require.NotEqual(t, leaves, w.granted[id].Upstream)
	}
	for id := range w.records {
		w.handle(UpstreamLeaving{Upstream: id, StartedAt: 1})
	}
	last := w.ask(50, "a")
	require.Equal(t, "no_upstream", w.refused[last].Rule, "it cannot be served, which is said at once")
}

// Pattern: an upstream turns a host away and wants nothing of it for a while. The
// other hosts are served there, and the host elsewhere.
func TestAnUpstreamThatWantsNothingOfAHostIsLeftAloneByIt(t *testing.T) {
	w := newWorld(t, 1, 2, 3)
	w.run(50 * time.Millisecond)
	first := w.ask(1, "a", from("h1"))
	w.run(time.Second)
	there := w.granted[first].Upstream
	second := w.ask(2, "a", from("h1"))
	w.handle(AttemptEnded{ID: second, Outcome: Full, Feedback: UpstreamFeedback{BackOff: 2 * time.Second}})
	until := w.now.Add(2 * time.Second)
	w.run(fullPause)
	for n := uint64(10); w.now.Before(until); n += 2 {
		other, own := w.ask(n, "a", from("h2")), w.ask(n+1, "a", from("h1"))
		w.run(120 * time.Millisecond)
		if w.now.Before(until) {
			require.NotEqual(t, there, w.granted[own].Upstream)
		}
		require.Contains(t, w.granted, other)
	}
	used := map[string]bool{}
	for id, g := range w.granted {
		if id.Host == "h2" {
			used[g.Upstream] = true
		}
	}
	require.True(t, used[there], "other hosts are served there")
}

// Pattern: every upstream of a plain service wants nothing of a host for longer
// than its callers wait. They are refused at once and told when to come back.
func TestWhereNoUpstreamWantsAHostItsCallersAreRefusedAtOnce(t *testing.T) {
	w := newWorld(t, 1, 1, 1)
	for _, id := range []string{"p1", "p2"} {
		r := *w.records["e0"]
		r.ID, r.Service, r.Loaded = id, "plain", nil
		w.records[id] = &r
	}
	w.handle(UpstreamsUpdated{w.records})
	plain := func(r *Request) { r.Service, r.Adapter = "plain", simNoAdapter }
	for n := range uint64(2) {
		id := w.ask(n+1, "", plain)
		w.handle(AttemptEnded{ID: id, Outcome: Full, Feedback: UpstreamFeedback{BackOff: 10 * time.Second}})
		w.run(fullPause)
	}
	refused := w.ask(10, "", plain)
	require.Equal(t, apierr.QueueFull, w.refused[refused].Kind)
	require.GreaterOrEqual(t, w.refused[refused].RetryAfter, 9*time.Second)
	require.Contains(t, w.granted, w.ask(11, "", plain, from("h2")), "the upstreams turned one host away, not all")
}
