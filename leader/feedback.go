package leader

import (
	"time"

	"github.com/jasminelock/jasminelock/assign"
	"github.com/jasminelock/jasminelock/catalog"
	"github.com/jasminelock/jasminelock/wire"
)

// maxLeaving bounds the number of leaving upstreams that are remembered. It exceeds the number that are leaving at
// the same time at the design scale.
const maxLeaving = 4096

// upstreamIncarnation identifies one incarnation of an upstream, which may start again under the same ID.
type upstreamIncarnation struct {
	id        string
	startedAt int64
}

// upstreamFeedback is what upstreams have reported to this host with their answers. It is kept independently of
// the store's contents and of which Assigner assigns the requests.
type upstreamFeedback struct {
	// leaving maps the upstream incarnations that are leaving to the time at which this host was notified.
	leaving map[upstreamIncarnation]time.Time
	// backOffUntil maps upstream IDs to the time until which the upstream accepts no requests from this host.
	backOffUntil map[string]time.Time
}

func newUpstreamFeedback() upstreamFeedback {
	return upstreamFeedback{leaving: map[upstreamIncarnation]time.Time{}, backOffUntil: map[string]time.Time{}}
}

// addLeaving records that an upstream is leaving and reports whether that is new. Beyond maxLeaving, the oldest record
// is dropped.
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

// setBackOff records for how long an upstream accepts no requests from this host.
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

// DeclinesRequests reports whether requests must not be sent to an upstream because of what it has reported to this
// host, and why: it is leaving, or it accepts none for a while.
func (b *Broker) DeclinesRequests(u *catalog.Upstream) (reason string, declines bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if _, leaving := b.feedback.leaving[upstreamIncarnation{u.ID, u.StartedAt}]; leaving {
		return "the upstream is leaving", true
	}
	if time.Now().Before(b.feedback.backOffUntil[u.ID]) {
		return "the upstream asked this host to back off", true
	}
	return "", false
}

// UpstreamLeaving records an upstream's report to this host that it is leaving.
func (b *Broker) UpstreamLeaving(u *catalog.Upstream) {
	b.update(func(now time.Time) { b.recordLeaving(now, upstreamIncarnation{u.ID, u.StartedAt}, "") })
}

// recordLeaving stops the assignment of requests to a leaving upstream on this host, and notifies the leader and,
// through the leader, the other hosts. from is the host that sent the notice, "" if the upstream itself reported
// it.
func (b *Broker) recordLeaving(now time.Time, u upstreamIncarnation, from string) {
	if !b.feedback.addLeaving(now, u) {
		return
	}
	b.log.Info("upstream is leaving", "upstream", u.id, "born", u.startedAt, "told_by", from)
	ev := assign.UpstreamLeaving{Upstream: u.id, StartedAt: u.startedAt}
	b.handleLocal(now, ev)
	m := &wire.UpstreamLeaving{Upstream: u.id, StartedAt: u.startedAt}
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

// reportLeaving notifies a host that has just joined, or a new leader, of the listed upstreams that are leaving.
func (b *Broker) reportLeaving(host string) {
	for u := range b.feedback.leaving {
		listed, ok := b.view.Upstreams[u.id]
		if ok && listed.StartedAt == u.startedAt && !listed.Draining && host != b.options.Host {
			b.sendTo(host, &wire.UpstreamLeaving{Upstream: u.id, StartedAt: u.startedAt})
		}
	}
}
