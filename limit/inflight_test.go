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
	loadsInFlight    = "load-in-flight:base"
	loadsPerSecond   = "load-rate:base"
	maxLoadsInFlight = 8
	loadRate         = 2.0 // a second
	loadTime         = 250 * time.Millisecond
)

func loadRates() map[string]*record.Rate {
	return map[string]*record.Rate{
		loadsInFlight:  {BurstTokens: maxLoadsInFlight},
		loadsPerSecond: {TokensPerSecond: loadRate, BurstTokens: int64(loadRate)},
	}
}

// loads drives an in-flight budget: each host that wants loads reserves one after
// the other and starts each as soon as its reservation is admitted.
type loads struct {
	*sim
	wants       func(h *simHost) bool
	running     int
	mostRunning int
	// busy is the total time that loads ran, summed over all loads.
	busy time.Duration
}

func newLoads(s *sim, wants func(h *simHost) bool) *loads {
	l := &loads{sim: s, wants: wants}
	for _, h := range s.hosts {
		l.reserveNext(h)
	}
	return l
}

// reserveNext reserves a load now if the host wants one, and otherwise tries
// again later.
func (l *loads) reserveNext(h *simHost) {
	run := h.run
	again := func() { l.after(simTick, func() { l.reserveNext(h) }) }
	if !h.alive || l.now.Before(h.pausedUntil) || !l.wants(h) {
		again()
		return
	}
	answered := false
	l.after(2*MaxWait, func() {
		if !answered {
			answered = true
			l.reserveNext(h) // the run that sent the request has ended
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
		l.reserveNext(h)
	}
	l.on(h, func(now time.Time) []Decision {
		v, decisions := h.limiter.Reserve(now, loadsInFlight, 1)
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
	l.mostRunning = max(l.mostRunning, l.running)
	duration := loadTime/2 + time.Duration(l.rand.Int64N(int64(loadTime)))
	l.busy += duration
	l.after(duration, func() {
		l.running--
		l.end(h, run)
	})
}

func (l *loads) end(h *simHost, run uint64) {
	if h.run == run && h.alive {
		l.on(h, func(now time.Time) []Decision { return h.limiter.Settle(now, loadsInFlight, 1, 0) })
	}
}

// utilisation returns the mean share of the budget in use over the last d, given
// the value of busy before.
func (l *loads) utilisation(busyBefore time.Duration, d time.Duration) float64 {
	return float64(l.busy-busyBefore) / float64(d) / maxLoadsInFlight
}

// demands lists which hosts want loads.
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

// fleetStart is the time after which all hosts of a simulated fleet are members
// of a view and the leaders of in-flight budgets have waited for
// inFlightQuietPeriod.
const fleetStart = 15 * time.Second

func TestInFlight_BudgetUsed(t *testing.T) {
	t.Parallel()
	for _, demand := range demands {
		t.Run(demand.name, func(t *testing.T) {
			t.Parallel()
			const duration = 60 * time.Second
			s := newSim(1, 7, faults{}, loadRates(), newLeaderLimiter)
			s.run(fleetStart)
			l := newLoads(s, demand.wants(s))
			s.run(duration)
			t.Logf("%.1f%% of the loads in flight used", 100*l.utilisation(0, duration))
			require.LessOrEqual(t, l.mostRunning, maxLoadsInFlight)
			require.Greater(t, l.utilisation(0, duration), 0.9)
		})
	}
}

// TestInFlight_RecoversAfterKill checks that the budget recovers after the host
// that holds all loads in flight is killed, be it the leader of the budget or
// not.
func TestInFlight_RecoversAfterKill(t *testing.T) {
	t.Parallel()
	for _, killLeader := range []bool{false, true} {
		t.Run(fmt.Sprintf("lead=%v", killLeader), func(t *testing.T) {
			t.Parallel()
			s := newSim(2, 7, faults{}, loadRates(), newLeaderLimiter)
			s.run(fleetStart)
			leader, _ := s.hosts[0].limiter.(*LeaderLimiter).leaderOf(loadsInFlight)
			victim := s.hosts[0]
			for _, h := range s.hosts {
				if (h.name == leader.Host) == killLeader {
					victim = h
				}
			}
			l := newLoads(s, func(h *simHost) bool { return h == victim || !victim.alive })
			s.run(5 * time.Second)
			s.kill(victim)
			s.run(takeoverTime)
			before := l.busy
			const duration = 20 * time.Second
			s.run(duration)
			require.LessOrEqual(t, l.mostRunning, maxLoadsInFlight)
			require.Greater(t, l.utilisation(before, duration), 0.9)
		})
	}
}

// TestInFlight_OwnLoadsCountedOnce guards against a leader that counts its own
// loads twice after a change of view, by its own holding and by a handover to
// itself. The leader holds the whole in-flight budget when the view changes.
func TestInFlight_OwnLoadsCountedOnce(t *testing.T) {
	t.Parallel()
	s := newSim(2, 7, faults{}, loadRates(), newLeaderLimiter)
	s.run(fleetStart)
	leader, _ := s.hosts[0].limiter.(*LeaderLimiter).leaderOf(loadsInFlight)
	l := newLoads(s, func(h *simHost) bool { return h.name == leader.Host })
	s.run(5 * time.Second)
	victim := s.hosts[0]
	if victim.name == leader.Host {
		victim = s.hosts[1]
	}
	s.kill(victim)
	s.run(takeoverTime)
	before := l.busy
	const duration = 20 * time.Second
	s.run(duration)
	require.LessOrEqual(t, l.mostRunning, maxLoadsInFlight)
	require.Greater(t, l.utilisation(before, duration), 0.9)
}

// takeoverTime is the time within which a killed host's organisations get another
// leader: the host is still listed for a while, is then considered gone, and may
// still act for evidenceExpiry.
const takeoverTime = simListLag + goneAfter + evidenceExpiry + 2*roundInterval

// chaosLoads runs loads in flight with faults of every kind.
func chaosLoads(seed uint64, limiter limiterFunc) *loads {
	r := rand.New(rand.NewPCG(seed, 13))
	f := faults{
		loss: r.Float64() * 0.1, duplicate: r.Float64() * 0.2, reorder: r.Float64() * 0.1,
		lostAnswer: r.Float64() * 0.3, storeTime: time.Duration(r.Int64N(int64(100 * time.Millisecond))),
	}
	s := newSim(seed, 3+r.IntN(3), f, loadRates(), limiter)
	for range 4 + r.IntN(8) {
		at := time.Duration(r.Int64N(int64(chaosTime)))
		duration := time.Duration(r.Int64N(int64(25 * time.Second)))
		kind := r.IntN(faultKinds)
		if kind == kindRates {
			continue
		}
		s.after(at, s.injector(kind, s.hosts[r.IntN(len(s.hosts))], duration))
	}
	l := newLoads(s, func(*simHost) bool { return true })
	s.run(chaosTime)
	return l
}

func TestInFlight_NeverExceeded(t *testing.T) {
	t.Parallel()
	busy := time.Duration(0)
	rapid.Check(t, func(t *rapid.T) {
		l := chaosLoads(rapid.Uint64().Draw(t, "seed"), newLeaderLimiter)
		busy += l.busy
		if l.mostRunning > maxLoadsInFlight {
			t.Fatalf("got %d loads in flight, more than the budget", l.mostRunning)
		}
	})
	require.Positive(t, busy)
}

func TestInFlight_DetectsBrokenLimiter(t *testing.T) {
	t.Parallel()
	mutants := map[string]func(*LeaderLimiter){
		"new leader does not wait for reports": func(l *LeaderLimiter) {
			for _, s := range l.budgets {
				s.reportedBy = nil
			}
		},
		"outstanding grants forgotten": func(l *LeaderLimiter) {
			for _, s := range l.budgets {
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
					return brokenLimiter{newLeaderLimiter(host, incarnation).(*LeaderLimiter), spoil}
				})
				if l.mostRunning > maxLoadsInFlight {
					t.Logf("detected with seed %d", seed)
					return
				}
			}
			t.Errorf("broken limiter not detected in %d runs", runs)
		})
	}
}

// TestLoadRate reserves loads as fast as the rate allows and checks that most of
// the rate can be used.
func TestLoadRate(t *testing.T) {
	t.Parallel()
	for _, demand := range demands {
		t.Run(demand.name, func(t *testing.T) {
			t.Parallel()
			const duration = 60 * time.Second
			s := newSim(1, 7, faults{}, loadRates(), newLeaderLimiter)
			s.run(fleetStart)
			wants := demand.wants(s)
			var reserve func(h *simHost)
			reserve = func(h *simHost) {
				if !wants(h) {
					s.after(simTick, func() { reserve(h) })
					return
				}
				s.request(h, loadsPerSecond, 1, -1, 0, func(v Verdict) {
					s.after(max(v.RetryAfter, simTick), func() { reserve(h) })
				})
			}
			for _, h := range s.hosts {
				reserve(h)
			}
			s.run(duration)
			require.NoError(t, s.check.verify())
			used := float64(s.check.score(loadsPerSecond).admitted) / (loadRate * duration.Seconds())
			t.Logf("%.1f%% of the load rate used", 100*used)
			require.Greater(t, used, 0.9)
		})
	}
}
