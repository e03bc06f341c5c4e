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

// freeFraction is the fraction of the time that a request can wait up to which its turn is early enough to admit it for
// that alone. A queue that is kept shorter may run empty, so that its organisation loses turns.
const freeFraction = 0.3

// endangersOthers reports whether an entry would put another one of the same organisation and rank past its last useful
// moment: one that has to be served after it, or a late one, since entries that are on time go first. An admitted
// request is served, so the entry is not admitted then.
func (l *line) endangersOthers(now time.Time, entry *waitingEntry, wait time.Duration) bool {
	interval, margin := l.interval(entry)
	adapters := l.ranks[entry.CurrentRank()].accounts[entry.Organisation].adapters
	if adapters[adapterKey(&entry.Value.request)].losesLater(now, entry, interval, margin) {
		return true
	}
	if now.After(entry.Target) || float64(wait) <= freeFraction*float64(entry.LastUseful.Sub(now)) {
		return false
	}
	for _, held := range adapters {
		if held.losesLate(now, interval, margin) {
			return true
		}
	}
	return false
}

// losesLater reports whether an entry that is due after the given one is put past its last useful moment by it.
func (h *adapterAccount) losesLater(now time.Time, entry *waitingEntry, interval, margin time.Duration) bool {
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
		if without := interval * time.Duration(before+i); without <= left && without+interval+margin > left {
			return true
		}
	}
	return false
}

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
