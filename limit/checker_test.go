package limit

import (
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/jasminelock/jasminelock/record"
)

// checker records, for each organisation, the tokens admitted on all hosts. An
// admission counts at the clock reading with which it was decided.
//
// Admitted tokens stay within burst + rate·t over every window if and only if one
// bucket, which starts full, never falls below 0. A change of rate counts as
// follows. The bucket refills at the largest rate in force on any live host. A
// window's burst is the largest burst in force on any live host within the
// window: the bucket grows with a larger burst at once, and is cut to a smaller
// one grantTTL after the last host has applied it.
type checker struct {
	log     map[string][]logEntry
	inForce map[string]record.Rate
	reading time.Time

	// ideal holds buckets that get the same requests and admit all that fit.
	ideal  map[string]*idealBucket
	scores map[string]*score
}

// score compares the fleet with an ideal bucket, for one organisation.
type score struct {
	arrived, admitted, idealAdmitted int
	// used and idealUsed are the tokens used by admitted requests.
	used, idealUsed int64
	// wrongful counts the refused requests that the ideal bucket admitted.
	wrongful     int
	lastWrongful time.Time
}

// shortfall is the share of the ideally used tokens that were not used. It is the
// measure for demand above the rate, where it is random which requests are
// refused.
func (s score) shortfall() float64 {
	return math.Max(0, float64(s.idealUsed-s.used)) / float64(max(1, s.idealUsed))
}

// wrongfulShare is the ratio of wrongful refusals to requests that the ideal
// bucket admitted.
func (s score) wrongfulShare() float64 { return float64(s.wrongful) / float64(max(1, s.idealAdmitted)) }

type logEntry struct {
	at     time.Time
	tokens float64 // admitted if positive, returned if negative
	rate   *record.Rate
}

// idealBucket is a single token bucket for the whole fleet.
type idealBucket struct {
	rate, burst, tokens float64
	updatedAt           time.Time
	started             bool
}

func (b *idealBucket) advance(now time.Time) {
	if elapsed := now.Sub(b.updatedAt).Seconds(); elapsed > 0 {
		b.tokens = math.Min(b.burst, b.tokens+elapsed*b.rate)
		b.updatedAt = now
	}
}

func (b *idealBucket) apply(e logEntry) {
	b.advance(e.at)
	if e.rate == nil {
		b.tokens = math.Min(b.burst, b.tokens-e.tokens)
		return
	}
	if b.started {
		b.tokens += math.Max(0, float64(e.rate.BurstTokens)-b.burst)
	}
	b.rate, b.burst = e.rate.TokensPerSecond, float64(e.rate.BurstTokens)
	if !b.started {
		b.started, b.tokens, b.updatedAt = true, b.burst, e.at
	}
	b.tokens = math.Min(b.tokens, b.burst)
}

func newChecker() *checker {
	return &checker{
		log: map[string][]logEntry{}, inForce: map[string]record.Rate{}, ideal: map[string]*idealBucket{},
		scores: map[string]*score{},
	}
}

func (c *checker) add(org string, e logEntry) {
	c.log[org] = append(c.log[org], e)
}

func (c *checker) rateInForce(now time.Time, org string, r record.Rate) {
	last, known := c.inForce[org]
	if r.BurstTokens == 0 || r == last {
		return
	}
	c.inForce[org] = r
	if known && r.BurstTokens < last.BurstTokens {
		between := record.Rate{TokensPerSecond: r.TokensPerSecond, BurstTokens: last.BurstTokens}
		c.add(org, logEntry{at: now, rate: &between})
		now = now.Add(grantTTL)
	}
	c.add(org, logEntry{at: now, rate: &r})
	if c.ideal[org] == nil {
		c.ideal[org] = &idealBucket{}
	}
	c.ideal[org].apply(logEntry{at: now, rate: &r})
}

func (c *checker) score(org string) *score {
	if c.scores[org] == nil {
		c.scores[org] = &score{}
	}
	return c.scores[org]
}

func (c *checker) admit(org string, tokens, used int64) {
	c.score(org).admitted++
	c.score(org).used += used
	c.add(org, logEntry{at: c.reading, tokens: float64(tokens)})
}

// arrive offers a request to the ideal bucket and returns whether it is admitted.
func (c *checker) arrive(org string, tokens, used int64, now time.Time) bool {
	sc := c.score(org)
	sc.arrived++
	b := c.ideal[org]
	b.advance(now)
	if b.tokens < float64(tokens) {
		return false
	}
	sc.idealAdmitted++
	sc.idealUsed += used
	b.tokens -= float64(tokens)
	return true
}

func (c *checker) refundIdeal(org string, tokens int64, now time.Time) {
	c.ideal[org].apply(logEntry{at: now, tokens: -float64(tokens)})
}

func (c *checker) refund(org string, tokens int64, now time.Time) {
	c.add(org, logEntry{at: now, tokens: -float64(tokens)})
}

// refuse counts a refusal; ideal reports whether the ideal bucket admitted the
// request.
func (c *checker) refuse(org string, ideal bool, now time.Time) {
	if ideal {
		c.score(org).wrongful++
		c.score(org).lastWrongful = now
	}
}

// verify replays the log in the order of the clock readings.
func (c *checker) verify() error {
	const rounding = 1e-3 // tokens
	for org, log := range c.log {
		sorted := slices.Clone(log)
		slices.SortStableFunc(sorted, func(a, b logEntry) int { return a.at.Compare(b.at) })
		var b idealBucket
		for _, e := range sorted {
			b.apply(e)
			if b.tokens < -rounding {
				return fmt.Errorf("%s: %.3f tokens above burst + rate·t at %s", org, -b.tokens, e.at.UTC().Format("15:04:05.000"))
			}
		}
	}
	return nil
}
