package leader

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jasminelock/jasminelock/assign"
)

// An upstream reports to one host that it is leaving, during an outage of the store. All hosts and the next leader
// must stop assigning requests to it at once.
func TestLeaving_AllHostsNotified(t *testing.T) {
	withFleet(t, func(t *testing.T, f *fleet) {
		f.cutStore(true)
		u := f.view.Upstreams["e"]
		leader := f.leaders()[0]
		f.otherThan(leader).broker.UpstreamLeaving(u)
		time.Sleep(10 * time.Millisecond)
		for _, h := range f.hosts {
			_, withheld := h.broker.DeclinesRequests(u)
			require.True(t, withheld, h.name)
			d, _ := h.requestAssignment(time.Second, 10)
			require.IsType(t, assign.Refuse{}, d)
		}
		f.cutStore(false)
		f.kill(leader)
		time.Sleep(5 * time.Second)
		for _, h := range f.hosts {
			h.broker.UpdateView(f.view)
			d, _ := h.requestAssignment(time.Second, 10)
			require.IsType(t, assign.Refuse{}, d)
		}
		restarted := *u
		restarted.StartedAt++
		for _, h := range f.hosts {
			_, withheld := h.broker.DeclinesRequests(&restarted)
			require.False(t, withheld, "a new incarnation")
		}
	})
}

// An upstream asks one host to back off, and that host's leader changes meanwhile.
func TestBackOff_OneHost(t *testing.T) {
	withFleet(t, func(t *testing.T, f *fleet) {
		u := f.view.Upstreams["e"]
		h := f.otherThan(f.leaders()[0])
		ticket := h.requireGrant(t, time.Second)
		h.broker.AttemptEnded(ticket, assign.AttemptEnded{Outcome: assign.Full, Feedback: assign.UpstreamFeedback{BackOff: 6 * time.Second}})
		f.kill(f.leaders()[0])
		time.Sleep(5 * time.Second)
		_, withheld := h.broker.DeclinesRequests(u)
		require.True(t, withheld)
		for _, other := range f.hosts {
			if other != h {
				_, withheld = other.broker.DeclinesRequests(u)
				require.False(t, withheld, "no other host was asked to back off")
			}
		}
		time.Sleep(1100 * time.Millisecond)
		_, withheld = h.broker.DeclinesRequests(u)
		require.False(t, withheld)
	})
}

// The number of leaving upstreams that are remembered is bounded.
func TestLeaving_Bounded(t *testing.T) {
	s, now := newUpstreamFeedback(), time.Now()
	for n := range int64(maxLeaving + 10) {
		require.True(t, s.addLeaving(now.Add(time.Duration(n)), upstreamIncarnation{"u", n}))
	}
	require.Len(t, s.leaving, maxLeaving)
	require.False(t, s.addLeaving(now, upstreamIncarnation{"u", maxLeaving}), "the newest are remembered")
}
