package limit

import (
	"flag"
	"maps"
	"math"
	"math/rand/v2"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/jasminelock/jasminelock/record"
	"github.com/jasminelock/jasminelock/wire"
)

// TestMain fixes rapid's seed, so that every run has the same outcome.
func TestMain(m *testing.M) {
	flag.Parse()
	given := map[string]bool{}
	flag.Visit(func(f *flag.Flag) { given[f.Name] = true })
	for name, value := range map[string]string{"rapid.seed": "20260101", "rapid.checks": propertyRuns, "rapid.nofailfile": "true"} {
		if !given[name] {
			_ = flag.Set(name, value)
		}
	}
	os.Exit(m.Run())
}

// chaosTime is how long requests arrive in a run with faults.
const chaosTime = 60 * time.Second

// chaos runs a fleet under demand above the rate, with faults of every kind.
func chaos(seed uint64, limiter limiterFunc) *sim {
	r := rand.New(rand.NewPCG(seed, 11))
	f := faults{
		loss: r.Float64() * 0.1, duplicate: r.Float64() * 0.2, reorder: r.Float64() * 0.1,
		linkTime:   time.Duration(r.Int64N(int64(40 * time.Millisecond))),
		lostAnswer: r.Float64() * 0.3, storeTime: time.Duration(r.Int64N(int64(500 * time.Millisecond))),
	}
	rates := map[string]*record.Rate{
		"acme":  {TokensPerSecond: 50, BurstTokens: 400},
		"bravo": {TokensPerSecond: 5, BurstTokens: 100},
		"cedar": {TokensPerSecond: 200, BurstTokens: 60},
	}
	s := newSim(seed, 3+r.IntN(3), f, rates, limiter)
	for range 4 + r.IntN(8) {
		at := time.Duration(r.Int64N(int64(chaosTime)))
		duration := time.Duration(r.Int64N(int64(25 * time.Second)))
		s.after(at, s.injector(r.IntN(faultKinds), s.hosts[r.IntN(len(s.hosts))], duration))
	}
	for at := time.Duration(0); at < chaosTime; at += time.Duration(r.Int64N(int64(200 * time.Millisecond))) {
		s.after(at, s.sendBatch)
	}
	s.run(chaosTime)
	return s
}

// sendBatch sends a few requests of one organisation at once.
func (s *sim) sendBatch() {
	org := []string{"acme", "bravo", "cedar"}[s.rand.IntN(3)]
	for range 1 + s.rand.IntN(5) {
		tokens := 1 + s.rand.Int64N(40)
		used := s.rand.Int64N(tokens+2) - 1
		duration := time.Duration(s.rand.Int64N(int64(3 * time.Second)))
		s.request(s.hosts[s.rand.IntN(len(s.hosts))], org, tokens, used, duration, nil)
	}
}

// The kinds of fault.
const (
	kindKill = iota
	kindRestart
	kindPause
	kindOutage
	kindIsolate
	kindRates
	kindPlatformCut
	kindCutOff
	kindLeave
	faultKinds
)

// injector returns a function that injects a fault of the given kind.
func (s *sim) injector(kind int, h *simHost, duration time.Duration) func() {
	restart := func() {
		if !h.alive {
			s.start(h)
		}
	}
	return func() {
		switch kind {
		case kindKill:
			s.kill(h)
			s.after(duration, restart)
		case kindRestart:
			s.kill(h)
			s.after(0, restart)
		case kindPause:
			s.pause(h, anyOrg(s.rates), duration)
		case kindOutage:
			s.platformDown = true
			s.after(duration, func() { s.platformDown = false })
		case kindIsolate:
			s.isolate(h, true)
			s.after(duration, func() { s.isolate(h, false) })
		case kindRates:
			changed := maps.Clone(s.rates)
			changed["acme"] = &record.Rate{TokensPerSecond: 10 + s.rand.Float64()*100, BurstTokens: 100 + s.rand.Int64N(500)}
			s.publish(changed)
		case kindPlatformCut:
			h.platformCutOff = true
			s.after(duration, func() { h.platformCutOff = false })
		case kindCutOff:
			h.platformCutOff = true
			s.isolate(h, true)
			s.after(duration, func() {
				h.platformCutOff = false
				s.isolate(h, false)
			})
		case kindLeave:
			s.on(h, func(now time.Time) []Decision { return h.limiter.Leave(now) })
			s.after(2*time.Second, func() {
				s.kill(h)
				s.after(duration, restart)
			})
		}
	}
}

// isolate cuts a host off from every other host, or reconnects it.
func (s *sim) isolate(h *simHost, on bool) {
	for _, other := range s.hosts {
		if other != h {
			s.cut[[2]int{h.index, other.index}] = on
			s.cut[[2]int{other.index, h.index}] = on
		}
	}
}

func TestRateAndBurst_NeverExceeded(t *testing.T) {
	t.Parallel()
	admitted := 0
	rapid.Check(t, func(t *rapid.T) {
		s := chaos(rapid.Uint64().Draw(t, "seed"), newLeaderLimiter)
		admitted += s.check.score("acme").admitted
		if err := s.check.verify(); err != nil {
			t.Fatal(err)
		}
	})
	require.Positive(t, admitted)
}

// TestRegressionSeeds repeats runs in which the checker found faults that have
// been fixed.
func TestRegressionSeeds(t *testing.T) {
	t.Parallel()
	for seed, fault := range map[uint64]string{
		0x2:       "capacity kept by a grant was refilled for the time before it expired",
		0xdea8cae: "a pending reservation created a bucket on a host that no longer leads it",
	} {
		require.NoError(t, chaos(seed, newLeaderLimiter).check.verify(), "seed %#x: %s", seed, fault)
	}
}

// brokenLimiter is a limiter with a broken mechanism: mutate is called before and
// after Tick and Receive, and before Reserve.
type brokenLimiter struct {
	*LeaderLimiter
	mutate func(*LeaderLimiter)
}

func (b brokenLimiter) Tick(now time.Time) []Decision {
	b.mutate(b.LeaderLimiter)
	out := b.LeaderLimiter.Tick(now)
	b.mutate(b.LeaderLimiter)
	return out
}

func (b brokenLimiter) Receive(now time.Time, from string, m wire.Message) []Decision {
	b.mutate(b.LeaderLimiter)
	out := b.LeaderLimiter.Receive(now, from, m)
	b.mutate(b.LeaderLimiter)
	return out
}

func (b brokenLimiter) Reserve(now time.Time, org string, tokens int64) (Verdict, []Decision) {
	b.mutate(b.LeaderLimiter)
	return b.LeaderLimiter.Reserve(now, org, tokens)
}

// runWithLeaderFault runs a fleet under demand above the rate and injects a
// fault on the leader of the organisation. The leader keeps getting requests.
func runWithLeaderFault(limiter limiterFunc, injectFault func(s *sim, leader *simHost)) *sim {
	s := newSim(1, 5, faults{}, map[string]*record.Rate{"acme": {TokensPerSecond: 10, BurstTokens: 400}}, limiter)
	s.run(fleetStart)
	for at := time.Duration(0); at < chaosTime; at += 40 * time.Millisecond {
		s.after(at, func() { s.request(s.hosts[s.rand.IntN(len(s.hosts))], "acme", 12, 12, 0, nil) })
	}
	s.run(5 * time.Second)
	injectFault(s, s.leaderHost("acme"))
	s.run(chaosTime - 5*time.Second)
	return s
}

func cutOffLeader(s *sim, leader *simHost) { s.injector(kindCutOff, leader, 40*time.Second)() }

func pauseLeader(s *sim, leader *simHost) { s.injector(kindPause, leader, 40*time.Second)() }

func restartLeader(s *sim, leader *simHost) { s.injector(kindRestart, leader, 0)() }

func TestLeaderLoss(t *testing.T) {
	t.Parallel()
	for name, fault := range map[string]func(*sim, *simHost){
		"cut off": cutOffLeader, "paused": pauseLeader, "restarted": restartLeader,
	} {
		t.Run(name, func(t *testing.T) {
			var before int64
			s := runWithLeaderFault(newLeaderLimiter, func(s *sim, leader *simHost) {
				before = s.rows[headKey].Version
				fault(s, leader)
			})
			require.NoError(t, s.check.verify())
			require.Greater(t, s.rows[headKey].Version, before, "no new view was written")
		})
	}
}

// TestChecker_DetectsBrokenLimiter shows that the checker fails where a part of
// the mechanism is missing.
func TestChecker_DetectsBrokenLimiter(t *testing.T) {
	t.Parallel()
	filled := map[*account]bool{} // of the first mutant
	mutants := []struct {
		name string
		// fault is the fault that reveals the mutant. If it is nil, one of the
		// runs with faults of every kind has to reveal it.
		fault func(*sim, *simHost)
		spoil func(*LeaderLimiter)
	}{
		{"restart with a full burst", restartLeader, func(l *LeaderLimiter) {
			for _, a := range l.accounts {
				if !filled[a] {
					filled[a] = true
					a.burstPending, a.tokens = false, float64(a.rate.BurstTokens)
				}
			}
		}},
		{"previous leader not waited for", nil, func(l *LeaderLimiter) {
			if l.view != nil {
				l.fence.majorityAt = time.Unix(1, 0)
			}
		}},
		{"expired evidence accepted", cutOffLeader, func(l *LeaderLimiter) {
			if !l.fence.validUntil.IsZero() {
				l.fence.validUntil = l.now.Add(time.Hour)
			}
		}},
		{"duplicate returns credited", nil, func(l *LeaderLimiter) { clear(l.receivedReturns) }},
		{"capacity of grants refilled", nil, func(l *LeaderLimiter) {
			for _, a := range l.accounts {
				a.grants, a.outstanding = nil, 0
			}
		}},
		{"late returns credited in full", nil, func(l *LeaderLimiter) {
			for _, a := range l.accounts {
				a.slacks = slackLog{entries: []slack{{at: l.now.Add(time.Hour), free: math.Inf(1)}}}
			}
		}},
		{"late answers accepted", nil, func(l *LeaderLimiter) {
			for _, a := range l.reservations {
				a.deadline = l.now.Add(time.Hour)
			}
		}},
	}
	const runs = 100
	for _, m := range mutants {
		t.Run(m.name, func(t *testing.T) {
			t.Parallel()
			limiter := func(host string, incarnation uint64) Limiter {
				return brokenLimiter{newLeaderLimiter(host, incarnation).(*LeaderLimiter), m.spoil}
			}
			if m.fault != nil {
				require.Error(t, runWithLeaderFault(limiter, m.fault).check.verify())
				return
			}
			for seed := range uint64(runs) {
				if chaos(seed, limiter).check.verify() != nil {
					t.Logf("detected with seed %d", seed)
					return
				}
			}
			t.Errorf("broken limiter not detected in %d runs", runs)
		})
	}
}

// anyOrg returns the first of the organisations with a rate.
func anyOrg(rates map[string]*record.Rate) string {
	return slices.Min(slices.Collect(maps.Keys(rates)))
}
