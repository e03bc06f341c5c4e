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

// TestMain fixes rapid's seed, so that every run gives the same verdict.
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

// chaosTime is how long requests come in a run with faults.
const chaosTime = 60 * time.Second

// chaos runs a fleet under demand above the rate, with faults of every kind.
func chaos(seed uint64, limiter newLimiter) *sim {
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
		lasts := time.Duration(r.Int64N(int64(25 * time.Second)))
		s.after(at, s.fault(r.IntN(faultKinds), s.hosts[r.IntN(len(s.hosts))], lasts))
	}
	for at := time.Duration(0); at < chaosTime; at += time.Duration(r.Int64N(int64(200 * time.Millisecond))) {
		s.after(at, s.bunch)
	}
	s.run(chaosTime)
	return s
}

// bunch sends a few requests of one organisation at once.
func (s *sim) bunch() {
	org := []string{"acme", "bravo", "cedar"}[s.rand.IntN(3)]
	for range 1 + s.rand.IntN(5) {
		tokens := 1 + s.rand.Int64N(40)
		used := s.rand.Int64N(tokens+2) - 1
		lasts := time.Duration(s.rand.Int64N(int64(3 * time.Second)))
		s.request(s.hosts[s.rand.IntN(len(s.hosts))], org, tokens, used, lasts, nil)
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
	kindNoPlatform
	kindCutOff
	kindLeave
	faultKinds
)

// fault returns what one kind of fault does.
func (s *sim) fault(kind int, h *simHost, lasts time.Duration) func() {
	restart := func() {
		if !h.alive {
			s.start(h)
		}
	}
	return func() {
		switch kind {
		case kindKill:
			s.kill(h)
			s.after(lasts, restart)
		case kindRestart:
			s.kill(h)
			s.after(0, restart)
		case kindPause:
			s.pause(h, anyOrg(s.rates), lasts)
		case kindOutage:
			s.down = true
			s.after(lasts, func() { s.down = false })
		case kindIsolate:
			s.isolate(h, true)
			s.after(lasts, func() { s.isolate(h, false) })
		case kindRates:
			changed := maps.Clone(s.rates)
			changed["acme"] = &record.Rate{TokensPerSecond: 10 + s.rand.Float64()*100, BurstTokens: 100 + s.rand.Int64N(500)}
			s.publish(changed)
		case kindNoPlatform:
			h.cutOff = true
			s.after(lasts, func() { h.cutOff = false })
		case kindCutOff:
			h.cutOff = true
			s.isolate(h, true)
			s.after(lasts, func() {
				h.cutOff = false
				s.isolate(h, false)
			})
		case kindLeave:
			s.on(h, func(now time.Time) []Decision { return h.limiter.Leave(now) })
			s.after(2*time.Second, func() {
				s.kill(h)
				s.after(lasts, restart)
			})
		}
	}
}

// isolate cuts a host off from every other, or ends that.
func (s *sim) isolate(h *simHost, on bool) {
	for _, other := range s.hosts {
		if other != h {
			s.cut[[2]int{h.index, other.index}] = on
			s.cut[[2]int{other.index, h.index}] = on
		}
	}
}

func TestNeverAboveRateAndBurst(t *testing.T) {
	t.Parallel()
	admitted := 0
	rapid.Check(t, func(t *rapid.T) {
		s := chaos(rapid.Uint64().Draw(t, "seed"), leadLimiter)
		admitted += s.check.score("acme").admitted
		if err := s.check.verify(); err != nil {
			t.Fatal(err)
		}
	})
	require.Positive(t, admitted)
}

// TestFoundSeeds keeps runs in which the checker found faults that are mended.
func TestFoundSeeds(t *testing.T) {
	t.Parallel()
	for seed, fault := range map[uint64]string{
		0x2:       "room kept by a grant was refilled for the time before it expired",
		0xdea8cae: "a waiting ask opened a bucket on a host that leads it no more",
	} {
		require.NoError(t, chaos(seed, leadLimiter).check.verify(), "seed %#x: %s", seed, fault)
	}
}

// broken is a limiter whose mechanism is broken: spoil is called around each call.
type broken struct {
	*LeaderLimiter
	spoil func(*LeaderLimiter)
}

func (b broken) Tick(now time.Time) []Decision {
	b.spoil(b.LeaderLimiter)
	out := b.LeaderLimiter.Tick(now)
	b.spoil(b.LeaderLimiter)
	return out
}

func (b broken) Receive(now time.Time, from string, m wire.Message) []Decision {
	b.spoil(b.LeaderLimiter)
	out := b.LeaderLimiter.Receive(now, from, m)
	b.spoil(b.LeaderLimiter)
	return out
}

func (b broken) Reserve(now time.Time, org string, tokens int64) (Verdict, []Decision) {
	b.spoil(b.LeaderLimiter)
	return b.LeaderLimiter.Reserve(now, org, tokens)
}

// lostLead runs a fleet under demand above the rate and lets something happen to
// the lead of the organisation. The lead keeps getting requests.
func lostLead(limiter newLimiter, fault func(s *sim, lead *simHost)) *sim {
	s := newSim(1, 5, faults{}, map[string]*record.Rate{"acme": {TokensPerSecond: 10, BurstTokens: 400}}, limiter)
	s.run(fleetStart)
	for at := time.Duration(0); at < chaosTime; at += 40 * time.Millisecond {
		s.after(at, func() { s.request(s.hosts[s.rand.IntN(len(s.hosts))], "acme", 12, 12, 0, nil) })
	}
	s.run(5 * time.Second)
	fault(s, s.leadHost("acme"))
	s.run(chaosTime - 5*time.Second)
	return s
}

func cutLeadOff(s *sim, lead *simHost) { s.fault(kindCutOff, lead, 40*time.Second)() }

func pauseLead(s *sim, lead *simHost) { s.fault(kindPause, lead, 40*time.Second)() }

func restartLead(s *sim, lead *simHost) { s.fault(kindRestart, lead, 0)() }

func TestLostLead(t *testing.T) {
	t.Parallel()
	for name, fault := range map[string]func(*sim, *simHost){
		"cut off": cutLeadOff, "paused": pauseLead, "restarted": restartLead,
	} {
		t.Run(name, func(t *testing.T) {
			var before int64
			s := lostLead(leadLimiter, func(s *sim, lead *simHost) {
				before = s.rows[headKey].Version
				fault(s, lead)
			})
			require.NoError(t, s.check.verify())
			require.Greater(t, s.rows[headKey].Version, before, "no other lead")
		})
	}
}

// TestCheckerCatches shows that the checker fails where a part of the mechanism
// is missing.
func TestCheckerCatches(t *testing.T) {
	t.Parallel()
	filled := map[*account]bool{} // of the first mutant
	mutants := []struct {
		name string
		// fault is what the run needs to show the mutant; without one any of the
		// runs with faults of every kind may.
		fault func(*sim, *simHost)
		spoil func(*LeaderLimiter)
	}{
		{"restart with a full burst", restartLead, func(l *LeaderLimiter) {
			for _, a := range l.accounts {
				if !filled[a] {
					filled[a] = true
					a.creating, a.tokens = false, float64(a.rate.BurstTokens)
				}
			}
		}},
		{"lead before not waited for", nil, func(l *LeaderLimiter) {
			if l.view != nil {
				l.fence.majorityAt = time.Unix(1, 0)
			}
		}},
		{"pause not noticed", cutLeadOff, func(l *LeaderLimiter) {
			if !l.fence.validUntil.IsZero() {
				l.fence.validUntil = l.now.Add(time.Hour)
			}
		}},
		{"repeated returns counted", nil, func(l *LeaderLimiter) { clear(l.returned) }},
		{"room of grants refilled", nil, func(l *LeaderLimiter) {
			for _, a := range l.accounts {
				a.granted, a.inFlight = nil, 0
			}
		}},
		{"late returns at full worth", nil, func(l *LeaderLimiter) {
			for _, a := range l.accounts {
				a.slacks = slackLog{entries: []slack{{at: l.now.Add(time.Hour), tokens: math.Inf(1)}}}
			}
		}},
		{"late answers taken", nil, func(l *LeaderLimiter) {
			for _, a := range l.asks {
				a.deadline = l.now.Add(time.Hour)
			}
		}},
	}
	const runs = 100
	for _, m := range mutants {
		t.Run(m.name, func(t *testing.T) {
			t.Parallel()
			limiter := func(host string, incarnation uint64) Limiter {
				return broken{leadLimiter(host, incarnation).(*LeaderLimiter), m.spoil}
			}
			if m.fault != nil {
				require.Error(t, lostLead(limiter, m.fault).check.verify())
				return
			}
			for seed := range uint64(runs) {
				if chaos(seed, limiter).check.verify() != nil {
					t.Logf("caught with seed %d", seed)
					return
				}
			}
			t.Errorf("not caught in %d runs", runs)
		})
	}
}

// anyOrg returns the first of the organisations with a rate.
func anyOrg(rates map[string]*record.Rate) string {
	return slices.Min(slices.Collect(maps.Keys(rates)))
}
