package limit

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/jasminelock/jasminelock/record"
)

const (
	slotBudget = "load-in-flight:base"
	rateBudget = "load-rate:base"
	slotCount  = 8
	loadRate   = 2.0 // a second
	loadTime   = 250 * time.Millisecond
)

func loadRates() map[string]*record.Rate {
	return map[string]*record.Rate{
		slotBudget: {BurstTokens: slotCount},
		rateBudget: {TokensPerSecond: loadRate, BurstTokens: int64(loadRate)},
	}
}

// loads drives a budget in flight: each host that wants loads asks for one
// after the other and starts it as soon as it may.
type loads struct {
	*sim
	wants   func(h *simHost) bool
	running int
	most    int
	// busy is the sum over all loads of the time that they ran.
	busy time.Duration
}

func newLoads(s *sim, wants func(h *simHost) bool) *loads {
	l := &loads{sim: s, wants: wants}
	for _, h := range s.hosts {
		l.next(h)
	}
	return l
}

// next asks for a load now if the host wants one, and otherwise later.
func (l *loads) next(h *simHost) {
	run := h.run
	again := func() { l.after(simTick, func() { l.next(h) }) }
	if !h.alive || l.now.Before(h.pausedUntil) || !l.wants(h) {
		again()
		return
	}
	answered := false
	l.after(2*MaxWait, func() {
		if !answered {
			answered = true
			l.next(h) // the run that asked has ended
		}
	})
	decide := func(v Verdict) {
		if answered {
			if v.OK && h.run == run {
				l.end(h, run)
			}
			return
		}
		answered = true
		if !v.OK {
			again()
			return
		}
		l.start(h)
		l.next(h)
	}
	l.on(h, func(now time.Time) []Decision {
		v, decisions := h.limiter.Reserve(now, slotBudget, 1)
		if v.Pending {
			h.waiting[v.Ticket] = decide
			return decisions
		}
		l.after(0, func() { decide(v) })
		return decisions
	})
}

func (l *loads) start(h *simHost) {
	run := h.run
	l.running++
	l.most = max(l.most, l.running)
	lasts := loadTime/2 + time.Duration(l.rand.Int64N(int64(loadTime)))
	l.busy += lasts
	l.after(lasts, func() {
		l.running--
		l.end(h, run)
	})
}

func (l *loads) end(h *simHost, run uint64) {
	if h.run == run && h.alive {
		l.on(h, func(now time.Time) []Decision { return h.limiter.Settle(now, slotBudget, 1, 0) })
	}
}

// used is the share of the budget in use since a time.
func (l *loads) used(busyBefore time.Duration, d time.Duration) float64 {
	return float64(l.busy-busyBefore) / float64(d) / slotCount
}

// demands are where loads are wanted.
var demands = []struct {
	name  string
	wants func(s *sim) func(h *simHost) bool
}{
	{"one host", func(*sim) func(*simHost) bool { return func(h *simHost) bool { return h.index == 3 } }},
	{"all hosts", func(*sim) func(*simHost) bool { return func(*simHost) bool { return true } }},
	{"moving", func(s *sim) func(*simHost) bool {
		return func(h *simHost) bool { return int(s.now.Unix()/5)%len(s.hosts) == h.index }
	}},
}

// fleetStart is when all hosts of a simulated fleet are members of a view and
// the leads of budgets in flight have been quiet.
const fleetStart = 15 * time.Second

func TestLoadsInFlight(t *testing.T) {
	t.Parallel()
	for _, demand := range demands {
		t.Run(demand.name, func(t *testing.T) {
			t.Parallel()
			const lasts = 60 * time.Second
			s := newSim(1, 7, faults{}, loadRates(), leadLimiter)
			s.run(fleetStart)
			l := newLoads(s, demand.wants(s))
			s.run(lasts)
			t.Logf("%.1f%% of the loads in flight used", 100*l.used(0, lasts))
			require.LessOrEqual(t, l.most, slotCount)
			require.Greater(t, l.used(0, lasts), 0.9)
		})
	}
}

// TestLoadsInFlightComeBack kills the host that holds all loads in flight, and
// the lead of the budget.
func TestLoadsInFlightComeBack(t *testing.T) {
	t.Parallel()
	for _, killLead := range []bool{false, true} {
		t.Run(fmt.Sprintf("lead=%v", killLead), func(t *testing.T) {
			t.Parallel()
			s := newSim(2, 7, faults{}, loadRates(), leadLimiter)
			s.run(fleetStart)
			lead, _ := s.hosts[0].limiter.(*LeaderLimiter).leadOf(slotBudget)
			victim := s.hosts[0]
			for _, h := range s.hosts {
				if (h.name == lead.Host) == killLead {
					victim = h
				}
			}
			l := newLoads(s, func(h *simHost) bool { return h == victim || !victim.alive })
			s.run(5 * time.Second)
			s.kill(victim)
			s.run(takeover)
			before := l.busy
			const lasts = 20 * time.Second
			s.run(lasts)
			require.LessOrEqual(t, l.most, slotCount)
			require.Greater(t, l.used(before, lasts), 0.9)
		})
	}
}

// TestLeadCountsItsOwnLoadsOnce changes the view while the lead itself holds the
// whole budget in flight.
func TestLeadCountsItsOwnLoadsOnce(t *testing.T) {
	t.Parallel()
	s := newSim(2, 7, faults{}, loadRates(), leadLimiter)
	s.run(fleetStart)
	lead, _ := s.hosts[0].limiter.(*LeaderLimiter).leadOf(slotBudget)
	l := newLoads(s, func(h *simHost) bool { return h.name == lead.Host })
	s.run(5 * time.Second)
	victim := s.hosts[0]
	if victim.name == lead.Host {
		victim = s.hosts[1]
	}
	s.kill(victim)
	s.run(takeover)
	before := l.busy
	const lasts = 20 * time.Second
	s.run(lasts)
	require.LessOrEqual(t, l.most, slotCount)
	require.Greater(t, l.used(before, lasts), 0.9)
}

// takeover is within which a killed host's organisations have another lead: it
// is listed for a while, is taken to be gone, and may still act for voidAfter.
const takeover = simListLag + goneAfter + voidAfter + 2*roundInterval

// chaosLoads runs loads in flight with faults of every kind.
func chaosLoads(seed uint64, limiter newLimiter) *loads {
	r := rand.New(rand.NewPCG(seed, 13))
	f := faults{
		loss: r.Float64() * 0.1, duplicate: r.Float64() * 0.2, reorder: r.Float64() * 0.1,
		lostAnswer: r.Float64() * 0.3, storeTime: time.Duration(r.Int64N(int64(100 * time.Millisecond))),
	}
	s := newSim(seed, 3+r.IntN(3), f, loadRates(), limiter)
	for range 4 + r.IntN(8) {
		at := time.Duration(r.Int64N(int64(chaosTime)))
		lasts := time.Duration(r.Int64N(int64(25 * time.Second)))
		kind := r.IntN(faultKinds)
		if kind == kindRates {
			continue
		}
		s.after(at, s.fault(kind, s.hosts[r.IntN(len(s.hosts))], lasts))
	}
	l := newLoads(s, func(*simHost) bool { return true })
	s.run(chaosTime)
	return l
}

func TestNeverMoreLoadsInFlight(t *testing.T) {
	t.Parallel()
	busy := time.Duration(0)
	rapid.Check(t, func(t *rapid.T) {
		l := chaosLoads(rapid.Uint64().Draw(t, "seed"), leadLimiter)
		busy += l.busy
		if l.most > slotCount {
			t.Fatalf("%d loads in flight", l.most)
		}
	})
	require.Positive(t, busy)
}

func TestLoadCheckerCatches(t *testing.T) {
	t.Parallel()
	mutants := map[string]func(*LeaderLimiter){
		"new lead does not ask": func(l *LeaderLimiter) {
			for _, s := range l.slots {
				s.reported = nil
			}
		},
		"grants under way forgotten": func(l *LeaderLimiter) {
			for _, s := range l.slots {
				for _, h := range s.holders {
					clear(h.grants)
				}
			}
		},
	}
	const runs = 300
	for name, spoil := range mutants {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(runs) {
				l := chaosLoads(seed, func(host string, incarnation uint64) Limiter {
					return broken{leadLimiter(host, incarnation).(*LeaderLimiter), spoil}
				})
				if l.most > slotCount {
					t.Logf("caught with seed %d", seed)
					return
				}
			}
			t.Errorf("not caught in %d runs", runs)
		})
	}
}

// TestLoadRate asks for loads as fast as it may.
func TestLoadRate(t *testing.T) {
	t.Parallel()
	for _, demand := range demands {
		t.Run(demand.name, func(t *testing.T) {
			t.Parallel()
			const lasts = 60 * time.Second
			s := newSim(1, 7, faults{}, loadRates(), leadLimiter)
			s.run(fleetStart)
			wants := demand.wants(s)
			var ask func(h *simHost)
			ask = func(h *simHost) {
				if !wants(h) {
					s.after(simTick, func() { ask(h) })
					return
				}
				s.request(h, rateBudget, 1, -1, 0, func(v Verdict) {
					s.after(max(v.RetryAfter, simTick), func() { ask(h) })
				})
			}
			for _, h := range s.hosts {
				ask(h)
			}
			s.run(lasts)
			require.NoError(t, s.check.verify())
			used := float64(s.check.score(rateBudget).admitted) / (loadRate * lasts.Seconds())
			t.Logf("%.1f%% of the load rate used", 100*used)
			require.Greater(t, used, 0.9)
		})
	}
}
