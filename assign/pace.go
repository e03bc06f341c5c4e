package assign

import "time"

// EventGaps is whether the events of a stream came as its route wants them to.
type EventGaps uint8

// The kinds of pauses.
const (
	// EventGapsUnknown is for what is no stream, or states no longest pause.
	EventGapsUnknown EventGaps = iota
	// EventGapsWithinLimit streams had no longer pause than their route allows.
	EventGapsWithinLimit
	// EventGapsOverLimit streams had one.
	EventGapsOverLimit
)

// Bounds of how long an engine reads prompts without a rest, as parts of the
// longest pause between events that its routes allow.
const (
	firstStretch = 0.85
	leastStretch = 0.5
	mostStretch  = 5
	// stretchGrow is added for each stream without a long pause, stretchShrink is
	// what a long one multiplies with, at most once in stretchEvery: one stretch
	// delays all streams of its engine.
	stretchGrow   = 0.002
	stretchShrink = 0.8
	stretchEvery  = time.Second
	// restTime is how long an engine that reads nothing takes to make an event of
	// each of its streams, at the most.
	restTime = 40 * time.Millisecond
)

// stretch bounds the prompts that an engine is given to read one after another. It
// makes a token of each stream between two chunks of a prompt, so that an event of
// several tokens takes as many chunks while prompts are read, and is late where they
// go on for too long. How many tokens an event holds and how long a chunk is differ
// between deployments; the bound follows what streams have seen.
type stretch struct {
	// given is the reading that was given since the engine last rested.
	given time.Duration
	// idleSince is when the engine last had nothing left to read.
	idleSince time.Time
	// limit bounds given, 0 before a stream had a long pause.
	limit    time.Duration
	shrunkAt time.Time
}

// mayRead reports whether an engine may be given another prompt now. One that has
// rested may always be.
func (u *upstream) mayRead(now time.Time, reading time.Duration) bool {
	if u.stretch.limit == 0 || u.streams == 0 || u.rested(now) {
		return true
	}
	return u.stretch.given+reading <= u.stretch.limit
}

// rested reports whether the engine's streams have each had an event since it last
// read a prompt.
func (u *upstream) rested(now time.Time) bool {
	return u.unstarted == 0 && now.Sub(u.stretch.idleSince) >= restTime
}

// noteReading notes that an engine was given a prompt to read.
func (u *upstream) noteReading(now time.Time, reading time.Duration) {
	if u.rested(now) {
		u.stretch.given = 0
	}
	u.stretch.given += reading
}

// notePauses takes how the events of a stream came.
func (u *upstream) notePauses(now time.Time, p EventGaps) {
	s := &u.stretch
	switch {
	case p == EventGapsUnknown || u.longestPause <= 0 || (p == EventGapsWithinLimit && s.limit == 0):
	case p == EventGapsWithinLimit:
		s.limit = min(s.limit+partOf(u.longestPause, stretchGrow), partOf(u.longestPause, mostStretch))
	case s.limit == 0:
		s.limit, s.shrunkAt = partOf(u.longestPause, firstStretch), now
	case now.Sub(s.shrunkAt) >= stretchEvery:
		s.limit, s.shrunkAt = max(partOf(s.limit, stretchShrink), partOf(u.longestPause, leastStretch)), now
	}
}

func partOf(d time.Duration, part float64) time.Duration { return time.Duration(part * float64(d)) }
