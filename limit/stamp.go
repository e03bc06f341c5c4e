package limit

import "time"

// driftDivisor is the divisor for clock drift: two clocks may drift apart by one
// part in driftDivisor of the elapsed time.
const driftDivisor = 100

// stamp is a reading of a leader's clock, as received by another host. From it,
// the host computes a lower bound of the leader's clock: the stamp plus the time
// since it was received by the host's own clock, less the possible drift.
type stamp struct {
	leaderMillis int64     // milliseconds since the leader's start
	receivedAt   time.Time // when the stamp was received
}

// minMillis returns the least that the leader's clock can show now, in
// milliseconds since the leader's start, or 0 if it is not known.
func (s stamp) minMillis(now time.Time) int64 {
	if s.receivedAt.IsZero() {
		return 0
	}
	since := now.Sub(s.receivedAt).Milliseconds()
	return s.leaderMillis + since - since/driftDivisor - 1
}

// currentStamp returns the stamp that this host sends to other hosts, in
// milliseconds since its start.
func (l *LeaderLimiter) currentStamp() int64 { return l.now.Sub(l.startedAt).Milliseconds() }

// stampTime converts one of this host's stamps to its time. A missing stamp (0)
// is the time of the first call, which is not later than any other time.
func (l *LeaderLimiter) stampTime(millis int64) time.Time {
	return l.startedAt.Add(time.Duration(millis) * time.Millisecond)
}
