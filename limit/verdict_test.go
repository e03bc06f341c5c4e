package limit

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/jasminelock/jasminelock/record"
)

const verdictBurst = 1000

// settledFleet returns a fleet whose hosts are members of a view, an organisation's
// lead and another host.
func settledFleet(seed uint64, ratePerSecond float64) (s *sim, lead, other *simHost) {
	s = newSim(seed, 5, faults{}, map[string]*record.Rate{
		testOrg: {TokensPerSecond: ratePerSecond, BurstTokens: verdictBurst},
	}, leadLimiter)
	s.run(fleetStart)
	lead = s.leadHost(testOrg)
	return s, lead, s.hosts[(lead.index+1)%len(s.hosts)]
}

// ask returns the verdict on a reservation that is never settled.
func (s *sim) ask(h *simHost, tokens int64) (v Verdict) {
	s.request(h, testOrg, tokens, -1, 0, func(got Verdict) { v = got })
	s.run(2 * MaxWait)
	return v
}

func TestRetryAfterIsTrue(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		s, lead, other := settledFleet(rapid.Uint64().Draw(t, "seed"), rapid.Float64Range(1, 500).Draw(t, "rate"))
		host := map[bool]*simHost{false: lead, true: other}[rapid.Bool().Draw(t, "remote")]
		s.ask(lead, rapid.Int64Range(1, verdictBurst).Draw(t, "spent here"))
		s.ask(other, rapid.Int64Range(1, verdictBurst).Draw(t, "spent there"))
		tokens := rapid.Int64Range(1, verdictBurst).Draw(t, "tokens")
		var first, again Verdict
		s.request(host, testOrg, tokens, -1, 0, func(v Verdict) {
			first = v
			if v.OK {
				return
			}
			s.after(v.RetryAfter, func() {
				s.request(host, testOrg, tokens, -1, 0, func(v Verdict) { again = v })
			})
		})
		s.run(2*MaxWait + first.RetryAfter)
		s.run(2*MaxWait + first.RetryAfter)
		if !first.OK && !again.OK {
			t.Fatalf("refused again after %s: %+v", first.RetryAfter, again)
		}
	})
}

func TestSettle(t *testing.T) {
	t.Parallel()
	const rate = 100
	for _, test := range []struct {
		name string
		used int64 // of 600 reserved, negative where it is not known
		left int64
	}{
		{"less used than reserved", 200, 800},
		{"nothing used", 0, 1000},
		{"as much used as reserved", 600, 400},
		{"more used than reserved", 900, 100},
		{"more used than the burst", 1500, -500},
		{"usage not known", -1, 400},
	} {
		for _, remote := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s/remote=%v", test.name, remote), func(t *testing.T) {
				t.Parallel()
				s, lead, other := settledFleet(1, rate)
				host := lead
				if remote {
					host = other
				}
				s.ask(lead, 1) // opens the bucket
				s.run(time.Second)
				s.request(host, testOrg, 600, test.used, 10*time.Millisecond, nil)
				s.run(100 * time.Millisecond)
				a := lead.limiter.(*LeaderLimiter).accounts[testOrg]
				a.refill(s.now)
				require.InDelta(t, test.left, a.tokens, 0.11*rate, "but for what 100 ms refill")
			})
		}
	}
}

// TestRefusedAtOnce shows that no refusal waits where tokens cannot come.
func TestRefusedAtOnce(t *testing.T) {
	t.Parallel()
	s, lead, other := settledFleet(1, 1)
	refuse := func(h *simHost, tokens int64, within time.Duration) Verdict {
		t.Helper()
		var v *Verdict
		s.request(h, testOrg, tokens, -1, 0, func(got Verdict) { v = &got })
		s.run(within)
		require.NotNil(t, v)
		require.False(t, v.OK)
		return *v
	}
	require.True(t, refuse(other, verdictBurst+1, 0).OverBurst)
	s.ask(lead, verdictBurst)
	require.Positive(t, refuse(lead, 500, 0).RetryAfter)
	const roundTrip = 4 * simLinkTime
	require.Positive(t, refuse(other, 500, roundTrip).RetryAfter)
	s.kill(lead)
	require.Positive(t, refuse(other, 1, MaxWait+simTick).RetryAfter, "a lost lead is waited for once")
	s.run(simListLag + goneAfter + 4*time.Second)
	v := refuse(other, 1, roundTrip)
	require.Positive(t, v.RetryAfter, "the next lead knows that the one before is lost")
	s.run(v.RetryAfter)
	require.True(t, s.ask(other, 1).OK)
}
