package host

import (
	"context"
	"net"
	"time"

	"github.com/jasminelock/jasminelock/drain"
	"github.com/jasminelock/jasminelock/settings"
	"github.com/jasminelock/jasminelock/wire"
)

// Times of a shutdown and of the directory.
const (
	// maxDirectoryTTL is the longest time for which callers may cache an answer of the
	// directory.
	maxDirectoryTTL = 2 * time.Second
	// staleTTLFactor is the factor by which some callers exceed the directory's TTL.
	staleTTLFactor = 3
	// abortTime is how long the host waits for aborted responses to end.
	abortTime = 100 * time.Millisecond
	// standaloneAfter is the time since the start after which a host without a member list
	// from the leader goes standalone and announces only itself.
	standaloneAfter = 2 * time.Second
)

// directoryTTL returns the TTL of the directory's answers.
func directoryTTL(s *settings.Entry) time.Duration {
	return min(maxDirectoryTTL, time.Duration(s.Fleet.MaxDirectoryTTL))
}

// Drain starts a graceful shutdown and returns at once. The directory sends callers to
// other hosts, callers with a cached answer are still served, and running requests
// finish. Further calls do nothing.
func (h *Host) Drain() {
	if h.shutdown.Start() {
		h.log.Info("draining", "grace", time.Duration(h.settings.Grace))
		h.broker.Drain()
	}
}

// shutDown closes the listener for callers once the directory answers that callers may have cached
// have expired, and waits for the requests that still run. Open connections stay in use meanwhile, so
// that requests on them are refused with an answer. Responses that do not end in time are aborted.
func (h *Host) shutDown(ctx context.Context, callers net.Listener) {
	select {
	case <-ctx.Done():
	case <-time.After(time.Until(h.shutdown.ListenerCloses())):
	}
	h.log.Info("closing the listener for callers; waiting for running requests", "count", h.server.Running())
	if err := callers.Close(); err != nil {
		h.log.Warn("listener for callers not closed; it is closed with the process", "error", err)
	}
	quietCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(h.shutdown.Aborted(), cancel)()
	drain.AwaitQuiet(quietCtx, h.server.Running)
	if running := h.server.Running(); running > 0 {
		h.log.Warn("aborting the responses that still run at the end of the grace time", "count", running)
		time.Sleep(abortTime)
	}
}

// ready reports whether the host can serve callers: it has a configuration and the list
// of upstreams, and is not draining.
func (h *Host) ready() bool {
	return !h.shutdown.InProgress() && h.knowsTables()
}

// addressesForZone returns the addresses announced to a caller in an availability zone. It
// takes the first of these groups that has at least minAnnounced hosts: the strong hosts
// of the zone, all hosts of the zone, the strong hosts of all zones, all hosts.
func (h *Host) addressesForZone(zone string) []string {
	all := h.broker.Hosts()
	var inZone []wire.CallerHost
	for _, host := range all {
		if host.Zone == zone {
			inZone = append(inZone, host)
		}
	}
	for _, hosts := range [][]wire.CallerHost{strongHosts(inZone), inZone, strongHosts(all), all} {
		if len(hosts) >= minAnnounced {
			return callerAddresses(hosts)
		}
	}
	switch {
	case len(all) > 0:
		return callerAddresses(all)
	case h.ready() && time.Since(h.started) > standaloneAfter:
		return []string{h.settings.Listen.Callers}
	}
	return nil
}

const (
	// minAnnounced is the least number of hosts announced to a caller if there are that
	// many, so that it has another host if one fails.
	minAnnounced = 2
	// maxAnnounced is the maximum number of addresses that a caller accepts.
	maxAnnounced = 64
	// strongCoresShare is the share of the strongest host's cores that a host needs to be
	// announced while there are minAnnounced such hosts. A few hosts with many requests
	// each keep their connections to upstreams in use.
	strongCoresShare = 0.5
)

// strongHosts returns the hosts that have at least strongCoresShare of the cores of the
// strongest one.
func strongHosts(hosts []wire.CallerHost) []wire.CallerHost {
	maxCores := 0.0
	for _, host := range hosts {
		maxCores = max(maxCores, host.Cores)
	}
	var strong []wire.CallerHost
	for _, host := range hosts {
		if host.Cores >= strongCoresShare*maxCores {
			strong = append(strong, host)
		}
	}
	return strong
}

// callerAddresses returns the addresses for callers of at most maxAnnounced hosts.
func callerAddresses(hosts []wire.CallerHost) []string {
	var list []string
	for _, host := range hosts[:min(len(hosts), maxAnnounced)] {
		list = append(list, host.CallerAddress)
	}
	return list
}
