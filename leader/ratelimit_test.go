package leader

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/jasminelock/jasminelock/assign"
	"github.com/jasminelock/jasminelock/throttle"
	"github.com/jasminelock/jasminelock/wire"
)

// Guards against hosts that together send an upstream more than the limit that it states, and against a limited
// upstream that gets less than it accepts.
func TestRateLimit_SteadyLeader(t *testing.T) {
	for _, perSecond := range []float64{0.5, 1.9, 12} {
		forEachService(t, 7, func(l *limitedLoad) {
			l.run(time.Second, 40)
			l.state(0, perSecond)
			stated := time.Now()
			l.run(20*time.Second, 40)
			l.checkBound(0, perSecond, stated)
			assert.Greater(t, float64(l.since(0, stated.Add(limitContact))), 0.9*perSecond*17-1)
			l.requests.Wait()
			assert.Equal(t, l.sent, l.served, "the other upstreams have room")
		})
	}
}

// Guards against leaders that begin with a full allowance, or without knowledge of the limits.
func TestRateLimit_LeadersKilled(t *testing.T) {
	forEachService(t, 7, func(l *limitedLoad) {
		l.state(0, 1.9)
		stated := time.Now()
		for range 8 {
			l.run(3*time.Second, 40)
			for _, leader := range l.f.leaders() {
				l.f.kill(leader)
				l.run(400*time.Millisecond, 40)
				l.f.add(leader, 0.4)
			}
		}
		l.checkBound(0, 1.9, stated)
		assert.Greater(t, l.since(0, stated.Add(limitContact)), 15)
	})
}

// Guards against limits that are forgotten when all hosts are killed at once.
func TestRateLimit_AllHostsKilled(t *testing.T) {
	forEachService(t, 7, func(l *limitedLoad) {
		l.answerAfter = time.Second // as long as the first token of a long prompt may take
		l.state(0, 1.2)
		stated := time.Now()
		for range 5 {
			l.run(6*time.Second, 40)
			for i := range 7 {
				l.f.kill(fmt.Sprintf("h%d", i))
			}
			for i := range 7 {
				l.f.add(fmt.Sprintf("h%d", i), 0.4)
			}
		}
		l.checkBound(0, 1.2, stated)
	})
}

// Guards against hosts without a leader that each use the whole limit.
func TestRateLimit_StoreAwayAndLeaderLost(t *testing.T) {
	forEachService(t, 7, func(l *limitedLoad) {
		l.state(0, 1.9)
		stated := time.Now()
		l.run(5*time.Second, 40)
		l.f.cutStore(true)
		l.run(5*time.Second, 40)
		l.f.kill(l.f.leaders()[0])
		lost := time.Now()
		l.run(20*time.Second, 40)
		require.Empty(t, l.f.leaders())
		assert.Greater(t, l.since(0, lost.Add(2*time.Second)), 8, "hosts without a leader use their shares")
		l.f.cutStore(false)
		l.run(10*time.Second, 40)
		l.checkBound(0, 1.9, stated)
	})
}

// Guards against a leader and the hosts that it does not reach which use the limit twice.
func TestRateLimit_HostsCutOff(t *testing.T) {
	forEachService(t, 7, func(l *limitedLoad) {
		l.state(0, 1.9)
		stated := time.Now()
		l.run(5*time.Second, 40)
		leader := l.f.leaders()[0]
		var cut []*testHost
		for i := range 7 {
			if name := fmt.Sprintf("h%d", i); name != leader && len(cut) < 4 {
				cut = append(cut, l.f.hosts[name])
			}
		}
		for range 3 {
			for _, h := range cut {
				l.f.setCut(h, true)
			}
			l.run(8*time.Second, 40)
			for _, h := range cut {
				l.f.setCut(h, false)
			}
			l.run(4*time.Second, 40)
		}
		l.checkBound(0, 1.9, stated)
	})
}

// Guards against an isolated leader whose hosts use the limit beside it.
func TestRateLimit_LeaderIsolated(t *testing.T) {
	forEachService(t, 7, func(l *limitedLoad) {
		l.state(0, 1.9)
		stated := time.Now()
		l.run(5*time.Second, 40)
		h := l.f.hosts[l.f.leaders()[0]]
		l.f.setCut(h, true)
		l.run(12*time.Second, 40)
		l.f.setCut(h, false)
		l.run(5*time.Second, 40)
		l.checkBound(0, 1.9, stated)
	})
}

func (f *fleet) setCut(h *testHost, cut bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	h.cut = cut
}

// Guards against assignments that reach a frozen host, or leave a frozen leader, and are used after the thaw.
func TestRateLimit_HostsFrozen(t *testing.T) {
	forEachService(t, 7, func(l *limitedLoad) {
		l.state(0, 1.9)
		stated := time.Now()
		for n := range 8 {
			l.run(3*time.Second, 40)
			h := l.f.hosts[fmt.Sprintf("h%d", n%7)]
			h.freeze()
			l.run(2*time.Second, 40)
			h.thaw()
		}
		l.checkBound(0, 1.9, stated)
	})
}

// Guards against shares that are too large in total, or rounded up to one request each, on many hosts.
func TestRateLimit_ManyHosts(t *testing.T) {
	t.Parallel()
	forEachService(t, 390, func(l *limitedLoad) {
		l.state(0, 1)
		stated := time.Now()
		l.run(10*time.Second, 300)
		assert.Greater(t, l.since(0, stated.Add(limitContact)), 5)
		l.f.cutStore(true)
		l.f.kill(l.f.leaders()[0])
		l.run(10*time.Second, 300)
		require.Empty(t, l.f.leaders())
		l.checkBound(0, 1, stated)
	})
}

// Guards against hosts that do not hear of a limit which an upstream first states while there is no leader, and do not
// hear that it has ended.
func TestRateLimit_StatedWithoutLeader(t *testing.T) {
	t.Parallel()
	for _, hosts := range []int{7, 390} {
		withLimitedLoad(t, "plain", hosts, func(l *limitedLoad) {
			l.f.cutStore(true)
			l.f.kill(l.f.leaders()[0])
			l.run(2*time.Second, 100)
			require.Empty(t, l.f.leaders())
			l.state(0, 1)
			stated := time.Now()
			l.run(10*time.Second, 100)
			l.checkBound(0, 1, stated)
			uninformed := 0
			for _, h := range l.f.hosts {
				if h.broker.Stats().RateLimits == 0 {
					uninformed++
				}
			}
			assert.LessOrEqual(t, uninformed, hosts/100)
			l.state(0, -1)
			l.run(throttle.RecoveryTime+15*time.Second, 100)
			limited := 0
			for _, h := range l.f.hosts {
				limited += h.broker.Stats().RateLimits
			}
			assert.LessOrEqual(t, limited, hosts/100)
		})
	}
}

// Guards against limits that outlast what the upstream states, and against a flood once they have ended.
func TestRateLimit_ComesAndGoes(t *testing.T) {
	forEachService(t, 7, func(l *limitedLoad) {
		for n := range 3 {
			l.state(n, 1.9)
		}
		stated := time.Now()
		l.run(6*time.Second, 40)
		l.checkBound(0, 1.9, stated)
		for n := range 3 {
			l.state(n, -1)
		}
		gone := time.Now()
		l.run(time.Second, 40)
		assert.LessOrEqual(t, l.since(0, gone), 8, "requests rise by degrees")
		l.run(throttle.RecoveryTime+2*time.Second, 40)
		for name, h := range l.f.hosts {
			require.Zero(t, h.broker.Stats().RateLimits, name)
		}
		l.requests.Wait()
		served, sent := l.served, l.sent
		l.run(5*time.Second, 40)
		l.requests.Wait()
		assert.Equal(t, l.sent-sent, l.served-served, "all requests are served again")
	})
}

// Guards against a limit that is applied to another start of the upstream under the same ID.
func TestRateLimit_UpstreamRestarts(t *testing.T) {
	forEachService(t, 7, func(l *limitedLoad) {
		for n := range 3 {
			l.state(n, 1)
		}
		l.run(5*time.Second, 40)
		for n := range 3 {
			l.state(n, -1)
			restarted := *l.f.view.Upstreams[l.upstream(n)]
			restarted.StartedAt++
			l.f.addUpstream(&restarted)
		}
		time.Sleep(time.Second)
		l.requests.Wait()
		served, sent := l.served, l.sent
		l.run(5*time.Second, 40)
		l.requests.Wait()
		assert.Equal(t, l.sent-sent, l.served-served)
	})
}

// Guards against requests that wait although no upstream can take them by their deadline, and against refused callers
// that all return at once.
func TestRateLimit_RefusedAtOnce(t *testing.T) {
	forEachService(t, 7, func(l *limitedLoad) {
		for n := range 3 {
			l.state(n, 2)
		}
		l.run(5*time.Second, 40)
		l.requests.Wait()
		from, refusals, served := time.Now(), len(l.refusals), l.served
		l.run(10*time.Second, 40)
		l.requests.Wait()
		assert.Greater(t, l.served-served, 50, "the limits are used")
		returns := map[int64]int{}
		for _, r := range l.refusals[refusals:] {
			assert.Contains(t, []string{assign.UpstreamRate, "waited"}, r.Rule)
			assert.True(t, r.RateLimit.Limited)
			assert.InDelta(t, 6, r.RateLimit.PerSecond, 1e-9)
			assert.Less(t, r.RetryAfter, 2*l.deadline+time.Second)
			returns[r.at.Add(r.RetryAfter).Unix()]++
		}
		for at, n := range returns {
			assert.LessOrEqual(t, n, 60, "callers do not return together, %d s", at)
		}
		l.t.Logf("%d refused in %s", len(l.refusals)-refusals, time.Since(from))
	})
}

// Guards against a host that starts while it cannot reach the leader, and holds back requests that other upstreams of
// a service could take.
func TestRateLimit_StartWithoutLeader(t *testing.T) {
	withLimitedLoad(t, "plain", 3, func(l *limitedLoad) {
		l.state(0, 1)
		l.run(3*time.Second, 20)
		l.f.sentMu.Lock()
		l.f.filter = func(from, _ string, m wire.Message) wire.Message {
			if from == "late" {
				return nil
			}
			return m
		}
		l.f.sentMu.Unlock()
		h := l.f.add("late", 0.4)
		time.Sleep(100 * time.Millisecond)
		require.Equal(t, 1, h.broker.Stats().RateLimits, "read with the lease")
		for range 10 {
			l.arrive(h)
		}
		require.Empty(t, l.refusals)
		require.Equal(t, l.sent, l.served)
	})
}

// Guards against a leader that does not know how recent a limit is because other hosts hear it.
func TestRateLimit_AgeOnLeader(t *testing.T) {
	forEachService(t, 7, func(l *limitedLoad) {
		l.state(0, 4)
		l.run(15*time.Second, 40)
		l.requests.Wait()
		leader := l.f.hosts[l.f.leaders()[0]]
		assert.Less(t, leader.broker.Stats().OldestRateLimitAge, rateLimitRestateInterval+time.Second)
		for name, h := range l.f.hosts {
			want := 0.0
			if h == leader {
				want = 4
			}
			assert.InDelta(t, want, h.broker.Stats().OwnRequestsPerSecond, 1e-9, "the leader alone hands out the limit, not %s", name)
		}
	})
}

// Guards against a limit that only one host hears, and that reaches neither the leader nor the next leader.
func TestRateLimit_HeardByOneHost(t *testing.T) {
	forEachService(t, 7, func(l *limitedLoad) {
		l.answerAfter = time.Second
		l.callersOf = l.f.add("weak", 0.1) // so that it does not lead
		time.Sleep(time.Second)
		l.f.sentMu.Lock()
		l.f.filter = func(_, _ string, m wire.Message) wire.Message {
			if _, announcement := m.(*wire.RateLimits); announcement {
				return nil // so that only reports carry the limit
			}
			return m
		}
		l.f.sentMu.Unlock()
		l.state(0, 1.2)
		stated := time.Now()
		l.run(8*time.Second, 40)
		l.f.kill(l.f.leaders()[0])
		l.run(8*time.Second, 40)
		l.checkBound(0, 1.2, stated)
		assert.NotContains(t, l.f.leaders(), l.callersOf.name)
	})
}

// Guards against requests that wait for a host's own Assigner on and on once a limit makes the leader assign them.
func TestRateLimit_QueuedRequestsMoveToLeader(t *testing.T) {
	withLimitedLoad(t, "plain", 3, func(l *limitedLoad) {
		leader := l.f.hosts[l.f.leaders()[0]]
		h := l.f.otherThan(leader.name)
		now := time.Now()
		r := assign.Request{Service: "plain", Arrived: now, Target: now.Add(5 * time.Second), Deadline: now.Add(5 * time.Second)}
		for range 3 { // all upstreams are full for a moment
			ticket := h.broker.NewTicket()
			h.broker.RequestAssignment(ticket, r)
			require.IsType(t, assign.Grant{}, <-ticket.Decisions())
			h.broker.AttemptEnded(ticket, assign.AttemptEnded{Outcome: assign.Full})
		}
		ticket := h.broker.NewTicket()
		h.broker.RequestAssignment(ticket, r)
		for n := range 3 {
			leader.broker.RateLimitStated(l.f.view.Upstreams[l.upstream(n)], now, throttle.Statement{PerSecond: 2, Stated: true})
		}
		time.Sleep(time.Second)
		select {
		case d := <-ticket.Decisions():
			require.IsType(t, assign.Grant{}, d)
		default:
			require.Fail(t, "the request waits on")
		}
	})
}
