package limit

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/jasminelock/jasminelock/record"
)

const fleetBurst = 1000

// joinedFleet returns a fleet whose hosts are members of a view, the leader of
// testOrg and another host.
func joinedFleet(seed uint64, ratePerSecond float64) (s *sim, leader, other *simHost) {
	s = newSim(seed, 5, faults{}, map[string]*record.Rate{
		testOrg: {TokensPerSecond: ratePerSecond, BurstTokens: fleetBurst},
	}, newLeaderLimiter)
	s.run(fleetStart)
	leader = s.leaderHost(testOrg)
	return s, leader, s.hosts[(leader.index+1)%len(s.hosts)]
}

// reserve returns the result of a reservation that is never settled.
func (s *sim) reserve(h *simHost, tokens int64) (v Verdict) {
	s.request(h, testOrg, tokens, -1, 0, func(got Verdict) { v = got })
	s.run(2 * MaxWait)
	return v
}

func TestRetryAfter(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		s, leader, other := joinedFleet(rapid.Uint64().Draw(t, "seed"), rapid.Float64Range(1, 500).Draw(t, "rate"))
		host := map[bool]*simHost{false: leader, true: other}[rapid.Bool().Draw(t, "remote")]
		s.reserve(leader, rapid.Int64Range(1, fleetBurst).Draw(t, "spent on the leader"))
		s.reserve(other, rapid.Int64Range(1, fleetBurst).Draw(t, "spent on the other host"))
		tokens := rapid.Int64Range(1, fleetBurst).Draw(t, "tokens")
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
				s, leader, other := joinedFleet(1, rate)
				host := leader
				if remote {
					host = other
				}
				s.reserve(leader, 1) // creates the bucket
				s.run(time.Second)
				s.request(host, testOrg, 600, test.used, 10*time.Millisecond, nil)
				s.run(100 * time.Millisecond)
				a := leader.limiter.(*LeaderLimiter).accounts[testOrg]
				a.refill(s.now)
				require.InDelta(t, test.left, a.tokens, 0.11*rate, "apart from the refill within 100 ms")
			})
		}
	}
}

// TestImmediateRefusal checks that requests are refused without waiting if tokens
// cannot become available within the wait.
func TestImmediateRefusal(t *testing.T) {
	t.Parallel()
	s, leader, other := joinedFleet(1, 1)
	refuse := func(h *simHost, tokens int64, within time.Duration) Verdict {
		t.Helper()
		var v *Verdict
		s.request(h, testOrg, tokens, -1, 0, func(got Verdict) { v = &got })
		s.run(within)
		require.NotNil(t, v)
		require.False(t, v.OK)
		return *v
	}
	require.True(t, refuse(other, fleetBurst+1, 0).OverBurst)
	s.reserve(leader, fleetBurst)
	require.Positive(t, refuse(leader, 500, 0).RetryAfter)
	const roundTrip = 4 * simLinkTime
	require.Positive(t, refuse(other, 500, roundTrip).RetryAfter)
	s.kill(leader)
	require.Positive(t, refuse(other, 1, MaxWait+simTick).RetryAfter, "requests wait for a leader that has just been lost")
	s.run(simListLag + goneAfter + 4*time.Second)
	v := refuse(other, 1, roundTrip)
	require.Positive(t, v.RetryAfter, "the next leader knows that the previous one is lost")
	s.run(v.RetryAfter)
	require.True(t, s.reserve(other, 1).OK)
}
