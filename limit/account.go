package limit

import (
	"math"
	"slices"
	"time"

	"github.com/jasminelock/jasminelock/record"
	"github.com/jasminelock/jasminelock/wire"
)

// account is one organisation's token bucket on its leader. Tokens and
// outstanding grants together never exceed the burst: a grant may be spent until
// the requesting host stops waiting, so its capacity must not be refilled
// earlier.
type account struct {
	rate      *record.Rate
	tokens    float64
	updatedAt time.Time
	// grants holds the grants to other hosts that may still be unspent, oldest
	// first.
	grants []grant
	// outstanding is the sum of the tokens of grants.
	outstanding float64
	// slacks records the smallest distances between tokens and capacity, which
	// bound the credit for late returns.
	slacks slackLog
	// burstPending is true while the claim of the organisation's first burst in
	// the table service has no result yet.
	burstPending bool
}

// grant is a number of tokens that another host may spend. It is outstanding
// until it expires or the host reports it as spent.
type grant struct {
	member    wire.LimitMember
	id        uint64
	tokens    float64
	expiresAt time.Time
}

func newAccount(now time.Time, r *record.Rate) *account {
	return &account{rate: r, updatedAt: now, slacks: slackLog{since: now}}
}

// capacity returns the most tokens that the bucket may hold now.
func (a *account) capacity() float64 {
	return math.Max(0, float64(a.rate.BurstTokens)-a.outstanding)
}

// refill adds the tokens accrued until now. The capacity kept by an outstanding
// grant is not refilled before the grant expires.
func (a *account) refill(now time.Time) {
	for len(a.grants) > 0 && !now.Before(a.grants[0].expiresAt) {
		a.fillUntil(a.grants[0].expiresAt)
		a.outstanding -= a.grants[0].tokens
		a.grants = a.grants[1:]
	}
	if len(a.grants) == 0 {
		a.grants, a.outstanding = nil, 0
	}
	a.fillUntil(now)
	a.slacks.record(now, a.capacity()-a.tokens)
}

// fillUntil adds the tokens accrued at the rate until a time, up to the capacity.
func (a *account) fillUntil(until time.Time) {
	if elapsed := until.Sub(a.updatedAt).Seconds(); elapsed > 0 {
		a.tokens += elapsed * a.rate.TokensPerSecond
		a.updatedAt = until
	}
	a.tokens = math.Min(a.tokens, a.capacity())
}

// take removes tokens from the bucket. If there are too few, it removes none and
// returns the time until there are enough.
func (a *account) take(now time.Time, tokens int64) (ok bool, retryAfter time.Duration) {
	a.refill(now)
	need := float64(tokens)
	if need <= a.tokens {
		a.tokens -= need
		return true, 0
	}
	return false, a.timeUntil(now, need)
}

// timeUntil returns the time until the bucket holds need tokens. The bucket
// refills at its rate only up to its capacity, so a larger need also waits for
// the last outstanding grant to expire.
func (a *account) timeUntil(now time.Time, need float64) time.Duration {
	var blocked time.Duration
	if need > a.capacity() && len(a.grants) > 0 {
		blocked = a.grants[len(a.grants)-1].expiresAt.Sub(now)
	}
	if a.rate.TokensPerSecond <= 0 {
		return defaultRetryAfter
	}
	seconds := (need - a.tokens) / a.rate.TokensPerSecond
	return blocked + time.Duration(math.Ceil(seconds*1e9))
}

// addGrant records a grant of tokens, which have just been taken, to another
// host.
func (a *account) addGrant(now time.Time, member wire.LimitMember, id uint64, tokens int64) {
	a.grants = append(a.grants, grant{member: member, id: id, tokens: float64(tokens), expiresAt: now.Add(grantTTL)})
	a.outstanding += float64(tokens)
}

// releaseGrant frees the capacity kept by a grant after its host reported it as
// spent.
func (a *account) releaseGrant(now time.Time, by wire.LimitMember, id uint64) {
	a.refill(now)
	i := slices.IndexFunc(a.grants, func(g grant) bool { return g.member == by && g.id == id })
	if i < 0 {
		return
	}
	a.outstanding -= a.grants[i].tokens
	a.grants = slices.Delete(a.grants, i, i+1)
	if len(a.grants) == 0 {
		a.grants, a.outstanding = nil, 0
	}
}

// credit adds tokens that were returned at some time after since. A negative
// amount is a debt. If the tokens had arrived at once, they would have counted
// only up to the free capacity at that time; limiting them to the least free
// capacity since then avoids giving out refilled tokens twice.
func (a *account) credit(now, since time.Time, tokens float64) {
	a.refill(now)
	a.tokens += math.Min(tokens, a.slacks.minSince(since))
}

// setRate applies a new rate. It does not add tokens: a larger burst is filled
// at the new rate.
func (a *account) setRate(now time.Time, r *record.Rate) {
	a.refill(now)
	a.rate = r
	a.tokens = math.Min(a.tokens, a.capacity())
}
