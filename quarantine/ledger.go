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
	// MaxInterruptions is the number of upstream incarnations on which attempts of a request
	// were interrupted that quarantines the request even if none of these upstreams was
	// seen to end. Callers do not retry that often by themselves.
	MaxInterruptions = 4
	// ConfirmWindow is the longest time between the interruption of an attempt and the
	// end of its upstream, in either order, for which the end is attributed to the
	// request. It covers the time for which the platform still lists an upstream that
	// has ended.
	ConfirmWindow = 10 * time.Second
	// RefusalPeriod is how long a request is refused after its last attempt was interrupted.
	// A caller that keeps retrying beyond it costs two upstreams per period.
	RefusalPeriod = time.Hour
	// maxEndTimes limits the number of upstream ends that a Ledger remembers.
	maxEndTimes = 1024
)

// Incarnation identifies one incarnation of an upstream: an upstream may restart under the same
// ID. The value is the same on every host.
type Incarnation uint64

// IncarnationOf returns the identifier of an upstream's incarnation. startedAt is the start time that
// distinguishes incarnations with the same ID.
func IncarnationOf(id string, startedAt int64) Incarnation {
	h := fnv.New64a()
	_, _ = h.Write([]byte(id)) // writing to a hash never fails
	_, _ = h.Write(binary.LittleEndian.AppendUint64(nil, uint64(startedAt)))
	return Incarnation(h.Sum64())
}

// InterruptedAttempt is an attempt that was interrupted on one incarnation of an upstream.
type InterruptedAttempt struct {
	Incarnation Incarnation
	// UpstreamEnded is true if the upstream was seen to end.
	UpstreamEnded bool
	At            time.Time
}

// Entry is the crash record of one request.
type Entry struct {
	Key Key
	// Interrupted holds the interrupted attempts, one for each incarnation.
	Interrupted []InterruptedAttempt
	// ClearedAt is when the request last succeeded, zero for never. Interruptions up to
	// then do not count.
	ClearedAt time.Time
}

// ChangedAt returns the time of the last change of the entry.
func (e *Entry) ChangedAt() time.Time {
	at := e.ClearedAt
	for _, b := range e.Interrupted {
		if b.At.After(at) {
			at = b.At
		}
	}
	return at
}

// ConfirmedCrashes returns the number of interrupted attempts whose upstream was seen to end.
func (e *Entry) ConfirmedCrashes() int {
	n := 0
	for _, b := range e.Interrupted {
		if b.UpstreamEnded {
			n++
		}
	}
	return n
}

// Quarantined reports whether the request has to be refused.
func (e *Entry) Quarantined() bool {
	return e.ConfirmedCrashes() >= SoleSuspectCrashes || len(e.Interrupted) >= MaxInterruptions
}

// expiresAt returns the expiry time of the entry.
func (e *Entry) expiresAt() time.Time {
	if e.Quarantined() {
		return e.ChangedAt().Add(RefusalPeriod)
	}
	return e.ChangedAt().Add(SuspicionPeriod)
}

// Ledger counts, over all hosts, the upstreams that ended while they ran each request.
// Ledgers of hosts that exchange all their entries converge, in whatever order and however
// often the entries arrive. A Ledger is not safe for concurrent use.
type Ledger struct {
	entries map[Key]*Entry
	// abandoned holds abandoned attempts. They count only once their upstream is seen to
	// have ended.
	abandoned []abandonedAttempt
	// endTimes holds the times at which incarnations were seen to end.
	endTimes map[Incarnation]time.Time
}

// abandonedAttempt is an attempt that was abandoned before its answer was complete.
type abandonedAttempt struct {
	key         Key
	incarnation Incarnation
	at          time.Time
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{entries: map[Key]*Entry{}, endTimes: map[Incarnation]time.Time{}}
}

// RecordInterrupted records an interrupted attempt and reports whether it was new.
func (l *Ledger) RecordInterrupted(now time.Time, k Key, incarnation Incarnation) bool {
	return l.recordAttempt(now, k, InterruptedAttempt{Incarnation: incarnation, UpstreamEnded: l.endedRecently(now, incarnation), At: now})
}

// RecordAbandoned records an attempt that was abandoned before its answer was complete. It reports
// whether this added to the entry of the request, since the upstream had ended.
func (l *Ledger) RecordAbandoned(now time.Time, k Key, incarnation Incarnation) bool {
	if l.endedRecently(now, incarnation) {
		return l.recordAttempt(now, k, InterruptedAttempt{Incarnation: incarnation, UpstreamEnded: true, At: now})
	}
	l.evictAbandoned(now)
	l.abandoned = append(l.abandoned, abandonedAttempt{k, incarnation, now})
	return false
}

// RecordUpstreamEnd records the end of an upstream's incarnation and returns the requests to which it
// is newly attributed.
func (l *Ledger) RecordUpstreamEnd(now time.Time, incarnation Incarnation) []Key {
	l.recordEnd(now, incarnation)
	var blamed []Key
	for k, e := range l.entries {
		for i := range e.Interrupted {
			if b := &e.Interrupted[i]; b.Incarnation == incarnation && !b.UpstreamEnded && now.Sub(b.At) <= ConfirmWindow {
				b.UpstreamEnded = true
				blamed = append(blamed, k)
			}
		}
	}
	l.evictAbandoned(now)
	for _, attempt := range l.abandoned {
		if attempt.incarnation == incarnation &&
			l.recordAttempt(now, attempt.key, InterruptedAttempt{Incarnation: incarnation, UpstreamEnded: true, At: attempt.at}) {
			blamed = append(blamed, attempt.key)
		}
	}
	return blamed
}

// RecordSuccess records that a request succeeded, which clears it of any suspicion. It reports
// whether the request had interrupted attempts on record.
func (l *Ledger) RecordSuccess(now time.Time, k Key) bool {
	e, ok := l.entries[k]
	if !ok || len(e.Interrupted) == 0 {
		return false
	}
	e.Interrupted, e.ClearedAt = nil, now
	return true
}

// Entry returns the entry of a request, and false if there is none or it has expired.
func (l *Ledger) Entry(now time.Time, k Key) (Entry, bool) {
	e, ok := l.entries[k]
	if !ok || !now.Before(e.expiresAt()) {
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
	return e.expiresAt().Sub(now), true
}

// Learn merges the entry that another host reported and reports whether it held anything
// new.
func (l *Ledger) Learn(now time.Time, reported Entry) bool {
	changed := l.clearUntil(reported.Key, reported.ClearedAt)
	for _, b := range reported.Interrupted {
		changed = l.mergeAttempt(reported.Key, b) || changed
	}
	l.evictExcess(now)
	return changed
}

// Entries returns at most limit of the unexpired entries for which include returns true, ordered
// by the number of interrupted attempts and then by the time of the last change, both
// descending.
func (l *Ledger) Entries(now time.Time, limit int, include func(e *Entry) bool) []Entry {
	var out []Entry
	for _, e := range l.entries {
		if now.Before(e.expiresAt()) && include(e) {
			out = append(out, *e)
		}
	}
	slices.SortFunc(out, func(x, y Entry) int {
		return cmp.Or(cmp.Compare(len(y.Interrupted), len(x.Interrupted)), y.ChangedAt().Compare(x.ChangedAt()), slices.Compare(x.Key[:], y.Key[:]))
	})
	return out[:min(len(out), limit)]
}

// Count returns the number of requests with interrupted attempts, and how many of these
// requests are refused.
func (l *Ledger) Count(now time.Time) (suspected, refused int) {
	for _, e := range l.entries {
		if len(e.Interrupted) == 0 || !now.Before(e.expiresAt()) {
			continue
		}
		suspected++
		if e.Quarantined() {
			refused++
		}
	}
	return suspected, refused
}

func (l *Ledger) recordAttempt(now time.Time, k Key, b InterruptedAttempt) bool {
	changed := l.mergeAttempt(k, b)
	l.evictExcess(now)
	return changed
}

// clearUntil drops the interrupted attempts up to a success and reports whether the success was new.
func (l *Ledger) clearUntil(k Key, at time.Time) bool {
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

// mergeAttempt records one interrupted attempt and reports whether the attempt, or the end of its
// upstream, was new. An attempt beyond the limit is dropped: the request is refused already.
func (l *Ledger) mergeAttempt(k Key, b InterruptedAttempt) bool {
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

// evictExcess keeps the number of entries within MaxEntries. It evicts the expired entries first,
// then those with the fewest interrupted attempts, the oldest of these first.
func (l *Ledger) evictExcess(now time.Time) {
	if len(l.entries) <= MaxEntries {
		return
	}
	for k, e := range l.entries {
		if !now.Before(e.expiresAt()) {
			delete(l.entries, k)
		}
	}
	const retained = MaxEntries * 3 / 4
	if len(l.entries) <= retained {
		return
	}
	for _, e := range l.Entries(now, len(l.entries), func(*Entry) bool { return true })[retained:] {
		delete(l.entries, e.Key)
	}
}

func (l *Ledger) endedRecently(now time.Time, incarnation Incarnation) bool {
	at, ended := l.endTimes[incarnation]
	return ended && now.Sub(at) <= ConfirmWindow
}

func (l *Ledger) recordEnd(now time.Time, incarnation Incarnation) {
	for other, at := range l.endTimes {
		if now.Sub(at) > ConfirmWindow {
			delete(l.endTimes, other)
		}
	}
	if _, known := l.endTimes[incarnation]; !known && len(l.endTimes) < maxEndTimes {
		l.endTimes[incarnation] = now
	}
}

func (l *Ledger) evictAbandoned(now time.Time) {
	n := 0
	for n < len(l.abandoned) && (now.Sub(l.abandoned[n].at) > ConfirmWindow || len(l.abandoned)-n >= MaxEntries) {
		n++
	}
	l.abandoned = slices.Delete(l.abandoned, 0, n)
}
