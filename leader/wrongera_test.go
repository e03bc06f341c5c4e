package leader

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jasminelock/jasminelock/wire"
)

// tellOfEra passes a heartbeat of the leader that tells of an era to a host, every heartbeatInterval for some time.
func (f *fleet) tellOfEra(h *testHost, d time.Duration, eras ...int64) {
	leader := f.leaders()[0]
	fence, _ := f.hosts[leader].state()
	for n := 0; d > 0; n++ {
		h.broker.Receive(leader, &wire.LeaderHeartbeat{Fence: fence, StoreEra: eras[n%len(eras)]})
		time.Sleep(heartbeatInterval)
		d -= heartbeatInterval
	}
}

// knownEra returns the era of the store that a host knows.
func (h *testHost) knownEra() int64 { return h.broker.Stats().StoreEra }

// A host is told of an era that the store does not confirm, and then the store is restored. Guards against a host that no longer
// hears of true eras below the wrong one.
func TestRestore_TrueEraAfterWrongOne(t *testing.T) {
	withFleet(t, func(t *testing.T, f *fleet) {
		h := f.otherThan(f.leaders()[0])
		f.tellOfEra(h, eraCheckInterval, 7)
		require.Zero(t, h.knownEra())
		f.restore(f.copyStore())
		time.Sleep(2 * eraCheckInterval)
		require.Equal(t, int64(1), h.knownEra())
	})
}

// The store confirms an era only some time after a host has been told of it. Guards against a host that ignores it for ever.
func TestRestore_RefutedEraBecomesTrue(t *testing.T) {
	withFleet(t, func(t *testing.T, f *fleet) {
		h := f.otherThan(f.leaders()[0])
		f.tellOfEra(h, 3*time.Second, 1)
		require.Zero(t, h.knownEra())
		f.restore(f.copyStore())
		time.Sleep(refutedEraTime + eraCheckInterval)
		require.Equal(t, int64(1), h.knownEra())
	})
}

// Guards against a host that reads the store each time it is told of a wrong era, and against one that reads it more often than
// every eraCheckInterval if the wrong eras differ.
func TestRestore_ReadsForWrongEras(t *testing.T) {
	const told = 20 * time.Second
	for name, c := range map[string]struct {
		eras  []int64
		every time.Duration
	}{"same": {[]int64{7}, refutedEraTime}, "changing": {[]int64{7, 8, 9}, eraCheckInterval}} {
		t.Run(name, func(t *testing.T) {
			withFleet(t, func(t *testing.T, f *fleet) {
				h := f.otherThan(f.leaders()[0])
				f.resetStoreCalls()
				f.tellOfEra(h, told, c.eras...)
				calls := f.storeCallsOf(h.name)
				require.Positive(t, calls)
				require.LessOrEqual(t, calls, int(told/c.every)+1)
			})
		})
	}
}
