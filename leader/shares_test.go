package leader

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jasminelock/jasminelock/assign"
	"github.com/jasminelock/jasminelock/catalog"
)

// withoutLeader runs a test in a fleet whose leader was killed and not replaced, after the organisation has used
// 4,000 of its 9,000 tokens, all through one host.
func withoutLeader(t *testing.T, test func(f *fleet, busy *testHost)) {
	withFleet(t, func(t *testing.T, f *fleet) {
		f.view.Upstreams["e"].Loaded[0].Adapters = []catalog.LoadedAdapter{{Name: adapterName, Version: 1}}
		leader := f.leaders()[0]
		busy := f.otherThan(leader)
		for _, h := range f.hosts {
			h.broker.UpdateView(f.view)
		}
		for range 4 {
			d, ticket := busy.requestAssignment(time.Second, 1000)
			require.IsType(t, assign.Grant{}, d)
			busy.broker.AttemptEnded(ticket, assign.AttemptEnded{Outcome: assign.Completed})
		}
		time.Sleep(2 * heartbeatInterval)
		f.cutStore(true)
		f.kill(leader)
		time.Sleep(heartbeatInterval)
		require.Empty(t, f.leaders())
		test(f, busy)
	})
}

// spendUntilRefused submits requests at a host until one is refused, and returns the tokens granted.
func (h *testHost) spendUntilRefused(t *testing.T) (granted int64) {
	t.Helper()
	const cost = 200
	for {
		d, ticket := h.requestAssignment(time.Second, cost)
		if _, ok := d.(assign.Grant); !ok {
			require.Equal(t, "rate", d.(assign.Refuse).Rule)
			return granted
		}
		h.broker.AttemptEnded(ticket, assign.AttemptEnded{Outcome: assign.Completed})
		granted += cost
	}
}

// There is no leader, and all callers of an organisation use one host. Its requests must not be refused while the
// organisation is inside its rate.
func TestShares_BusyHostNotRefused(t *testing.T) {
	withoutLeader(t, func(_ *fleet, busy *testHost) {
		require.GreaterOrEqual(t, busy.spendUntilRefused(t), int64(2500))
	})
}

// Without a leader, all hosts together grant no more than the organisation's rate.
func TestShares_SumWithinRate(t *testing.T) {
	withoutLeader(t, func(f *fleet, _ *testHost) {
		granted := int64(4000)
		for _, h := range f.hosts {
			granted += h.spendUntilRefused(t)
		}
		require.LessOrEqual(t, granted, int64(9000))
		require.Greater(t, granted, int64(6500))
	})
}

// The leader reaches the store and no host, and an organisation submits as much as it can at every host. Another
// host leads, and only the first leader's own share may be granted beyond the rate.
func TestShares_IsolatedLeader(t *testing.T) {
	withFleet(t, func(t *testing.T, f *fleet) {
		f.view.Upstreams["e"].Loaded[0].Adapters = []catalog.LoadedAdapter{{Name: adapterName, Version: 1}}
		for _, h := range f.hosts {
			h.broker.UpdateView(f.view)
		}
		f.engine = loadedEngines{}
		leader := f.hosts[f.leaders()[0]]
		f.mu.Lock()
		leader.cut = true
		f.mu.Unlock()
		time.Sleep(4 * time.Second)
		require.NotContains(t, f.leaders(), leader.name)
		// The host without a leader grants its share in addition to the new leader's whole rate.
		const window, limit = 8 * time.Second, (1000*8 + 1000) * (3 + 1) / 3
		type spent struct {
			at     time.Time
			tokens int64
		}
		var all []spent
		for end := time.Now().Add(24 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
			for _, h := range f.hosts {
				const cost = 200
				for range 3 {
					d, ticket := h.requestAssignment(50*time.Millisecond, cost)
					if _, ok := d.(assign.Grant); ok {
						h.broker.AttemptEnded(ticket, assign.AttemptEnded{Outcome: assign.Completed, Succeeded: true})
						all = append(all, spent{time.Now(), cost})
					}
					h.broker.Withdraw(ticket)
				}
			}
		}
		worst := int64(0)
		for i, from := range all {
			sum := int64(0)
			for _, s := range all[i:] {
				if s.at.Sub(from.at) < window {
					sum += s.tokens
				}
			}
			worst = max(worst, sum)
		}
		require.LessOrEqual(t, worst, int64(limit))
		require.Positive(t, worst)
	})
}
