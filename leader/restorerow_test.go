package leader

import (
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"

	"github.com/jasminelock/jasminelock/quarantine"
	"github.com/jasminelock/jasminelock/throttle"
	"github.com/jasminelock/jasminelock/wire"
)

// firstRowOfEra returns the lease as it is first written in an era.
func (f *fleet) firstRowOfEra(t *testing.T, era int64) lease {
	t.Helper()
	for range 5000 {
		time.Sleep(time.Millisecond)
		f.mu.Lock()
		raw := f.rows[leaseKey].Value
		f.mu.Unlock()
		var l lease
		if len(raw) > 0 {
			require.NoError(t, cbor.Unmarshal(raw, &l))
		}
		if l.Era == era {
			return l
		}
	}
	require.Fail(t, "the lease is not written in the new era")
	return lease{}
}

// The copy is older than the suspects and the rate limits that hosts know. The leader lives, or is lost while the store is away.
// Guards against a lease that is claimed without them, and against one whose next renewal loses them: hosts that start from the
// row would send crashing requests and exceed limits.
func TestRestore_RowWrittenAgain(t *testing.T) {
	key := quarantine.Key{7}
	for copied := range copiedLeases(t, "h1") {
		for _, killed := range []bool{false, true} {
			withFleet(t, func(t *testing.T, f *fleet) {
				leader := f.leaders()[0]
				f.hosts[leader].broker.RateLimitStated(f.view.Upstreams["e"], time.Now(), throttle.Statement{PerSecond: 2, Stated: true})
				for _, h := range f.hosts {
					h.broker.update(func(now time.Time) {
						for n := range quarantine.Incarnation(2) {
							h.broker.ledger.RecordInterrupted(now, key, n+1)
							h.broker.ledger.RecordUpstreamEnd(now, n+1)
						}
					})
				}
				time.Sleep(time.Second)
				f.cutStore(true)
				time.Sleep(300 * time.Millisecond)
				if killed {
					f.kill(leader)
				}
				f.restore(storeCopy{copiedLeases(t, f.otherThan(leader).name)[copied], 2})
				f.cutStore(false)
				requireRecorded(t, f.firstRowOfEra(t, 1), key)
				time.Sleep(2 * renewInterval)
				requireRecorded(t, f.firstRowOfEra(t, 1), key)
			})
		}
	}
}

// requireRecorded checks that a lease holds a suspect and the rate limit of the upstream "e".
func requireRecorded(t *testing.T, l lease, key quarantine.Key) {
	t.Helper()
	suspects := map[string]wire.Suspect{}
	for _, s := range l.Suspects.Suspects {
		suspects[string(s.Key)] = s
	}
	require.Contains(t, suspects, string(key[:]))
	require.Len(t, l.RateLimits, 1)
	require.Equal(t, "e", l.RateLimits[0].Upstream)
	require.InDelta(t, 2, l.RateLimits[0].PerSecond, 1e-9)
	require.Equal(t, int64(1), l.Era)
	require.NotEmpty(t, l.Secret)
}
