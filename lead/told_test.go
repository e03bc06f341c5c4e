package lead

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jasminelock/jasminelock/assign"
)

// Pattern: an upstream tells one host that it leaves while the store is away. All
// hosts leave it alone at once, and the next lead does too.
func TestAllHostsLearnThatAnUpstreamLeaves(t *testing.T) {
	inFleet(t, func(t *testing.T, f *fleet) {
		f.cutStore(true)
		u := f.view.Upstreams["e"]
		lead := f.leads()[0]
		f.other(lead).broker.UpstreamLeaving(u)
		time.Sleep(10 * time.Millisecond)
		for _, h := range f.hosts {
			_, withheld := h.broker.DeclinesRequests(u)
			require.True(t, withheld, h.name)
			d, _ := h.ask(time.Second, 10)
			require.IsType(t, assign.Refuse{}, d)
		}
		f.cutStore(false)
		f.kill(lead)
		time.Sleep(5 * time.Second)
		for _, h := range f.hosts {
			h.broker.UpdateView(f.view)
			d, _ := h.ask(time.Second, 10)
			require.IsType(t, assign.Refuse{}, d)
		}
		again := *u
		again.StartedAt++
		for _, h := range f.hosts {
			_, withheld := h.broker.DeclinesRequests(&again)
			require.False(t, withheld, "it has started anew")
		}
	})
}

// Pattern: an upstream wants nothing of one host for a while, and that host's lead
// changes meanwhile.
func TestAHostThatIsNotWantedHoldsBack(t *testing.T) {
	inFleet(t, func(t *testing.T, f *fleet) {
		u := f.view.Upstreams["e"]
		h := f.other(f.leads()[0])
		ticket := h.granted(t, time.Second)
		h.broker.AttemptEnded(ticket, assign.AttemptEnded{Outcome: assign.Full, Feedback: assign.UpstreamFeedback{BackOff: 6 * time.Second}})
		f.kill(f.leads()[0])
		time.Sleep(5 * time.Second)
		_, withheld := h.broker.DeclinesRequests(u)
		require.True(t, withheld)
		for _, other := range f.hosts {
			if other != h {
				_, withheld = other.broker.DeclinesRequests(u)
				require.False(t, withheld, "another host was not turned away")
			}
		}
		time.Sleep(1100 * time.Millisecond)
		_, withheld = h.broker.DeclinesRequests(u)
		require.False(t, withheld)
	})
}

// What upstreams say of leaving is remembered for a bounded number of them.
func TestLeavingUpstreamsAreRememberedInBounds(t *testing.T) {
	s, now := newToldByUpstreams(), time.Now()
	for n := range int64(maxLeaving + 10) {
		require.True(t, s.left(now.Add(time.Duration(n)), upstreamStart{"u", n}))
	}
	require.Len(t, s.leaving, maxLeaving)
	require.False(t, s.left(now, upstreamStart{"u", maxLeaving}), "the newest are known")
}
