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
	rate   *record.Rate
	tokens float64
	at     time.Time
	// granted holds the grants to other hosts that may still be unspent, oldest
	// first.
	granted []grant
	// inFlight is the number of tokens in the outstanding grants.
	inFlight float64
	// slacks records the smallest distances between tokens and capacity, which
	// bound the credit for late returns.
	slacks slackLog
	// creating is true while the table service is being asked whether the
	// organisation's first burst is still available.
	creating bool
}

// grant is a number of tokens that another host may spend. It is outstanding
// until it expires or the host reports it as spent.
type grant struct {
	to      wire.LimitMember
	id      uint64
	tokens  float64
	expires time.Time
}

func newAccount(now time.Time, r *record.Rate) *account {
	return &account{rate: r, at: now, slacks: slackLog{since: now}}
}

// room returns the most tokens that the bucket may hold now.
func (a *account) room() float64 {
	return math.Max(0, float64(a.rate.BurstTokens)-a.inFlight)
}

// refill adds the tokens accrued until now. The capacity kept by an outstanding
// grant is not refilled before the grant expires.
func (a *account) refill(now time.Time) {
	for len(a.granted) > 0 && !now.Before(a.granted[0].expires) {
		a.fill(a.granted[0].expires)
		a.inFlight -= a.granted[0].tokens
		a.granted = a.granted[1:]
	}
	if len(a.granted) == 0 {
		a.granted, a.inFlight = nil, 0
	}
	a.fill(now)
	a.slacks.note(now, a.room()-a.tokens)
}

// fill adds the tokens accrued at the rate until a time, up to the capacity.
func (a *account) fill(until time.Time) {
	if elapsed := until.Sub(a.at).Seconds(); elapsed > 0 {
		a.tokens += elapsed * a.rate.TokensPerSecond
		a.at = until
	}
	a.tokens = math.Min(a.tokens, a.room())
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
	return false, a.wait(now, need)
}

// wait returns the time until the bucket holds need tokens. The bucket refills at
// its rate only up to its capacity, so a larger need also waits for the last
// outstanding grant to expire.
func (a *account) wait(now time.Time, need float64) time.Duration {
	var blocked time.Duration
	if need > a.room() && len(a.granted) > 0 {
		blocked = a.granted[len(a.granted)-1].expires.Sub(now)
	}
	if a.rate.TokensPerSecond <= 0 {
		return unknownRetry
	}
	seconds := (need - a.tokens) / a.rate.TokensPerSecond
	return blocked + time.Duration(math.Ceil(seconds*1e9))
}

// lend records a grant of tokens, which have just been taken, to another host.
func (a *account) lend(now time.Time, to wire.LimitMember, id uint64, tokens int64) {
	a.granted = append(a.granted, grant{to: to, id: id, tokens: float64(tokens), expires: now.Add(grantTTL)})
	a.inFlight += float64(tokens)
}

// spent frees the capacity kept by a grant after its host reported it as spent.
func (a *account) spent(now time.Time, by wire.LimitMember, id uint64) {
	a.refill(now)
	i := slices.IndexFunc(a.granted, func(g grant) bool { return g.to == by && g.id == id })
	if i < 0 {
		return
	}
	a.inFlight -= a.granted[i].tokens
	a.granted = slices.Delete(a.granted, i, i+1)
	if len(a.granted) == 0 {
		a.granted, a.inFlight = nil, 0
	}
}

// credit adds tokens that were returned at some time after since. A negative
// amount is a debt. If the tokens had arrived at once, they would have counted
// only up to the free capacity at that time; limiting them to the least free
// capacity since then avoids giving out refilled tokens twice.
func (a *account) credit(now, since time.Time, tokens float64) {
	a.refill(now)
	a.tokens += math.Min(tokens, a.slacks.least(since))
}

// configure applies a new rate. It does not add tokens: a larger burst is filled
// at the new rate.
func (a *account) configure(now time.Time, r *record.Rate) {
	a.refill(now)
	a.rate = r
	a.tokens = math.Min(a.tokens, a.room())
}
