package quarantine

import (
	"cmp"
	"slices"
	"time"
)

// Refusal states that a suspect is refused.
type Refusal struct {
	Key   Key
	Until time.Time
	// Ended are the upstream incarnations whose end the suspect explains, nil if another host has decided.
	Ended []Incarnation
}

// toldRefusal is a refusal that another host has decided.
type toldRefusal struct {
	// since is when this host learned of it.
	since, until time.Time
}

// Refused reports whether a suspect has to be refused, and for how much longer, by the entries of this ledger or by a
// decision of another host that they do not contradict.
func (l *Ledger) Refused(now time.Time, k Key) (time.Duration, bool) {
	l.judge(now)
	if v, ok := l.verdicts[k]; ok && !now.Before(v.from) && now.Before(v.until) {
		return v.until.Sub(now), true
	}
	if l.acquitted(k) {
		return 0, false
	}
	return l.ToldRefused(now, k)
}

// acquitted reports whether the ledger has evidence on a suspect and blames others for all of it.
func (l *Ledger) acquitted(k Key) bool {
	e, ok := l.entries[k]
	if _, blamed := l.verdicts[k]; blamed || !ok || len(e.Interrupted) == 0 {
		return false
	}
	return !slices.ContainsFunc(e.Interrupted, func(a InterruptedAttempt) bool { return !l.explained[a.Incarnation] })
}

// OnTrial reports whether the refusal of a part has ended without any sign that the part is sound.
func (l *Ledger) OnTrial(now time.Time, k Key) bool {
	l.judge(now)
	v, ok := l.verdicts[k]
	_, isPart := k.Part()
	return ok && isPart && !now.Before(v.until) && now.Before(v.until.Add(TrialPeriod))
}

// Refusals returns all present refusals, those that end last first.
func (l *Ledger) Refusals(now time.Time) []Refusal {
	l.judge(now)
	var out []Refusal
	for k, v := range l.verdicts {
		if !now.Before(v.from) && now.Before(v.until) {
			out = append(out, Refusal{Key: k, Until: v.until, Ended: v.ended})
		}
	}
	for k, told := range l.told {
		if _, own := l.verdicts[k]; !own && now.Before(told.until) && !l.acquitted(k) {
			out = append(out, Refusal{Key: k, Until: told.until})
		}
	}
	slices.SortFunc(out, func(x, y Refusal) int {
		return cmp.Or(y.Until.Compare(x.Until), slices.Compare(x.Key[:], y.Key[:]))
	})
	return out
}

// NextRefusal returns the earliest time after now at which a refusal begins, zero if there is none.
func (l *Ledger) NextRefusal(now time.Time) time.Time {
	l.judge(now)
	var next time.Time
	for _, v := range l.verdicts {
		if v.from.After(now) && (next.IsZero() || v.from.Before(next)) {
			next = v.from
		}
	}
	return next
}

// Empty reports whether no suspect is refused or on trial, so that requests need not be looked up.
func (l *Ledger) Empty(now time.Time) bool {
	l.judge(now)
	return len(l.verdicts) == 0 && len(l.told) == 0
}

// LearnRefusal records that another host refuses a suspect. It reports whether that is new.
func (l *Ledger) LearnRefusal(now time.Time, k Key, until time.Time) bool {
	for other, told := range l.told {
		if !now.Before(told.until) {
			delete(l.told, other)
		}
	}
	known, wasKnown := l.told[k]
	if !now.Before(until) || !wasKnown && len(l.told) >= maxTold {
		return false
	}
	if !wasKnown {
		known.since = now
	}
	known.until = until
	l.told[k] = known
	return !wasKnown
}

// LearnRelease records that another host no longer refuses a suspect, and reports whether it was refused.
func (l *Ledger) LearnRelease(k Key) bool {
	_, known := l.told[k]
	delete(l.told, k)
	return known
}

// ToldRefused reports whether another host refuses a suspect, and for how much longer.
func (l *Ledger) ToldRefused(now time.Time, k Key) (time.Duration, bool) {
	told, ok := l.told[k]
	if !ok || !now.Before(told.until) {
		return 0, false
	}
	return told.until.Sub(now), true
}

// ToldRefusals returns the present refusals that other hosts have decided.
func (l *Ledger) ToldRefusals(now time.Time) []Refusal {
	var out []Refusal
	for k, told := range l.told {
		if now.Before(told.until) {
			out = append(out, Refusal{Key: k, Until: told.until})
		}
	}
	return out
}

// expiresAt returns the time at which an entry is no longer needed.
func (l *Ledger) expiresAt(e *Entry) time.Time {
	_, isPart := e.Key.Part()
	switch v, blamed := l.verdicts[e.Key]; {
	case blamed && isPart:
		return v.until.Add(TrialPeriod)
	case blamed:
		return v.until
	case isPart && slices.ContainsFunc(e.Interrupted, func(a InterruptedAttempt) bool { return a.UpstreamEnded }):
		return e.ChangedAt().Add(partSuspicionPeriod)
	}
	return e.ChangedAt().Add(SuspicionPeriod)
}
