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

// The load on one host at the design scale.
const (
	requestsPerHost = 5.9 // a second
	organisations   = 4000
	// maxControlBytes is the most control traffic of a host in bytes a second, of
	// which the limiter is one part.
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

// zipfOrg draws an organisation from a Zipf distribution: a few get most of the
// requests.
func zipfOrg(s *sim) string {
	return orgName(int(rand.NewZipf(s.rand, 1.1, 10, organisations-1).Uint64()))
}

// traffic is the traffic of a fleet over some time.
type traffic struct {
	messages, bytes, mostBytes float64 // sent by a host a second: means, and the most bytes of any host
	reads, writes              float64 // of the store a second
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
		t.mostBytes = max(t.mostBytes, float64(h.sentBytes)/d.Seconds())
	}
	t.reads, t.writes = float64(s.reads)/d.Seconds(), float64(s.writes)/d.Seconds()
	return t
}

func (t traffic) String() string {
	return fmt.Sprintf("%.1f messages/s and %.0f B/s sent by a host, at most %.0f B/s; %.0f reads/s and %.2f writes/s of the store",
		t.messages, t.bytes, t.mostBytes, t.reads, t.writes)
}

var largestFleet = flag.Int("largest-fleet", 30, "most hosts in TestCost")

// TestCost logs the traffic of each host, and asserts that the mean stays below
// maxControlBytes.
func TestCost(t *testing.T) {
	t.Parallel()
	for _, n := range []int{7, 30, 100, 390} {
		if n > *largestFleet || raceEnabled && n > 7 {
			continue
		}
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			t.Parallel()
			const duration = 20 * time.Second
			s := newSim(1, n, faults{}, manyRates(), newLeaderLimiter)
			began := s.now
			for !s.allJoined() {
				s.run(time.Second)
			}
			t.Logf("start: all joined after %s, epoch %d", s.now.Sub(began), s.hosts[0].limiter.(*LeaderLimiter).epoch())
			s.run(2 * fenceTTL)
			idle := s.measure(duration, nil)
			t.Logf("no requests: %s", idle)
			s.zipfArrivals(requestsPerHost * float64(n))
			s.run(duration)
			busy := s.measure(duration, nil)
			t.Logf("%.1f requests/s and host: %s", requestsPerHost, busy)
			outage := s.measure(duration, func() { s.platformDown = true })
			t.Logf("store down: %s", outage)
			s.platformDown = false
			s.run(duration)
			killed := s.measure(2*duration, func() { s.kill(s.hosts[n/2]) })
			t.Logf("one host killed: %s", killed)
			for _, cost := range []traffic{idle, busy, outage, killed} {
				require.Less(t, cost.bytes, float64(maxControlBytes))
			}
		})
	}
}

// allJoined reports whether every host is a member of the latest view.
func (s *sim) allJoined() bool {
	for _, h := range s.hosts {
		if l := h.limiter.(*LeaderLimiter); !l.isMember() || l.epoch() != s.rows[headKey].Version {
			return false
		}
	}
	return true
}

func (s *sim) zipfArrivals(perSecond float64) {
	var next func()
	next = func() {
		s.after(time.Duration(s.rand.ExpFloat64()/perSecond*float64(time.Second)), next)
		s.request(anyHost(s), zipfOrg(s), 100, 40, 2*time.Second, nil)
	}
	next()
}

// BenchmarkReserve reserves and settles on the organisation's leader.
func BenchmarkReserve(b *testing.B) {
	s := newSim(1, 1, faults{}, manyRates(), newLeaderLimiter)
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

// BenchmarkTick calls Tick on a host that leads thousands of idle organisations.
func BenchmarkTick(b *testing.B) {
	for _, n := range []int{0, organisations} {
		b.Run(fmt.Sprintf("organisations=%d", n), func(b *testing.B) {
			s := newSim(1, 1, faults{}, manyRates(), newLeaderLimiter)
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

// BenchmarkMemory reports the memory of one organisation on its leader.
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
