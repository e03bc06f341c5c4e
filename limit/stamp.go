package limit

import "time"

// driftPart is the part of an elapsed time that two clocks may run apart by.
const driftPart = 100

// stamp is a lead's clock as another host knows it. It lets that host say when
// something happened: not earlier than the stamp and the time since it came, by
// the host's own clock and less what clocks may run apart.
type stamp struct {
	lead int64 // milliseconds since the lead's start
	at   time.Time
}

// millis is the earliest that the lead's clock can show now, 0 if not known.
func (s stamp) millis(now time.Time) int64 {
	if s.at.IsZero() {
		return 0
	}
	since := now.Sub(s.at).Milliseconds()
	return s.lead + since - since/driftPart - 1
}

// ownStamp is this host's clock as it is given to other hosts.
func (l *LeaderLimiter) ownStamp() int64 { return l.now.Sub(l.started).Milliseconds() }

// stamped is the time of one of this host's stamps. Without one it is before
// all else.
func (l *LeaderLimiter) stamped(millis int64) time.Time {
	return l.started.Add(time.Duration(millis) * time.Millisecond)
}
