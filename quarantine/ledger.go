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
	// endRetention is how long the end of an upstream is remembered, to recognise one that was only cut off.
	endRetention = 3 * ConfirmWindow
	// timeTolerance is by how much the times of one event differ between reports, which state ages.
	timeTolerance = 100 * time.Millisecond
	// maxKeptAttempts is the number of interrupted attempts that are kept for a suspect, the latest ones. More than
	// suffice to blame it are kept since they explain the ends of upstreams that ran other requests too.
	maxKeptAttempts = 32
	// partEvidencePeriod is how long the interrupted attempts of a part count.
	partEvidencePeriod = 24 * time.Hour
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

// InterruptedAttempt summarises the attempts that were interrupted on one incarnation of an upstream.
type InterruptedAttempt struct {
	Incarnation Incarnation
	// UpstreamEnded is true if the upstream was seen to end.
	UpstreamEnded bool
	At            time.Time
	// Ran is the longest time for which one of the attempts had run.
	Ran time.Duration
	// Request identifies one of the requests, 0 if it is unknown.
	Request uint64
}

// Subject is what an attempt is counted under: its request, or a part of its prompt.
type Subject struct {
	Key Key
	// Name is the ID of a part, for logs. Depth is the number of parts before it.
	Name  string
	Depth int
}

// Attempt describes an attempt at a request as evidence.
type Attempt struct {
	Incarnation Incarnation
	// Ran is the time from the assignment of the upstream to the end of the attempt.
	Ran time.Duration
	// Request identifies the request among those with the same parts, 0 if it is unknown.
	Request uint64
}

// Entry is the crash record of one suspect.
type Entry struct {
	Subject
	// Interrupted holds the interrupted attempts, one for each incarnation.
	Interrupted []InterruptedAttempt
	// ClearedAt is when an attempt last succeeded, zero for never. Interruptions up to
	// then do not count.
	ClearedAt time.Time
	// RefusedUntil is the end of the refusal as decided by the host that reports the entry, zero if that host does
	// not refuse the suspect. Released is set if that host has refused it and does so no more.
	RefusedUntil time.Time
	Released     bool
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

// Ledger holds the evidence of all hosts on which requests, and which parts of prompts, end the upstreams that run
// them, and decides which of these suspects are refused. Ledgers of hosts that exchange all their entries converge,
// in whatever order and however often the entries arrive. A Ledger is not safe for concurrent use.
type Ledger struct {
	entries map[Key]*Entry
	// byPart holds the keys of the entries of each part.
	byPart map[Part][]Key
	// abandoned holds abandoned attempts. They count only once their upstream is seen to
	// have ended.
	abandoned []abandonedAttempt
	// endTimes holds the times at which incarnations were seen to end, returned the incarnations that were listed
	// again after that.
	endTimes map[Incarnation]time.Time
	returned map[Incarnation]time.Time
	// successes holds the latest successes of parts.
	successes successTable
	// told holds the refusals that another host has decided.
	told map[Key]toldRefusal
	// verdicts are the decisions on the present entries. They are out of date if stale is set.
	verdicts map[Key]decision
	stale    bool
	// judgedAt is when the verdicts were last brought up to date.
	judgedAt time.Time
	// explained holds the incarnations whose end the verdicts explain.
	explained map[Incarnation]bool
	// pardoned holds the incarnations whose end an operator has decided not to count.
	pardoned map[Incarnation]bool
}

// abandonedAttempt is an attempt that was abandoned before its answer was complete.
type abandonedAttempt struct {
	subject Subject
	attempt Attempt
	at      time.Time
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{
		entries: map[Key]*Entry{}, byPart: map[Part][]Key{}, endTimes: map[Incarnation]time.Time{},
		returned: map[Incarnation]time.Time{}, pardoned: map[Incarnation]bool{}, told: map[Key]toldRefusal{}, verdicts: map[Key]decision{},
	}
}

// RecordInterrupted records an interrupted attempt at a request and reports whether it was new.
func (l *Ledger) RecordInterrupted(now time.Time, k Key, incarnation Incarnation) bool {
	return l.RecordInterruption(now, Subject{Key: k}, Attempt{Incarnation: incarnation})
}

// RecordInterruption records an interrupted attempt under one of its subjects and reports whether it was new.
func (l *Ledger) RecordInterruption(now time.Time, s Subject, a Attempt) bool {
	return l.recordAttempt(now, s, a, now, l.endedRecently(now, a.Incarnation))
}

// RecordAbandoned records an attempt that was abandoned before its answer was complete. It reports
// whether this added to the entry of the request, since the upstream had ended.
func (l *Ledger) RecordAbandoned(now time.Time, k Key, incarnation Incarnation) bool {
	return l.RecordAbandonment(now, Subject{Key: k}, Attempt{Incarnation: incarnation})
}

// RecordAbandonment is RecordAbandoned for any suspect.
func (l *Ledger) RecordAbandonment(now time.Time, s Subject, a Attempt) bool {
	if l.endedRecently(now, a.Incarnation) {
		return l.recordAttempt(now, s, a, now, true)
	}
	l.evictAbandoned(now)
	l.abandoned = append(l.abandoned, abandonedAttempt{s, a, now})
	return false
}

// RecordUpstreamEnd records the end of an upstream's incarnation and returns the suspects to which it
// is newly attributed.
func (l *Ledger) RecordUpstreamEnd(now time.Time, incarnation Incarnation) []Key {
	l.recordEnd(now, incarnation)
	delete(l.returned, incarnation)
	var blamed []Key
	for k, e := range l.entries {
		for i := range e.Interrupted {
			if b := &e.Interrupted[i]; b.Incarnation == incarnation && !b.UpstreamEnded && now.Sub(b.At) <= ConfirmWindow {
				b.UpstreamEnded, l.stale = true, true
				blamed = append(blamed, k)
			}
		}
	}
	l.evictAbandoned(now)
	for _, abandoned := range l.abandoned {
		if abandoned.attempt.Incarnation == incarnation && l.recordAttempt(now, abandoned.subject, abandoned.attempt, abandoned.at, true) {
			blamed = append(blamed, abandoned.subject.Key)
		}
	}
	return blamed
}

// RecordUpstreamReturn records that an incarnation which was seen to end is listed again: it had been cut off. The
// attempts that were interrupted there until now count against nothing. It returns their suspects.
func (l *Ledger) RecordUpstreamReturn(now time.Time, incarnation Incarnation) []Key {
	dropBefore(l.returned, now.Add(-partEvidencePeriod))
	if len(l.returned) < maxEndTimes {
		l.returned[incarnation] = now
	}
	delete(l.endTimes, incarnation)
	var relieved []Key
	for k, e := range l.entries {
		before := len(e.Interrupted)
		e.Interrupted = slices.DeleteFunc(e.Interrupted, func(a InterruptedAttempt) bool { return a.Incarnation == incarnation })
		if len(e.Interrupted) < before {
			l.stale = true
			relieved = append(relieved, k)
		}
	}
	return relieved
}

// RecordSuccess records that a request succeeded, which clears it of any suspicion. It reports
// whether the request had interrupted attempts on record.
func (l *Ledger) RecordSuccess(now time.Time, k Key) bool {
	e, ok := l.entries[k]
	if !ok || len(e.Interrupted) == 0 {
		return false
	}
	return l.clearUntil(e.Subject, now)
}

// RecordPartSuccess records that an attempt with a part was answered whole, which clears the part for every
// organisation. It returns the keys that had interrupted attempts on record.
func (l *Ledger) RecordPartSuccess(now time.Time, p Part) []Key {
	if !now.After(l.successes.get(p)) {
		return nil
	}
	l.successes.put(p, now)
	for k, told := range l.told {
		if part, isPart := k.Part(); isPart && part == p && now.After(told.since) {
			delete(l.told, k)
		}
	}
	var cleared []Key
	for _, k := range l.byPart[p] {
		if l.RecordSuccess(now, k) {
			cleared = append(cleared, k)
		}
	}
	return cleared
}

// PartSucceededAt returns the time of the last success of a part that is known here, zero if there is none.
func (l *Ledger) PartSucceededAt(p Part) time.Time { return l.successes.get(p) }

// Ended reports whether an incarnation was seen to end in the last endRetention.
func (l *Ledger) Ended(incarnation Incarnation) bool {
	_, ended := l.endTimes[incarnation]
	return ended
}

// Lift withdraws all evidence against a suspect up to now. The ends that it explained do not count against others.
func (l *Ledger) Lift(now time.Time, k Key) {
	l.judge(now)
	if len(l.pardoned) >= maxEndTimes {
		clear(l.pardoned)
	}
	for _, incarnation := range l.verdicts[k].ended {
		l.pardoned[incarnation] = true
	}
	l.clearUntil(Subject{Key: k}, now)
	if part, ok := k.Part(); ok {
		l.RecordPartSuccess(now, part)
	}
}

// Entry returns the entry of a suspect, and false if there is none or it has expired.
func (l *Ledger) Entry(now time.Time, k Key) (Entry, bool) {
	l.judge(now)
	e, ok := l.entries[k]
	if !ok || !now.Before(l.expiresAt(e)) {
		return Entry{}, false
	}
	return e.clone(), true
}

func (e *Entry) clone() Entry {
	out := *e
	out.Interrupted = slices.Clone(e.Interrupted)
	return out
}

// Entries returns at most limit of the unexpired entries for which include returns true. The refused ones come first,
// then parts; both are ordered by the number of interrupted attempts and then by the time of the last change, both
// descending.
func (l *Ledger) Entries(now time.Time, limit int, include func(e *Entry) bool) []Entry {
	l.judge(now)
	var all []*Entry
	for _, e := range l.entries {
		if now.Before(l.expiresAt(e)) && include(e) {
			all = append(all, e)
		}
	}
	rank := func(e *Entry) int {
		_, isPart := e.Key.Part()
		switch _, refused := l.verdicts[e.Key]; {
		case refused:
			return 0
		case isPart && len(e.Interrupted) > 0:
			return 1
		}
		return 2
	}
	slices.SortFunc(all, func(x, y *Entry) int {
		return cmp.Or(cmp.Compare(rank(x), rank(y)), cmp.Compare(len(y.Interrupted), len(x.Interrupted)),
			y.ChangedAt().Compare(x.ChangedAt()), slices.Compare(x.Key[:], y.Key[:]))
	})
	var out []Entry
	for _, e := range all[:min(len(all), limit)] {
		out = append(out, e.clone())
	}
	return out
}

// CountSuspects returns the number of suspects with interrupted attempts.
func (l *Ledger) CountSuspects(now time.Time) int {
	l.judge(now)
	n := 0
	for _, e := range l.entries {
		if len(e.Interrupted) > 0 && now.Before(l.expiresAt(e)) {
			n++
		}
	}
	return n
}

func (l *Ledger) recordAttempt(now time.Time, s Subject, a Attempt, at time.Time, ended bool) bool {
	changed := l.mergeAttempt(s, InterruptedAttempt{Incarnation: a.Incarnation, UpstreamEnded: ended, At: at, Ran: a.Ran, Request: a.Request})
	l.evictExcess(now)
	return changed
}

func (l *Ledger) addEntry(s Subject) *Entry {
	e := &Entry{Subject: s}
	l.entries[s.Key] = e
	if part, ok := s.Key.Part(); ok {
		l.byPart[part] = append(l.byPart[part], s.Key)
	}
	return e
}

func (l *Ledger) deleteEntry(k Key) {
	delete(l.entries, k)
	l.stale = true
	if part, ok := k.Part(); ok {
		l.byPart[part] = slices.DeleteFunc(l.byPart[part], func(other Key) bool { return other == k })
		if len(l.byPart[part]) == 0 {
			delete(l.byPart, part)
		}
	}
}

// evictExcess keeps the number of entries within MaxEntries. It evicts the expired entries first,
// then those with the fewest interrupted attempts, the oldest of these first. Refused ones are evicted last.
func (l *Ledger) evictExcess(now time.Time) {
	if len(l.entries) <= MaxEntries {
		return
	}
	for k, e := range l.entries {
		if !now.Before(l.expiresAt(e)) {
			l.deleteEntry(k)
		}
	}
	const retained = MaxEntries * 3 / 4
	if len(l.entries) <= retained {
		return
	}
	for _, e := range l.Entries(now, len(l.entries), func(*Entry) bool { return true })[retained:] {
		l.deleteEntry(e.Key)
	}
}

func (l *Ledger) endedRecently(now time.Time, incarnation Incarnation) bool {
	at, ended := l.endTimes[incarnation]
	return ended && now.Sub(at) <= ConfirmWindow
}

func (l *Ledger) recordEnd(now time.Time, incarnation Incarnation) {
	dropBefore(l.endTimes, now.Add(-endRetention))
	if _, known := l.endTimes[incarnation]; !known && len(l.endTimes) < maxEndTimes {
		l.endTimes[incarnation] = now
	}
}

// dropBefore removes the entries with a time before the given one.
func dropBefore(times map[Incarnation]time.Time, before time.Time) {
	for incarnation, at := range times {
		if at.Before(before) {
			delete(times, incarnation)
		}
	}
}

func (l *Ledger) evictAbandoned(now time.Time) {
	n := 0
	for n < len(l.abandoned) && (now.Sub(l.abandoned[n].at) > ConfirmWindow || len(l.abandoned)-n >= MaxEntries) {
		n++
	}
	l.abandoned = slices.Delete(l.abandoned, 0, n)
}
