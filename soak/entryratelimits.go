package soak

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"
)

const (
	// rateLimitTime is how long replicas state rate limits, rateLimitPause how long none does between two such
	// periods, and rateLimitChange how long the limit stays the same.
	rateLimitTime   = 9 * time.Second
	rateLimitPause  = 2 * time.Second
	rateLimitChange = 2 * time.Second
	// minRateLimit and maxRateLimit bound the random limits, in requests a second.
	minRateLimit = 0.3
	maxRateLimit = 1.5
	// From rateLimitContact after a replica first states a limit, all hosts together may send it at most
	// rateLimitFactor times what the limit allows and rateLimitSlack requests in any rateLimitWindow. These are
	// the operators' bounds.
	rateLimitContact = 3 * time.Second
	rateLimitWindow  = 4 * time.Second
	rateLimitFactor  = 1.5
	rateLimitSlack   = 5
)

// invalidRateLimits are texts that state no limit.
var invalidRateLimits = []string{"-1", "NaN", "Inf", "1e30", "none", "0,5"}

// rateLimitPeriod is a period in which one start of a replica stated rate limits.
type rateLimitPeriod struct {
	replica  string
	from, to time.Time
	// highest is the highest limit that was stated, in requests a second.
	highest float64
}

// stateRateLimits lets one replica after the other, often the busiest one, or all of a service, state a rate limit that
// changes, until the context ends.
func (s *entrySoak) stateRateLimits(ctx context.Context) {
	r := rand.New(rand.NewPCG(s.options.Seed, 5))
	for ctx.Err() == nil {
		limited := []*entryReplica{s.randomReplica(r)}
		switch r.IntN(4) {
		case 0:
			limited = slices.DeleteFunc(slices.Clone(s.replicas), func(e *entryReplica) bool { return e.service != limited[0].service })
		case 1, 2:
			limited[0] = slices.MaxFunc(s.replicas, func(x, y *entryReplica) int { return cmp.Compare(x.recentRequests(), y.recentRequests()) })
		}
		for _, e := range limited {
			e.SetRateLimit(invalidRateLimits[r.IntN(len(invalidRateLimits))])
		}
		sleep(ctx, rateLimitPause)
		s.stateRateLimit(ctx, r, limited)
	}
}

// recentRequests returns the number of requests that the replica has received within rateLimitPause.
func (e *entryReplica) recentRequests() int {
	n := 0
	for _, seen := range e.Requests() {
		if time.Since(seen.ReceivedAt) < rateLimitPause {
			n++
		}
	}
	return n
}

// stateRateLimit lets replicas state the same rate limit for rateLimitTime. A period ends when a replica restarts.
func (s *entrySoak) stateRateLimit(ctx context.Context, r *rand.Rand, limited []*entryReplica) {
	const checkInterval = 20 * time.Millisecond
	periods := make([]rateLimitPeriod, len(limited))
	incarnations := make([]int64, len(limited))
	begin := func(i int, perSecond float64) {
		incarnations[i] = limited[i].incarnation.Load()
		periods[i] = rateLimitPeriod{replica: limited[i].id, from: time.Now(), highest: perSecond}
	}
	for i := range limited {
		begin(i, 0)
	}
	perSecond, changeAt := 0.0, time.Time{}
	for end := time.Now().Add(rateLimitTime); time.Now().Before(end) && ctx.Err() == nil; sleep(ctx, checkInterval) {
		changed := !time.Now().Before(changeAt)
		if changed {
			perSecond, changeAt = minRateLimit+r.Float64()*(maxRateLimit-minRateLimit), time.Now().Add(rateLimitChange)
		}
		for i, e := range limited {
			if changed {
				e.SetRateLimit(strconv.FormatFloat(perSecond, 'f', 2, 64))
				periods[i].highest = max(periods[i].highest, perSecond)
			}
			if restarted := e.incarnation.Load() != incarnations[i]; restarted {
				s.recorder.recordRateLimit(periods[i])
				begin(i, perSecond)
			}
		}
	}
	for i, e := range limited {
		s.recorder.recordRateLimit(periods[i])
		e.SetRateLimit("")
	}
}

// recordRateLimit records a period that ends now.
func (rec *entryRecorder) recordRateLimit(p rateLimitPeriod) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	p.to = time.Now()
	rec.rateLimits = append(rec.rateLimits, p)
}

// checkRateLimits checks that all hosts together kept to the rate limits that replicas stated. rec.mu must be held.
func (s *EntrySummary) checkRateLimits(rec *entryRecorder, replicas []*entryReplica) {
	for _, p := range rec.rateLimits {
		i := slices.IndexFunc(replicas, func(r *entryReplica) bool { return r.id == p.replica })
		var times []time.Time
		for _, seen := range replicas[i].Requests() {
			if seen.RateLimit != "" && seen.ReceivedAt.After(p.from) && seen.ReceivedAt.Before(p.to) {
				times = append(times, seen.ReceivedAt)
			}
		}
		if len(times) == 0 {
			continue
		}
		slices.SortFunc(times, time.Time.Compare)
		// A replica states its limit with its first answer, which may be long after it got the limit.
		bindsAt := times[0].Add(rateLimitContact)
		if p.to.Before(bindsAt) {
			continue
		}
		s.LimitedReplicas++
		n, _ := slices.BinarySearchFunc(times, bindsAt, time.Time.Compare)
		times = times[n:]
		allowed := rateLimitFactor*p.highest*rateLimitWindow.Seconds() + rateLimitSlack
		for first, from := range times {
			end, _ := slices.BinarySearchFunc(times, from.Add(rateLimitWindow), time.Time.Compare)
			if float64(end-first) > allowed {
				s.addViolation("replica %s, which stated at most %.2f requests a second, was sent %d within %s, allowed %.1f, %s after it first stated a limit at %s",
					p.replica, p.highest, end-first, rateLimitWindow, allowed, from.Sub(bindsAt)+rateLimitContact, bindsAt.Add(-rateLimitContact).Format("15:04:05.000"))
				break
			}
		}
	}
}
