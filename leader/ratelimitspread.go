package leader

import (
	"math"
	"slices"
	"strings"
	"time"

	"github.com/jasminelock/jasminelock/assign"
	"github.com/jasminelock/jasminelock/throttle"
	"github.com/jasminelock/jasminelock/wire"
)

const (
	// unknownRateLimits is the version that a host reports before it has received a list of limits. Hosts of older
	// builds report 0.
	unknownRateLimits = 1
	// rateLimitDelay batches the announcement of new, withdrawn and ended limits, rateLimitValueDelay that of limits
	// that only change their value, which hosts need when they lose their leader.
	rateLimitDelay      = 50 * time.Millisecond
	rateLimitValueDelay = time.Second
	// rateLimitReportInterval is the minimum time between two reports of the same limit to the leader until it has
	// confirmed it, rateLimitRestateInterval afterwards, so that the leader knows how old the limit is.
	rateLimitReportInterval  = 250 * time.Millisecond
	rateLimitRestateInterval = 2 * time.Second
	// unconfirmedLimitTTL is how long a limit stays that is not on the leader's list: the report may be under way.
	unconfirmedLimitTTL = 2 * time.Second
	// rateLimitFanout is the number of hosts to which a host without a leader that enforces limits passes on a limit
	// that it did not know. With it, one host in some hundred is missed; it hears the limit with its own requests.
	rateLimitFanout = 6
	// maxRecordedRateLimits is the maximum number of limits in the lease's row.
	maxRecordedRateLimits = 256
)

// confirmRateLimit gives a changed limit of the leader's list a new version and schedules its announcement.
func (b *Broker) confirmRateLimit(now time.Time, key throttle.Incarnation) {
	b.rateLimitChanged(now, key)
	if l, ok := b.rateLimits.table.Get(key); ok {
		l.Version = b.rateLimits.version
		b.rateLimits.table.Put(key, l)
	}
}

// rateLimitChanged advances the version of the leader's list and schedules its announcement.
func (b *Broker) rateLimitChanged(now time.Time, key throttle.Incarnation) {
	r := &b.rateLimits
	r.version++
	delay := rateLimitDelay
	if before, ok := r.announced[key]; ok {
		if l, listed := r.table.Get(key); listed && l.WithdrawnAt.IsZero() && before.WithdrawnAt.IsZero() {
			delay = rateLimitValueDelay
		}
	}
	r.changed[key] = true
	due := now.Add(delay)
	if !r.announceAt.IsZero() && !due.Before(r.announceAt) {
		return
	}
	r.announceAt = due
	time.AfterFunc(delay, func() { b.update(b.announceRateLimits) })
}

// announceRateLimits sends the changes of the leader's list to the hosts.
func (b *Broker) announceRateLimits(now time.Time) {
	r := &b.rateLimits
	if b.leading == nil || r.announceAt.IsZero() || now.Before(r.announceAt) {
		return // announced already, or due later
	}
	m := &wire.RateLimits{Version: r.version, Base: r.announcedVersion}
	for key := range r.changed {
		l, ok := r.table.Get(key)
		if !ok {
			m.Ended = append(m.Ended, wire.RateLimit{Upstream: key.ID, StartedAt: key.StartedAt})
			delete(r.announced, key)
			continue
		}
		m.Limits = append(m.Limits, wireRateLimit(now, key, l))
		r.announced[key] = l
	}
	clear(r.changed)
	r.announceAt, r.announcedVersion = time.Time{}, r.version
	for host, member := range b.members {
		if member.rateLimits {
			b.sendTo(host, m)
		}
	}
}

// syncRateLimits sends a host the leader's whole list if its heartbeat reports another version than the last one
// announced.
func (b *Broker) syncRateLimits(now time.Time, host string, version uint64) {
	if version != 0 && version != b.rateLimits.announcedVersion {
		b.sendRateLimits(now, host)
	}
}

// sendRateLimits sends a host the leader's whole list as last announced.
func (b *Broker) sendRateLimits(now time.Time, host string) {
	m := &wire.RateLimits{Version: b.rateLimits.announcedVersion}
	for key, l := range b.rateLimits.announced {
		m.Limits = append(m.Limits, wireRateLimit(now, key, l))
	}
	b.sendTo(host, m)
}

// startRateLimits makes this host's limits the leader's list.
func (b *Broker) startRateLimits(now time.Time, fence int64) {
	r := &b.rateLimits
	r.version = uint64(fence) << memberListBits
	r.announcedVersion, r.announceAt = r.version, time.Time{}
	clear(r.changed)
	r.announced = map[throttle.Incarnation]throttle.Limit{}
	r.table.Each(func(key throttle.Incarnation, l throttle.Limit) {
		l.Version = r.version
		r.table.Put(key, l)
		r.announced[key] = l
		b.handleLeading(now, assign.RateLimitUpdated{Upstream: key, Limit: l, Share: throttle.LeaderShare})
	})
	b.updateLimitedServices(now)
}

// restoreRateLimits adds the limits read with the lease that this host does not know.
func (b *Broker) restoreRateLimits(now time.Time, recorded []wire.RateLimit) {
	for i := range recorded {
		key, perSecond, ok := b.decodeRateLimit(&recorded[i], "store")
		if _, known := b.rateLimits.table.Get(key); known || !ok {
			continue
		}
		l := throttle.Limit{PerSecond: perSecond, HeardAt: now}
		if recorded[i].Withdrawn {
			l.WithdrawnAt = now
		}
		b.rateLimits.table.Put(key, l)
		b.logRateLimitLearned(key, l, "store")
		b.applyRateLimit(now, key)
	}
	b.updateLimitedServices(now)
}

// recordedRateLimits returns the limits to be stored with the lease, the latest first.
func (b *Broker) recordedRateLimits(now time.Time) []wire.RateLimit {
	var all []wire.RateLimit
	b.rateLimits.table.Each(func(key throttle.Incarnation, l throttle.Limit) { all = append(all, wireRateLimit(now, key, l)) })
	slices.SortFunc(all, func(x, y wire.RateLimit) int {
		if x.AgeMillis != y.AgeMillis {
			return int(x.AgeMillis - y.AgeMillis)
		}
		return strings.Compare(x.Upstream, y.Upstream)
	})
	return all[:min(len(all), maxRecordedRateLimits)]
}

// reportRateLimit reports a limit to the leader, unless it was reported less than interval ago.
func (b *Broker) reportRateLimit(now time.Time, key throttle.Incarnation, interval time.Duration) {
	if b.leading != nil || !b.rateLimits.managed || now.Sub(b.rateLimits.reportedAt[key]) < interval {
		return
	}
	if l, ok := b.rateLimits.table.Get(key); ok {
		b.rateLimits.reportedAt[key] = now
		b.sendToLeader(&wire.RateLimitReport{Limits: []wire.RateLimit{wireRateLimit(now, key, l)}})
	}
}

// reportWithdrawnRateLimit reports to the leader that an upstream has responded without its limit.
func (b *Broker) reportWithdrawnRateLimit(now time.Time, key throttle.Incarnation, l throttle.Limit) {
	if now.Sub(b.rateLimits.reportedAt[key]) < rateLimitReportInterval {
		return
	}
	b.rateLimits.reportedAt[key] = now
	l.WithdrawnAt = now
	b.sendToLeader(&wire.RateLimitReport{Limits: []wire.RateLimit{wireRateLimit(now, key, l)}})
}

// reportRateLimits reports all limits that this host knows to a new leader.
func (b *Broker) reportRateLimits(now time.Time) {
	clear(b.rateLimits.reportedAt)
	if all := b.recordedRateLimits(now); len(all) > 0 && b.leading == nil && b.rateLimits.managed {
		b.sendToLeader(&wire.RateLimitReport{Limits: all})
	}
}

// spreadRateLimit passes a new or withdrawn limit on to some hosts, unless there is a leader that announces it.
func (b *Broker) spreadRateLimit(now time.Time, key throttle.Incarnation) {
	l, ok := b.rateLimits.table.Get(key)
	if !ok || b.leading != nil || b.rateLimits.managed {
		return
	}
	m := &wire.RateLimitReport{Limits: []wire.RateLimit{wireRateLimit(now, key, l)}}
	if !l.WithdrawnAt.IsZero() {
		m.Limits[0].AgeMillis = now.Sub(l.WithdrawnAt).Milliseconds()
	}
	b.sendToSome(m, rateLimitFanout)
}

// receiveSpreadRateLimits handles limits that another host has passed on to this one, which does not lead.
func (b *Broker) receiveSpreadRateLimits(now time.Time, from string, m *wire.RateLimitReport) {
	for i := range m.Limits {
		key, perSecond, ok := b.decodeRateLimit(&m.Limits[i], from)
		if !ok {
			continue
		}
		l, known := b.rateLimits.table.Get(key)
		newer := now.Add(-milliseconds(m.Limits[i].AgeMillis)).After(l.HeardAt)
		switch {
		case m.Limits[i].Withdrawn:
			if known && newer && l.WithdrawnAt.IsZero() && !b.rateLimits.managed {
				b.withdrawRateLimit(now, key, from)
			}
		case !known || newer && !l.WithdrawnAt.IsZero():
			// Changed values are not passed on: the hosts that may use the upstream hear them.
			b.rateLimitStated(now, key, perSecond, from)
		}
	}
}

// receiveRateLimitReport handles a host's report to this host, the leader.
func (b *Broker) receiveRateLimitReport(now time.Time, from string, m *wire.RateLimitReport) {
	for i := range m.Limits {
		reported := &m.Limits[i]
		key, perSecond, ok := b.decodeRateLimit(reported, from)
		if !ok {
			continue
		}
		l, known := b.rateLimits.table.Get(key)
		switch {
		case reported.Withdrawn:
			// A host that does not know the present version may have received an older response.
			if known && l.WithdrawnAt.IsZero() && l.Version == reported.Version {
				b.withdrawRateLimit(now, key, from)
			} else if !known {
				b.sendRateLimits(now, from) // so that the host drops the limit
			}
		case !known || reported.Version == 0 || now.Add(-milliseconds(reported.AgeMillis)).After(l.HeardAt):
			b.rateLimitStated(now, key, perSecond, from)
		}
	}
}

// receiveRateLimits handles the leader's list of limits, or its changes.
func (b *Broker) receiveRateLimits(now time.Time, from string, m *wire.RateLimits) {
	r := &b.rateLimits
	if from != b.leader.host || b.leading != nil || (m.Base != 0 && m.Base != r.version) {
		return // the version in this host's next heartbeat makes the leader send the whole list
	}
	listed := map[throttle.Incarnation]bool{}
	for i := range m.Limits {
		if key, perSecond, ok := b.decodeRateLimit(&m.Limits[i], from); ok {
			listed[key] = true
			b.learnRateLimit(now, from, key, perSecond, &m.Limits[i])
		}
	}
	for i := range m.Ended {
		b.removeRateLimit(now, throttle.Incarnation{ID: m.Ended[i].Upstream, StartedAt: m.Ended[i].StartedAt})
	}
	if m.Base == 0 {
		r.table.Each(func(key throttle.Incarnation, l throttle.Limit) {
			if !listed[key] && (l.Version != 0 || now.Sub(l.HeardAt) > unconfirmedLimitTTL) {
				b.removeRateLimit(now, key)
			}
		})
	}
	r.version = m.Version
	b.updateLimitedServices(now)
}

// learnRateLimit applies one limit of the leader's list.
func (b *Broker) learnRateLimit(now time.Time, from string, key throttle.Incarnation, perSecond float64, m *wire.RateLimit) {
	before, known := b.rateLimits.table.Get(key)
	if known && before.Version == m.Version {
		return // nothing has changed since this host heard of it
	}
	l := throttle.Limit{PerSecond: perSecond, HeardAt: now, Version: m.Version}
	if m.Withdrawn {
		l.WithdrawnAt = now
	}
	b.rateLimits.table.Put(key, l)
	if !known || before.WithdrawnAt.IsZero() == m.Withdrawn {
		b.logRateLimitLearned(key, l, from)
	}
	b.applyRateLimit(now, key)
}

// decodeRateLimit decodes a limit in another host's message or in the store. It returns false for an invalid one.
func (b *Broker) decodeRateLimit(m *wire.RateLimit, from string) (throttle.Incarnation, float64, bool) {
	key := throttle.Incarnation{ID: m.Upstream, StartedAt: m.StartedAt}
	if !(m.PerSecond >= 0 && m.PerSecond <= throttle.MaxPerSecond) || m.AgeMillis < 0 {
		b.log.Warn("reported rate limit is out of range; ignoring it", "upstream", m.Upstream, "per_second", m.PerSecond,
			"limit", throttle.MaxPerSecond, "told_by", from)
		return key, 0, false
	}
	return key, m.PerSecond, true
}

func wireRateLimit(now time.Time, key throttle.Incarnation, l throttle.Limit) wire.RateLimit {
	return wire.RateLimit{
		Upstream: key.ID, StartedAt: key.StartedAt, PerSecond: l.PerSecond, Withdrawn: !l.WithdrawnAt.IsZero(),
		AgeMillis: max(now.Sub(l.HeardAt).Milliseconds(), 0), Version: l.Version,
	}
}

// wireRateState encodes the state of a limit under which a decision was made, nil if there is none.
func wireRateState(s throttle.State) *wire.RateLimitState {
	if !s.Limited {
		return nil
	}
	return &wire.RateLimitState{PerSecond: s.PerSecond, Share: s.Share, AgeMillis: s.Age.Milliseconds()}
}

// rateState decodes the state of a limit. Invalid values are for logs only and are shown as 0.
func rateState(m *wire.RateLimitState) throttle.State {
	if m == nil || math.IsNaN(m.PerSecond) || math.IsNaN(m.Share) {
		return throttle.State{}
	}
	return throttle.State{Limited: true, PerSecond: m.PerSecond, Share: m.Share, Age: milliseconds(m.AgeMillis)}
}
