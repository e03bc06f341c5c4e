package limit

import (
	"math"
	"slices"
	"time"

	"github.com/jasminelock/jasminelock/record"
	"github.com/jasminelock/jasminelock/wire"
)

// account is one organisation's token bucket on its lead. Tokens and grants
// under way together never exceed the burst: a grant may be spent until its
// asker stops waiting, so its room must not be refilled before.
type account struct {
	rate   *record.Rate
	tokens float64
	at     time.Time
	// granted are the grants to other hosts that may not have been spent yet,
	// oldest first.
	granted []grant
	// inFlight is the sum of granted.
	inFlight float64
	// slacks are the least distances to the room, for late returns.
	slacks slackLog
	// creating is true while the table service is asked whether the
	// organisation's first burst is still to be given out.
	creating bool
}

// grant is an amount that another host may spend until it expires, or says that
// it has.
type grant struct {
	to      wire.LimitMember
	id      uint64
	tokens  float64
	expires time.Time
}

func newAccount(now time.Time, r *record.Rate) *account {
	return &account{rate: r, at: now, slacks: slackLog{since: now}}
}

// room is the most that the bucket may hold now.
func (a *account) room() float64 {
	return math.Max(0, float64(a.rate.BurstTokens)-a.inFlight)
}

// refill lets time pass. What a grant under way keeps is not refilled before it
// expires.
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

// fill adds what the rate gives until a time, up to the room.
func (a *account) fill(until time.Time) {
	if elapsed := until.Sub(a.at).Seconds(); elapsed > 0 {
		a.tokens += elapsed * a.rate.TokensPerSecond
		a.at = until
	}
	a.tokens = math.Min(a.tokens, a.room())
}

// take takes tokens, or says how long it is until they are there.
func (a *account) take(now time.Time, tokens int64) (ok bool, retryAfter time.Duration) {
	a.refill(now)
	need := float64(tokens)
	if need <= a.tokens {
		a.tokens -= need
		return true, 0
	}
	return false, a.wait(now, need)
}

// wait is how long it takes to hold need. The bucket refills at full speed only
// up to its room, so what lies above waits for the last grant to expire.
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

// lend records that tokens just taken are on their way to another host.
func (a *account) lend(now time.Time, to wire.LimitMember, id uint64, tokens int64) {
	a.granted = append(a.granted, grant{to: to, id: id, tokens: float64(tokens), expires: now.Add(grantTTL)})
	a.inFlight += float64(tokens)
}

// spent frees the room of a grant that its host has spent.
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

// credit adds tokens given back at some time since then. A negative amount is a
// debt. Had they come at once, they would have counted only up to the room that
// there was, so what has since been refilled is not given out twice.
func (a *account) credit(now, since time.Time, tokens float64) {
	a.refill(now)
	a.tokens += math.Min(tokens, a.slacks.least(since))
}

// configure takes a new rate. It raises no level: a larger burst is filled at
// the new rate.
func (a *account) configure(now time.Time, r *record.Rate) {
	a.refill(now)
	a.rate = r
	a.tokens = math.Min(a.tokens, a.room())
}
