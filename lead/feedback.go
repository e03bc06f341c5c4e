package lead

import (
	"time"

	"github.com/jasminelock/jasminelock/assign"
	"github.com/jasminelock/jasminelock/catalog"
	"github.com/jasminelock/jasminelock/wire"
)

// maxLeaving bounds the upstreams that are remembered to leave. It is above how
// many the size to design for has at a time.
const maxLeaving = 4096

// upstreamIncarnation names one start of an upstream, which may come again with its ID.
type upstreamIncarnation struct {
	id        string
	startedAt int64
}

// upstreamFeedback is what upstreams have told this host with their answers. It
// holds whatever the store says or does not say, and whoever decides.
type upstreamFeedback struct {
	// leaving holds the upstreams that leave and since when that is known.
	leaving map[upstreamIncarnation]time.Time
	// backOffUntil holds until when upstreams want no request of this host.
	backOffUntil map[string]time.Time
}

func newUpstreamFeedback() upstreamFeedback {
	return upstreamFeedback{leaving: map[upstreamIncarnation]time.Time{}, backOffUntil: map[string]time.Time{}}
}

// left notes that an upstream leaves and reports whether that is new. Where too
// many are remembered, the one known longest is forgotten.
func (s *upstreamFeedback) addLeaving(now time.Time, u upstreamIncarnation) bool {
	if _, known := s.leaving[u]; known {
		return false
	}
	if len(s.leaving) >= maxLeaving {
		oldest := u
		for other, at := range s.leaving {
			if oldest == u || at.Before(s.leaving[oldest]) {
				oldest = other
			}
		}
		delete(s.leaving, oldest)
	}
	s.leaving[u] = now
	return true
}

// backOff notes for how long an upstream wants no request of this host.
func (s *upstreamFeedback) setBackOff(now time.Time, id string, d time.Duration) {
	if d <= 0 {
		return
	}
	for other, until := range s.backOffUntil {
		if !now.Before(until) {
			delete(s.backOffUntil, other)
		}
	}
	if until := now.Add(d); until.After(s.backOffUntil[id]) {
		s.backOffUntil[id] = until
	}
}

// Withheld reports whether an upstream has told this host that it takes no request
// of it now, and why: it leaves, or it wants none for a while.
func (b *Broker) Withheld(u *catalog.Upstream) (reason string, withheld bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if _, leaving := b.feedback.leaving[upstreamIncarnation{u.ID, u.Born}]; leaving {
		return "it leaves", true
	}
	if time.Now().Before(b.feedback.backOffUntil[u.ID]) {
		return "it asked to be left alone for a while", true
	}
	return "", false
}

// Leaving takes that an upstream has told this host that it leaves.
func (b *Broker) Leaving(u *catalog.Upstream) {
	b.update(func(now time.Time) { b.recordLeaving(now, upstreamIncarnation{u.ID, u.Born}, "") })
}

// noteLeaving keeps an upstream that leaves from being given requests here, and has
// the lead and, through it, the other hosts do the same. from is the host that has
// told, "" for the upstream itself.
func (b *Broker) recordLeaving(now time.Time, u upstreamIncarnation, from string) {
	if !b.feedback.addLeaving(now, u) {
		return
	}
	b.log.Info("upstream leaves", "upstream", u.id, "born", u.startedAt, "told_by", from)
	ev := assign.UpstreamLeaving{Upstream: u.id, Born: u.startedAt}
	b.handleLocal(now, ev)
	m := &wire.UpstreamLeaving{Upstream: u.id, Born: u.startedAt}
	switch {
	case b.leading != nil:
		b.handleLeading(now, ev)
		for host := range b.members {
			if host != from {
				b.sendTo(host, m)
			}
		}
	case b.leader.host != "" && from == "":
		b.sendToLeader(m)
	}
}

// tellLeaving tells a host that has just joined, or a new lead, which of the listed
// upstreams leave.
func (b *Broker) reportLeaving(host string) {
	for u := range b.feedback.leaving {
		listed, ok := b.view.Upstreams[u.id]
		if ok && listed.Born == u.startedAt && !listed.Draining && host != b.options.Host {
			b.sendTo(host, &wire.UpstreamLeaving{Upstream: u.id, Born: u.startedAt})
		}
	}
}
