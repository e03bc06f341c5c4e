package drain

import (
	"context"
	"sync"
	"time"
)

// QuietTime is how long no request must have run before a host ends. A caller that connected just before the listener closed
// sends its request meanwhile.
const QuietTime = 300 * time.Millisecond

// AwaitQuiet returns when running, the number of requests that have not ended, has been 0 for QuietTime, or when the context
// ends.
func AwaitQuiet(ctx context.Context, running func() int) {
	ticker := time.NewTicker(QuietTime / 10)
	defer ticker.Stop()
	for quietSince := time.Now(); time.Since(quietSince) < QuietTime; {
		if running() > 0 {
			quietSince = time.Now()
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// Shutdown is the graceful shutdown of one host, which may not have started. It is safe for concurrent use.
type Shutdown struct {
	schedule  Schedule
	startOnce sync.Once
	// startedAt is written before started is closed.
	startedAt time.Time
	started   chan struct{}

	// Each context ends at one step of the schedule.
	longRefused, answersDue, aborted             context.Context
	endLongRequests, demandAnswers, abortStreams context.CancelFunc
}

// New returns a shutdown that has not started.
func New(s Schedule) *Shutdown {
	d := &Shutdown{schedule: s, started: make(chan struct{})}
	d.longRefused, d.endLongRequests = context.WithCancel(context.Background())
	d.answersDue, d.demandAnswers = context.WithCancel(context.Background())
	d.aborted, d.abortStreams = context.WithCancel(context.Background())
	return d
}

// Start starts the shutdown and reports whether it had not started before.
func (d *Shutdown) Start() bool {
	first := false
	d.startOnce.Do(func() {
		first = true
		d.startedAt = time.Now()
		close(d.started)
		time.AfterFunc(d.schedule.AcceptLongUntil, d.endLongRequests)
		time.AfterFunc(d.schedule.AnswerBy, d.demandAnswers)
		time.AfterFunc(d.schedule.AbortAt, d.abortStreams)
	})
	return first
}

// Started is closed when the shutdown starts.
func (d *Shutdown) Started() <-chan struct{} { return d.started }

// InProgress reports whether the shutdown has started.
func (d *Shutdown) InProgress() bool {
	select {
	case <-d.started:
		return true
	default:
		return false
	}
}

// ListenerCloses returns when the listener is to be closed. The shutdown must have started.
func (d *Shutdown) ListenerCloses() time.Time { return d.startedAt.Add(d.schedule.CloseListenerAt) }

// Accepts reports whether a new request with the given deadline is accepted.
func (d *Shutdown) Accepts(deadline time.Time) bool {
	return !d.InProgress() || d.schedule.accepts(time.Since(d.startedAt), time.Until(deadline))
}

// MayOutlast reports whether the shutdown has started and a request with the given deadline is long.
func (d *Shutdown) MayOutlast(deadline time.Time) bool {
	return d.InProgress() && deadline.After(d.startedAt.Add(d.schedule.AnswerBy))
}

// LongRefused ends at Schedule.AcceptLongUntil.
func (d *Shutdown) LongRefused() context.Context { return d.longRefused }

// AnswersDue ends at Schedule.AnswerBy.
func (d *Shutdown) AnswersDue() context.Context { return d.answersDue }

// Aborted ends at Schedule.AbortAt.
func (d *Shutdown) Aborted() context.Context { return d.aborted }
