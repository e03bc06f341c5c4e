package core

import (
	"time"

	"github.com/jasminelock/jasminelock/sched"
)

func (c *Core) onUpstreamEvent(now time.Time, ev upstreamEvent, out *decisions) {
	var scheduled []sched.Decision
	switch e := ev.(type) {
	case LoadReported:
		c.onIncarnation(now, e.Upstream, e.Report.Incarnation, out)
		scheduled = c.scheduler.LoadReported(now, e.Upstream, e.Report)
	case CacheReported:
		scheduled = c.scheduler.CacheUpdated(now, e.Upstream, e.Events)
	case UpstreamUnreachable:
		c.onIncarnation(now, e.Upstream, "", out)
		scheduled = c.scheduler.Unreachable(now, e.Upstream)
	case OrderEnded:
		scheduled = c.scheduler.OrderEnded(now, e.End)
	case LeaseUpdated:
		scheduled = c.scheduler.LeaseUpdated(now, e.Result)
	}
	c.applyScheduler(now, scheduled, out)
}

// applyScheduler converts the scheduler's decisions into decisions of the core.
func (c *Core) applyScheduler(now time.Time, scheduled []sched.Decision, out *decisions) {
	for _, d := range scheduled {
		switch d := d.(type) {
		case sched.Dispatch:
			c.onDispatch(now, d, out)
		case sched.Drop:
			if e, ok := c.requests[d.ID]; ok {
				c.fail(now, e, e.withExecution(d.Err), d.Why.Rule, out)
			}
		case sched.Order:
			c.onOrder(d, out)
		case sched.Send:
			*out = append(*out, Send{d.Outgoing})
		case sched.ClaimLease:
			*out = append(*out, ClaimLease{d})
		}
	}
}

func (c *Core) onOrder(d sched.Order, out *decisions) {
	u, ok := c.config.Upstream(d.Upstream)
	if !ok {
		return
	}
	o := Order{Upstream: u, Order: d}
	if v, ok := c.config.Version(d.Adapter); ok {
		o.Source = v.Source
	}
	*out = append(*out, o)
}
