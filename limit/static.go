package limit

import (
	"math"
	"time"

	"github.com/jasminelock/jasminelock/record"
	"github.com/jasminelock/jasminelock/wire"
)

// Static gives each host an equal, fixed part of every rate and burst. It is
// safe while hosts is at least the number of hosts that serve, and refuses
// much inside the rate where callers are not spread evenly: it is the baseline
// that other mechanisms are measured against.
type Static struct {
	hosts   int
	buckets map[string]*bucket
}

// NewStatic returns a limiter for one of a fixed number of hosts.
func NewStatic(hosts int) *Static {
	return &Static{hosts: max(hosts, 1), buckets: map[string]*bucket{}}
}

// bucket is a token bucket of one organisation on one host.
type bucket struct {
	rate   float64 // tokens a second
	burst  float64 // tokens
	tokens float64
	at     time.Time
}

func (b *bucket) refill(now time.Time) {
	elapsed := now.Sub(b.at).Seconds()
	if elapsed <= 0 {
		return
	}
	b.tokens = math.Min(b.burst, b.tokens+elapsed*b.rate)
	b.at = now
}

// Configure implements Limiter.
func (s *Static) Configure(now time.Time, rates map[string]*record.Rate) []Decision {
	for org, r := range rates {
		s.configureOne(now, org, r)
	}
	for org := range s.buckets {
		if _, ok := rates[org]; !ok {
			delete(s.buckets, org)
		}
	}
	return nil
}

func (s *Static) configureOne(now time.Time, org string, r *record.Rate) {
	rate := r.TokensPerSecond / float64(s.hosts)
	burst := float64(r.BurstTokens) / float64(s.hosts)
	b, ok := s.buckets[org]
	if !ok {
		s.buckets[org] = &bucket{rate: rate, burst: burst, tokens: burst, at: now}
		return
	}
	b.refill(now)
	b.rate, b.burst = rate, burst
	b.tokens = math.Min(b.tokens, burst)
}

// UpdateHosts implements Limiter.
func (s *Static) UpdateHosts(time.Time, []string) []Decision { return nil }

// Reserve implements Limiter. An organisation without a rate may spend nothing.
func (s *Static) Reserve(now time.Time, org string, tokens int64) (Verdict, []Decision) {
	b, ok := s.buckets[org]
	if !ok {
		return Verdict{OverBurst: true}, nil
	}
	b.refill(now)
	v := Verdict{Limit: int64(b.burst), Remaining: max(int64(b.tokens), 0)}
	need := float64(tokens)
	if need > b.burst {
		v.OverBurst = true
		return v, nil
	}
	if need > b.tokens {
		v.Exhausted = true
		v.RetryAfter = time.Duration((need - b.tokens) / b.rate * float64(time.Second))
		return v, nil
	}
	b.tokens -= need
	v.OK = true
	v.Remaining = max(int64(b.tokens), 0)
	return v, nil
}

// Settle implements Limiter.
func (s *Static) Settle(now time.Time, org string, reserved, used int64) []Decision {
	b, ok := s.buckets[org]
	if !ok {
		return nil
	}
	b.refill(now)
	b.tokens = math.Min(b.burst, b.tokens+float64(reserved-used))
	return nil
}

// Receive implements Limiter.
func (s *Static) Receive(time.Time, string, wire.Message) []Decision { return nil }

// HandleStoreResult implements Limiter.
func (s *Static) HandleStoreResult(time.Time, StoreResult) []Decision { return nil }

// Leave implements Limiter.
func (s *Static) Leave(time.Time) []Decision { return nil }

// Tick implements Limiter.
func (s *Static) Tick(time.Time) []Decision { return nil }
