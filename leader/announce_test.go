package leader

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jasminelock/jasminelock/wire"
)

// The leader of a fleet of many weak and a few strong hosts is killed. Guards against weak hosts that read the
// store or claim the lease instead of waiting for the next leader's announcement.
func TestAnnounce_WeakHostsFollowWithoutStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		for i := range 3 {
			f.add(fmt.Sprintf("strong%d", i), 0.8)
		}
		const weak = 40
		for i := range weak {
			f.add(fmt.Sprintf("weak%d", i), 0.2)
		}
		time.Sleep(5 * time.Second)
		require.Len(t, f.leaders(), 1)
		require.Contains(t, f.leaders()[0], "strong")
		f.resetStoreCalls()
		f.kill(f.leaders()[0])
		time.Sleep(4 * time.Second)
		leaders := f.leaders()
		require.Len(t, leaders, 1)
		for _, h := range f.hosts {
			h.broker.mu.Lock()
			require.Equal(t, leaders[0], h.broker.leader.host, h.name)
			h.broker.mu.Unlock()
		}
		require.Less(t, f.storeCallsOf("weak"), weak, "fewer store calls than weak hosts")
		f.end()
	})
}

// Every link to the leader is reset at once. Guards against hosts that need the store to find the leader again.
func TestAnnounce_ResetLinksReopen(t *testing.T) {
	withFleet(t, func(t *testing.T, f *fleet) {
		leader := f.leaders()[0]
		f.resetStoreCalls()
		for name, h := range f.hosts {
			if name != leader {
				h.broker.LinkLost(leader)
			}
		}
		time.Sleep(20 * time.Millisecond)
		for _, h := range f.hosts {
			h.broker.mu.Lock()
			require.Equal(t, leader, h.broker.leader.host)
			h.broker.mu.Unlock()
		}
	})
}

// The whole fleet starts for the first time, most hosts of it weak. Guards against weak hosts that claim the lease
// themselves instead of leaving it to a strong one.
func TestElection_FirstStartStrongHostLeads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		for i := range 40 {
			f.add(fmt.Sprintf("weak%d", i), 0.2)
		}
		for i := range 3 {
			f.add(fmt.Sprintf("strong%d", i), 0.8)
		}
		time.Sleep(3 * time.Second)
		require.Len(t, f.leaders(), 1)
		require.Contains(t, f.leaders()[0], "strong")
		require.LessOrEqual(t, f.storeCallsOf("weak"), 3*40)
		f.end()
	})
}

// How long hosts rely on a leader that has not read the store depends on Options.MaxPropagation and on their own cores.
func TestLeaderFresh(t *testing.T) {
	heartbeat := func(renewalOverdue bool, age time.Duration) *wire.LeaderHeartbeat {
		return &wire.LeaderHeartbeat{RenewalOverdue: renewalOverdue, StoreAgeMillis: age.Milliseconds()}
	}
	b := &Broker{options: Options{MaxPropagation: 2 * time.Second, Cores: 0.2}}
	b.leader.row.maxCores = 0.8
	require.True(t, b.leaderFresh(heartbeat(false, 1900*time.Millisecond)))
	require.False(t, b.leaderFresh(heartbeat(true, 1900*time.Millisecond)))
	b.options.MaxPropagation = 4 * time.Second
	require.True(t, b.leaderFresh(heartbeat(true, 2700*time.Millisecond)))
	require.False(t, b.leaderFresh(heartbeat(true, 2900*time.Millisecond)))
	require.False(t, b.leaderFresh(heartbeat(false, 2900*time.Millisecond)))
	b.options.Cores = 0.8
	require.False(t, b.leaderFresh(heartbeat(true, 1900*time.Millisecond)), "a strong host may have to take over the lease")
}
