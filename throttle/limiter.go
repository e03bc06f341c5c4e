package throttle

import (
	"math"
	"time"
)

const (
	// LeaderShare is the share of a limit that the leader hands out.
	LeaderShare = 1
	// minPerSecond is the rate, in requests per second, at which requests are sent to an upstream
	// that states a lower limit, or 0. Only a response shows that the limit no longer holds.
	minPerSecond = 0.1
	// burstTime is the time whose requests may be admitted at once, beyond the first. It is low enough
	// for the bursts of the leader and of hosts that it does not reach to stay within the operators'
	// bound together.
	burstTime = 250 * time.Millisecond
	// RecoveryTime is how long after its withdrawal a limit still applies. It doubles every
	// recoveryDoubling, from at least minRecoveryPerSecond, so that the upstream is not sent all that
	// has waited at once.
	RecoveryTime         = 5 * time.Second
	recoveryDoubling     = time.Second
	minRecoveryPerSecond = 1
)

// State describes a limit at the time of a decision, for logs.
type State struct {
	// PerSecond is the upstream's limit, or the sum over several upstreams. It is valid if Limited is set.
	PerSecond float64
	Limited   bool
	// Share is the share of the limit that the deciding host may use.
	Share float64
	// Age is the time since the limit was last heard of.
	Age time.Duration
}

// Limiter admits requests to one upstream within a share of its limit. It is a token bucket that
// starts empty, since requests may have been sent under an earlier Limiter. A nil Limiter admits
// all requests.
type Limiter struct {
	limit Limit
	share float64
	// tokens is the number of requests that may be sent, as of refilledAt. It is negative after
	// requests that were sent beyond the limit.
	tokens     float64
	refilledAt time.Time
	// takenAt is when the last request was counted, or when the Limiter was created.
	takenAt time.Time
}

// NewLimiter returns an empty bucket for a share of a limit.
func NewLimiter(now time.Time, l Limit, share float64) *Limiter {
	return &Limiter{limit: l, share: share, refilledAt: now, takenAt: now}
}

// Update changes the limit and the share from now on.
func (l *Limiter) Update(now time.Time, limit Limit, share float64) {
	l.refill(now)
	l.limit, l.share = limit, share
	if share == 0 {
		l.tokens = math.Min(l.tokens, 0)
	}
}

// Rate returns the number of requests per second that are admitted now.
func (l *Limiter) Rate(now time.Time) float64 {
	perSecond := math.Max(l.limit.PerSecond, minPerSecond)
	if !l.limit.WithdrawnAt.IsZero() {
		elapsed := math.Min(math.Max(float64(now.Sub(l.limit.WithdrawnAt)), 0), float64(RecoveryTime))
		perSecond = math.Max(perSecond, minRecoveryPerSecond) * math.Exp2(elapsed/float64(recoveryDoubling))
	}
	return perSecond * l.share
}

func (l *Limiter) refill(now time.Time) {
	elapsed := now.Sub(l.refilledAt)
	if elapsed <= 0 {
		return
	}
	// The rate at the start of the period is the lowest in it while the limit recovers.
	rate := l.Rate(l.refilledAt)
	l.tokens = math.Min(l.tokens+elapsed.Seconds()*rate, capacity(rate))
	l.refilledAt = now
}

// capacity returns the number of requests that may be admitted at once at a rate.
func capacity(rate float64) float64 { return 1 + rate*burstTime.Seconds() }

// Idle returns the time since the last request if the upstream accepts more than it is sent, else 0.
func (l *Limiter) Idle(now time.Time) time.Duration {
	if l == nil {
		return 0
	}
	l.refill(now)
	if rate := l.Rate(now); rate <= 0 || l.tokens < capacity(rate) {
		return 0
	}
	return now.Sub(l.takenAt)
}

// Exhausted reports whether no request may be sent now.
func (l *Limiter) Exhausted(now time.Time) bool { return l.Wait(now, 1) > 0 }

// Wait returns the time until n requests may have been sent.
func (l *Limiter) Wait(now time.Time, n float64) time.Duration {
	if l == nil {
		return 0
	}
	l.refill(now)
	if l.tokens >= n {
		return 0
	}
	rate := l.Rate(now)
	if rate <= 0 {
		return maxWait
	}
	return min(time.Duration(math.Ceil((n-l.tokens)/rate*float64(time.Second))), maxWait)
}

// maxWait is returned for requests that cannot be sent in a foreseeable time.
const maxWait = time.Hour

// Admits returns how many requests may have been sent after a time, if none are sent before.
func (l *Limiter) Admits(now time.Time, after time.Duration) int {
	l.refill(now)
	return int(math.Max(math.Floor(l.tokens+l.Rate(now)*after.Seconds()), 0))
}

// Take counts a request that is sent.
func (l *Limiter) Take(now time.Time) {
	if l != nil {
		l.refill(now)
		l.tokens--
		l.takenAt = now
	}
}

// Return takes back a request that was counted and not sent.
func (l *Limiter) Return(now time.Time) {
	if l != nil {
		l.refill(now)
		l.tokens++
	}
}

// State returns the state of the limit, for logs.
func (l *Limiter) State(now time.Time) State {
	if l == nil {
		return State{}
	}
	return State{PerSecond: l.limit.PerSecond, Limited: true, Share: l.share, Age: now.Sub(l.limit.HeardAt)}
}
