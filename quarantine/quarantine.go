// Package quarantine detects requests that crash the upstreams that run them.
//
// A Tracker works by suspicion. A request that was running on an upstream when the
// upstream crashed is a suspect: it may run once more, through one host of the fleet,
// which runs one suspect at a time. A suspect whose upstream crashes again is
// quarantined: it is refused for QuarantinePeriod. If suspects of two hosts were running on
// that upstream, either may have caused the crash, and each may run a third time. A
// suspect that ends without a crash is cleared.
//
// A Ledger serves a fleet whose hosts exchange their observations. It decides by the
// number of upstream incarnations on which attempts of a request were interrupted.
//
// Both are pure state machines.
package quarantine

import (
	"time"
)

// Limits and periods of suspicion.
const (
	// SoleSuspectCrashes is the number of crashes that quarantines a request if it was the
	// only suspect at the last one.
	SoleSuspectCrashes = 2
	// MaxCrashes is the number of crashes that quarantines a request in any case. It
	// is also the largest number of upstreams lost to one request that is retried
	// endlessly, one copy at a time.
	MaxCrashes = 3
	// DecisionDelay is the time that hosts need to learn of each other's suspects at a
	// crash: two load reports and a message.
	DecisionDelay = time.Second
	// SuspicionPeriod is how long a suspicion lasts if no further crash occurs.
	SuspicionPeriod = 2 * time.Minute
	// QuarantinePeriod is how long a Tracker refuses a quarantined request.
	QuarantinePeriod = 10 * time.Minute
	// MaxEntries limits the number of requests that a Tracker or a Ledger remembers.
	MaxEntries = 4096
)

// Key identifies a request by its organisation, its adapter or route and its body.
type Key [32]byte

// Verdict is the verdict on a request.
type Verdict uint8

// The verdicts.
const (
	// Clear requests run without restriction.
	Clear Verdict = iota
	// Suspect requests may run once more through this host, as its only running suspect.
	Suspect
	// SuspectElsewhere requests are suspects that may run once more through another host.
	SuspectElsewhere
	// Undecided requests wait until the other hosts have reported their suspects at the last crash.
	Undecided
	// Quarantined requests are refused.
	Quarantined
)

// Suspicion is the message about a request that hosts exchange.
type Suspicion struct {
	Key Key
	// Crashes is the number of upstreams that crashed while they ran the request. 0 clears it.
	Crashes int
	// Holder is the name of the host through which the request may run once more.
	Holder string
	// CrashID identifies the last crash. It is the same on every host.
	CrashID string
	// TTL is how long the suspicion lasts from its receipt.
	TTL time.Duration
}

// trackerEntry is the suspicion of one request as a Tracker keeps it.
type trackerEntry struct {
	crashes int
	holder  string
	crashID string
	// decideAt is when all hosts have exchanged their suspects at the last crash.
	decideAt  time.Time
	expiresAt time.Time
}

// Tracker holds one host's view of all suspicions. It is not safe for concurrent use.
type Tracker struct {
	host    string
	entries map[Key]trackerEntry
}

// NewTracker returns a tracker for the named host.
func NewTracker(host string) *Tracker {
	return &Tracker{host: host, entries: map[Key]trackerEntry{}}
}

// Verdict returns the verdict on a request and how much longer it holds, 0 for Clear.
func (t *Tracker) Verdict(now time.Time, k Key) (Verdict, time.Duration) {
	e, ok := t.current(now, k)
	remaining := e.expiresAt.Sub(now)
	switch {
	case !ok:
		return Clear, 0
	case e.crashes >= MaxCrashes:
		return Quarantined, remaining
	case e.crashes >= SoleSuspectCrashes && now.Before(e.decideAt):
		return Undecided, e.decideAt.Sub(now)
	case e.crashes >= SoleSuspectCrashes && !t.sharedCrash(now, k, e.crashID):
		return Quarantined, remaining
	case e.holder != t.host:
		return SuspectElsewhere, remaining
	}
	return Suspect, remaining
}

// sharedCrash reports whether another suspect was running on the upstream at the crash.
func (t *Tracker) sharedCrash(now time.Time, k Key, crashID string) bool {
	for other, e := range t.entries {
		if other != k && e.crashID == crashID && e.crashes >= SoleSuspectCrashes && now.Before(e.expiresAt) {
			return true
		}
	}
	return false
}

func (t *Tracker) current(now time.Time, k Key) (trackerEntry, bool) {
	e, ok := t.entries[k]
	if !ok || !now.Before(e.expiresAt) {
		return trackerEntry{}, false
	}
	return e, true
}

// RecordCrash records a crash of an upstream and the requests that were running on it. If some
// of them were suspects already, only these are blamed for the crash. It returns the
// suspicions to be sent to the other hosts.
func (t *Tracker) RecordCrash(now time.Time, crashID string, running []Key) []Suspicion {
	anySuspect := false
	for _, k := range running {
		_, known := t.current(now, k)
		anySuspect = anySuspect || known
	}
	var out []Suspicion
	for _, k := range running {
		e, known := t.current(now, k)
		if anySuspect && !known {
			continue
		}
		out = append(out, t.blame(now, k, crashID, e.crashes+1))
	}
	return out
}

func (t *Tracker) blame(now time.Time, k Key, crashID string, crashes int) Suspicion {
	s := Suspicion{Key: k, Crashes: crashes, Holder: t.host, CrashID: crashID, TTL: SuspicionPeriod}
	if crashes >= SoleSuspectCrashes {
		s.TTL = QuarantinePeriod
	}
	t.storeSuspicion(now, s)
	return s
}

func (t *Tracker) storeSuspicion(now time.Time, s Suspicion) {
	t.store(now, s.Key, trackerEntry{
		crashes: s.Crashes, holder: s.Holder, crashID: s.CrashID,
		decideAt: now.Add(DecisionDelay), expiresAt: now.Add(min(s.TTL, QuarantinePeriod)),
	})
}

// ClearSuspect clears a suspect that has ended without a crash. It returns the suspicions to be
// sent to the other hosts.
func (t *Tracker) ClearSuspect(now time.Time, k Key) []Suspicion {
	if standing, _ := t.Verdict(now, k); standing == Clear || standing == Quarantined {
		return nil
	}
	delete(t.entries, k)
	return []Suspicion{{Key: k, Holder: t.host}}
}

// Learn merges a suspicion that another host reported. The one with more crashes wins; with
// equal counts, the one whose holder comes first by name, so that hosts that saw the same
// crash agree on one holder.
func (t *Tracker) Learn(now time.Time, s Suspicion) {
	e, known := t.current(now, s.Key)
	if s.Crashes <= 0 {
		if known && e.holder == s.Holder {
			delete(t.entries, s.Key)
		}
		return
	}
	if known && (e.crashes > s.Crashes || e.crashes == s.Crashes && e.holder <= s.Holder) {
		return
	}
	t.storeSuspicion(now, s)
}

// store keeps an entry. Above MaxEntries it evicts the expired entries and, if that is not
// enough, the one that expires first.
func (t *Tracker) store(now time.Time, k Key, e trackerEntry) {
	t.entries[k] = e
	if len(t.entries) <= MaxEntries {
		return
	}
	earliest, found := k, false
	for other, otherEntry := range t.entries {
		if !now.Before(otherEntry.expiresAt) {
			delete(t.entries, other)
			continue
		}
		if !found || otherEntry.expiresAt.Before(t.entries[earliest].expiresAt) {
			earliest, found = other, true
		}
	}
	if len(t.entries) > MaxEntries {
		delete(t.entries, earliest)
	}
}

// Len returns the number of requests that are remembered.
func (t *Tracker) Len() int { return len(t.entries) }
