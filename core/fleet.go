package core

import (
	"maps"
	"slices"
	"time"

	"github.com/jasminelock/jasminelock/record"
	"github.com/jasminelock/jasminelock/store"
	"github.com/jasminelock/jasminelock/wire"
)

func (c *Core) onFleetEvent(now time.Time, ev fleetEvent, out *decisions) {
	switch e := ev.(type) {
	case ConfigUpdated:
		c.onConfig(now, e.Config, out)
	case HostsUpdated:
		c.onHosts(now, e.Hosts, out)
	case MembersUpdated:
		c.memberListSeen = true
		c.updateMembers(now, e.Live, out)
	case ConfigConfirmed:
		c.freshness.confirm(e.Until)
	case PeerMessageReceived:
		if m, ok := e.Message.(*wire.CrashSuspicion); ok {
			c.onSuspicion(now, m)
			return
		}
		c.applyLimiter(c.limiter.Receive(now, e.From, e.Message), out)
		c.applyScheduler(now, c.scheduler.Receive(now, e.From, e.Message), out)
	case StoreEnded:
		c.applyLimiter(c.limiter.HandleStoreResult(now, e.End), out)
	case LeaveStarted:
		c.leavingUntil = e.Until
		c.applyLimiter(c.limiter.Leave(now), out)
	case DrainStarted:
		c.draining = true
	case StopStarted:
		c.onStop(now, out)
	case Tick:
		c.resumeBackingOff(now, out)
		c.applyLimiter(c.limiter.Tick(now), out)
		c.budget.tick(now)
		c.applyScheduler(now, c.scheduler.Tick(now), out)
	}
}

func (c *Core) onConfig(now time.Time, config *record.Config, out *decisions) {
	if config.Revision < c.config.Revision {
		return
	}
	c.config = config
	c.budget.config = config
	c.retries.prune(c.ownsRetryBudget)
	maps.DeleteFunc(c.crashes.upstreams, func(name string, _ *upstreamHealth) bool {
		_, ok := config.Upstream(name)
		return !ok
	})
	c.board.Config.Publish(config)
	c.applyLimiter(c.limiter.Configure(now, withLoadBudgets(config)), out)
	c.applyScheduler(now, c.scheduler.Configure(now, config), out)
}

func (c *Core) onHosts(now time.Time, hosts []store.Host, out *decisions) {
	c.board.Hosts.Publish(hosts)
	if c.memberListSeen {
		return
	}
	names := make([]string, 0, len(hosts))
	for _, h := range hosts {
		names = append(names, h.Name)
	}
	slices.Sort(names)
	c.updateMembers(now, names, out)
}

// updateMembers passes the names of the live hosts to the limiter and the scheduler.
func (c *Core) updateMembers(now time.Time, names []string, out *decisions) {
	c.crashes.members = names
	c.applyLimiter(c.limiter.UpdateHosts(now, names), out)
	c.applyScheduler(now, c.scheduler.Members(now, names), out)
}
