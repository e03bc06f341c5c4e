package limit

import "time"

// driftPart is the divisor for clock drift: two clocks may drift apart by one
// part in driftPart of the elapsed time.
const driftPart = 100

// stamp is a reading of a leader's clock, as received by another host. From it,
// the host computes a lower bound of the leader's clock: the stamp plus the time
// since it was received by the host's own clock, less the possible drift.
type stamp struct {
	lead int64     // milliseconds since the leader's start
	at   time.Time // when the stamp was received
}

// millis returns the least that the leader's clock can show now, in milliseconds
// since the leader's start, or 0 if it is not known.
func (s stamp) millis(now time.Time) int64 {
	if s.at.IsZero() {
		return 0
	}
	since := now.Sub(s.at).Milliseconds()
	return s.lead + since - since/driftPart - 1
}

// ownStamp returns the stamp that this host sends to other hosts, in milliseconds
// since its start.
func (l *Lead) ownStamp() int64 { return l.now.Sub(l.started).Milliseconds() }

// stamped converts one of this host's stamps to its time. A missing stamp (0) is
// the time of the first call, which is not later than any other time.
func (l *Lead) stamped(millis int64) time.Time {
	return l.started.Add(time.Duration(millis) * time.Millisecond)
}
