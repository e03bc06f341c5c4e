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

// upstreamStart names one start of an upstream, which may come again with its ID.
type upstreamStart struct {
	id   string
	born int64
}

// toldByUpstreams is what upstreams have told this host with their answers. It
// holds whatever the store says or does not say, and whoever decides.
type toldByUpstreams struct {
	// leaving holds the upstreams that leave and since when that is known.
	leaving map[upstreamStart]time.Time
	// backOffUntil holds until when upstreams want no request of this host.
	backOffUntil map[string]time.Time
}

func newToldByUpstreams() toldByUpstreams {
	return toldByUpstreams{leaving: map[upstreamStart]time.Time{}, backOffUntil: map[string]time.Time{}}
}

// left notes that an upstream leaves and reports whether that is new. Where too
// many are remembered, the one known longest is forgotten.
func (s *toldByUpstreams) left(now time.Time, u upstreamStart) bool {
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
func (s *toldByUpstreams) backOff(now time.Time, id string, d time.Duration) {
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

// DeclinesRequests reports whether an upstream has told this host that it takes no request
// of it now, and why: it leaves, or it wants none for a while.
func (b *Broker) DeclinesRequests(u *catalog.Upstream) (reason string, withheld bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if _, leaving := b.upstreams.leaving[upstreamStart{u.ID, u.StartedAt}]; leaving {
		return "it leaves", true
	}
	if time.Now().Before(b.upstreams.backOffUntil[u.ID]) {
		return "it asked to be left alone for a while", true
	}
	return "", false
}

// UpstreamLeaving takes that an upstream has told this host that it leaves.
func (b *Broker) UpstreamLeaving(u *catalog.Upstream) {
	b.step(func(now time.Time) { b.noteLeaving(now, upstreamStart{u.ID, u.StartedAt}, "") })
}

// noteLeaving keeps an upstream that leaves from being given requests here, and has
// the lead and, through it, the other hosts do the same. from is the host that has
// told, "" for the upstream itself.
func (b *Broker) noteLeaving(now time.Time, u upstreamStart, from string) {
	if !b.upstreams.left(now, u) {
		return
	}
	b.log.Info("upstream leaves", "upstream", u.id, "born", u.born, "told_by", from)
	ev := assign.UpstreamLeaving{Upstream: u.id, StartedAt: u.born}
	b.handleLocal(now, ev)
	m := &wire.UpstreamLeaving{Upstream: u.id, StartedAt: u.born}
	switch {
	case b.leading != nil:
		b.handleLeading(now, ev)
		for host := range b.members {
			if host != from {
				b.sendTo(host, m)
			}
		}
	case b.lead.host != "" && from == "":
		b.sendLead(m)
	}
}

// tellLeaving tells a host that has just joined, or a new lead, which of the listed
// upstreams leave.
func (b *Broker) tellLeaving(host string) {
	for u := range b.upstreams.leaving {
		listed, ok := b.view.Upstreams[u.id]
		if ok && listed.StartedAt == u.born && !listed.Draining && host != b.options.Host {
			b.sendTo(host, &wire.UpstreamLeaving{Upstream: u.id, StartedAt: u.born})
		}
	}
}
