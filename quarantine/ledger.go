package quarantine

import (
	"cmp"
	"encoding/binary"
	"hash/fnv"
	"slices"
	"time"
)

// Bounds of a Ledger.
const (
	// MaxInterruptions is how many starts of upstreams an attempt may have broken off on
	// before the request is quarantined though none was seen to end. Callers do not try
	// that often by themselves.
	MaxInterruptions = 4
	// ConfirmWindow is how long before or after the end of an upstream an attempt on it
	// broke off, for the end to be held against the request. It covers the time for which
	// the platform lists an upstream that has ended.
	ConfirmWindow = 10 * time.Second
	// RefusalPeriod is how long a request is refused after its last attempt broke off. A
	// caller that goes on for longer costs two upstreams each time.
	RefusalPeriod = time.Hour
	// maxEnds bounds the ends of upstreams that are remembered.
	maxEnds = 1024
)

// Incarnation names one start of an upstream, which may come again with its ID. It is the
// same on every host.
type Incarnation uint64

// IncarnationOf returns the name of an upstream's start. born tells starts of one ID apart.
func IncarnationOf(id string, born int64) Incarnation {
	h := fnv.New64a()
	_, _ = h.Write([]byte(id)) // writing to a hash never fails
	_, _ = h.Write(binary.LittleEndian.AppendUint64(nil, uint64(born)))
	return Incarnation(h.Sum64())
}

// InterruptedAttempt is an attempt that broke off on a start of an upstream.
type InterruptedAttempt struct {
	Incarnation Incarnation
	// UpstreamEnded says that the upstream was seen to end.
	UpstreamEnded bool
	At    time.Time
}

// Entry is what is held against one request.
type Entry struct {
	Key Key
	// Interrupted holds the starts on which attempts broke off, each once.
	Interrupted []InterruptedAttempt
	// ClearedAt is when the request was last answered with success, zero for never.
	// What is older is not held against it.
	ClearedAt time.Time
}

// ChangedAt returns when the entry changed last.
func (e *Entry) ChangedAt() time.Time {
	at := e.ClearedAt
	for _, b := range e.Interrupted {
		if b.At.After(at) {
			at = b.At
		}
	}
	return at
}

// ConfirmedCrashes returns on how many starts that were seen to end attempts broke off.
func (e *Entry) ConfirmedCrashes() int {
	n := 0
	for _, b := range e.Interrupted {
		if b.UpstreamEnded {
			n++
		}
	}
	return n
}

// Quarantined reports whether the request is to be refused.
func (e *Entry) Quarantined() bool {
	return e.ConfirmedCrashes() >= SoleSuspectCrashes || len(e.Interrupted) >= MaxInterruptions
}

// endsAt is until when the entry is kept.
func (e *Entry) endsAt() time.Time {
	if e.Quarantined() {
		return e.ChangedAt().Add(RefusalPeriod)
	}
	return e.ChangedAt().Add(SuspicionPeriod)
}

// Ledger counts, over all hosts, the upstreams that have ended under each request. The
// ledgers of hosts that tell one another all their entries agree, in whatever order
// and however often these come. It must not be used by two goroutines at once.
type Ledger struct {
	entries map[Key]*Entry
	// silent holds attempts that ended without an answer for another reason. They count
	// only once their upstream is seen to have ended.
	silent []silentEnd
	// ends holds when upstreams were seen to end.
	ends map[Incarnation]time.Time
}

// silentEnd is an attempt that was given up before its answer was whole.
type silentEnd struct {
	key   Key
	start Incarnation
	at    time.Time
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger { return &Ledger{entries: map[Key]*Entry{}, ends: map[Incarnation]time.Time{}} }

// RecordInterrupted takes that an attempt broke off and reports whether that was not known.
func (l *Ledger) RecordInterrupted(now time.Time, k Key, s Incarnation) bool {
	return l.add(now, k, InterruptedAttempt{Incarnation: s, UpstreamEnded: l.endedLately(now, s), At: now})
}

// RecordAbandoned takes that an attempt was given up before its answer was whole, and reports
// whether its upstream had ended.
func (l *Ledger) RecordAbandoned(now time.Time, k Key, s Incarnation) bool {
	if l.endedLately(now, s) {
		return l.add(now, k, InterruptedAttempt{Incarnation: s, UpstreamEnded: true, At: now})
	}
	l.forgetSilent(now)
	l.silent = append(l.silent, silentEnd{k, s, now})
	return false
}

// RecordUpstreamEnd takes that an upstream has ended, and returns the requests that this is held
// against and was not before.
func (l *Ledger) RecordUpstreamEnd(now time.Time, s Incarnation) []Key {
	l.noteEnd(now, s)
	var blamed []Key
	for k, e := range l.entries {
		for i := range e.Interrupted {
			if b := &e.Interrupted[i]; b.Incarnation == s && !b.UpstreamEnded && now.Sub(b.At) <= ConfirmWindow {
				b.UpstreamEnded = true
				blamed = append(blamed, k)
			}
		}
	}
	l.forgetSilent(now)
	for _, one := range l.silent {
		if one.start == s && l.add(now, one.key, InterruptedAttempt{Incarnation: s, UpstreamEnded: true, At: one.at}) {
			blamed = append(blamed, one.key)
		}
	}
	return blamed
}

// RecordSuccess takes that a request was answered with success: it crashes nothing. It
// reports whether anything was held against it.
func (l *Ledger) RecordSuccess(now time.Time, k Key) bool {
	e, ok := l.entries[k]
	if !ok || len(e.Interrupted) == 0 {
		return false
	}
	e.Interrupted, e.ClearedAt = nil, now
	return true
}

// Entry returns what is held against a request, and false for nothing.
func (l *Ledger) Entry(now time.Time, k Key) (Entry, bool) {
	e, ok := l.entries[k]
	if !ok || !now.Before(e.endsAt()) {
		return Entry{}, false
	}
	return *e, true
}

// Refused reports whether a request is to be refused, and for how long.
func (l *Ledger) Refused(now time.Time, k Key) (time.Duration, bool) {
	e, ok := l.Entry(now, k)
	if !ok || !e.Quarantined() {
		return 0, false
	}
	return e.endsAt().Sub(now), true
}

// Learn takes what another host holds against a request, and reports whether there was
// anything new.
func (l *Ledger) Learn(now time.Time, told Entry) bool {
	changed := l.clear(told.Key, told.ClearedAt)
	for _, b := range told.Interrupted {
		changed = l.merge(told.Key, b) || changed
	}
	l.bound(now)
	return changed
}

// Entries returns the entries that want says so of, the gravest first and of these the
// latest, at most so many.
func (l *Ledger) Entries(now time.Time, most int, want func(e *Entry) bool) []Entry {
	var out []Entry
	for _, e := range l.entries {
		if now.Before(e.endsAt()) && want(e) {
			out = append(out, *e)
		}
	}
	slices.SortFunc(out, func(x, y Entry) int {
		return cmp.Or(cmp.Compare(len(y.Interrupted), len(x.Interrupted)), y.ChangedAt().Compare(x.ChangedAt()), slices.Compare(x.Key[:], y.Key[:]))
	})
	return out[:min(len(out), most)]
}

// Count returns how many requests anything is held against, and how many of them are
// refused.
func (l *Ledger) Count(now time.Time) (suspected, refused int) {
	for _, e := range l.entries {
		if len(e.Interrupted) == 0 || !now.Before(e.endsAt()) {
			continue
		}
		suspected++
		if e.Quarantined() {
			refused++
		}
	}
	return suspected, refused
}

func (l *Ledger) add(now time.Time, k Key, b InterruptedAttempt) bool {
	changed := l.merge(k, b)
	l.bound(now)
	return changed
}

// clear forgets what is older than a success.
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
	e.Interrupted = slices.DeleteFunc(e.Interrupted, func(b InterruptedAttempt) bool { return !b.At.After(at) })
	return true
}

// merge notes one start and reports whether it, or that it has ended, was not known. A
// start beyond the bound tells nothing new of a request that is refused already.
func (l *Ledger) merge(k Key, b InterruptedAttempt) bool {
	e, ok := l.entries[k]
	switch {
	case !ok:
		e = &Entry{Key: k}
		l.entries[k] = e
	case !b.At.After(e.ClearedAt):
		return false
	}
	for i := range e.Interrupted {
		if known := &e.Interrupted[i]; known.Incarnation == b.Incarnation {
			changed := b.UpstreamEnded && !known.UpstreamEnded
			known.UpstreamEnded = known.UpstreamEnded || b.UpstreamEnded
			if b.At.After(known.At) {
				known.At = b.At
			}
			return changed
		}
	}
	if len(e.Interrupted) >= MaxInterruptions {
		return false
	}
	e.Interrupted = append(e.Interrupted, b)
	return true
}

// bound keeps the number of entries within bounds. Those that have run out go first,
// then those with the fewest starts, the oldest of them first.
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

func (l *Ledger) endedLately(now time.Time, s Incarnation) bool {
	at, ended := l.ends[s]
	return ended && now.Sub(at) <= ConfirmWindow
}

func (l *Ledger) noteEnd(now time.Time, s Incarnation) {
	for other, at := range l.ends {
		if now.Sub(at) > ConfirmWindow {
			delete(l.ends, other)
		}
	}
	if _, known := l.ends[s]; !known && len(l.ends) < maxEnds {
		l.ends[s] = now
	}
}

func (l *Ledger) forgetSilent(now time.Time) {
	n := 0
	for n < len(l.silent) && (now.Sub(l.silent[n].at) > ConfirmWindow || len(l.silent)-n >= MaxEntries) {
		n++
	}
	l.silent = slices.Delete(l.silent, 0, n)
}
