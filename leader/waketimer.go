package leader

import (
	"time"

	"github.com/jasminelock/jasminelock/assign"
)

// wakeTimer fires when an Assigner needs a Tick.
type wakeTimer struct {
	timer *time.Timer
	due   time.Time
	fire  func()
}

// minWakeDelay is the minimum delay of the timer; it prevents a busy loop.
const minWakeDelay = 2 * time.Millisecond

func (t *wakeTimer) set(now time.Time, a *assign.Assigner) {
	due, ok := a.NextWakeup(now)
	if !ok {
		return
	}
	if t.timer != nil && t.due.After(now) && !due.Before(t.due) {
		return // the timer already fires before that
	}
	t.due = now.Add(max(due.Sub(now), minWakeDelay))
	if t.timer == nil {
		t.timer = time.AfterFunc(t.due.Sub(now), t.fire)
		return
	}
	t.timer.Reset(t.due.Sub(now))
}
