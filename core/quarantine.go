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
	// fateTimeout bounds how long a request whose connection broke waits to
	// learn whether its upstream has crashed.
	fateTimeout = 2 * time.Second
	// fateReports is how many reports after the break show that the upstream is
	// alive. The first one can be older than the break.
	fateReports = 2
	// crashWindow is how long a broken connection and the news of its
	// upstream's crash can lie apart.
	crashWindow = 5 * time.Second
)

// upstreamFate is what is known of an upstream since connections to it broke.
type upstreamFate struct {
	incarnation string
	// crashedAt is when a crash was last learned of.
	crashedAt time.Time
	// crash names the last crash by the incarnation that it ended.
	crash  string
	losses []loss
}

// loss is a request whose connection to the upstream broke.
type loss struct {
	key     quarantine.Key
	at      time.Time
	reports int
}

// crashWatch finds the requests under which upstreams crash.
type crashWatch struct {
	host    string
	members []string
	tracker *quarantine.Tracker
	fates   map[string]*upstreamFate
	// lastLoss is when a connection last broke.
	lastLoss time.Time
}

func newCrashWatch(host string) crashWatch {
	return crashWatch{host: host, tracker: quarantine.NewTracker(host), fates: map[string]*upstreamFate{}}
}

func (w *crashWatch) fate(upstream string) *upstreamFate {
	f, ok := w.fates[upstream]
	if !ok {
		f = &upstreamFate{}
		w.fates[upstream] = f
	}
	return f
}

// quarantineKey names the request for all hosts.
func (e *entry) quarantineKey() quarantine.Key {
	target := e.adapter.String()
	if e.route != nil {
		target = e.route.Name
	}
	h := sha256.New()
	_, _ = fmt.Fprintf(h, "%q %q %x", e.org, target, e.request.Fingerprint) // writing to a hash never fails
	return quarantine.Key(h.Sum(nil))
}

// checkQuarantine refuses a request that has crashed upstreams, and one that
// another host is trying once more.
func (c *Core) checkQuarantine(now time.Time, e *entry) *apierr.Error {
	if c.crashes.tracker.Len() == 0 {
		return nil
	}
	standing, left := c.crashes.tracker.Verdict(now, e.quarantineKey())
	if standing == quarantine.Clear || standing == quarantine.Suspect {
		return nil
	}
	return apierr.New(apierr.RequestQuarantined, "").WithRetryAfter(left)
}

func (c *Core) isSuspect(now time.Time, e *entry) bool {
	if c.crashes.tracker.Len() == 0 {
		return false
	}
	standing, _ := c.crashes.tracker.Verdict(now, e.quarantineKey())
	return standing != quarantine.Clear
}

func (c *Core) isUndecided(now time.Time, e *entry) bool {
	standing, _ := c.crashes.tracker.Verdict(now, e.quarantineKey())
	return standing == quarantine.Undecided
}

// mustWait reports whether a request has to wait, since it is not known whether
// it has crashed an upstream, or since it is a suspect and another one runs.
func (c *Core) mustWait(now time.Time, e *entry) bool {
	if c.fateUnknown(now, e) {
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

// onConnectionLost notes a request whose connection to its upstream broke. Its
// retry waits until the upstream's fate is known.
func (c *Core) onConnectionLost(now time.Time, e *entry, out *decisions) {
	f := c.crashes.fate(e.upstream)
	f.forget(now)
	if now.Sub(f.crashedAt) <= crashWindow && !f.crashedAt.IsZero() && e.dispatchedAt.Before(f.crashedAt) {
		c.blame(now, f.crash, []quarantine.Key{e.quarantineKey()}, out)
		return
	}
	c.crashes.lastLoss = now
	f.losses = append(f.losses, loss{key: e.quarantineKey(), at: now})
}

func (f *upstreamFate) forget(now time.Time) {
	f.losses = slices.DeleteFunc(f.losses, func(l loss) bool { return now.Sub(l.at) > crashWindow })
}

// fateUnknown reports whether the request, or another copy of it, was lost on
// an upstream of which it is not yet known whether it has crashed.
func (c *Core) fateUnknown(now time.Time, e *entry) bool {
	if now.Sub(c.crashes.lastLoss) >= fateTimeout {
		return false
	}
	key := e.quarantineKey()
	pending := func(l loss) bool {
		return l.key == key && l.reports < fateReports && now.Sub(l.at) < fateTimeout
	}
	for _, f := range c.crashes.fates {
		if slices.ContainsFunc(f.losses, pending) {
			return true
		}
	}
	return false
}

// onFate takes news of an upstream: its incarnation, or "" where it is unreachable.
func (c *Core) onFate(now time.Time, upstream, incarnation string, out *decisions) {
	f := c.crashes.fate(upstream)
	f.forget(now)
	ended := upstream + "/" + f.incarnation
	crashed := incarnation == "" || (f.incarnation != "" && f.incarnation != incarnation)
	if incarnation != "" {
		f.incarnation = incarnation
	}
	if !crashed {
		for i := range f.losses {
			f.losses[i].reports++
		}
		return
	}
	f.crashedAt = now
	f.crash = ended
	keys := make([]quarantine.Key, 0, len(f.losses))
	for _, l := range f.losses {
		if !slices.Contains(keys, l.key) {
			keys = append(keys, l.key)
		}
	}
	f.losses = nil
	c.blame(now, f.crash, keys, out)
}

func (c *Core) blame(now time.Time, crash string, keys []quarantine.Key, out *decisions) {
	if len(keys) > 0 {
		c.tellSuspicions(c.crashes.tracker.RecordCrash(now, crash, keys), out)
	}
}

// clearSuspect takes a request that ended without a crash.
func (c *Core) clearSuspect(now time.Time, e *entry, out *decisions) {
	if e.suspect {
		c.tellSuspicions(c.crashes.tracker.ClearSuspect(now, e.quarantineKey()), out)
	}
}

func (c *Core) tellSuspicions(suspicions []quarantine.Suspicion, out *decisions) {
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

// onSuspicion takes what another host tells of a request.
func (c *Core) onSuspicion(now time.Time, m *wire.CrashSuspicion) {
	if len(m.Key) != len(quarantine.Key{}) {
		return
	}
	c.crashes.tracker.Learn(now, quarantine.Suspicion{
		Key: quarantine.Key(m.Key), Crashes: m.Crashes, Holder: m.Holder, CrashID: m.LastCrash,
		TTL: time.Duration(m.DurationMillis) * time.Millisecond,
	})
}

// refuseSuspects ends the requests among the waiting ones that have been
// quarantined meanwhile, or whose deadline has passed.
func (c *Core) refuseSuspects(now time.Time, ids []sched.RequestID, out *decisions) {
	for _, id := range ids {
		e, ok := c.requests[id]
		if !ok || e.machine.State() != request.BackingOff {
			continue
		}
		if err := c.checkQuarantine(now, e); err != nil && !c.isUndecided(now, e) {
			c.fail(now, e, e.truthful(err), "quarantine", out)
		} else if !now.Before(e.request.Deadline) {
			c.fail(now, e, e.truthful(apierr.New(apierr.DeadlineExceeded, "")), "deadline", out)
		}
	}
}
