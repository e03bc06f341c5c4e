package core

import (
	"slices"
	"time"

	"github.com/jasminelock/jasminelock/platform"
	"github.com/jasminelock/jasminelock/record"
)

func (c *Core) onFleetEvent(now time.Time, ev fleetEvent, out *decisions) {
	switch e := ev.(type) {
	case ConfigSeen:
		c.onConfig(now, e.Config, out)
	case HostsSeen:
		c.onHosts(now, e.Hosts, out)
	case RosterSeen:
		c.rosterSeen = true
		c.members(now, e.Live, out)
	case ConfigConfirmed:
		c.freshness.confirm(e.Until)
	case PeerReceived:
		out.limited(c.limiter.Receive(now, e.From, e.Message))
		c.onScheduled(now, c.scheduler.Receive(now, e.From, e.Message), out)
	case StoreEnded:
		out.limited(c.limiter.StoreEnded(now, e.End))
	case DrainStarted:
		c.draining = true
	case Tick:
		c.resume(now, out)
		out.limited(c.limiter.Tick(now))
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
	c.board.Config.Publish(config)
	out.limited(c.limiter.Configure(now, withLoadBudgets(config)))
	c.onScheduled(now, c.scheduler.Configure(now, config), out)
}

func (c *Core) onHosts(now time.Time, hosts []platform.Host, out *decisions) {
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
	out.limited(c.limiter.Members(now, names))
	c.onScheduled(now, c.scheduler.Members(now, names), out)
}
