package limit

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jasminelock/jasminelock/record"
)

// The load on one host at the size to design for.
const (
	requestsPerHost = 5.9 // a second
	organisations   = 4000
	// maxControlBytes is what a host may send for control in a second, of which
	// limits are one part.
	maxControlBytes = 7 << 10
)

func manyRates() map[string]*record.Rate {
	rates := map[string]*record.Rate{}
	for i := range organisations {
		rates[orgName(i)] = &record.Rate{TokensPerSecond: 1000, BurstTokens: 10_000}
	}
	return rates
}

func orgName(i int) string { return fmt.Sprintf("organisation-%d", i) }

// popular draws an organisation: few are asked for often, most hardly ever.
func popular(s *sim) string {
	return orgName(int(rand.NewZipf(s.rand, 1.1, 10, organisations-1).Uint64()))
}

// traffic is what hosts sent over some time.
type traffic struct {
	messages, bytes, most float64 // a second and host, most of any host
	reads, writes         float64 // a second
}

func (s *sim) measure(d time.Duration, during func()) (t traffic) {
	for _, h := range s.hosts {
		h.sent, h.sentBytes = 0, 0
	}
	s.reads, s.writes = 0, 0
	if during != nil {
		during()
	}
	s.run(d)
	n := float64(len(s.hosts)) * d.Seconds()
	for _, h := range s.hosts {
		t.messages += float64(h.sent) / n
		t.bytes += float64(h.sentBytes) / n
		t.most = max(t.most, float64(h.sentBytes)/d.Seconds())
	}
	t.reads, t.writes = float64(s.reads)/d.Seconds(), float64(s.writes)/d.Seconds()
	return t
}

func (t traffic) String() string {
	return fmt.Sprintf("%.1f messages/s and %.0f B/s sent by a host, at most %.0f B/s; %.0f reads/s and %.2f writes/s of the store",
		t.messages, t.bytes, t.most, t.reads, t.writes)
}

var largestFleet = flag.Int("largest-fleet", 30, "most hosts in TestCost")

// TestCost logs the cost for each host, and asserts that the mean stays within
// what a host may send.
func TestCost(t *testing.T) {
	t.Parallel()
	for _, n := range []int{7, 30, 100, 390} {
		if n > *largestFleet || raceEnabled && n > 7 {
			continue
		}
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			t.Parallel()
			const lasts = 20 * time.Second
			s := newSim(1, n, faults{}, manyRates(), leadLimiter)
			began := s.now
			for !s.joined() {
				s.run(time.Second)
			}
			t.Logf("start: all joined after %s, epoch %d", s.now.Sub(began), s.hosts[0].limiter.(*LeaderLimiter).epoch())
			s.run(2 * fenceTTL)
			idle := s.measure(lasts, nil)
			t.Logf("no requests: %s", idle)
			s.arrivalsOfMany(requestsPerHost * float64(n))
			s.run(lasts)
			busy := s.measure(lasts, nil)
			t.Logf("%.1f requests/s and host: %s", requestsPerHost, busy)
			down := s.measure(lasts, func() { s.down = true })
			t.Logf("store down: %s", down)
			s.down = false
			s.run(lasts)
			killed := s.measure(2*lasts, func() { s.kill(s.hosts[n/2]) })
			t.Logf("one host killed: %s", killed)
			for _, cost := range []traffic{idle, busy, down, killed} {
				require.Less(t, cost.bytes, float64(maxControlBytes))
			}
		})
	}
}

// joined says that every host is a member of the latest view.
func (s *sim) joined() bool {
	for _, h := range s.hosts {
		if l := h.limiter.(*LeaderLimiter); !l.isMember() || l.epoch() != s.rows[headKey].Version {
			return false
		}
	}
	return true
}

func (s *sim) arrivalsOfMany(perSecond float64) {
	var next func()
	next = func() {
		s.after(time.Duration(s.rand.ExpFloat64()/perSecond*float64(time.Second)), next)
		s.request(anyHost(s), popular(s), 100, 40, 2*time.Second, nil)
	}
	next()
}

// BenchmarkReserve reserves and settles on the organisation's lead.
func BenchmarkReserve(b *testing.B) {
	s := newSim(1, 1, faults{}, manyRates(), leadLimiter)
	s.run(fleetStart)
	l := s.hosts[0].limiter
	s.request(s.hosts[0], orgName(0), 1, 1, 0, nil)
	s.run(time.Second)
	now := s.now
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(time.Millisecond)
		l.Reserve(now, orgName(0), 1)
		l.Settle(now, orgName(0), 1, 0)
	}
}

// BenchmarkTick lets time pass on a host that leads thousands of idle
// organisations.
func BenchmarkTick(b *testing.B) {
	for _, n := range []int{0, organisations} {
		b.Run(fmt.Sprintf("organisations=%d", n), func(b *testing.B) {
			s := newSim(1, 1, faults{}, manyRates(), leadLimiter)
			s.run(fleetStart)
			for i := range n {
				s.request(s.hosts[0], orgName(i), 1, 1, 0, nil)
			}
			s.run(20 * time.Second)
			l := s.hosts[0].limiter
			now := s.now
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(time.Microsecond)
				l.Tick(now)
			}
		})
	}
}

// BenchmarkMemory reports what an organisation takes on its lead.
func BenchmarkMemory(b *testing.B) {
	for b.Loop() {
		l := NewLeaderLimiter(LeaderOptions{Host: "host-1", Incarnation: 1})
		r := &record.Rate{TokensPerSecond: 1000, BurstTokens: 10_000}
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		now := time.Unix(1, 0)
		for i := range organisations {
			a := newAccount(now, r)
			a.credit(now, now, 100)
			a.take(now.Add(time.Second), 10)
			l.accounts[orgName(i)] = a
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/organisations, "B/organisation")
		runtime.KeepAlive(l)
	}
}
