package lead

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jasminelock/jasminelock/assign"
	"github.com/jasminelock/jasminelock/catalog"
)

// withoutLead runs a test in a fleet whose lead has gone, and none follows, after the
// organisation has used 4,000 of its 9,000 tokens, all through one host.
func withoutLead(t *testing.T, test func(f *fleet, busy *testHost)) {
	inFleet(t, func(t *testing.T, f *fleet) {
		f.view.Upstreams["e"].Loaded[0].Adapters = []catalog.LoadedAdapter{{Name: adapterName, Version: 1}}
		lead := f.leads()[0]
		busy := f.other(lead)
		for _, h := range f.hosts {
			h.broker.SeeView(f.view)
		}
		for range 4 {
			d, ticket := busy.ask(time.Second, 1000)
			require.IsType(t, assign.Grant{}, d)
			busy.broker.Ended(ticket, assign.Ended{Outcome: assign.Completed})
		}
		time.Sleep(2 * beatEvery)
		f.cutStore(true)
		f.kill(lead)
		time.Sleep(beatEvery)
		require.Empty(t, f.leads())
		test(f, busy)
	})
}

// spend asks a host for requests until one is refused, and returns the tokens granted.
func (h *testHost) spend(t *testing.T) (granted int64) {
	t.Helper()
	const cost = 200
	for {
		d, ticket := h.ask(time.Second, cost)
		if _, ok := d.(assign.Grant); !ok {
			require.Equal(t, "rate", d.(assign.Refuse).Why)
			return granted
		}
		h.broker.Ended(ticket, assign.Ended{Outcome: assign.Completed})
		granted += cost
	}
}

// Pattern: the lead is gone, and all callers of an organisation use one host. Its
// requests are not refused while the organisation is inside its rate.
func TestWithoutALeadNoneInsideTheRateIsRefused(t *testing.T) {
	withoutLead(t, func(_ *fleet, busy *testHost) {
		require.GreaterOrEqual(t, busy.spend(t), int64(2500))
	})
}

// What all hosts hand out without a lead is within the organisation's rate.
func TestWithoutALeadTheRateHolds(t *testing.T) {
	withoutLead(t, func(f *fleet, _ *testHost) {
		granted := int64(4000)
		for _, h := range f.hosts {
			granted += h.spend(t)
		}
		require.LessOrEqual(t, granted, int64(9000))
		require.Greater(t, granted, int64(6500))
	})
}
