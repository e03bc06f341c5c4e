package host

import (
	"context"
	"net/http"
	"time"

	"github.com/jasminelock/jasminelock/settings"
	"github.com/jasminelock/jasminelock/wire"
)

// Times of a shutdown and of the directory.
const (
	// toldLife is the longest time for which callers may cache an answer of the directory.
	toldLife = 2 * time.Second
	// keptTimes is the factor by which some callers exceed the directory's TTL.
	keptTimes = 3
	// finishLeast is the least time left for running requests to finish after the
	// listener has stopped accepting.
	finishLeast = 1500 * time.Millisecond
	// exitMargin is the time between the end of the shutdown and the moment at which the
	// platform kills the process.
	exitMargin = 300 * time.Millisecond
	// aloneAfter is the time since the start after which a host without a host list from
	// the leader goes standalone and announces only itself.
	aloneAfter = 2 * time.Second
)

// answerLife returns the TTL of the directory's answers.
func answerLife(s *settings.Entry) time.Duration {
	return min(toldLife, time.Duration(s.Fleet.AnswerLife))
}

// Drain starts a graceful shutdown and returns at once. The directory sends callers to
// other hosts, callers with a cached answer are still served, and running requests
// finish. Further calls do nothing.
func (h *Host) Drain() {
	h.once.Do(func() {
		h.log.Info("draining")
		h.leftAt.Store(int64(time.Since(h.started)) + 1)
		h.broker.Drain()
		close(h.drained)
	})
}

// leaving returns how long the host has been draining, and false if it is not
// draining.
func (h *Host) leaving() (time.Duration, bool) {
	at := h.leftAt.Load()
	return time.Since(h.started) - time.Duration(at), at > 0
}

// leave shuts down the listener for callers once the directory answers that callers
// may have cached have expired, at the latest finishLeast before the end of the grace
// time. Requests that still run exitMargin before that end are cut.
func (h *Host) leave(ctx context.Context, callers *http.Server) error {
	grace := time.Duration(h.settings.Grace)
	serving := min(keptTimes*answerLife(h.settings), max(grace-finishLeast, 0))
	end, cancel := context.WithTimeout(ctx, max(grace-exitMargin, 0))
	defer cancel()
	select {
	case <-end.Done():
	case <-time.After(serving):
	}
	h.log.Info("closing the listener for callers; waiting for running requests")
	if err := callers.Shutdown(end); err != nil {
		h.log.Warn("running requests cut at the end of the grace time", "error", err)
	}
	return nil
}

// ready reports whether the host can serve callers: it has a configuration and is not
// draining.
func (h *Host) ready() bool {
	_, leaving := h.leaving()
	return !leaving && h.watcher.View().Config != nil
}

// callersFor returns the addresses announced to a caller in an availability zone. It
// takes the first of these groups that has at least leastTold hosts: the strong hosts
// of the zone, all hosts of the zone, the strong hosts of all zones, all hosts.
func (h *Host) callersFor(zone string) []string {
	all := h.broker.Hosts()
	var near []wire.CallerHost
	for _, one := range all {
		if one.Zone == zone {
			near = append(near, one)
		}
	}
	for _, hosts := range [][]wire.CallerHost{strongest(near), near, strongest(all), all} {
		if len(hosts) >= leastTold {
			return addresses(hosts)
		}
	}
	switch {
	case len(all) > 0:
		return addresses(all)
	case h.ready() && time.Since(h.started) > aloneAfter:
		return []string{h.settings.Listen.Callers}
	}
	return nil
}

const (
	// leastTold is the least number of hosts announced to a caller if there are that
	// many, so that it has another host if one fails.
	leastTold = 2
	// mostTold is the maximum number of addresses that a caller accepts.
	mostTold = 64
	// strongPart is the share of the strongest host's cores that a host needs to be
	// announced while there are leastTold such hosts. A few hosts with many requests
	// each keep their connections to upstreams in use.
	strongPart = 0.5
)

// strongest returns the hosts that have at least strongPart of the cores of the
// strongest one.
func strongest(hosts []wire.CallerHost) []wire.CallerHost {
	most := 0.0
	for _, one := range hosts {
		most = max(most, one.Cores)
	}
	var strong []wire.CallerHost
	for _, one := range hosts {
		if one.Cores >= strongPart*most {
			strong = append(strong, one)
		}
	}
	return strong
}

// addresses returns the addresses for callers of at most mostTold hosts.
func addresses(hosts []wire.CallerHost) []string {
	var out []string
	for _, one := range hosts[:min(len(hosts), mostTold)] {
		out = append(out, one.Callers)
	}
	return out
}
