package assign

import (
	"slices"
	"time"
)

// dueBefore reports whether an entry must be served before another one of the same organisation and rank, if both are
// to be served in time. The order in which they are served is another one, since fresh requests go before late ones
// that can wait; but a late request goes first when its last useful moment is close.
func dueBefore(x, y *waitingEntry) bool {
	if !x.LastUseful.Equal(y.LastUseful) {
		return x.LastUseful.Before(y.LastUseful)
	}
	return x.Sequence() < y.Sequence()
}

// endangersOthers reports whether an entry would put another one of the same organisation, rank and adapter, which has to
// be served after it, past its last useful moment. An admitted request is served, so the entry is not admitted then.
func (l *line) endangersOthers(now time.Time, entry *waitingEntry) bool {
	interval, margin := l.interval(entry)
	rank := l.ranks[entry.CurrentRank()]
	held := rank.accounts[entry.Organisation].adapters[adapterKey(&entry.Value.request)]
	return held.losesLater(now, entry, margin, func(ahead int) time.Duration { return min(interval*time.Duration(ahead), rank.drain) })
}

// losesLater reports whether an entry that is due after the given one is put past its last useful moment by it, given the
// time until the turn of an entry that has others ahead of it.
func (h *adapterAccount) losesLater(now time.Time, entry *waitingEntry, margin time.Duration, turn func(ahead int) time.Duration) bool {
	var later []*waitingEntry
	before := 0
	for other := range h.entries {
		switch {
		case other == entry:
		case dueBefore(other, entry):
			before++
		default:
			later = append(later, other)
		}
	}
	slices.SortFunc(later, func(x, y *waitingEntry) int { return x.LastUseful.Compare(y.LastUseful) })
	for i, other := range later {
		left := other.LastUseful.Sub(now)
		if turn(before+i) <= left && turn(before+i+1)+margin > left {
			return true
		}
	}
	return false
}

// overloadRatio is the ratio of an organisation's demand to its share from which the organisation is overloaded. Callers
// that return after a refusal raise the demand, so the ratio is well above 1.
const overloadRatio = 1.5

// endangersLate reports whether an entry that can still meet its target would put a late one of the same organisation and
// rank past its last useful moment, if entries that are on time go first, and the organisation sends far more than its
// share. Without such a limit, all requests of an overloaded organisation are served as late as they may be; with it, as
// many are served, most of them in time. An organisation that sends little more than its share is not limited, since all
// of its requests may be served.
func (l *line) endangersLate(now time.Time, entry *waitingEntry, wait time.Duration) bool {
	if now.After(entry.Target) || float64(wait) <= freeFraction*float64(entry.LastUseful.Sub(now)) {
		return false
	}
	r := l.ranks[entry.CurrentRank()]
	acct := r.accounts[entry.Organisation]
	if r.interval <= 0 || acct.arrivals.rate(now) < overloadRatio*entry.Work.Seconds()/r.interval.Seconds() {
		return false
	}
	interval, margin := l.interval(entry)
	for _, held := range acct.adapters {
		if held.losesLate(now, interval, margin) {
			return true
		}
	}
	return false
}

// freeFraction is the fraction of the time that a request can wait up to which its turn is early enough to admit it for
// that alone. A queue that is kept shorter may run empty, so that its organisation loses turns.
const freeFraction = 0.3

// losesLate reports whether a late entry will not be served in time if all entries that are on time go before it.
func (h *adapterAccount) losesLate(now time.Time, interval, margin time.Duration) bool {
	var late []*waitingEntry
	for entry := range h.entries {
		if now.After(entry.Target) {
			late = append(late, entry)
		}
	}
	slices.SortFunc(late, func(x, y *waitingEntry) int { return x.LastUseful.Compare(y.LastUseful) })
	onTime := len(h.entries) - len(late)
	for i, entry := range late {
		left := entry.LastUseful.Sub(now)
		if turn := interval * time.Duration(i+onTime); turn+margin > left && left > interval {
			return true
		}
	}
	return false
}
