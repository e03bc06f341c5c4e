package lead

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jasminelock/jasminelock/assign"
	"github.com/jasminelock/jasminelock/catalog"
)

func TestEveryHostIsServedThroughOneLead(t *testing.T) {
	inFleet(t, func(t *testing.T, f *fleet) {
		for _, h := range f.hosts {
			ticket := h.granted(t, time.Second)
			h.broker.FirstByteReceived(ticket)
			h.broker.AttemptEnded(ticket, assign.AttemptEnded{Outcome: assign.Completed})
			h.broker.Withdraw(ticket)
			require.Len(t, h.broker.Hosts(), 3)
		}
		time.Sleep(10 * time.Millisecond)
		lead := f.hosts[f.leads()[0]].broker
		require.Zero(t, lead.leading.InFlight())
		require.Len(t, f.orders, 2, "one load, and the question whether it has ended")
	})
}

func TestAKilledLeadIsReplaced(t *testing.T) {
	inFleet(t, func(t *testing.T, f *fleet) {
		lead := f.leads()[0]
		h := f.other(lead)
		h.granted(t, time.Second)
		f.kill(lead)
		started := time.Now()
		for len(f.leads()) == 0 {
			time.Sleep(10 * time.Millisecond)
		}
		require.Less(t, time.Since(started), leaseTTL+renewEvery+2*lookEvery)
		time.Sleep(500 * time.Millisecond)
		require.Len(t, f.leads(), 1)
		h.granted(t, time.Second)
		require.Len(t, h.broker.Hosts(), 2)
	})
}

func TestALeadThatShutsDownHandsOverAtOnce(t *testing.T) {
	inFleet(t, func(t *testing.T, f *fleet) {
		lead := f.leads()[0]
		f.hosts[lead].broker.Drain()
		time.Sleep(leaseTTL / 2)
		leads := f.leads()
		require.Len(t, leads, 1)
		require.NotEqual(t, lead, leads[0])
		time.Sleep(time.Second)
		require.Len(t, f.hosts[leads[0]].broker.Hosts(), 2, "callers are not sent to the host that leaves")
	})
}

// Pattern: the lead is shut down while the store is away. It goes on leading for
// as long as it runs, and hands over once the store is back.
func TestALeadThatShutsDownInAnOutageLeadsOn(t *testing.T) {
	inFleet(t, func(t *testing.T, f *fleet) {
		lead := f.leads()[0]
		h := f.other(lead)
		f.cutStore(true)
		time.Sleep(renewEvery)
		f.hosts[lead].broker.Drain()
		for range 4 {
			time.Sleep(time.Second)
			require.Equal(t, []string{lead}, f.leads())
			require.Equal(t, lead, h.broker.lead.host)
		}
		require.Len(t, h.broker.Hosts(), 2, "callers are not sent to the host that leaves")
		h.granted(t, time.Second)
		f.cutStore(false)
		time.Sleep(leaseTTL / 2)
		leads := f.leads()
		require.Len(t, leads, 1)
		require.NotEqual(t, lead, leads[0])
		h.granted(t, time.Second)
	})
}

// Pattern: the store turns away the lead alone, which is shut down. Another host
// takes over at once.
func TestALeadThatShutsDownCutOffTheStoreIsReplaced(t *testing.T) {
	inFleet(t, func(t *testing.T, f *fleet) {
		lead := f.leads()[0]
		f.mu.Lock()
		f.storeCut.set(lead, true)
		f.mu.Unlock()
		f.hosts[lead].broker.Drain()
		time.Sleep(2*renewEvery + beatEvery + renewEvery + renewAgain + claimSpread)
		leads := f.leads()
		require.Len(t, leads, 1)
		require.NotEqual(t, lead, leads[0])
		f.other(lead).granted(t, time.Second)
	})
}

// Pattern: the lead is shut down and the answer to its last write is lost.
func TestALeaseIsGivenBackThoughTheAnswerIsLost(t *testing.T) {
	inFleet(t, func(t *testing.T, f *fleet) {
		lead := f.leads()[0]
		f.mu.Lock()
		f.loseCommits = 1
		f.mu.Unlock()
		f.hosts[lead].broker.Drain()
		time.Sleep(leaseTTL)
		leads := f.leads()
		require.Len(t, leads, 1)
		require.NotEqual(t, lead, leads[0])
	})
}

// Pattern: the store turns the lead away and serves the others. Another host
// takes over, and all follow it without reading the store.
func TestALeadThatCannotRenewIsReplaced(t *testing.T) {
	inFleet(t, func(t *testing.T, f *fleet) {
		lead := f.leads()[0]
		f.mu.Lock()
		f.storeCut.set(lead, true)
		f.mu.Unlock()
		time.Sleep(weakAfter + 2*renewEvery + claimSpread + time.Second)
		leads := f.leads()
		require.Len(t, leads, 1)
		require.NotEqual(t, lead, leads[0])
		f.hosts[lead].granted(t, time.Second)
		require.Equal(t, leads[0], f.hosts[lead].broker.lead.host)
	})
}

// Pattern: the store is down for all. The lead goes on, since nobody can have
// replaced it.
func TestWithoutTheStoreTheLeadGoesOn(t *testing.T) {
	inFleet(t, func(t *testing.T, f *fleet) {
		lead := f.leads()[0]
		f.cutStore(true)
		time.Sleep(20 * time.Second)
		require.Equal(t, []string{lead}, f.leads())
		f.other(lead).granted(t, time.Second)
		f.cutStore(false)
		time.Sleep(3 * time.Second)
		require.Len(t, f.leads(), 1)
	})
}

func TestAnAnswerThatWasLostDoesNotEndTheLead(t *testing.T) {
	inFleet(t, func(t *testing.T, f *fleet) {
		lead := f.leads()[0]
		f.mu.Lock()
		f.loseCommits = 1
		f.mu.Unlock()
		time.Sleep(3 * time.Second)
		require.Equal(t, []string{lead}, f.leads())
	})
}

// Pattern: the lead is cut off from the other hosts and from the store, and
// comes back. Its orders carry an older fencing token than its successor's.
func TestALeadThatWasCutOffStepsBack(t *testing.T) {
	inFleet(t, func(t *testing.T, f *fleet) {
		lead := f.leads()[0]
		f.mu.Lock()
		f.hosts[lead].cut = true
		f.storeCut.set(lead, true)
		f.mu.Unlock()
		h := f.other(lead)
		time.Sleep(leadSilence + leaseTTL + 2*lookEvery + beatEvery + time.Second)
		require.Len(t, f.leads(), 2, "it does not know yet")
		h.granted(t, time.Second)
		newer := h.broker.lead.fence
		f.mu.Lock()
		f.hosts[lead].cut = false
		f.storeCut.set(lead, false)
		f.mu.Unlock()
		time.Sleep(3 * time.Second)
		leads := f.leads()
		require.Len(t, leads, 1)
		require.NotEqual(t, lead, leads[0])
		require.Greater(t, newer, int64(1))
	})
}

// Pattern: engines that check no fencing token. A lead that cannot renew gives
// no order once another may have taken over.
func TestWithoutFencingALeadEndsWithItsLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		f.unfenced = true
		for _, name := range []string{"h1", "h2", "h3"} {
			f.add(name, 0.4)
		}
		time.Sleep(2 * time.Second)
		require.Len(t, f.leads(), 1)
		f.cutStore(true)
		time.Sleep(unfencedTTL)
		require.Empty(t, f.leads())
		f.end()
	})
}

// Pattern: most hosts are weak. A strong one leads, also where a weak one was
// first.
func TestAStrongHostLeads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		for i := range 6 {
			f.add(fmt.Sprintf("weak%d", i), 0.2)
		}
		time.Sleep(3 * time.Second)
		require.Len(t, f.leads(), 1)
		f.add("strong1", 0.8)
		f.add("strong2", 0.8)
		time.Sleep(yieldAfter + 4*time.Second)
		leads := f.leads()
		require.Len(t, leads, 1)
		require.Contains(t, leads[0], "strong")
		f.kill(leads[0])
		time.Sleep(5 * time.Second)
		require.Len(t, f.leads(), 1)
		require.Contains(t, f.leads()[0], "strong")
		f.end()
	})
}

// Pattern: every host is killed at once while an organisation is at its limit.
// What was used is not given again.
func TestUsageOutlivesAllHosts(t *testing.T) {
	inFleet(t, func(t *testing.T, f *fleet) {
		h := f.hosts["h1"]
		d, _ := h.ask(time.Second, 8500)
		require.IsType(t, assign.Grant{}, d)
		time.Sleep(2 * renewEvery)
		for _, name := range []string{"h1", "h2", "h3"} {
			f.kill(name)
		}
		time.Sleep(500 * time.Millisecond)
		h = f.add("h1", 0.4)
		d, _ = h.ask(4*time.Second, 3000)
		require.IsType(t, assign.Refuse{}, d)
	})
}

// Pattern: the lead is lost and many hosts claim the lease at once. Those that
// come too late follow the new lead without waiting for their next look.
func TestLateClaimsFollowTheNewLeadAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		const hosts = 20
		for i := range hosts {
			f.add(fmt.Sprintf("h%d", i), 0.4)
		}
		time.Sleep(2 * time.Second)
		f.kill(f.leads()[0])
		for len(f.leads()) == 0 {
			time.Sleep(time.Millisecond)
		}
		time.Sleep(claimSpread + 30*time.Millisecond)
		lead := f.hosts[f.leads()[0]].broker
		lead.mu.Lock()
		require.Less(t, len(lead.untold), hosts/10, "hosts have told what they run")
		lead.mu.Unlock()
		following := 0
		for _, h := range f.hosts {
			h.broker.mu.Lock()
			if h.broker.lead.host != "" {
				following++
			}
			h.broker.mu.Unlock()
		}
		require.Greater(t, following, hosts*9/10)
		f.end()
	})
}

// A host that has just started waits for a lead before it decides by itself.
func TestABlankHostWaitsForALead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		f.storeCut.set("h1", true)
		f.view.Upstreams["e"].Loaded[0].Adapters = []catalog.LoadedAdapter{{Name: adapterName, Version: 1}}
		h := f.add("h1", 0.4)
		d, _ := h.ask(blankWait/2, 10)
		require.Nil(t, d)
		d, _ = h.ask(blankWait, 10)
		require.IsType(t, assign.Grant{}, d)
		f.end()
	})
}

// Pattern: the lead freezes, right after it has renewed its lease. Hosts that see
// the row for the first time need not watch it for its whole time.
func TestAFrozenLeadIsReplacedByTheStoresClock(t *testing.T) {
	inFleet(t, func(t *testing.T, f *fleet) {
		lead := f.leads()[0]
		frozen := f.hosts[lead]
		f.mu.Lock()
		frozen.cut = true
		f.storeCut.set(lead, true)
		f.mu.Unlock()
		started := time.Now()
		for len(f.leads()) < 2 {
			time.Sleep(10 * time.Millisecond)
			require.Less(t, time.Since(started), leaseTTL+clockMargin+2*lookEvery+claimSpread+renewEvery)
		}
		f.mu.Lock()
		frozen.cut = false
		f.storeCut.set(lead, false)
		f.mu.Unlock()
		time.Sleep(3 * time.Second)
		require.Len(t, f.leads(), 1)
	})
}

// Pattern: the store is slow, so that the lead's renewals are carried out without
// its knowing, and then the lead freezes. The hosts that have seen it go silent
// need not watch the row for its whole time once they can read it.
func TestALeadThatFreezesWhileTheStoreIsSlowIsReplacedAfterIt(t *testing.T) {
	inFleet(t, func(t *testing.T, f *fleet) {
		lead := f.leads()[0]
		f.setSlow(true)
		time.Sleep(weakAfter + 400*time.Millisecond)
		f.mu.Lock()
		f.hosts[lead].cut = true
		f.storeCut.set(lead, true)
		f.mu.Unlock()
		time.Sleep(5 * time.Second)
		f.setSlow(false)
		time.Sleep(lookEvery + claimSpread + 40*time.Millisecond)
		require.Len(t, f.leads(), 2, "the one that is frozen does not know yet")
	})
}

// Pattern: the store takes fifty times as long as usual, and the lead freezes.
// The claims of other hosts are waited for, and lead.
func TestALeadIsReplacedWhileTheStoreIsSlow(t *testing.T) {
	inFleet(t, func(t *testing.T, f *fleet) {
		lead := f.leads()[0]
		const slow = 1200 * time.Millisecond
		f.delayCommits(slow)
		time.Sleep(3 * time.Second)
		require.Equal(t, []string{lead}, f.leads(), "slow renewals are renewals")
		f.mu.Lock()
		f.hosts[lead].cut = true
		f.storeCut.set(lead, true)
		f.mu.Unlock()
		time.Sleep(leadSilence + leaseTTL + clockMargin + slow + 2*lookEvery + claimSpread)
		require.Len(t, f.leads(), 2, "the one that is frozen does not know yet")
	})
}

// Pattern: a claim is carried out after its host has stopped waiting for it. The
// host finds its own claim in the row and leads by it.
func TestAClaimWithoutAnAnswerLeads(t *testing.T) {
	inFleet(t, func(t *testing.T, f *fleet) {
		lead := f.leads()[0]
		f.delayCommits(writeTimeout + 200*time.Millisecond)
		f.kill(lead)
		time.Sleep(leaseTTL + clockMargin + writeTimeout + 3*lookEvery + claimSpread)
		leads := f.leads()
		require.Len(t, leads, 1)
		f.mu.Lock()
		version := f.rows[leaseKey].Version
		f.mu.Unlock()
		h := f.hosts[leads[0]].broker
		h.mu.Lock()
		defer h.mu.Unlock()
		require.Equal(t, version, h.lead.fence)
	})
}

// Pattern: the store is down, and hosts are added meanwhile. When it is back, its
// clock says that the lease is old, but the lead lives and is left to renew it.
func TestAddedHostsDoNotTakeTheLeaseAfterAnOutage(t *testing.T) {
	inFleet(t, func(t *testing.T, f *fleet) {
		lead := f.leads()[0]
		cut := func(on bool) {
			f.mu.Lock()
			defer f.mu.Unlock()
			for _, name := range []string{"h1", "h2", "h3", "new1", "new2", "new3"} {
				f.storeCut.set(name, on)
			}
		}
		cut(true)
		time.Sleep(2 * time.Second)
		for _, name := range []string{"new1", "new2", "new3"} {
			f.add(name, 0.4)
		}
		time.Sleep(2 * time.Second)
		cut(false)
		time.Sleep(5 * time.Second)
		require.Equal(t, []string{lead}, f.leads())
		require.Len(t, f.hosts["new1"].broker.Hosts(), 6)
	})
}

// Requests that wait when the lead is lost are decided by their host, or by the
// next lead; those that run are told to it.
func TestRequestsOutliveTheirLead(t *testing.T) {
	inFleet(t, func(t *testing.T, f *fleet) {
		lead := f.leads()[0]
		h := f.other(lead)
		running := h.granted(t, time.Second)
		f.kill(lead)
		time.Sleep(5 * time.Second)
		next := f.hosts[f.leads()[0]].broker
		next.mu.Lock()
		inFlight := next.leading.InFlight()
		next.mu.Unlock()
		require.Equal(t, 1, inFlight)
		h.broker.AttemptEnded(running, assign.AttemptEnded{Outcome: assign.Completed})
		time.Sleep(10 * time.Millisecond)
		next.mu.Lock()
		defer next.mu.Unlock()
		require.Zero(t, next.leading.InFlight())
	})
}

// Pattern: all other hosts lose power, so that the lead hears none. It leaves the lease to
// others for a moment, since they may live behind a cut, and leads again.
func TestALeadWhoseHostsAreGoneLeadsAgain(t *testing.T) {
	inFleet(t, func(t *testing.T, f *fleet) {
		lead := f.hosts[f.leads()[0]]
		f.mu.Lock()
		for name, h := range f.hosts {
			h.cut = h.cut || name != lead.name
		}
		f.mu.Unlock()
		for name := range f.hosts {
			f.storeCut.set(name, name != lead.name)
		}
		served := 0
		for end := time.Now().Add(6 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
			if d, ticket := lead.ask(time.Second, 10); d != nil {
				if _, ok := d.(assign.Grant); ok {
					served++
					lead.broker.AttemptEnded(ticket, assign.AttemptEnded{Outcome: assign.Completed, Succeeded: true})
				}
				lead.broker.Withdraw(ticket)
			}
		}
		require.Greater(t, served, 40)
		require.Contains(t, f.leads(), lead.name)
	})
}
