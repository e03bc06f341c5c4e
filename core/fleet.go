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
		c.rosterSeen = true
		c.members(now, e.Live, out)
	case ConfigConfirmed:
		c.freshness.confirm(e.Until)
	case PeerMessageReceived:
		if m, ok := e.Message.(*wire.CrashSuspicion); ok {
			c.onSuspicion(now, m)
			return
		}
		c.limited(c.limiter.Receive(now, e.From, e.Message), out)
		c.onScheduled(now, c.scheduler.Receive(now, e.From, e.Message), out)
	case StoreEnded:
		c.limited(c.limiter.HandleStoreResult(now, e.End), out)
	case LeaveStarted:
		c.limited(c.limiter.Leave(now), out)
	case DrainStarted:
		c.draining = true
	case Tick:
		c.resume(now, out)
		c.limited(c.limiter.Tick(now), out)
		c.budget.tick(now)
		c.onScheduled(now, c.scheduler.Tick(now), out)
	}
}

func (c *Core) onConfig(now time.Time, config *record.Config, out *decisions) {
	if config.Revision < c.config.Revision {
		return
	}
	c.config = config
	c.budget.config = config
	c.retries.forget(c.ownsRetryBudget)
	maps.DeleteFunc(c.crashes.fates, func(name string, _ *upstreamFate) bool {
		_, ok := config.Upstream(name)
		return !ok
	})
	c.board.Config.Publish(config)
	c.limited(c.limiter.Configure(now, withLoadBudgets(config)), out)
	c.onScheduled(now, c.scheduler.Configure(now, config), out)
}

func (c *Core) onHosts(now time.Time, hosts []store.Host, out *decisions) {
	c.board.Hosts.Publish(hosts)
	if c.rosterSeen {
		return
	}
	names := make([]string, 0, len(hosts))
	for _, h := range hosts {
		names = append(names, h.Name)
	}
	slices.Sort(names)
	c.members(now, names, out)
}

// members tells the limiter and the scheduler which hosts are live.
func (c *Core) members(now time.Time, names []string, out *decisions) {
	c.crashes.members = names
	c.limited(c.limiter.UpdateHosts(now, names), out)
	c.onScheduled(now, c.scheduler.Members(now, names), out)
}
