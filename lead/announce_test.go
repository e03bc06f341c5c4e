package lead

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jasminelock/jasminelock/wire"
)

// Pattern: the lead of a fleet of many weak and a few strong hosts is killed. Weak
// hosts neither read the store nor claim the lease; the next lead tells them of itself.
func TestWeakHostsHearOfTheNextLead(t *testing.T) {
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
		require.Len(t, f.leads(), 1)
		require.Contains(t, f.leads()[0], "strong")
		f.resetCalls()
		f.kill(f.leads()[0])
		time.Sleep(4 * time.Second)
		leads := f.leads()
		require.Len(t, leads, 1)
		for _, h := range f.hosts {
			h.broker.mu.Lock()
			require.Equal(t, leads[0], h.broker.lead.host, h.name)
			h.broker.mu.Unlock()
		}
		require.Less(t, f.calls("weak"), weak, "the store is not asked by each of them")
		f.end()
	})
}

// Pattern: every link to the lead is reset at once. It is found again without the
// store.
func TestLinksThatAreResetAreOpenedAgain(t *testing.T) {
	inFleet(t, func(t *testing.T, f *fleet) {
		lead := f.leads()[0]
		f.resetCalls()
		for name, h := range f.hosts {
			if name != lead {
				h.broker.LinkLost(lead)
			}
		}
		time.Sleep(20 * time.Millisecond)
		for _, h := range f.hosts {
			h.broker.mu.Lock()
			require.Equal(t, lead, h.broker.lead.host)
			h.broker.mu.Unlock()
		}
	})
}

// Pattern: the whole fleet starts for the first time. Most hosts are weak, and find
// that a strong one leads in place of claiming the lease themselves.
func TestAtTheFirstStartWeakHostsLeaveTheLeaseToStrongOnes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		for i := range 40 {
			f.add(fmt.Sprintf("weak%d", i), 0.2)
		}
		for i := range 3 {
			f.add(fmt.Sprintf("strong%d", i), 0.8)
		}
		time.Sleep(3 * time.Second)
		require.Len(t, f.leads(), 1)
		require.Contains(t, f.leads()[0], "strong")
		require.LessOrEqual(t, f.calls("weak"), 3*40)
		f.end()
	})
}

// How long hosts rely on a lead that has not read the store depends on how soon
// changes must be in force.
func TestHostsRelyOnTheLeadForAsLongAsChangesMayTake(t *testing.T) {
	beat := func(weak bool, age time.Duration) *wire.LeaderHeartbeat {
		return &wire.LeaderHeartbeat{RenewalOverdue: weak, StoreAgeMillis: age.Milliseconds()}
	}
	b := &Broker{options: Options{MaxPropagation: 2 * time.Second, Cores: 0.2}}
	b.lead.row.strongest = 0.8
	require.True(t, b.fresh(beat(false, 1900*time.Millisecond)))
	require.False(t, b.fresh(beat(true, 1900*time.Millisecond)))
	b.options.MaxPropagation = 4 * time.Second
	require.True(t, b.fresh(beat(true, 2700*time.Millisecond)))
	require.False(t, b.fresh(beat(true, 2900*time.Millisecond)))
	require.False(t, b.fresh(beat(false, 2900*time.Millisecond)))
	b.options.Cores = 0.8
	require.False(t, b.fresh(beat(true, 1900*time.Millisecond)), "a strong host may have to take over")
}
