package host

import (
	"context"
	"net/http"
	"time"

	"github.com/jasminelock/jasminelock/settings"
	"github.com/jasminelock/jasminelock/wire"
)

// Times of a shutdown and of what callers are told.
const (
	// toldLife is for how long callers may keep what the directory tells them.
	toldLife = 2 * time.Second
	// keptTimes is how much longer than told some callers keep an answer.
	keptTimes = 3
	// finishLeast is the time left for requests that still run once no new ones
	// are taken.
	finishLeast = 1500 * time.Millisecond
	// exitMargin is the time left before the platform ends the process.
	exitMargin = 300 * time.Millisecond
	// aloneAfter is when a host without a lead tells callers of itself alone.
	aloneAfter = 2 * time.Second
)

// answerLife returns for how long callers may keep the directory's answers.
func answerLife(s *settings.Entry) time.Duration {
	return min(toldLife, time.Duration(s.Fleet.AnswerLife))
}

// Drain starts a graceful shutdown: callers are sent elsewhere, those that keep
// an answer are served meanwhile, and what runs is finished.
func (h *Host) Drain() {
	h.once.Do(func() {
		h.log.Info("draining")
		h.leftAt.Store(int64(time.Since(h.started)) + 1)
		h.broker.Drain()
		close(h.drained)
	})
}

// leaving returns for how long the host has been leaving, and false where it is
// not.
func (h *Host) leaving() (time.Duration, bool) {
	at := h.leftAt.Load()
	return time.Since(h.started) - time.Duration(at), at > 0
}

// leave ends the listener of callers once they have gone elsewhere.
func (h *Host) leave(ctx context.Context, callers *http.Server) error {
	grace := time.Duration(h.settings.Grace)
	serving := min(keptTimes*answerLife(h.settings), max(grace-finishLeast, 0))
	end, cancel := context.WithTimeout(ctx, max(grace-exitMargin, 0))
	defer cancel()
	select {
	case <-end.Done():
	case <-time.After(serving):
	}
	h.log.Info("no longer taking connections")
	if err := callers.Shutdown(end); err != nil {
		h.log.Warn("requests were cut at the end of the grace time", "error", err)
	}
	return nil
}

// ready reports whether the host may be given callers.
func (h *Host) ready() bool {
	_, leaving := h.leaving()
	return !leaving && h.watcher.View().Config != nil
}

// callersFor returns the addresses of the hosts for a caller of an availability
// zone: the strong ones of the zone where there are several, else those of all.
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
	// leastTold is how many hosts a caller is told at least, so that the loss of
	// one leaves it another.
	leastTold = 2
	// mostTold is the most addresses that a caller takes.
	mostTold = 64
	// strongPart is the part of the strongest host's processor time that a host
	// must have to be told while there are several such hosts. Few hosts with many
	// requests keep their connections to upstreams in use.
	strongPart = 0.5
)

// strongest returns the hosts with the most processor time.
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

func addresses(hosts []wire.CallerHost) []string {
	var out []string
	for _, one := range hosts[:min(len(hosts), mostTold)] {
		out = append(out, one.CallerAddress)
	}
	return out
}
