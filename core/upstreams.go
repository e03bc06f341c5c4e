package core

import (
	"time"

	"github.com/jasminelock/jasminelock/sched"
)

func (c *Core) onUpstreamEvent(now time.Time, ev upstreamEvent, out *decisions) {
	var scheduled []sched.Decision
	switch e := ev.(type) {
	case LoadReported:
		c.onFate(now, e.Upstream, e.Report.Incarnation, out)
		scheduled = c.scheduler.LoadReported(now, e.Upstream, e.Report)
	case CacheReported:
		scheduled = c.scheduler.CacheUpdated(now, e.Upstream, e.Events)
	case UpstreamUnreachable:
		c.onFate(now, e.Upstream, "", out)
		scheduled = c.scheduler.Unreachable(now, e.Upstream)
	case OrderEnded:
		scheduled = c.scheduler.OrderEnded(now, e.End)
	case LeaseUpdated:
		scheduled = c.scheduler.LeaseUpdated(now, e.Result)
	}
	c.onScheduled(now, scheduled, out)
}

// onScheduled turns the scheduler's decisions into the core's.
func (c *Core) onScheduled(now time.Time, scheduled []sched.Decision, out *decisions) {
	for _, d := range scheduled {
		switch d := d.(type) {
		case sched.Dispatch:
			c.onDispatch(now, d, out)
		case sched.Drop:
			if e, ok := c.requests[d.ID]; ok {
				c.fail(now, e, e.truthful(d.Err), d.Why.Rule, out)
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
