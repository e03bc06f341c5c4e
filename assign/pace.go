package assign

import "time"

// Pauses is whether the events of a stream came as its route wants them to.
type Pauses uint8

// The kinds of pauses.
const (
	// PausesUnknown is for what is no stream, or states no longest pause.
	PausesUnknown Pauses = iota
	// PausesShort streams had no longer pause than their route allows.
	PausesShort
	// PausesLong streams had one.
	PausesLong
)

// Bounds of how long an engine reads prompts without a rest, as parts of the
// longest pause between events that its routes allow.
const (
	initialBurstFraction = 0.85
	minBurstFraction     = 0.5
	maxBurstFraction     = 5
	// burstIncrease is added for each stream without a long pause, burstDecrease is
	// what a long one multiplies with, at most once in burstDecreaseInterval: one stretch
	// delays all streams of its engine.
	burstIncrease         = 0.002
	burstDecrease         = 0.8
	burstDecreaseInterval = time.Second
	// decodeWindow is how long an engine that reads nothing takes to make an event of
	// each of its streams, at the most.
	decodeWindow = 40 * time.Millisecond
)

// prefillBurst bounds the prompts that an engine is given to read one after another. It
// makes a token of each stream between two chunks of a prompt, so that an event of
// several tokens takes as many chunks while prompts are read, and is late where they
// go on for too long. How many tokens an event holds and how long a chunk is differ
// between deployments; the bound follows what streams have seen.
type prefillBurst struct {
	// given is the reading that was given since the engine last rested.
	assigned time.Duration
	// idleSince is when the engine last had nothing left to read.
	idleSince time.Time
	// limit bounds given, 0 before a stream had a long pause.
	limit       time.Duration
	decreasedAt time.Time
}

// mayRead reports whether an engine may be given another prompt now. One that has
// rested may always be.
func (u *upstream) mayPrefill(now time.Time, reading time.Duration) bool {
	if u.burst.limit == 0 || u.streams == 0 || u.hadDecodeWindow(now) {
		return true
	}
	return u.burst.assigned+reading <= u.burst.limit
}

// rested reports whether the engine's streams have each had an event since it last
// read a prompt.
func (u *upstream) hadDecodeWindow(now time.Time) bool {
	return u.pendingPrefillTokens == 0 && now.Sub(u.burst.idleSince) >= decodeWindow
}

// noteReading notes that an engine was given a prompt to read.
func (u *upstream) recordPrefill(now time.Time, reading time.Duration) {
	if u.hadDecodeWindow(now) {
		u.burst.assigned = 0
	}
	u.burst.assigned += reading
}

// notePauses takes how the events of a stream came.
func (u *upstream) recordEventGaps(now time.Time, p Pauses) {
	s := &u.burst
	switch {
	case p == PausesUnknown || u.maxEventGap <= 0 || (p == PausesShort && s.limit == 0):
	case p == PausesShort:
		s.limit = min(s.limit+fractionOf(u.maxEventGap, burstIncrease), fractionOf(u.maxEventGap, maxBurstFraction))
	case s.limit == 0:
		s.limit, s.decreasedAt = fractionOf(u.maxEventGap, initialBurstFraction), now
	case now.Sub(s.decreasedAt) >= burstDecreaseInterval:
		s.limit, s.decreasedAt = max(fractionOf(s.limit, burstDecrease), fractionOf(u.maxEventGap, minBurstFraction)), now
	}
}

func fractionOf(d time.Duration, part float64) time.Duration { return time.Duration(part * float64(d)) }
