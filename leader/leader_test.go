package leader

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jasminelock/jasminelock/assign"
	"github.com/jasminelock/jasminelock/catalog"
)

func TestLeader_ServesAllHosts(t *testing.T) {
	withFleet(t, func(t *testing.T, f *fleet) {
		for _, h := range f.hosts {
			ticket := h.requireGrant(t, time.Second)
			h.broker.FirstByteReceived(ticket)
			h.broker.AttemptEnded(ticket, assign.AttemptEnded{Outcome: assign.Completed})
			h.broker.Withdraw(ticket)
			require.Len(t, h.broker.Hosts(), 3)
		}
		time.Sleep(10 * time.Millisecond)
		leader := f.hosts[f.leaders()[0]].broker
		require.Zero(t, leader.leading.InFlight())
		require.Len(t, f.orders, 2, "one load, and its repetition to learn that it has ended")
	})
}

func TestLeader_KilledIsReplaced(t *testing.T) {
	withFleet(t, func(t *testing.T, f *fleet) {
		leader := f.leaders()[0]
		h := f.otherThan(leader)
		h.requireGrant(t, time.Second)
		f.kill(leader)
		started := time.Now()
		for len(f.leaders()) == 0 {
			time.Sleep(10 * time.Millisecond)
		}
		require.Less(t, time.Since(started), leaseTTL+renewInterval+2*leaseReadInterval)
		time.Sleep(500 * time.Millisecond)
		require.Len(t, f.leaders(), 1)
		h.requireGrant(t, time.Second)
		require.Len(t, h.broker.Hosts(), 2)
	})
}

func TestDrain_LeaderHandsOver(t *testing.T) {
	withFleet(t, func(t *testing.T, f *fleet) {
		leader := f.leaders()[0]
		f.hosts[leader].broker.Drain()
		time.Sleep(leaseTTL / 2)
		leaders := f.leaders()
		require.Len(t, leaders, 1)
		require.NotEqual(t, leader, leaders[0])
		time.Sleep(time.Second)
		require.Len(t, f.hosts[leaders[0]].broker.Hosts(), 2, "callers are not sent to the draining host")
	})
}

// The leader is drained during an outage of the store. It must lead for as long as it runs, and hand over once the
// store is back.
func TestDrain_LeadsOnDuringOutage(t *testing.T) {
	withFleet(t, func(t *testing.T, f *fleet) {
		leader := f.leaders()[0]
		h := f.otherThan(leader)
		f.cutStore(true)
		time.Sleep(renewInterval)
		f.hosts[leader].broker.Drain()
		for range 4 {
			time.Sleep(time.Second)
			require.Equal(t, []string{leader}, f.leaders())
			require.Equal(t, leader, h.broker.leader.host)
		}
		require.Len(t, h.broker.Hosts(), 2, "callers are not sent to the draining host")
		h.requireGrant(t, time.Second)
		f.cutStore(false)
		time.Sleep(leaseTTL / 2)
		leaders := f.leaders()
		require.Len(t, leaders, 1)
		require.NotEqual(t, leader, leaders[0])
		h.requireGrant(t, time.Second)
	})
}

// The store rejects only the leader, which is drained. Another host must take over at once.
func TestDrain_LeaderCutOffStoreReplaced(t *testing.T) {
	withFleet(t, func(t *testing.T, f *fleet) {
		leader := f.leaders()[0]
		f.mu.Lock()
		f.storeCut.set(leader, true)
		f.mu.Unlock()
		f.hosts[leader].broker.Drain()
		time.Sleep(2*renewInterval + heartbeatInterval + renewInterval + renewalGrace + claimJitter)
		leaders := f.leaders()
		require.Len(t, leaders, 1)
		require.NotEqual(t, leader, leaders[0])
		f.otherThan(leader).requireGrant(t, time.Second)
	})
}

// The leader is drained and the store's answer to the release of the lease is lost.
func TestDrain_ReleaseAnswerLost(t *testing.T) {
	withFleet(t, func(t *testing.T, f *fleet) {
		leader := f.leaders()[0]
		f.mu.Lock()
		f.loseCommits = 1
		f.mu.Unlock()
		f.hosts[leader].broker.Drain()
		time.Sleep(leaseTTL)
		leaders := f.leaders()
		require.Len(t, leaders, 1)
		require.NotEqual(t, leader, leaders[0])
	})
}

// The store rejects the leader and serves the other hosts. One of them must take over, and all must follow it
// without reading the store.
func TestRenew_CutOffLeaderReplaced(t *testing.T) {
	withFleet(t, func(t *testing.T, f *fleet) {
		leader := f.leaders()[0]
		f.mu.Lock()
		f.storeCut.set(leader, true)
		f.mu.Unlock()
		time.Sleep(renewalOverdueAfter + 2*renewInterval + claimJitter + time.Second)
		leaders := f.leaders()
		require.Len(t, leaders, 1)
		require.NotEqual(t, leader, leaders[0])
		f.hosts[leader].requireGrant(t, time.Second)
		require.Equal(t, leaders[0], f.hosts[leader].broker.leader.host)
	})
}

// The store is down for all hosts. The leader must continue, since no host can have replaced it.
func TestRenew_OutageKeepsLeader(t *testing.T) {
	withFleet(t, func(t *testing.T, f *fleet) {
		leader := f.leaders()[0]
		f.cutStore(true)
		time.Sleep(20 * time.Second)
		require.Equal(t, []string{leader}, f.leaders())
		f.otherThan(leader).requireGrant(t, time.Second)
		f.cutStore(false)
		time.Sleep(3 * time.Second)
		require.Len(t, f.leaders(), 1)
	})
}

func TestRenew_LostAnswerKeepsLeader(t *testing.T) {
	withFleet(t, func(t *testing.T, f *fleet) {
		leader := f.leaders()[0]
		f.mu.Lock()
		f.loseCommits = 1
		f.mu.Unlock()
		time.Sleep(3 * time.Second)
		require.Equal(t, []string{leader}, f.leaders())
	})
}

// The leader is cut off from the other hosts and from the store, and comes back. Its orders carry an older fencing
// token than those of its successor.
func TestLeader_IsolatedStepsDown(t *testing.T) {
	withFleet(t, func(t *testing.T, f *fleet) {
		leader := f.leaders()[0]
		f.mu.Lock()
		f.hosts[leader].cut = true
		f.storeCut.set(leader, true)
		f.mu.Unlock()
		h := f.otherThan(leader)
		time.Sleep(leaderTimeout + leaseTTL + 2*leaseReadInterval + heartbeatInterval + time.Second)
		require.Len(t, f.leaders(), 2, "the old leader does not know that it was replaced")
		h.requireGrant(t, time.Second)
		newer := h.broker.leader.fence
		f.mu.Lock()
		f.hosts[leader].cut = false
		f.storeCut.set(leader, false)
		f.mu.Unlock()
		time.Sleep(3 * time.Second)
		leaders := f.leaders()
		require.Len(t, leaders, 1)
		require.NotEqual(t, leader, leaders[0])
		require.Greater(t, newer, int64(1))
	})
}

// Engines check no fencing tokens. A leader that cannot renew its lease must stop before another host may take
// over.
func TestUnfenced_LeaderStopsAtExpiry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		f.unfenced = true
		for _, name := range []string{"h1", "h2", "h3"} {
			f.add(name, 0.4)
		}
		time.Sleep(2 * time.Second)
		require.Len(t, f.leaders(), 1)
		f.cutStore(true)
		time.Sleep(unfencedTTL)
		require.Empty(t, f.leaders())
		f.end()
	})
}

// Most hosts are weak. A strong host must lead, even if a weak one was the first leader.
func TestElection_StrongHostLeads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		for i := range 6 {
			f.add(fmt.Sprintf("weak%d", i), 0.2)
		}
		time.Sleep(3 * time.Second)
		require.Len(t, f.leaders(), 1)
		f.add("strong1", 0.8)
		f.add("strong2", 0.8)
		time.Sleep(yieldAfter + 4*time.Second)
		leaders := f.leaders()
		require.Len(t, leaders, 1)
		require.Contains(t, leaders[0], "strong")
		f.kill(leaders[0])
		time.Sleep(5 * time.Second)
		require.Len(t, f.leaders(), 1)
		require.Contains(t, f.leaders()[0], "strong")
		f.end()
	})
}

// All hosts are killed at once while an organisation is at its limit. Guards against granting the used tokens
// again.
func TestUsage_AllHostsKilled(t *testing.T) {
	withFleet(t, func(t *testing.T, f *fleet) {
		h := f.hosts["h1"]
		d, _ := h.requestAssignment(time.Second, 8500)
		require.IsType(t, assign.Grant{}, d)
		time.Sleep(2 * renewInterval)
		for _, name := range []string{"h1", "h2", "h3"} {
			f.kill(name)
		}
		time.Sleep(500 * time.Millisecond)
		h = f.add("h1", 0.4)
		d, _ = h.requestAssignment(4*time.Second, 3000)
		require.IsType(t, assign.Refuse{}, d)
	})
}

// The leader is lost and many hosts claim the lease at once. Those whose claims fail must follow the new leader
// without waiting for their next read of the lease.
func TestClaim_LosersFollowAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		const hosts = 20
		for i := range hosts {
			f.add(fmt.Sprintf("h%d", i), 0.4)
		}
		time.Sleep(2 * time.Second)
		f.kill(f.leaders()[0])
		for len(f.leaders()) == 0 {
			time.Sleep(time.Millisecond)
		}
		time.Sleep(claimJitter + 30*time.Millisecond)
		leader := f.hosts[f.leaders()[0]].broker
		leader.mu.Lock()
		require.Less(t, len(leader.unreportedHosts), hosts/10, "hosts have reported their running requests")
		leader.mu.Unlock()
		following := 0
		for _, h := range f.hosts {
			h.broker.mu.Lock()
			if h.broker.leader.host != "" {
				following++
			}
			h.broker.mu.Unlock()
		}
		require.Greater(t, following, hosts*9/10)
		f.end()
	})
}

// A host that has just started waits for a leader before it assigns requests by itself.
func TestStartup_WaitsForLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		f.storeCut.set("h1", true)
		f.view.Upstreams["e"].Loaded[0].Adapters = []catalog.LoadedAdapter{{Name: adapterName, Version: 1}}
		h := f.add("h1", 0.4)
		d, _ := h.requestAssignment(startupWait/2, 10)
		require.Nil(t, d)
		d, _ = h.requestAssignment(startupWait, 10)
		require.IsType(t, assign.Grant{}, d)
		f.end()
	})
}

// The leader freezes right after it has renewed its lease. Hosts that then see the row for the first time must not
// wait for its whole duration.
func TestExpiry_ByStoreClock(t *testing.T) {
	withFleet(t, func(t *testing.T, f *fleet) {
		leader := f.leaders()[0]
		frozen := f.hosts[leader]
		f.mu.Lock()
		frozen.cut = true
		f.storeCut.set(leader, true)
		f.mu.Unlock()
		started := time.Now()
		for len(f.leaders()) < 2 {
			time.Sleep(10 * time.Millisecond)
			require.Less(t, time.Since(started), leaseTTL+clockMargin+2*leaseReadInterval+claimJitter+renewInterval)
		}
		f.mu.Lock()
		frozen.cut = false
		f.storeCut.set(leader, false)
		f.mu.Unlock()
		time.Sleep(3 * time.Second)
		require.Len(t, f.leaders(), 1)
	})
}

// The store is slow, so that the leader's renewals are carried out without an answer, and then the leader freezes.
// Hosts that have noticed its silence must not wait for the lease's whole duration once they can read the row.
func TestExpiry_FrozenDuringSlowStore(t *testing.T) {
	withFleet(t, func(t *testing.T, f *fleet) {
		leader := f.leaders()[0]
		f.setSlow(true)
		time.Sleep(renewalOverdueAfter + 400*time.Millisecond)
		f.mu.Lock()
		f.hosts[leader].cut = true
		f.storeCut.set(leader, true)
		f.mu.Unlock()
		time.Sleep(5 * time.Second)
		f.setSlow(false)
		time.Sleep(leaseReadInterval + claimJitter + 40*time.Millisecond)
		require.Len(t, f.leaders(), 2, "the frozen leader does not know that it was replaced")
	})
}

// The store takes fifty times as long as usual, and the leader freezes. Guards against claims that time out before
// the store answers.
func TestClaim_SlowStore(t *testing.T) {
	withFleet(t, func(t *testing.T, f *fleet) {
		leader := f.leaders()[0]
		const slow = 1200 * time.Millisecond
		f.delayCommits(slow)
		time.Sleep(3 * time.Second)
		require.Equal(t, []string{leader}, f.leaders(), "slow renewals keep the lease")
		f.mu.Lock()
		f.hosts[leader].cut = true
		f.storeCut.set(leader, true)
		f.mu.Unlock()
		time.Sleep(leaderTimeout + leaseTTL + clockMargin + slow + 2*leaseReadInterval + claimJitter)
		require.Len(t, f.leaders(), 2, "the frozen leader does not know that it was replaced")
	})
}

// A claim is carried out after its host has stopped waiting for the answer. The host must find its own claim in
// the row and lead with it.
func TestClaim_AnswerLost(t *testing.T) {
	withFleet(t, func(t *testing.T, f *fleet) {
		leader := f.leaders()[0]
		f.delayCommits(writeTimeout + 200*time.Millisecond)
		f.kill(leader)
		time.Sleep(leaseTTL + clockMargin + writeTimeout + 3*leaseReadInterval + claimJitter)
		leaders := f.leaders()
		require.Len(t, leaders, 1)
		f.mu.Lock()
		version := f.rows[leaseKey].Version
		f.mu.Unlock()
		h := f.hosts[leaders[0]].broker
		h.mu.Lock()
		defer h.mu.Unlock()
		require.Equal(t, version, h.leader.fence)
	})
}

// Hosts are added during an outage of the store. When the store is back, its clock shows an old lease, but the
// leader is running and must get the time to renew it.
func TestExpiry_NewHostsAfterOutage(t *testing.T) {
	withFleet(t, func(t *testing.T, f *fleet) {
		leader := f.leaders()[0]
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
		require.Equal(t, []string{leader}, f.leaders())
		require.Len(t, f.hosts["new1"].broker.Hosts(), 6)
	})
}

// The leader is killed while a request runs. Guards against a running request that its host does not report to the
// next leader.
func TestLeader_RequestsSurviveKill(t *testing.T) {
	withFleet(t, func(t *testing.T, f *fleet) {
		leader := f.leaders()[0]
		h := f.otherThan(leader)
		running := h.requireGrant(t, time.Second)
		f.kill(leader)
		time.Sleep(5 * time.Second)
		next := f.hosts[f.leaders()[0]].broker
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

// All other hosts lose power, so that the leader loses contact with all of them. It must release the lease for a
// moment, since they may be running behind a network partition, and then lead again.
func TestStepAside_LeadsAgain(t *testing.T) {
	withFleet(t, func(t *testing.T, f *fleet) {
		leader := f.hosts[f.leaders()[0]]
		f.mu.Lock()
		for name, h := range f.hosts {
			h.cut = h.cut || name != leader.name
		}
		f.mu.Unlock()
		for name := range f.hosts {
			f.storeCut.set(name, name != leader.name)
		}
		served := 0
		for end := time.Now().Add(6 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
			if d, ticket := leader.requestAssignment(time.Second, 10); d != nil {
				if _, ok := d.(assign.Grant); ok {
					served++
					leader.broker.AttemptEnded(ticket, assign.AttemptEnded{Outcome: assign.Completed, Succeeded: true})
				}
				leader.broker.Withdraw(ticket)
			}
		}
		require.Greater(t, served, 40)
		require.Contains(t, f.leaders(), leader.name)
	})
}
