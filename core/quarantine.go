package core

import (
	"crypto/sha256"
	"fmt"
	"slices"
	"time"

	"github.com/jasminelock/jasminelock/apierr"
	"github.com/jasminelock/jasminelock/quarantine"
	"github.com/jasminelock/jasminelock/request"
	"github.com/jasminelock/jasminelock/sched"
	"github.com/jasminelock/jasminelock/wire"
)

const (
	// crashCheckTimeout bounds how long a request whose connection broke waits until it is known
	// whether its upstream has crashed.
	crashCheckTimeout = 2 * time.Second
	// minAliveReports is the number of load reports after the break that show that the upstream is
	// alive. The first one can be older than the break.
	minAliveReports = 2
	// crashWindow is the longest time between a broken connection and the detection of its upstream's
	// crash.
	crashWindow = 5 * time.Second
)

// upstreamHealth is what is known of an upstream's crashes and of the connections to it that broke.
type upstreamHealth struct {
	incarnation string
	// crashedAt is when the last crash was detected, zero if there was none.
	crashedAt time.Time
	// crashID identifies the last crash by the upstream and the incarnation that it ended.
	crashID string
	lost    []lostRequest
}

// lostRequest is a request whose connection to the upstream broke.
type lostRequest struct {
	key    quarantine.Key
	lostAt time.Time
	// reportsSince counts the load reports of the same incarnation since the break.
	reportsSince int
}

// crashDetector finds requests that crash upstreams.
type crashDetector struct {
	host      string
	members   []string
	tracker   *quarantine.Tracker
	upstreams map[string]*upstreamHealth
	// lastLossAt is when a connection to any upstream last broke.
	lastLossAt time.Time
}

func newCrashDetector(host string) crashDetector {
	return crashDetector{host: host, tracker: quarantine.NewTracker(host), upstreams: map[string]*upstreamHealth{}}
}

func (d *crashDetector) healthOf(name string) *upstreamHealth {
	h, ok := d.upstreams[name]
	if !ok {
		h = &upstreamHealth{}
		d.upstreams[name] = h
	}
	return h
}

// quarantineKey returns the key that identifies the request on all hosts.
func (e *entry) quarantineKey() quarantine.Key {
	target := e.adapter.String()
	if e.route != nil {
		target = e.route.Name
	}
	h := sha256.New()
	_, _ = fmt.Fprintf(h, "%q %q %x", e.org, target, e.request.Fingerprint) // writing to a hash never fails
	return quarantine.Key(h.Sum(nil))
}

// checkQuarantine refuses a request that is quarantined for crashing upstreams, and a suspect that is
// undecided or that another host is retrying.
func (c *Core) checkQuarantine(now time.Time, e *entry) *apierr.Error {
	if c.crashes.tracker.Len() == 0 {
		return nil
	}
	verdict, remaining := c.crashes.tracker.Verdict(now, e.quarantineKey())
	if verdict == quarantine.Clear || verdict == quarantine.Suspect {
		return nil
	}
	return apierr.New(apierr.RequestQuarantined, "").WithRetryAfter(remaining)
}

func (c *Core) isSuspect(now time.Time, e *entry) bool {
	if c.crashes.tracker.Len() == 0 {
		return false
	}
	verdict, _ := c.crashes.tracker.Verdict(now, e.quarantineKey())
	return verdict != quarantine.Clear
}

func (c *Core) isUndecided(now time.Time, e *entry) bool {
	verdict, _ := c.crashes.tracker.Verdict(now, e.quarantineKey())
	return verdict == quarantine.Undecided
}

// mustWait reports whether a request has to wait: because it is not yet known whether it has crashed
// an upstream, or because it is a suspect and another suspect is queued or running.
func (c *Core) mustWait(now time.Time, e *entry) bool {
	if c.crashCheckPending(now, e) {
		return true
	}
	if !c.isSuspect(now, e) {
		return false
	}
	if c.isUndecided(now, e) {
		return true
	}
	for id, other := range c.requests {
		state := other.machine.State()
		busy := state == request.Queued || state == request.Dispatched || state == request.Streaming
		if id != e.request.ID && busy && other.suspect {
			return true
		}
	}
	return false
}

// onConnectionLost records a request whose connection to its upstream broke. Its retry waits until it
// is known whether the upstream has crashed.
func (c *Core) onConnectionLost(now time.Time, e *entry, out *decisions) {
	h := c.crashes.healthOf(e.upstream)
	h.pruneLost(now)
	if now.Sub(h.crashedAt) <= crashWindow && !h.crashedAt.IsZero() && e.dispatchedAt.Before(h.crashedAt) {
		c.recordCrash(now, h.crashID, []quarantine.Key{e.quarantineKey()}, out)
		return
	}
	c.crashes.lastLossAt = now
	h.lost = append(h.lost, lostRequest{key: e.quarantineKey(), lostAt: now})
}

func (h *upstreamHealth) pruneLost(now time.Time) {
	h.lost = slices.DeleteFunc(h.lost, func(l lostRequest) bool { return now.Sub(l.lostAt) > crashWindow })
}

// crashCheckPending reports whether this request, or a copy of it, lost its connection to an upstream
// of which it is not yet known whether it has crashed.
func (c *Core) crashCheckPending(now time.Time, e *entry) bool {
	if now.Sub(c.crashes.lastLossAt) >= crashCheckTimeout {
		return false
	}
	key := e.quarantineKey()
	pending := func(l lostRequest) bool {
		return l.key == key && l.reportsSince < minAliveReports && now.Sub(l.lostAt) < crashCheckTimeout
	}
	for _, h := range c.crashes.upstreams {
		if slices.ContainsFunc(h.lost, pending) {
			return true
		}
	}
	return false
}

// onIncarnation records the incarnation that an upstream reported, or "" if the upstream is
// unreachable. A changed incarnation or an unreachable upstream counts as a crash.
func (c *Core) onIncarnation(now time.Time, upstream, incarnation string, out *decisions) {
	h := c.crashes.healthOf(upstream)
	h.pruneLost(now)
	endedIncarnation := upstream + "/" + h.incarnation
	crashed := incarnation == "" || (h.incarnation != "" && h.incarnation != incarnation)
	if incarnation != "" {
		h.incarnation = incarnation
	}
	if !crashed {
		for i := range h.lost {
			h.lost[i].reportsSince++
		}
		return
	}
	h.crashedAt = now
	h.crashID = endedIncarnation
	keys := make([]quarantine.Key, 0, len(h.lost))
	for _, l := range h.lost {
		if !slices.Contains(keys, l.key) {
			keys = append(keys, l.key)
		}
	}
	h.lost = nil
	c.recordCrash(now, h.crashID, keys, out)
}

func (c *Core) recordCrash(now time.Time, crashID string, keys []quarantine.Key, out *decisions) {
	if len(keys) > 0 {
		c.announceSuspicions(c.crashes.tracker.RecordCrash(now, crashID, keys), out)
	}
}

// clearSuspect clears a suspect that has ended without a crash.
func (c *Core) clearSuspect(now time.Time, e *entry, out *decisions) {
	if e.suspect {
		c.announceSuspicions(c.crashes.tracker.ClearSuspect(now, e.quarantineKey()), out)
	}
}

func (c *Core) announceSuspicions(suspicions []quarantine.Suspicion, out *decisions) {
	for _, s := range suspicions {
		for _, host := range c.crashes.members {
			if host == c.crashes.host {
				continue
			}
			message := &wire.CrashSuspicion{
				Key: s.Key[:], Crashes: s.Crashes, Holder: s.Holder, LastCrash: s.CrashID, DurationMillis: s.TTL.Milliseconds(),
			}
			*out = append(*out, Send{wire.Outgoing{To: host, Message: message}})
		}
	}
}

// onSuspicion applies a suspicion that another host announced.
func (c *Core) onSuspicion(now time.Time, m *wire.CrashSuspicion) {
	if len(m.Key) != len(quarantine.Key{}) {
		return
	}
	c.crashes.tracker.Learn(now, quarantine.Suspicion{
		Key: quarantine.Key(m.Key), Crashes: m.Crashes, Holder: m.Holder, CrashID: m.LastCrash,
		TTL: time.Duration(m.DurationMillis) * time.Millisecond,
	})
}

// failIneligible ends those of the given backing-off requests that have been quarantined in the
// meantime, or whose deadline has passed.
func (c *Core) failIneligible(now time.Time, ids []sched.RequestID, out *decisions) {
	for _, id := range ids {
		e, ok := c.requests[id]
		if !ok || e.machine.State() != request.BackingOff {
			continue
		}
		if err := c.checkQuarantine(now, e); err != nil && !c.isUndecided(now, e) {
			c.fail(now, e, e.withExecution(err), "quarantine", out)
		} else if !now.Before(e.request.Deadline) {
			c.fail(now, e, e.withExecution(apierr.New(apierr.DeadlineExceeded, "")), "deadline", out)
		}
	}
}
