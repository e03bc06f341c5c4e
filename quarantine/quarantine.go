// Package quarantine finds requests that crash the upstreams that run them.
//
// A request that ran on an upstream when it crashed is a suspect: it may run
// once more through one host of the fleet, which runs one suspect at a time. A
// suspect whose upstream crashes again is quarantined: it is refused for a
// while. Where suspects of two hosts ran on that upstream, either can have been
// the cause, and each may run a third time. A suspect that ends without a crash
// is cleared. A Ledger holds the same for a fleet whose hosts tell one another what
// they have seen, and decides by the starts of upstreams on which attempts broke off.
// Both are pure state machines.
package quarantine

import (
	"time"
)

// Bounds of suspicion.
const (
	// SoleSuspectCrashes is how many crashes quarantine a request, where it was the
	// only suspect at the last one.
	SoleSuspectCrashes = 2
	// MaxCrashes is how many crashes quarantine a request in any case. It is
	// also the most upstreams that are lost to one request which is sent again
	// and again, one copy at a time.
	MaxCrashes = 3
	// DecisionDelay is how long the hosts take to learn of one another's suspects
	// at a crash: two load reports and a message.
	DecisionDelay = time.Second
	// SuspicionPeriod is how long a suspicion lasts without another crash.
	SuspicionPeriod = 2 * time.Minute
	// QuarantinePeriod is how long a request is refused.
	QuarantinePeriod = 10 * time.Minute
	// MaxEntries bounds the requests that are remembered.
	MaxEntries = 4096
)

// Key names a request by its organisation, its adapter or route and its body.
type Key [32]byte

// Verdict is what is held against a request.
type Verdict uint8

// The standings.
const (
	// Clear requests run as any other.
	Clear Verdict = iota
	// Suspect requests run once more, alone, through this host.
	Suspect
	// SuspectElsewhere requests are suspects that run once more through another host.
	SuspectElsewhere
	// Undecided requests wait for what other hosts know of their last crash.
	Undecided
	// Quarantined requests are refused.
	Quarantined
)

// Suspicion is what hosts tell one another of a request.
type Suspicion struct {
	Key Key
	// Crashes is how many upstreams have crashed under the request. 0 clears it.
	Crashes int
	// Holder is the host through which the request may run once more.
	Holder string
	// CrashID names the last crash, the same on every host.
	CrashID string
	// TTL is how long the suspicion lasts.
	TTL time.Duration
}

type entry struct {
	crashes int
	holder  string
	crash   string
	// decideAt is when the hosts have told one another of the last crash.
	decideAt time.Time
	until    time.Time
}

// Tracker holds one host's view of all suspicions. It must not be used by two
// goroutines at once.
type Tracker struct {
	host    string
	entries map[Key]entry
}

// NewTracker returns a tracker for the named host.
func NewTracker(host string) *Tracker {
	return &Tracker{host: host, entries: map[Key]entry{}}
}

// Verdict returns what is held against a request, and for how long.
func (t *Tracker) Verdict(now time.Time, k Key) (Verdict, time.Duration) {
	e, ok := t.current(now, k)
	left := e.until.Sub(now)
	switch {
	case !ok:
		return Clear, 0
	case e.crashes >= MaxCrashes:
		return Quarantined, left
	case e.crashes >= SoleSuspectCrashes && now.Before(e.decideAt):
		return Undecided, e.decideAt.Sub(now)
	case e.crashes >= SoleSuspectCrashes && !t.shared(now, k, e.crash):
		return Quarantined, left
	case e.holder != t.host:
		return SuspectElsewhere, left
	}
	return Suspect, left
}

// shared reports whether another suspect ran on the upstream at the crash.
func (t *Tracker) shared(now time.Time, k Key, crash string) bool {
	for other, e := range t.entries {
		if other != k && e.crash == crash && e.crashes >= SoleSuspectCrashes && now.Before(e.until) {
			return true
		}
	}
	return false
}

func (t *Tracker) current(now time.Time, k Key) (entry, bool) {
	e, ok := t.entries[k]
	if !ok || !now.Before(e.until) {
		return entry{}, false
	}
	return e, true
}

// RecordCrash takes the requests that ran on an upstream when it crashed. Where one
// of them was a suspect already, the crash is explained and the others are not
// blamed. It returns what the other hosts are to be told.
func (t *Tracker) RecordCrash(now time.Time, crash string, running []Key) []Suspicion {
	suspected := false
	for _, k := range running {
		_, known := t.current(now, k)
		suspected = suspected || known
	}
	var out []Suspicion
	for _, k := range running {
		e, known := t.current(now, k)
		if suspected && !known {
			continue
		}
		out = append(out, t.set(now, k, crash, e.crashes+1))
	}
	return out
}

func (t *Tracker) set(now time.Time, k Key, crash string, crashes int) Suspicion {
	s := Suspicion{Key: k, Crashes: crashes, Holder: t.host, CrashID: crash, TTL: SuspicionPeriod}
	if crashes >= SoleSuspectCrashes {
		s.TTL = QuarantinePeriod
	}
	t.keepSuspicion(now, s)
	return s
}

func (t *Tracker) keepSuspicion(now time.Time, s Suspicion) {
	t.keep(now, s.Key, entry{
		crashes: s.Crashes, holder: s.Holder, crash: s.CrashID,
		decideAt: now.Add(DecisionDelay), until: now.Add(min(s.TTL, QuarantinePeriod)),
	})
}

// ClearSuspect takes a suspect that has ended without a crash.
func (t *Tracker) ClearSuspect(now time.Time, k Key) []Suspicion {
	if standing, _ := t.Verdict(now, k); standing == Clear || standing == Quarantined {
		return nil
	}
	delete(t.entries, k)
	return []Suspicion{{Key: k, Holder: t.host}}
}

// Learn takes what another host tells. The graver view wins, and between two
// hosts that both saw the first crash, the one whose name comes first.
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
	t.keepSuspicion(now, s)
}

// keep remembers an entry. Where there is no room, those that have ended and
// then the one that ends first give way.
func (t *Tracker) keep(now time.Time, k Key, e entry) {
	t.entries[k] = e
	if len(t.entries) <= MaxEntries {
		return
	}
	first, found := k, false
	for other, o := range t.entries {
		if !now.Before(o.until) {
			delete(t.entries, other)
			continue
		}
		if !found || o.until.Before(t.entries[first].until) {
			first, found = other, true
		}
	}
	if len(t.entries) > MaxEntries {
		delete(t.entries, first)
	}
}

// Len returns how many requests are remembered.
func (t *Tracker) Len() int { return len(t.entries) }
