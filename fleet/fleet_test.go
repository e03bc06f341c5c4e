package fleet

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jasminelock/jasminelock/membership"
	"github.com/jasminelock/jasminelock/record"
	"github.com/jasminelock/jasminelock/spread"
	"github.com/jasminelock/jasminelock/wire"
)

func TestHosts_DiscoverMembersAndConfiguration(t *testing.T) {
	w := newWorld(1, 7, 3)
	require.NoError(t, w.run(10*time.Second))
	for _, h := range w.hosts {
		require.Len(t, h.node.Members(), 7, h.name)
		require.EqualValues(t, 1, h.node.Revision(), h.name)
		require.True(t, w.now.Before(h.node.FreshUntil()), h.name)
	}
	w.acceptChange("organisation", "b", `{}`)
	require.NoError(t, w.run(3*time.Second))
	for _, h := range w.hosts {
		require.EqualValues(t, 2, h.node.Revision(), h.name)
	}
}

func TestHostWithoutState_FetchesSnapshotDuringStoreOutage(t *testing.T) {
	w := newWorld(2, 7, 3)
	for range 700 { // more than the change log retains
		w.acceptChange("organisation", "b", `{}`)
	}
	require.NoError(t, w.run(10*time.Second))
	w.storeDown = true
	require.NoError(t, w.run(time.Hour))
	h := w.hosts[3]
	w.startHost(h)
	require.NoError(t, w.run(30*time.Second))
	require.EqualValues(t, 701, h.node.Revision())
	for _, h := range w.hosts {
		require.True(t, w.now.Before(h.node.FreshUntil()), "%s stays fresh while the store is down", h.name)
	}
}

func TestPartitionedHost_BecomesStale(t *testing.T) {
	w := newWorld(3, 7, 3)
	require.NoError(t, w.run(10*time.Second))
	h := w.hosts[2]
	h.isolated, h.storeUnreachable = true, true
	require.NoError(t, w.run(11*time.Second))
	require.False(t, w.now.Before(h.node.FreshUntil()))
	require.NoError(t, w.run(time.Minute))
	require.False(t, w.now.Before(h.node.FreshUntil()))
	require.True(t, w.now.Before(w.hosts[0].node.FreshUntil()))
	for _, m := range w.hosts[0].node.Members() {
		require.NotEqual(t, h.name, m.Name, "the partitioned host is removed from the member list")
	}
	h.isolated, h.storeUnreachable = false, false
	require.NoError(t, w.run(15*time.Second))
	require.True(t, w.now.Before(h.node.FreshUntil()))
	require.Len(t, w.hosts[0].node.Members(), 7)
	require.Len(t, h.node.Members(), 7)
}

// partitionZone isolates a zone, restarts one of its hosts, and returns that host
// when its confirmation must have expired.
func partitionZone(t *testing.T, m mutant) (*world, *simHost) {
	t.Helper()
	w := newWorld(4, 6, 3)
	w.mutant = m
	require.NoError(t, w.run(20*time.Second))
	restarted, peer := w.hosts[1], w.hosts[4]
	for _, h := range []*simHost{restarted, peer} {
		h.isolated, h.storeUnreachable = true, true
	}
	require.NoError(t, w.run(12*time.Second))
	w.startHost(restarted)
	require.NoError(t, w.run(20*time.Second))
	require.EqualValues(t, 1, restarted.node.Revision(), "the other host of the zone sends the configuration")
	return w, restarted
}

func TestHostRestartedInPartitionedZone_IsStale(t *testing.T) {
	w, h := partitionZone(t, mutant{})
	require.False(t, w.now.Before(h.node.FreshUntil()))

	forgetZones := func(_ *simHost, m wire.Outgoing) *wire.Outgoing {
		if ack, ok := m.Message.(*wire.Ack); ok {
			without := *ack
			without.RequiredZones = nil
			m.Message = &without
		}
		return &m
	}
	w, h = partitionZone(t, mutant{replaceMessage: forgetZones})
	require.True(t, w.now.Before(h.node.FreshUntil()),
		"without the required zones in heartbeats, the host takes its zone for the whole fleet")
}

// A change that the table service accepted just before an outage, and that no host
// could read, is put in force only when the outage ends. This is a known limitation
// of the protocol.
func TestChangeUnreadBeforeOutage_InForceAfterwards(t *testing.T) {
	w := newWorld(5, 6, 3)
	require.NoError(t, w.run(20*time.Second))
	w.storeDown = true
	w.acceptChange("organisation", "b", `{}`)
	require.NoError(t, w.run(10*time.Minute))
	for _, h := range w.hosts {
		require.EqualValues(t, 1, h.node.Revision())
		require.True(t, w.now.Before(h.node.FreshUntil()))
	}
	w.storeDown = false
	require.NoError(t, w.run(3*time.Second))
	for _, h := range w.hosts {
		require.EqualValues(t, 2, h.node.Revision())
	}
}

func TestLeavingHost_AnnouncedToOthers(t *testing.T) {
	w := newWorld(6, 7, 3)
	require.NoError(t, w.run(10*time.Second))
	h := w.hosts[0]
	h.node.SetState(wire.HostLeaving)
	require.NoError(t, w.run(time.Second))
	for _, other := range w.hosts[1:] {
		members := other.node.Members()
		i := slices.IndexFunc(members, func(m membership.Member) bool { return m.Name == h.name })
		require.Equal(t, wire.HostLeaving, members[i].State, other.name)
	}
	h.node.SetState(wire.HostGone)
	require.NoError(t, w.run(time.Second))
	h.up = false
	require.NoError(t, w.run(3*time.Second))
	for _, other := range w.hosts[1:] {
		require.Len(t, other.node.Members(), 6, other.name)
	}
}

// TestPausedHostMissingChange_StaleDuringOutage guards against a host that was paused
// during a change, resumes during an outage, receives failed reads from every zone, and
// takes its old configuration as current.
func TestPausedHostMissingChange_StaleDuringOutage(t *testing.T) {
	w := newWorld(7, 6, 3)
	require.NoError(t, w.run(20*time.Second))
	h := w.hosts[3]
	h.paused = true
	require.NoError(t, w.run(12*time.Second))
	w.acceptChange("organisation", "b", `{}`)
	require.NoError(t, w.run(2*time.Second))
	w.storeDown = true
	require.NoError(t, w.run(15*time.Second))
	w.resume(h)
	for range 100 {
		require.NoError(t, w.run(100*time.Millisecond))
		fresh := w.now.Before(h.node.FreshUntil())
		require.False(t, fresh && h.node.Revision() < 2, "fresh without the change")
	}
	require.EqualValues(t, 2, h.node.Revision())
	require.True(t, w.now.Before(h.node.FreshUntil()), "the other hosts have sent it the change")
}

func TestLargeChanges_ReachEveryHost(t *testing.T) {
	w := newWorld(8, 9, 3)
	require.NoError(t, w.run(10*time.Second))
	w.meter.on = true // every frame is encoded, so that its bound is checked
	large := func(mark string) {
		var records []record.Envelope
		for i := range 40 {
			spec := fmt.Sprintf(`{"display_name":%q}`, strings.Repeat(mark, 40<<10))
			records = append(records, record.Envelope{Schema: 2, Kind: record.KindOrganisation, Name: fmt.Sprintf("org-%d", i), Spec: []byte(spec)})
		}
		w.changes = append(w.changes, spread.FromEnvelopes(int64(len(w.changes)+1), records))
	}
	large("a")
	require.NoError(t, w.run(3*time.Second))
	large("b")
	restarted := w.hosts[4]
	w.startHost(restarted) // its records come from others while the next change spreads
	restarted.storeUnreachable = true
	require.NoError(t, w.run(10*time.Second))
	for _, h := range w.hosts {
		require.EqualValues(t, 3, h.node.Revision(), h.name)
		o, ok := h.config.Organisation("org-7")
		require.True(t, ok)
		require.Equal(t, byte('b'), o.DisplayName[0], h.name)
	}
}

// TestStoreHang_HostsStayFresh guards against hosts whose configuration becomes stale,
// even for a moment, when the table service does not answer instead of returning errors.
func TestStoreHang_HostsStayFresh(t *testing.T) {
	w := newWorld(10, 30, 5)
	require.NoError(t, w.run(20*time.Second))
	w.storeDown, w.storeHangs = true, true
	for range 600 {
		require.NoError(t, w.run(100*time.Millisecond))
		for _, h := range w.hosts {
			require.True(t, w.now.Before(h.node.FreshUntil()), "%s after %v", h.name, w.now.Sub(w.start))
		}
	}
}

// TestHostWithoutState_StaleUntilCaughtUp guards against a host that starts during an
// outage, receives the changes one after another, and takes an intermediate revision as
// current.
func TestHostWithoutState_StaleUntilCaughtUp(t *testing.T) {
	for seed := range uint64(20) {
		w := newWorld(seed, 6, 2)
		w.delay = 200 * time.Millisecond
		for range 20 {
			w.acceptChange("organisation", "b", `{}`)
		}
		require.NoError(t, w.run(20*time.Second))
		newest := w.hosts[0].node.Revision()
		w.storeDown = true
		h := w.hosts[2]
		w.startHost(h)
		for range 300 {
			require.NoError(t, w.run(5*time.Millisecond))
			fresh := w.now.Before(h.node.FreshUntil())
			require.False(t, fresh && h.node.Revision() > 0 && h.node.Revision() < newest, "fresh at revision %d", h.node.Revision())
		}
		require.NoError(t, w.run(5*time.Second))
		require.True(t, w.now.Before(h.node.FreshUntil()))
	}
}
