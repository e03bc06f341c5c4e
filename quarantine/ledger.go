package quarantine

import (
	"cmp"
	"encoding/binary"
	"hash/fnv"
	"slices"
	"time"
)

// Limits and periods of a Ledger.
const (
	// BrokenStarts is the number of upstream incarnations on which attempts of a request
	// were interrupted that quarantines the request even if none of these upstreams was
	// seen to end. Callers do not retry that often by themselves.
	BrokenStarts = 4
	// ConfirmWithin is the longest time between the interruption of an attempt and the
	// end of its upstream, in either order, for which the end is attributed to the
	// request. It covers the time for which the platform still lists an upstream that
	// has ended.
	ConfirmWithin = 10 * time.Second
	// RefuseFor is how long a request is refused after its last attempt was interrupted.
	// A caller that keeps retrying beyond it costs two upstreams per period.
	RefuseFor = time.Hour
	// maxEnds limits the number of upstream ends that a Ledger remembers.
	maxEnds = 1024
)

// Start identifies one incarnation of an upstream: an upstream may restart under the same
// ID. The value is the same on every host.
type Start uint64

// StartOf returns the identifier of an upstream's incarnation. born is the start time that
// distinguishes incarnations with the same ID.
func StartOf(id string, born int64) Start {
	h := fnv.New64a()
	_, _ = h.Write([]byte(id)) // writing to a hash never fails
	_, _ = h.Write(binary.LittleEndian.AppendUint64(nil, uint64(born)))
	return Start(h.Sum64())
}

// Broken is an attempt that was interrupted on one incarnation of an upstream.
type Broken struct {
	Start Start
	// Ended is true if the upstream was seen to end.
	Ended bool
	At    time.Time
}

// Entry is the crash record of one request.
type Entry struct {
	Key Key
	// Broken holds the interrupted attempts, one for each incarnation.
	Broken []Broken
	// ClearedAt is when the request last succeeded, zero for never. Interruptions up to
	// then do not count.
	ClearedAt time.Time
}

// At returns the time of the last change of the entry.
func (e *Entry) At() time.Time {
	at := e.ClearedAt
	for _, b := range e.Broken {
		if b.At.After(at) {
			at = b.At
		}
	}
	return at
}

// Ended returns the number of interrupted attempts whose upstream was seen to end.
func (e *Entry) Ended() int {
	n := 0
	for _, b := range e.Broken {
		if b.Ended {
			n++
		}
	}
	return n
}

// Quarantined reports whether the request has to be refused.
func (e *Entry) Quarantined() bool {
	return e.Ended() >= SureCrashes || len(e.Broken) >= BrokenStarts
}

// endsAt returns the expiry time of the entry.
func (e *Entry) endsAt() time.Time {
	if e.Quarantined() {
		return e.At().Add(RefuseFor)
	}
	return e.At().Add(SuspectFor)
}

// Ledger counts, over all hosts, the upstreams that ended while they ran each request.
// Ledgers of hosts that exchange all their entries converge, in whatever order and however
// often the entries arrive. A Ledger is not safe for concurrent use.
type Ledger struct {
	entries map[Key]*Entry
	// silent holds abandoned attempts. They count only once their upstream is seen to
	// have ended.
	silent []silentEnd
	// ends holds the times at which incarnations were seen to end.
	ends map[Start]time.Time
}

// silentEnd is an attempt that was abandoned before its answer was complete.
type silentEnd struct {
	key   Key
	start Start
	at    time.Time
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger { return &Ledger{entries: map[Key]*Entry{}, ends: map[Start]time.Time{}} }

// BrokeOff records an interrupted attempt and reports whether it was new.
func (l *Ledger) BrokeOff(now time.Time, k Key, s Start) bool {
	return l.add(now, k, Broken{Start: s, Ended: l.endedLately(now, s), At: now})
}

// GaveUp records an attempt that was abandoned before its answer was complete. It reports
// whether this added to the entry of the request, since the upstream had ended.
func (l *Ledger) GaveUp(now time.Time, k Key, s Start) bool {
	if l.endedLately(now, s) {
		return l.add(now, k, Broken{Start: s, Ended: true, At: now})
	}
	l.forgetSilent(now)
	l.silent = append(l.silent, silentEnd{k, s, now})
	return false
}

// Ended records the end of an upstream's incarnation and returns the requests to which it
// is newly attributed.
func (l *Ledger) Ended(now time.Time, s Start) []Key {
	l.noteEnd(now, s)
	var blamed []Key
	for k, e := range l.entries {
		for i := range e.Broken {
			if b := &e.Broken[i]; b.Start == s && !b.Ended && now.Sub(b.At) <= ConfirmWithin {
				b.Ended = true
				blamed = append(blamed, k)
			}
		}
	}
	l.forgetSilent(now)
	for _, one := range l.silent {
		if one.start == s && l.add(now, one.key, Broken{Start: s, Ended: true, At: one.at}) {
			blamed = append(blamed, one.key)
		}
	}
	return blamed
}

// Completed records that a request succeeded, which clears it of any suspicion. It reports
// whether the request had interrupted attempts on record.
func (l *Ledger) Completed(now time.Time, k Key) bool {
	e, ok := l.entries[k]
	if !ok || len(e.Broken) == 0 {
		return false
	}
	e.Broken, e.ClearedAt = nil, now
	return true
}

// Entry returns the entry of a request, and false if there is none or it has expired.
func (l *Ledger) Entry(now time.Time, k Key) (Entry, bool) {
	e, ok := l.entries[k]
	if !ok || !now.Before(e.endsAt()) {
		return Entry{}, false
	}
	return *e, true
}

// Refused reports whether a request has to be refused, and for how much longer.
func (l *Ledger) Refused(now time.Time, k Key) (time.Duration, bool) {
	e, ok := l.Entry(now, k)
	if !ok || !e.Quarantined() {
		return 0, false
	}
	return e.endsAt().Sub(now), true
}

// Learn merges the entry that another host reported and reports whether it held anything
// new.
func (l *Ledger) Learn(now time.Time, told Entry) bool {
	changed := l.clear(told.Key, told.ClearedAt)
	for _, b := range told.Broken {
		changed = l.merge(told.Key, b) || changed
	}
	l.bound(now)
	return changed
}

// Entries returns at most the given number of unexpired entries that satisfy the
// predicate, ordered by the number of interrupted attempts and then by the time of the last
// change, both descending.
func (l *Ledger) Entries(now time.Time, most int, want func(e *Entry) bool) []Entry {
	var out []Entry
	for _, e := range l.entries {
		if now.Before(e.endsAt()) && want(e) {
			out = append(out, *e)
		}
	}
	slices.SortFunc(out, func(x, y Entry) int {
		return cmp.Or(cmp.Compare(len(y.Broken), len(x.Broken)), y.At().Compare(x.At()), slices.Compare(x.Key[:], y.Key[:]))
	})
	return out[:min(len(out), most)]
}

// Count returns the number of requests with interrupted attempts, and how many of these
// requests are refused.
func (l *Ledger) Count(now time.Time) (suspected, refused int) {
	for _, e := range l.entries {
		if len(e.Broken) == 0 || !now.Before(e.endsAt()) {
			continue
		}
		suspected++
		if e.Quarantined() {
			refused++
		}
	}
	return suspected, refused
}

func (l *Ledger) add(now time.Time, k Key, b Broken) bool {
	changed := l.merge(k, b)
	l.bound(now)
	return changed
}

// clear drops the interrupted attempts up to a success and reports whether the success was new.
func (l *Ledger) clear(k Key, at time.Time) bool {
	e, ok := l.entries[k]
	if at.IsZero() || (ok && !at.After(e.ClearedAt)) {
		return false
	}
	if !ok {
		e = &Entry{Key: k}
		l.entries[k] = e
	}
	e.ClearedAt = at
	e.Broken = slices.DeleteFunc(e.Broken, func(b Broken) bool { return !b.At.After(at) })
	return true
}

// merge records one interrupted attempt and reports whether the attempt, or the end of its
// upstream, was new. An attempt beyond the limit is dropped: the request is refused already.
func (l *Ledger) merge(k Key, b Broken) bool {
	e, ok := l.entries[k]
	switch {
	case !ok:
		e = &Entry{Key: k}
		l.entries[k] = e
	case !b.At.After(e.ClearedAt):
		return false
	}
	for i := range e.Broken {
		if known := &e.Broken[i]; known.Start == b.Start {
			changed := b.Ended && !known.Ended
			known.Ended = known.Ended || b.Ended
			if b.At.After(known.At) {
				known.At = b.At
			}
			return changed
		}
	}
	if len(e.Broken) >= BrokenStarts {
		return false
	}
	e.Broken = append(e.Broken, b)
	return true
}

// bound keeps the number of entries within MaxEntries. It evicts the expired entries first,
// then those with the fewest interrupted attempts, the oldest of these first.
func (l *Ledger) bound(now time.Time) {
	if len(l.entries) <= MaxEntries {
		return
	}
	for k, e := range l.entries {
		if !now.Before(e.endsAt()) {
			delete(l.entries, k)
		}
	}
	const kept = MaxEntries * 3 / 4
	if len(l.entries) <= kept {
		return
	}
	for _, e := range l.Entries(now, len(l.entries), func(*Entry) bool { return true })[kept:] {
		delete(l.entries, e.Key)
	}
}

func (l *Ledger) endedLately(now time.Time, s Start) bool {
	at, ended := l.ends[s]
	return ended && now.Sub(at) <= ConfirmWithin
}

func (l *Ledger) noteEnd(now time.Time, s Start) {
	for other, at := range l.ends {
		if now.Sub(at) > ConfirmWithin {
			delete(l.ends, other)
		}
	}
	if _, known := l.ends[s]; !known && len(l.ends) < maxEnds {
		l.ends[s] = now
	}
}

func (l *Ledger) forgetSilent(now time.Time) {
	n := 0
	for n < len(l.silent) && (now.Sub(l.silent[n].at) > ConfirmWithin || len(l.silent)-n >= MaxEntries) {
		n++
	}
	l.silent = slices.Delete(l.silent, 0, n)
}
