package leader

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/jasminelock/jasminelock/assign"
	"github.com/jasminelock/jasminelock/catalog"
	"github.com/jasminelock/jasminelock/throttle"
	"github.com/jasminelock/jasminelock/wire"
)

// withoutRateLimits removes from a message what builds without rate limits do not send, nil if they do not know it.
func withoutRateLimits(m wire.Message) wire.Message {
	switch m := m.(type) {
	case *wire.RateLimits, *wire.RateLimitReport:
		return nil
	case *wire.LeaderHeartbeat:
		m.RateLimitVersion = 0
	case *wire.HostHeartbeat:
		m.RateLimitVersion = 0
	case *wire.Grant:
		m.RateLimit, m.HeldMillis = nil, 0
	case *wire.Refuse:
		m.RateLimit = nil
	}
	return m
}

// Guards against hosts that rely on a leader of a build which does not enforce limits, and against messages that such
// builds cannot read.
func TestRateLimit_LeaderOfOlderBuild(t *testing.T) {
	forEachService(t, 7, func(l *limitedLoad) {
		l.olderBuilds = map[string]bool{l.f.leaders()[0]: true}
		l.f.sentMu.Lock()
		l.f.filter = func(from, to string, m wire.Message) wire.Message {
			if l.olderBuilds[from] || l.olderBuilds[to] {
				return withoutRateLimits(m)
			}
			return m
		}
		l.f.sentMu.Unlock()
		time.Sleep(2 * heartbeatInterval)
		for _, h := range l.f.hosts { // they follow the leader again, as after its replacement by an older build
			h.broker.update(func(now time.Time) { h.broker.setRateLimitsManaged(now, false) })
		}
		l.state(0, 1.9)
		stated := time.Now()
		l.run(20*time.Second, 40)
		l.checkBound(0, 1.9, stated)
		l.requests.Wait()
		assert.NotEmpty(t, l.arrivals[l.upstream(0)])
		assert.Greater(t, l.served, l.sent*95/100, "the other upstreams have room")
	})
}

// Guards against a leader that floods hosts of older builds with lists, and against limits that one of them, which
// reports none, keeps the others from sharing.
func TestRateLimit_HostsOfOlderBuild(t *testing.T) {
	forEachService(t, 7, func(l *limitedLoad) {
		l.olderBuilds = map[string]bool{}
		for i := range 7 {
			if name := fmt.Sprintf("h%d", i); name != l.f.leaders()[0] && len(l.olderBuilds) < 2 {
				l.olderBuilds[name] = true
			}
		}
		lists := 0
		l.f.sentMu.Lock()
		l.f.filter = func(from, to string, m wire.Message) wire.Message {
			if _, list := m.(*wire.RateLimits); list {
				lists++
			}
			if l.olderBuilds[from] || l.olderBuilds[to] {
				return withoutRateLimits(m)
			}
			return m
		}
		l.f.sentMu.Unlock()
		time.Sleep(2 * heartbeatInterval)
		l.state(0, 1.9)
		stated := time.Now()
		l.run(20*time.Second, 40)
		l.checkBound(0, 1.9, stated)
		l.requests.Wait()
		l.f.sentMu.Lock()
		assert.Less(t, lists, 20)
		l.f.sentMu.Unlock()
		if l.service == "s" {
			assert.NotEmpty(t, l.arrivals[l.upstream(0)])
		}
	})
}

// Guards against limits that hosts do not learn, or keep, because messages about them are lost.
func TestRateLimit_MessagesLost(t *testing.T) {
	forEachService(t, 7, func(l *limitedLoad) {
		random := rand.New(rand.NewPCG(3, 3))
		l.f.sentMu.Lock()
		l.f.filter = func(_, _ string, m wire.Message) wire.Message {
			switch m.(type) {
			case *wire.RateLimits, *wire.RateLimitReport:
				if random.Float64() < 0.7 {
					return nil
				}
			}
			return m
		}
		l.f.sentMu.Unlock()
		l.state(0, 1.9)
		stated := time.Now()
		l.run(15*time.Second, 40)
		l.checkBound(0, 1.9, stated)
		for name, h := range l.f.hosts {
			assert.Equal(t, 1, h.broker.Stats().RateLimits, name)
		}
		l.state(0, -1)
		l.run(20*time.Second, 40)
		for name, h := range l.f.hosts {
			assert.Zero(t, h.broker.Stats().RateLimits, name)
		}
	})
}

// Guards against control traffic that grows with the number of limits that change all the time.
func TestRateLimit_ControlTraffic(t *testing.T) {
	withLimitedLoad(t, "s", 40, func(l *limitedLoad) {
		leader := l.f.hosts[l.f.leaders()[0]]
		l.f.updateUpstreams(func(listed map[string]*catalog.Upstream) {
			for i := range 100 {
				id := fmt.Sprintf("i-%010d", i)
				listed[id] = &catalog.Upstream{ID: id, StartedAt: 1_700_000_000_000, Service: "s", Zone: "z", Slots: 8}
			}
		})
		time.Sleep(time.Second)
		l.f.bytesPerHost()
		const seconds = 10
		for n := range seconds * 20 {
			for i := range 100 {
				u := l.f.view.Upstreams[fmt.Sprintf("i-%010d", i)]
				leader.broker.RateLimitStated(u, time.Now(), throttle.Statement{PerSecond: 1 + float64((n+i)%7)/3, Stated: true})
			}
			time.Sleep(time.Second / 20)
		}
		perSecond := l.f.bytesPerHost() / seconds
		t.Logf("%.0f bytes a second and host, with 100 limits that each change 20 times a second", perSecond)
		assert.Less(t, perSecond, 7000.0)
	})
}

// Guards against assignments under a limit that reach a frozen or badly connected host late and are used beside newer
// ones, and against requests that are held back because they waited at the leader.
func TestRateLimit_LateAssignment(t *testing.T) {
	withLimitedLoad(t, "s", 3, func(l *limitedLoad) {
		for n := range 3 {
			l.state(n, 0.4)
		}
		l.run(5*time.Second, 20)
		l.requests.Wait()
		time.Sleep(2 * time.Second)
		leader := l.f.leaders()[0]
		h := l.f.otherThan(leader)
		var held []wire.Message
		hold := false
		l.f.sentMu.Lock()
		l.f.filter = func(from, _ string, m wire.Message) wire.Message {
			if g, ok := m.(*wire.Grant); ok && hold && from == leader && g.RateLimit != nil {
				held = append(held, m)
				return nil
			}
			return m
		}
		l.f.sentMu.Unlock()
		submit := func(late bool) *Ticket {
			l.f.sentMu.Lock()
			hold = late
			l.f.sentMu.Unlock()
			_, ticket := h.requestAssignment(time.Nanosecond, 0)
			return ticket
		}
		for n := range 10 { // the first are assigned at once, the others wait at the leader
			late := n%2 == 1
			ticket := submit(late)
			for tries := 0; late && tries < 4; tries++ { // a refused request gets no assignment
				time.Sleep(2 * maxGrantTransit)
				l.f.sentMu.Lock()
				delayed := held
				held = nil
				l.f.sentMu.Unlock()
				for _, m := range delayed {
					time.Sleep(2 * maxGrantTransit)
					h.broker.Receive(leader, m)
					late = false
				}
			}
			if d, ok := (<-ticket.Decisions()).(assign.Grant); ok {
				_, _, admitted := h.broker.RateLimitAdmits(ticket, l.f.view.Upstreams[d.Upstream])
				assert.Equal(t, n%2 == 0, admitted, "held for %s at the leader", d.Held)
				h.broker.AttemptEnded(ticket, assign.AttemptEnded{Outcome: assign.Completed})
			}
			h.broker.Withdraw(ticket)
		}
	})
}

// Guards against a report that a limit is gone which was sent before its host knew the present one.
func TestRateLimit_OutdatedWithdrawal(t *testing.T) {
	withLimitedLoad(t, "s", 3, func(l *limitedLoad) {
		leader := l.f.hosts[l.f.leaders()[0]]
		h := l.f.otherThan(leader.name)
		u := l.f.view.Upstreams["s0"]
		key := throttle.Incarnation{ID: u.ID, StartedAt: u.StartedAt}
		limit := func() throttle.Limit {
			leader.broker.mu.Lock()
			defer leader.broker.mu.Unlock()
			known, ok := leader.broker.rateLimits.table.Get(key)
			require.True(t, ok)
			return known
		}
		leader.broker.RateLimitStated(u, time.Now(), throttle.Statement{PerSecond: 2, Stated: true})
		first := limit()
		leader.broker.RateLimitStated(u, time.Now(), throttle.Statement{PerSecond: 3, Stated: true})
		for _, version := range []uint64{first.Version, 0, limit().Version + 1} {
			leader.broker.Receive(h.name, &wire.RateLimitReport{Limits: []wire.RateLimit{{Upstream: u.ID, StartedAt: u.StartedAt, PerSecond: 2, Withdrawn: true, Version: version}}})
			require.Zero(t, limit().WithdrawnAt)
		}
		leader.broker.Receive(h.name, &wire.RateLimitReport{Limits: []wire.RateLimit{{Upstream: u.ID, StartedAt: u.StartedAt, PerSecond: 3, Withdrawn: true, Version: limit().Version}}})
		require.NotZero(t, limit().WithdrawnAt)
	})
}

// Guards against limits out of range in messages of other hosts.
func TestRateLimit_InvalidReport(t *testing.T) {
	withLimitedLoad(t, "s", 3, func(l *limitedLoad) {
		leader := l.f.hosts[l.f.leaders()[0]]
		h := l.f.otherThan(leader.name)
		for _, perSecond := range []float64{-1, math.NaN(), math.Inf(1), 2 * throttle.MaxPerSecond} {
			leader.broker.Receive(h.name, &wire.RateLimitReport{Limits: []wire.RateLimit{{Upstream: "s0", StartedAt: 1, PerSecond: perSecond}}})
			h.broker.Receive(leader.name, &wire.RateLimits{Version: 1 << 60, Limits: []wire.RateLimit{{Upstream: "s0", StartedAt: 1, PerSecond: perSecond}}})
		}
		require.Zero(t, leader.broker.Stats().RateLimits)
		require.Zero(t, h.broker.Stats().RateLimits)
	})
}

// Guards against a new leader that does not learn of a limit which one of its hosts knows.
func TestRateLimit_ReportedToNextLeader(t *testing.T) {
	withLimitedLoad(t, "s", 3, func(l *limitedLoad) {
		h := l.f.add("weak", 0.1) // so that it does not lead
		time.Sleep(time.Second)
		h.broker.update(func(now time.Time) {
			h.broker.rateLimits.table.Put(throttle.Incarnation{ID: "s0", StartedAt: 1}, throttle.Limit{PerSecond: 2, HeardAt: now, Version: 7})
		})
		l.f.kill(l.f.leaders()[0])
		time.Sleep(4 * time.Second)
		for name, host := range l.f.hosts {
			require.Equal(t, 1, host.broker.Stats().RateLimits, name)
		}
	})
}

// Guards against a limit that a host keeps for good because its report to the leader was lost and the upstream states
// it no more.
func TestRateLimit_UnreportedLimitEnds(t *testing.T) {
	withLimitedLoad(t, "plain", 3, func(l *limitedLoad) {
		h := l.f.otherThan(l.f.leaders()[0])
		h.broker.update(func(now time.Time) {
			h.broker.rateLimits.table.Set(now, throttle.Incarnation{ID: "plain0", StartedAt: 1}, 2)
			h.broker.updateLimitedServices(now)
		})
		l.run(unconfirmedLimitTTL+3*time.Second, 40)
		l.requests.Wait()
		require.Zero(t, h.broker.Stats().RateLimits)
		require.Equal(t, l.sent, l.served)
	})
}
