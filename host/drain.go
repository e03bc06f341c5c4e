package host

import (
	"context"
	"net/http"
	"time"

	"github.com/jasminelock/jasminelock/settings"
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
// zone: those of the zone where there are several, else all.
func (h *Host) callersFor(zone string) []string {
	var near, all []string
	for _, one := range h.broker.Hosts() {
		all = append(all, one.Callers)
		if one.Zone == zone {
			near = append(near, one.Callers)
		}
	}
	switch {
	case len(near) >= leastNear:
		return first(near)
	case len(all) > 0:
		return first(all)
	case h.ready() && time.Since(h.started) > aloneAfter:
		return []string{h.settings.Listen.Callers}
	}
	return nil
}

// leastNear is how many hosts of its own zone a caller needs, so that the loss
// of one leaves it another.
const leastNear = 2

// mostTold is the most addresses that a caller takes.
const mostTold = 64

func first(addresses []string) []string { return addresses[:min(len(addresses), mostTold)] }
