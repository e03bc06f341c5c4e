package lead

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jasminelock/jasminelock/assign"
	"github.com/jasminelock/jasminelock/catalog"
	"github.com/jasminelock/jasminelock/quarantine"
)

// breaksOff has one attempt of a host break off at an upstream that ends.
func (c *crashingRequest) breaksOff(h *testHost) {
	before := len(c.ends)
	for n := 0; len(c.ends) == before && n < 20; n++ {
		c.arrive(h)
	}
	require.Len(c.f.t, c.ends, before+1)
}

// isRefused reports whether a host refuses the request.
func (c *crashingRequest) isRefused(h *testHost) bool {
	_, refused := h.broker.Refused(&assign.Request{Fingerprint: c.fingerprint})
	return refused
}

// Guards against hosts that keep what they have seen in an outage to themselves: each has
// seen one upstream end.
func TestHostsTellTheNextLeadOfCrashes(t *testing.T) {
	crashingFleet(t, "plain", func(c *crashingRequest) {
		c.f.cutStore(true)
		lead := c.f.leads()[0]
		c.f.kill(lead)
		time.Sleep(leadSilence + beatEvery)
		var seen []*testHost
		for name, h := range c.f.hosts {
			if name != lead && len(seen) < 2 {
				c.breaksOff(h)
				seen = append(seen, h)
			}
		}
		time.Sleep(listedFor + time.Second)
		for _, h := range c.f.hosts {
			require.False(t, c.isRefused(h))
		}
		c.f.cutStore(false)
		time.Sleep(contactTime)
		for _, h := range c.f.hosts {
			require.True(t, c.isRefused(h), h.name)
		}
	})
}

// Guards against a lead that forgets crashing requests with its lease: it is killed
// before it has renewed the lease, or gives it back.
func TestEachWriteOfTheLeaseHoldsCrashingRequests(t *testing.T) {
	for _, graceful := range []bool{true, false} {
		crashingFleet(t, "plain", func(c *crashingRequest) {
			for range 2 {
				c.breaksOff(c.f.hosts["h0"])
			}
			time.Sleep(listedFor + time.Second)
			for range 3 {
				for i := range 7 {
					c.f.kill(fmt.Sprintf("h%d", i))
				}
				h := c.f.add("h0", 0.4)
				for len(c.f.leads()) == 0 {
					time.Sleep(time.Millisecond)
				}
				require.True(t, c.isRefused(h))
				if graceful {
					h.broker.Drain()
					h.broker.wakeUp()
					time.Sleep(50 * time.Millisecond)
				}
				for i := range 6 {
					c.f.add(fmt.Sprintf("h%d", i+1), 0.4)
				}
			}
		})
	}
}

// Guards against a crash that is recognised only once the list shows it: nothing listens
// at the address any more.
func TestARefusedConnectionTellsOfACrash(t *testing.T) {
	crashingFleet(t, "s", func(c *crashingRequest) {
		h := c.f.hosts["h1"]
		for range 2 {
			c.breaksOff(h)
		}
		require.False(t, c.isRefused(h))
		h.broker.step(func(now time.Time) {
			for id := range c.away {
				ticket := &Ticket{upstream: id, born: 1}
				h.broker.noteAttempt(now, ticket, &assign.AttemptEnded{Outcome: assign.Unreachable, NoListener: true})
			}
		})
		require.True(t, c.isRefused(h))
		time.Sleep(2 * beatEvery)
		for _, other := range c.f.hosts {
			require.True(t, c.isRefused(other), other.name)
		}
	})
}

// Guards against a request that another host sends between two beats, though the lead
// knows that it crashes upstreams.
func TestTheLeadRefusesWhatHostsDoNotYetKnow(t *testing.T) {
	crashingFleet(t, "s", func(c *crashingRequest) {
		lead := c.f.hosts[c.f.leads()[0]]
		lead.broker.step(func(now time.Time) {
			for n := range uint64(2) {
				lead.broker.ledger.RecordInterrupted(now, quarantine.Key(c.fingerprint), quarantine.Incarnation(n))
				lead.broker.ledger.RecordUpstreamEnd(now, quarantine.Incarnation(n))
			}
		})
		h := c.f.other(lead.name)
		require.False(t, c.isRefused(h))
		c.arrive(h)
		require.Empty(t, c.ends)
	})
}

// Guards against requests that are blamed for the planned end of their upstream.
func TestAnUpstreamThatLeavesHasNotCrashed(t *testing.T) {
	crashingFleet(t, "plain", func(c *crashingRequest) {
		c.living = true
		h := c.f.hosts["h1"]
		for range 2 {
			c.breaksOff(h)
		}
		for _, id := range []string{"p0", "p1", "p2"} {
			c.f.changeList(func(listed map[string]*catalog.Upstream) {
				leaves := *listed[id]
				leaves.Draining = true
				listed[id] = &leaves
			})
			c.f.changeList(func(listed map[string]*catalog.Upstream) { delete(listed, id) })
		}
		require.False(t, c.isRefused(h))
	})
}

// Guards against a lead that orders thousands of suspects for each beat of each host, and against
// beats that cost a host more than it may spend on control.
func TestWhatBeatsTellOfSuspectsIsMadeOnce(t *testing.T) {
	crashingFleet(t, "s", func(c *crashingRequest) {
		lead := c.f.hosts[c.f.leads()[0]].broker
		lead.step(func(now time.Time) {
			for n := range 2000 {
				for s := range uint64(suspectStarts) {
					lead.ledger.RecordInterrupted(now, quarantine.Key{1, byte(n), byte(n >> 8)}, quarantine.Incarnation(s))
				}
			}
			lead.beatList = beatList{}
			require.Len(t, lead.beatSuspects(now), toldSuspects)
			require.Zero(t, testing.AllocsPerRun(10, func() { lead.beatSuspects(now) }))
			require.Less(t, size(t, lead.leadBeat(now))/beatEvery.Seconds(), controlLimit, "bytes a second for each host")
		})
	})
}
