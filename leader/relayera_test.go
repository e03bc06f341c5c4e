package leader

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jasminelock/jasminelock/store"
	"github.com/jasminelock/jasminelock/wire"
)

// A follower that has changes of the new era receives tables that a leader has read in an older one, at a higher version. Guards against tables of the older era
// that replace those of the new one.
func TestRestore_RelayOfOlderEra(t *testing.T) {
	withLostTables(t, func(f *fleet) {
		time.Sleep(2 * time.Second) // until the hosts have read the new era
		f.tables.put("op", "evacuate/later", "1")
		f.tables.put("up", "new", "1")
		time.Sleep(2 * time.Second)
		leader := f.leaders()[0]
		h := f.otherThan(leader)
		before := h.watcher.View()
		require.Equal(t, map[string]bool{"lost": true, "later": true}, before.Evacuated.Zones)
		require.NotNil(t, before.Upstreams["new"])
		older := wireUpstream(before.Upstreams["new"])
		older.ID = "left"
		h.broker.Receive(leader, &wire.UpstreamPush{Complete: true, Upstreams: []wire.Upstream{older}, UpstreamsVersion: 1000})
		h.broker.Receive(leader, &wire.UpstreamPush{RemovedUpstreams: []string{"e"}, UpstreamsVersion: 1000})
		h.broker.Receive(leader, &wire.ConfigPush{EvacuatedZones: []string{"lifted"}, EvacuatedVersion: 1000, KnowsPriorEra: true})
		after := h.watcher.View()
		require.Equal(t, before.Evacuated, after.Evacuated)
		require.Equal(t, before.Upstreams, after.Upstreams)
	})
}

// A follower that does not reach the store gets the changes after a restore from the leader. Their versions are below those
// that the follower has read. Guards against changes that are relayed, or compared, without their era.
func TestRestore_RelayToHostCutOff(t *testing.T) {
	withLostTables(t, func(f *fleet) {
		h := f.otherThan(f.leaders()[0])
		f.storeCut.set(h.name, true)
		time.Sleep(2 * time.Second)
		f.tables.put("op", "evacuate/later", "1")
		f.tables.put("up", "new", "1")
		f.tables.put("up", "e", "")
		time.Sleep(5 * time.Second)
		v := h.watcher.View()
		require.True(t, v.Evacuated.Zones["later"])
		require.True(t, v.Evacuated.Zones["lost"])
		require.NotNil(t, v.Upstreams["new"])
		require.Nil(t, v.Upstreams["e"])
		require.Nil(t, v.Upstreams["left"])
	})
}

// Guards against positions that a leader passes to other hosts without the era in which it has read them, and against
// followers that record them without it: they would read whole tables again when the leader is lost.
func TestRestore_PositionsPassedWithEra(t *testing.T) {
	withLostTables(t, func(f *fleet) {
		time.Sleep(3 * time.Second)
		eras := map[string]map[int64]int{}
		count := func(field string, at store.Position) {
			if eras[field] == nil {
				eras[field] = map[int64]int{}
			}
			eras[field][store.EraOf(at)]++
		}
		f.sentMu.Lock()
		f.filter = func(_, _ string, m wire.Message) wire.Message {
			switch m := m.(type) {
			case *wire.LeaderHeartbeat:
				count("heartbeat's operator table", m.OperatorVersion)
				count("heartbeat's upstreams", m.UpstreamsVersion)
				count("lease", m.LeaseVersion)
				count("fence", m.Fence)
				count("era", store.NewPosition(m.StoreEra, 0))
			case *wire.ConfigPush:
				count("evacuations", m.EvacuatedVersion)
			case *wire.UpstreamPush:
				count("upstreams", m.UpstreamsVersion)
			}
			return m
		}
		f.sentMu.Unlock()
		f.tables.put("op", "evacuate/later", "1")
		f.tables.put("up", "new", "1")
		time.Sleep(3 * time.Second)
		f.add("fresh", 0.4)
		time.Sleep(3 * time.Second)
		operator, upstreams := f.hosts[f.leaders()[0]].watcher.KnownVersions()
		for _, h := range f.hosts {
			o, u := h.watcher.KnownVersions()
			require.Equal(t, []store.Position{operator, upstreams}, []store.Position{o, u}, h.name)
		}
		f.sentMu.Lock()
		defer f.sentMu.Unlock()
		f.filter = nil
		require.Len(t, eras, 7)
		for field, seen := range eras {
			require.Len(t, seen, 1, field)
			require.Positive(t, seen[1], field)
		}
	})
}
