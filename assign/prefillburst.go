package assign

import "time"

// EventGaps states whether the gaps between the events of a stream stayed within the limit of its route.
type EventGaps uint8

// The kinds of event gaps.
const (
	// EventGapsUnknown is used if the answer is not a stream, or if its route has no limit.
	EventGapsUnknown EventGaps = iota
	// EventGapsWithinLimit means that all gaps were within the limit of the route.
	EventGapsWithinLimit
	// EventGapsOverLimit means that a gap exceeded the limit of the route.
	EventGapsOverLimit
)

// Bounds on the time that an engine spends on prefill without a decode window, as fractions of the maximum event
// gap of its routes.
const (
	initialBurstFraction = 0.85
	minBurstFraction     = 0.5
	maxBurstFraction     = 5
	// burstIncrease is added to the limit, as a fraction of the maximum event gap, for each stream without a long
	// gap. burstDecrease is the factor applied after a long gap, at most once per burstDecreaseInterval, because
	// one burst delays all streams of its engine.
	burstIncrease         = 0.002
	burstDecrease         = 0.8
	burstDecreaseInterval = time.Second
	// decodeWindow is the maximum time that an engine without prefill work takes to produce an event for each of
	// its streams.
	decodeWindow = 40 * time.Millisecond
)

// prefillBurst limits the prompts that an engine is assigned back to back. Between two chunks of a prompt the
// engine generates one token per stream, so an event of several tokens takes as many chunks during prefill, and is
// late if prefill continues for too long. The number of tokens per event and the duration of a chunk differ
// between deployments, so the limit follows the gaps observed in streams.
type prefillBurst struct {
	// assigned is the prefill time assigned since the last decode window.
	assigned time.Duration
	// idleSince is the time at which the prefill of a request last ended.
	idleSince time.Time
	// limit is the bound on assigned, 0 until a stream has had a long gap.
	limit       time.Duration
	decreasedAt time.Time
}

// mayPrefill reports whether an engine may be assigned another prompt now. After a decode window it always may.
func (u *upstream) mayPrefill(now time.Time, prefill time.Duration) bool {
	if u.burst.limit == 0 || u.streams == 0 || u.hadDecodeWindow(now) {
		return true
	}
	return u.burst.assigned+prefill <= u.burst.limit
}

// hadDecodeWindow reports whether each of the engine's streams has had time for an event since the last prefill.
func (u *upstream) hadDecodeWindow(now time.Time) bool {
	return u.pendingPrefillTokens == 0 && now.Sub(u.burst.idleSince) >= u.decodeWindow(now)
}

// decodeWindow returns decodeWindow at the pace of the engine, if it is known.
func (u *upstream) decodeWindow(now time.Time) time.Duration {
	if u.byWork() {
		return fractionOf(decodeWindow, u.pace.current(now))
	}
	return decodeWindow
}

// recordPrefill records that an engine was assigned a prompt with the given prefill time.
func (u *upstream) recordPrefill(now time.Time, prefill time.Duration) {
	if u.hadDecodeWindow(now) {
		u.burst.assigned = 0
	}
	u.burst.assigned += prefill
}

// recordEventGaps adapts the limit to the event gaps of a finished stream.
func (u *upstream) recordEventGaps(now time.Time, gaps EventGaps) {
	s := &u.burst
	switch {
	case gaps == EventGapsUnknown || u.maxEventGap <= 0 || (gaps == EventGapsWithinLimit && s.limit == 0):
	case gaps == EventGapsWithinLimit:
		s.limit = min(s.limit+fractionOf(u.maxEventGap, burstIncrease), fractionOf(u.maxEventGap, maxBurstFraction))
	case s.limit == 0:
		s.limit, s.decreasedAt = fractionOf(u.maxEventGap, initialBurstFraction), now
	case now.Sub(s.decreasedAt) >= burstDecreaseInterval:
		s.limit, s.decreasedAt = max(fractionOf(s.limit, burstDecrease), fractionOf(u.maxEventGap, minBurstFraction)), now
	}
}

func fractionOf(d time.Duration, part float64) time.Duration { return time.Duration(part * float64(d)) }
