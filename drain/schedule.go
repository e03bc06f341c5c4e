// Package drain times the graceful shutdown of a host: until when it accepts requests, when it answers those that
// cannot be served any more, and when it ends.
package drain

import "time"

// Schedule holds the steps of a graceful shutdown, each as the time since its start. They are in ascending order.
type Schedule struct {
	// AcceptLongUntil is when the host stops accepting long requests, and sending them to upstreams. A request is long if
	// its deadline is after AnswerBy, so that it might outlast the host.
	AcceptLongUntil time.Duration
	// AcceptUntil is when the host stops accepting requests.
	AcceptUntil time.Duration
	// CloseListenerAt is when the host closes its listener. Open connections stay in use until it ends.
	CloseListenerAt time.Duration
	// AnswerBy is when the host gives up the requests whose response has not begun, and answers them.
	AnswerBy time.Duration
	// AbortAt is when the host aborts the responses that have begun and have not ended.
	AbortAt time.Duration
}

const (
	// maxAcceptLong bounds AcceptLongUntil. The platform tolerates that a response is interrupted at the end of the
	// grace time only if the request was sent within 3 s of the signal.
	maxAcceptLong = 2500 * time.Millisecond
	// acceptLongShare is the share of the grace time that bounds AcceptLongUntil, so that a request that may be
	// interrupted has most of the grace time.
	acceptLongShare = 5.0 / 16
	// listenShare is the share of the grace time that bounds CloseListenerAt.
	listenShare = 0.75
	// acceptShare is the ratio of AcceptUntil to CloseListenerAt. Between the two, requests are refused, so that callers
	// with an old answer of the directory learn that they have to use another host before they cannot connect.
	acceptShare = 5.0 / 6
	// maxAnswerTime is the time from AnswerBy to AbortAt in which answers reach the callers, maxExitTime the time from
	// AbortAt to the end of the grace time. Both are at most marginShare of the grace time.
	maxAnswerTime = 400 * time.Millisecond
	maxExitTime   = 300 * time.Millisecond
	marginShare   = 0.1
)

// NewSchedule returns the schedule of a host that is killed grace after the start of its shutdown. Callers may use an
// earlier answer that names the host for cacheTime.
func NewSchedule(grace, cacheTime time.Duration) Schedule {
	margin := share(grace, marginShare)
	s := Schedule{CloseListenerAt: min(cacheTime, share(grace, listenShare)), AbortAt: grace - min(maxExitTime, margin)}
	s.AnswerBy = s.AbortAt - min(maxAnswerTime, margin)
	s.AcceptUntil = share(s.CloseListenerAt, acceptShare)
	s.AcceptLongUntil = min(maxAcceptLong, share(grace, acceptLongShare), s.AcceptUntil)
	return s
}

func share(d time.Duration, part float64) time.Duration { return time.Duration(part * float64(d)) }

// accepts reports whether a request may be sent to an upstream. Since is the time since the start of the shutdown,
// timeLeft the time until the request's deadline.
func (s Schedule) accepts(since, timeLeft time.Duration) bool {
	return since < s.AcceptLongUntil || since < s.AcceptUntil && since+timeLeft <= s.AnswerBy
}
