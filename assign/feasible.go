package assign

import "time"

// endangersOthers reports whether an entry would put another one of the same organisation, rank and adapter, which has to
// be served after it, past its last useful moment. An admitted request is served, so the entry is not admitted then.
func (l *line) endangersOthers(now time.Time, entry *waitingEntry) bool {
	interval, margin := l.interval(entry)
	rank := l.ranks[entry.CurrentRank()]
	held := rank.accounts[entry.Organisation].adapters[adapterKey(&entry.Value.request)]
	return held.losesLater(now, entry, turnTimes{interval: interval, margin: margin, drain: rank.drain})
}

// turnTimes are the times of an adapter's turns.
type turnTimes struct {
	// interval is the expected time between two turns, margin the time by which a turn may come later.
	interval, margin time.Duration
	// drain is the time in which all that waits can be done.
	drain time.Duration
}

// turn returns the time until the turn of an entry that has others ahead of it.
func (t turnTimes) turn(ahead int) time.Duration {
	return min(t.interval*time.Duration(ahead), t.drain)
}

// losesLater reports whether an entry that is due after the given one is put past its last useful moment by it.
func (h *adapterAccount) losesLater(now time.Time, entry *waitingEntry, t turnTimes) bool {
	entries := &h.entries
	// The given entry is at this index. It does not count among those ahead of the later ones.
	index := h.before(entry).items
	if index+1 >= entries.len() {
		return false
	}
	entries.setInterval(t.interval)
	since := entries.dueSince(now)
	for index++; index < entries.len(); {
		left := entries.at(index).LastUseful.Sub(now)
		switch {
		case t.turn(index-1) > left:
			// It is lost already. The next one that is not has its turn in time, or all that waits can be done in its time.
			drained := now.Add(t.drain)
			all := entries.before(func(e *waitingEntry) bool { return !e.LastUseful.Before(drained) }).items
			index = min(entries.firstFrom(index+1, since-t.interval), max(all, index+1))
		case t.turn(index)+t.margin > left:
			return true
		case t.drain+t.margin <= left:
			return false
		default:
			// Turns come later by at most the interval for each entry, so the next one with less time is not lost already.
			index = entries.firstBelow(index+1, since+t.margin)
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
	acct.expire(now)
	for held := range acct.withLate {
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
	late := &h.late
	next := now.Add(interval)
	from := late.before(func(e *waitingEntry) bool { return e.LastUseful.After(next) }).items
	if from == late.len() {
		return false
	}
	late.setInterval(interval)
	onTime := time.Duration(h.entries.len() - late.len())
	return late.firstBelow(from, late.dueSince(now)+interval*onTime+margin) < late.len()
}
