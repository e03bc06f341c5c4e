package lead

import (
	"time"

	"github.com/jasminelock/jasminelock/assign"
)

// alarm fires when an Assigner wants a Tick.
type alarm struct {
	timer *time.Timer
	due   time.Time
	fire  func()
}

// leastAlarm keeps alarms from following one another without a pause.
const leastAlarm = 2 * time.Millisecond

func (l *alarm) set(now time.Time, a *assign.Assigner) {
	due, ok := a.NextWakeup(now)
	if !ok {
		return
	}
	if l.timer != nil && l.due.After(now) && !due.Before(l.due) {
		return // it fires before that
	}
	l.due = now.Add(max(due.Sub(now), leastAlarm))
	if l.timer == nil {
		l.timer = time.AfterFunc(l.due.Sub(now), l.fire)
		return
	}
	l.timer.Reset(l.due.Sub(now))
}
