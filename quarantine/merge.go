package quarantine

import (
	"cmp"
	"slices"
	"time"
)

// Learn merges the entry that another host reported and reports whether it held anything
// new.
func (l *Ledger) Learn(now time.Time, reported Entry) bool {
	changed := l.learnCleared(&reported)
	for _, b := range reported.Interrupted {
		changed = l.mergeAttempt(reported.Subject, b) || changed
	}
	l.evictExcess(now)
	return changed
}

// learnCleared merges the success that another host reports and reports whether it was new. A success that differs
// from a known one by less than timeTolerance, with no interrupted attempt between them, is the same.
func (l *Ledger) learnCleared(reported *Entry) bool {
	e, ok := l.entries[reported.Key]
	if ok && reported.ClearedAt.Sub(e.ClearedAt) <= timeTolerance &&
		!slices.ContainsFunc(e.Interrupted, func(a InterruptedAttempt) bool { return !a.At.After(reported.ClearedAt) }) {
		return false
	}
	return l.clearUntil(reported.Subject, reported.ClearedAt)
}

// clearUntil drops the interrupted attempts up to a success and reports whether the success was new.
func (l *Ledger) clearUntil(s Subject, at time.Time) bool {
	e, ok := l.entries[s.Key]
	if at.IsZero() || (ok && !at.After(e.ClearedAt)) {
		return false
	}
	if !ok {
		e = l.addEntry(s)
	}
	e.ClearedAt, l.stale = at, true
	e.Interrupted = slices.DeleteFunc(e.Interrupted, func(b InterruptedAttempt) bool { return !b.At.After(at) })
	if told, ok := l.told[s.Key]; ok && at.After(told.since) {
		delete(l.told, s.Key)
	}
	return true
}

// mergeAttempt records one interrupted attempt and reports whether the attempt, or the end of its
// upstream, was new. The latest maxKeptAttempts are kept.
func (l *Ledger) mergeAttempt(s Subject, b InterruptedAttempt) bool {
	part, isPart := s.Key.Part()
	if back, ok := l.returned[b.Incarnation]; ok && !b.At.After(back) {
		return false
	}
	if at, ended := l.endTimes[b.Incarnation]; ended && at.Sub(b.At).Abs() <= ConfirmWindow {
		b.UpstreamEnded = true // the report of the attempt comes later than the end
	}
	e, ok := l.entries[s.Key]
	switch {
	case ok && !b.At.After(e.ClearedAt), isPart && !b.At.After(l.successes.get(part)):
		return false
	case !ok:
		e = l.addEntry(s)
	}
	e.Depth, e.Name = max(e.Depth, s.Depth), max(e.Name, s.Name)
	for i := range e.Interrupted {
		if known := &e.Interrupted[i]; known.Incarnation == b.Incarnation {
			changed := b.UpstreamEnded && !known.UpstreamEnded
			known.merge(b)
			l.stale = l.stale || changed // other suspects may have run there
			l.evidenceChanged(e)
			return changed
		}
	}
	if len(e.Interrupted) >= maxKeptAttempts {
		oldest := slices.MinFunc(e.Interrupted, compareAttempts)
		if compareAttempts(oldest, b) >= 0 {
			return false
		}
		e.Interrupted = slices.DeleteFunc(e.Interrupted, func(known InterruptedAttempt) bool { return known == oldest })
	}
	e.Interrupted = append(e.Interrupted, b)
	l.evidenceChanged(e)
	return true
}

// evidenceChanged marks the verdicts as out of date if the evidence on a suspect can change them. A suspect with one
// interrupted attempt is not blamed, except for a part that several organisations use.
func (l *Ledger) evidenceChanged(e *Entry) {
	part, isPart := e.Key.Part()
	if len(e.Interrupted) >= SoleSuspectCrashes || e.Interrupted[0].UpstreamEnded || isPart && len(l.byPart[part]) > 1 {
		l.stale = true
	}
}

// merge adds what another report says of the same incarnation.
func (a *InterruptedAttempt) merge(b InterruptedAttempt) {
	a.UpstreamEnded = a.UpstreamEnded || b.UpstreamEnded
	a.Ran = max(a.Ran, b.Ran)
	if b.Request != 0 && (a.Request == 0 || b.Request < a.Request) {
		a.Request = b.Request
	}
	if b.At.Sub(a.At) > timeTolerance {
		a.At = b.At
	}
}

// compareAttempts orders attempts by time.
func compareAttempts(x, y InterruptedAttempt) int {
	return cmp.Or(x.At.Compare(y.At), cmp.Compare(x.Incarnation, y.Incarnation))
}
