package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"syscall"
	"time"
)

const (
	// stopContact is how long before a request its host must have been without a disruption, so that the planned stop alone
	// decides what becomes of the request.
	stopContact = 3 * time.Second
	// closeSlack is the time after it was sent within which a request that no replica has run may lose its connection: it
	// crossed the close. It leaves room for a busy machine.
	closeSlack = time.Second
	// waitingCalls is the number of requests to the slow replica that are sent to a host that stops, longTimeout the time that
	// their callers wait, which exceeds the grace time of the host.
	waitingCalls = 24
	longTimeout  = 14 * time.Second
	// slowAnswerTime is how long the slow replica takes to answer. It exceeds the grace time too.
	slowAnswerTime = 9 * time.Second
	// slowSlots is the number of requests that the slow replica takes at once. The others wait.
	slowSlots = 6
	// lateSignals is the number of signals that follow the first one.
	lateSignals = 3
)

// plannedStop is the time from the signal that stops a host to the end of its process.
type plannedStop struct {
	host     string
	from, to time.Time
}

// stopWithSignals stops a host while further signals and a configuration arrive.
func (s *entrySoak) stopWithSignals(ctx context.Context, r *rand.Rand, h *entryHost) {
	var signals sync.WaitGroup
	signals.Go(func() {
		for range lateSignals {
			sleep(ctx, time.Duration(r.Int64N(int64(time.Second))))
			sig := []syscall.Signal{syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP}[r.IntN(3)]
			signals.Go(func() { s.endAndStart(ctx, h, sig) }) // it may reach the next process of the host
		}
		s.putConfig()
	})
	s.restart(ctx, h, syscall.SIGTERM)
	signals.Wait()
}

// slowService is the service of the slow replica. holdKind and holdSafeKind are the kinds of requests to it, which may not and
// may be repeated.
const (
	slowService  = "slow"
	holdKind     = "hold"
	holdSafeKind = "holdsafe"
)

// stopUnderWaitingRequests stops a host while requests to the slow replica wait and run there for longer than the grace time.
func (s *entrySoak) stopUnderWaitingRequests(ctx context.Context, r *rand.Rand) {
	h := s.randomHost(r)
	var group sync.WaitGroup
	group.Go(func() { s.restart(ctx, h, syscall.SIGTERM) })
	for n := range waitingCalls {
		kind := []string{holdKind, holdSafeKind}[r.IntN(2)]
		id := fmt.Sprintf("w%d-%d", r.Uint32(), n)
		s.mu.Lock()
		c := call{id: id, kind: kind, key: s.key, path: "/" + kind + "/" + id, timeout: longTimeout}
		s.mu.Unlock()
		group.Go(func() { s.send(h, c) })
		sleep(ctx, time.Duration(r.Int64N(int64(150*time.Millisecond))))
	}
	group.Wait()
}

// recordLateExit records a violation by a host that has not exited within termTimeout of a signal, unless it was frozen or
// disrupted otherwise meanwhile.
func (rec *entryRecorder) recordLateExit(host string, signalled time.Time, sig syscall.Signal) {
	rec.mu.Lock()
	disrupted := sig != syscall.SIGKILL && rec.wasDisrupted(host, signalled, time.Now())
	rec.mu.Unlock()
	if !disrupted {
		rec.recordViolation("host %s did not exit within %s of signal %s", host, termTimeout, sig)
	}
}

func (rec *entryRecorder) recordStop(stop plannedStop) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	rec.stops = append(rec.stops, stop)
}

// checkStops checks that hosts which are stopped close no connection without an answer, unless the request crossed the
// close. rec.mu must be held.
func (s *EntrySummary) checkStops(rec *entryRecorder, c *call, runs int) {
	if !c.unanswered || runs == 0 && c.endedAt.Sub(c.sentAt) <= closeSlack {
		return
	}
	for _, stop := range rec.stops {
		during := stop.host == c.host && c.endedAt.After(stop.from) && c.endedAt.Before(stop.to.Add(closeSlack))
		if during && !rec.wasDisrupted(c.host, c.sentAt.Add(-stopContact), c.endedAt) {
			s.addViolation("%s %s was closed without an answer after %s by host %s, which was being stopped for %s; it ran %d times",
				c.kind, c.id, c.endedAt.Sub(c.sentAt), c.host, c.endedAt.Sub(stop.from), runs)
			return
		}
	}
}

// wasDisrupted reports whether a disruption other than a planned stop affected the host at some moment from the first to the
// second time. rec.mu must be held.
func (rec *entryRecorder) wasDisrupted(host string, from, to time.Time) bool {
	return slices.ContainsFunc(rec.disruptions, func(d hostDisruption) bool {
		affected := !d.planned && (d.host == host || d.host == allHosts)
		return affected && d.from.Before(to) && (d.to.IsZero() || d.to.After(from))
	})
}
