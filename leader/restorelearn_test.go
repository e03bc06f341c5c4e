package leader

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jasminelock/jasminelock/catalog"
	"github.com/jasminelock/jasminelock/store"
	"github.com/jasminelock/jasminelock/wire"
)

// serves reports whether a host may serve callers by its tables, as package host decides it.
func (h *testHost) serves() bool {
	v := h.watcher.View()
	return v.Config != nil && v.UpstreamsRead && (h.watcher.Era() == 0 || h.broker.Settled())
}

// setCut sets whether no message reaches or leaves the host.
func (h *testHost) setCut(cut bool) {
	h.fleet.mu.Lock()
	defer h.fleet.mu.Unlock()
	h.cut = cut
}

// loseUpstreams loses the next relayed list of upstreams.
func (f *fleet) loseUpstreams(lose bool) {
	f.sentMu.Lock()
	defer f.sentMu.Unlock()
	f.filter = func(_, _ string, m wire.Message) wire.Message {
		if _, ok := m.(*wire.UpstreamPush); ok && lose {
			lose = false
			return nil
		}
		return m
	}
}

// requireKnowsLost checks that a host knows what the copy lacks.
func requireKnowsLost(t *testing.T, h *testHost) {
	t.Helper()
	v := h.watcher.View()
	require.Equal(t, int64(2), v.Config.Version, h.name)
	require.Equal(t, catalog.Versions{{Model: "m", Adapter: adapterName}: 3}, v.Versions, h.name)
	require.Equal(t, map[string]bool{"lost": true}, v.Evacuated.Zones, h.name)
	require.Nil(t, v.Upstreams["left"], h.name)
	require.NotNil(t, v.Upstreams["e"], h.name)
}

// withLostTables runs a test with two hosts that have lived through a restore of the store. Since the copy, a configuration, an
// adapter version, an evacuation and the end of an upstream were written. Of the hosts that have started later, the test must
// let none serve before it knows all of that.
func withLostTables(t *testing.T, test func(f *fleet)) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		tables := f.watchTables()
		f.add("h1", 0.4)
		f.add("h2", 0.4)
		time.Sleep(2 * time.Second)
		copied := tables.copyNow()
		tables.put("op", "config", "2")
		tables.put("op", "version/"+adapterName, "3")
		tables.put("op", "evacuate/lost", "1")
		tables.put("up", "left", "")
		time.Sleep(3 * time.Second)
		require.Len(t, f.leaders(), 1)
		for _, h := range f.hosts {
			requireKnowsLost(t, h)
		}
		tables.restore(copied, storeCopy{map[string]store.Row{}, 0})
		test(f)
		f.end()
	})
}

// requireLearnsBeforeServing checks that hosts serve within a time, and that each knows what the copy lacks from then on.
func requireLearnsBeforeServing(t *testing.T, within time.Duration, fresh ...*testHost) {
	t.Helper()
	end := time.Now().Add(within)
	for time.Now().Before(end) {
		for _, h := range fresh {
			if h.serves() {
				requireKnowsLost(t, h)
			}
		}
		time.Sleep(2 * time.Millisecond)
	}
	for _, h := range fresh {
		require.True(t, h.serves(), h.name)
	}
}

// A host that starts after the restore follows a leader that has lived through it. Guards against a host that serves callers by
// the copy, with withdrawn keys, evacuated zones and upstreams that have left, before it has heard of the leader, also if
// the first list of upstreams is lost.
func TestRestore_FreshFollowerLearnsFirst(t *testing.T) {
	for _, lost := range []bool{false, true} {
		withLostTables(t, func(f *fleet) {
			time.Sleep(2 * time.Second)
			fresh := f.add("fresh", 0.4)
			fresh.setCut(true)
			time.Sleep(time.Second)
			require.Equal(t, int64(1), fresh.watcher.View().Config.Version, "the host has read the copy")
			require.False(t, fresh.serves())
			f.loseUpstreams(lost)
			fresh.setCut(false)
			requireLearnsBeforeServing(t, 4*time.Second, fresh)
			require.NotEqual(t, []string{"fresh"}, f.leaders())
		})
	}
}

// Hosts that have started after the restore lead and follow, and one host that has lived through it finds their leader. Guards
// against a leader that does not ask for the configuration, adapter versions, zones and departed upstreams that the copy lacks,
// against a leader or a follower of it that serves callers before it has them, and against a leader whose copy makes the other
// host forget them.
func TestRestore_FreshHostsLearnFirst(t *testing.T) {
	withLostTables(t, func(f *fleet) {
		f.kill(f.leaders()[0])
		time.Sleep(700 * time.Millisecond)
		old := f.otherThan("")
		require.True(t, old.watcher.View().Evacuated.Continuous)
		f.storeCut.set(old.name, true)
		fresh := []*testHost{f.add("fresh1", 0.4), f.add("fresh2", 0.4)}
		for len(f.leaders()) == 0 {
			time.Sleep(time.Millisecond)
			require.False(t, fresh[0].serves() || fresh[1].serves())
		}
		f.storeCut.set(old.name, false)
		requireLearnsBeforeServing(t, 4*time.Second, append(fresh, old)...)
		require.NotEqual(t, []string{old.name}, f.leaders())
	})
}

// No host has lived through the restore. Guards against hosts that never serve since they wait for one.
func TestRestore_OnlyFreshHosts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		f.era = 1
		f.watchTables()
		hosts := []*testHost{f.add("h1", 0.4), f.add("h2", 0.4)}
		time.Sleep(leaseTTL + 2*learnTime)
		for _, h := range hosts {
			require.True(t, h.serves(), h.name)
		}
		f.end()
	})
}
