package leader

import (
	"time"

	"github.com/jasminelock/jasminelock/assign"
	"github.com/jasminelock/jasminelock/catalog"
	"github.com/jasminelock/jasminelock/throttle"
)

// An upstream may state in its responses how many requests per second it accepts from all hosts together. Every host
// reports such limits to the leader, which announces them to all hosts. While some upstream of a service has a limit,
// the leader assigns all requests of that service, also if it is not a service of engines, so that one limiter counts
// the requests of the fleet. A host without a leader, or with a leader of an older build, uses a part of the limit that
// no other host uses (throttle.Share); such hosts pass limits on to one another. The lease's row holds the limits too,
// so that they survive the loss of every host.
const (
	// maxGrantTransit is how long an assignment to a rate-limited upstream may take from the leader to this host. The
	// leader counts it when it is made, so that late ones could reach the upstream together with newer ones.
	maxGrantTransit = 750 * time.Millisecond
	// unlistedLimitTTL is how long a limit is kept while its upstream is not listed. The store removes entries of
	// running upstreams after an outage.
	unlistedLimitTTL = time.Minute
	// invalidLimitLogInterval is the minimum time between two log lines about invalid limits.
	invalidLimitLogInterval = 5 * time.Second
	// maxPermitWait is the longest time for which a leader of an older build is told not to assign a rate-limited
	// upstream to this host.
	maxPermitWait = 10 * time.Second
)

// rateLimits is what a host knows of the rate limits of upstreams.
type rateLimits struct {
	table *throttle.Table
	// services are the services of which some upstream has a limit.
	services map[string]bool
	// managed is set while there is a leader that enforces the limits. Older builds do not.
	managed bool
	// version is the version of the leader's list, unknownRateLimits before a list of the leader has arrived.
	version uint64
	// changed are the upstreams whose limits have changed since the leader's last announcement, which is due at
	// announceAt. It is zero if no announcement is due.
	changed    map[throttle.Incarnation]bool
	announceAt time.Time
	// announced and announcedVersion are the leader's list as it was last announced.
	announced        map[throttle.Incarnation]throttle.Limit
	announcedVersion uint64
	// reportedAt is when this host last reported a limit to the leader.
	reportedAt map[throttle.Incarnation]time.Time
	// invalidLoggedAt is when an invalid limit was last logged.
	invalidLoggedAt time.Time
}

func newRateLimits() rateLimits {
	return rateLimits{
		table: throttle.NewTable(), services: map[string]bool{}, version: unknownRateLimits,
		changed: map[throttle.Incarnation]bool{}, reportedAt: map[throttle.Incarnation]time.Time{},
	}
}

// RateLimitStated records what a response states about the request rate that its upstream accepts. sentAt is when
// the request was sent.
func (b *Broker) RateLimitStated(u *catalog.Upstream, sentAt time.Time, s throttle.Statement) {
	key := throttle.Incarnation{ID: u.ID, StartedAt: u.StartedAt}
	switch {
	case s.Err != nil:
		b.logInvalidRateLimit(key, s.Err)
	case s.Stated:
		b.update(func(now time.Time) { b.rateLimitStated(now, key, s.PerSecond, "upstream") })
	case s.Absent && b.rateLimitOutdated(key, sentAt):
		b.update(func(now time.Time) { b.rateLimitAbsent(now, key) })
	}
}

func (b *Broker) logInvalidRateLimit(key throttle.Incarnation, err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if now := time.Now(); now.Sub(b.rateLimits.invalidLoggedAt) >= invalidLimitLogInterval {
		b.rateLimits.invalidLoggedAt = now
		b.log.Warn("upstream states an invalid rate limit; ignoring it", "upstream", key.ID, "born", key.StartedAt, "error", err)
	}
}

func (b *Broker) rateLimitOutdated(key throttle.Incarnation, sentAt time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.rateLimits.table.Outdated(key, sentAt)
}

// rateLimitStated records a limit that was stated to this host, or to the host toldBy.
func (b *Broker) rateLimitStated(now time.Time, key throttle.Incarnation, perSecond float64, toldBy string) {
	before, known := b.rateLimits.table.Get(key)
	if !b.rateLimits.table.Set(now, key, perSecond) {
		interval := rateLimitRestateInterval
		if before.Version == 0 {
			interval = rateLimitReportInterval // the last report may have been lost
		}
		b.reportRateLimit(now, key, interval)
		return
	}
	b.log.Info("upstream states a rate limit", "upstream", key.ID, "born", key.StartedAt, "per_second", perSecond,
		"known", known, "before", before.PerSecond, "told_by", toldBy)
	if b.leading != nil {
		b.confirmRateLimit(now, key)
	} else {
		b.reportRateLimit(now, key, 0)
	}
	b.applyRateLimit(now, key)
	b.updateLimitedServices(now)
	if !known || !before.WithdrawnAt.IsZero() {
		b.spreadRateLimit(now, key)
	}
}

// rateLimitAbsent handles a response that shows that a limit no longer holds. If there is a leader that enforces the
// limits, it decides.
func (b *Broker) rateLimitAbsent(now time.Time, key throttle.Incarnation) {
	l, known := b.rateLimits.table.Get(key)
	switch {
	case !known || !l.WithdrawnAt.IsZero():
	case b.leading == nil && b.rateLimits.managed:
		b.reportWithdrawnRateLimit(now, key, l)
	default:
		b.withdrawRateLimit(now, key, b.options.Host)
	}
}

// withdrawRateLimit lets a limit grow until it ends. toldBy is the host whose upstream responded without it.
func (b *Broker) withdrawRateLimit(now time.Time, key throttle.Incarnation, toldBy string) {
	l, _ := b.rateLimits.table.Get(key)
	b.log.Info("upstream states no rate limit any more; raising it", "upstream", key.ID, "born", key.StartedAt,
		"per_second", l.PerSecond, "ends_in", throttle.RecoveryTime.String(), "told_by", toldBy)
	b.rateLimits.table.Withdraw(now, key, 0)
	if b.leading != nil {
		b.confirmRateLimit(now, key)
	}
	b.applyRateLimit(now, key)
	b.spreadRateLimit(now, key)
}

// logRateLimitLearned logs a limit that this host has not heard itself.
func (b *Broker) logRateLimitLearned(key throttle.Incarnation, l throttle.Limit, toldBy string) {
	b.log.Info("rate limit of an upstream learned", "upstream", key.ID, "born", key.StartedAt, "per_second", l.PerSecond,
		"withdrawn", !l.WithdrawnAt.IsZero(), "told_by", toldBy)
}

// applyRateLimit passes an upstream's limit, or its end, to the Assigners.
func (b *Broker) applyRateLimit(now time.Time, key throttle.Incarnation) {
	l, ok := b.rateLimits.table.Get(key)
	if !ok {
		b.handleLocal(now, assign.RateLimitEnded{Upstream: key})
		b.handleLeading(now, assign.RateLimitEnded{Upstream: key})
		return
	}
	b.handleLocal(now, assign.RateLimitUpdated{Upstream: key, Limit: l, Share: b.rateLimitShare(key.ID)})
	b.handleLeading(now, assign.RateLimitUpdated{Upstream: key, Limit: l, Share: throttle.LeaderShare})
}

// rateLimitShare returns the share of an upstream's limit that this host's own Assigner may use.
func (b *Broker) rateLimitShare(upstream string) float64 {
	if b.rateLimits.managed {
		return 0
	}
	names := make([]string, 0, len(b.hosts))
	for _, h := range b.hosts {
		names = append(names, h.Name)
	}
	return throttle.Share(upstream, b.options.Host, names)
}

// setRateLimitsManaged records whether there is a leader that enforces the limits, and updates this host's shares.
func (b *Broker) setRateLimitsManaged(now time.Time, managed bool) {
	b.rateLimits.managed = managed
	if !managed {
		b.rateLimits.version = unknownRateLimits
	}
	b.updateRateLimitShares(now)
}

func (b *Broker) updateRateLimitShares(now time.Time) {
	b.rateLimits.table.Each(func(key throttle.Incarnation, l throttle.Limit) {
		b.handleLocal(now, assign.RateLimitUpdated{Upstream: key, Limit: l, Share: b.rateLimitShare(key.ID)})
	})
}

// updateLimitedServices updates the services of which some upstream has a limit. Their queued requests move to the
// leader.
func (b *Broker) updateLimitedServices(now time.Time) {
	services := map[string]bool{}
	grown := false
	b.rateLimits.table.Each(func(key throttle.Incarnation, _ throttle.Limit) {
		if u, ok := b.view.Upstreams[key.ID]; ok && u.StartedAt == key.StartedAt {
			services[u.Service] = true
			grown = grown || !b.rateLimits.services[u.Service]
		}
	})
	b.rateLimits.services = services
	if grown && b.rateLimits.managed {
		b.submitToLeader(now)
	}
}

// submitToLeader submits the requests that wait for this host's own Assigner to the leader, if it assigns them.
func (b *Broker) submitToLeader(now time.Time) {
	for _, t := range b.tickets {
		if t.upstream == "" && !t.decided && !t.atLeader && t.request.Service != "" && b.needsLeader(t.request.Service) {
			b.handleLocal(now, assign.RequestWithdrawn{ID: t.request.ID})
			t.request.Admitted = true
			b.submit(now, t)
		}
	}
}

func (b *Broker) removeRateLimit(now time.Time, key throttle.Incarnation) {
	b.rateLimits.table.Remove(key)
	delete(b.rateLimits.reportedAt, key)
	b.applyRateLimit(now, key)
}

// removeEndedRateLimits removes the limits that have recovered, and those of upstreams that have restarted or are
// gone. If there is a leader that enforces the limits, it decides.
func (b *Broker) removeEndedRateLimits(now time.Time) {
	if b.rateLimits.managed && b.leading == nil {
		return
	}
	removed := false
	b.rateLimits.table.Each(func(key throttle.Incarnation, l throttle.Limit) {
		u, listed := b.view.Upstreams[key.ID]
		recovered := !l.WithdrawnAt.IsZero() && now.Sub(l.WithdrawnAt) >= throttle.RecoveryTime
		gone := !listed && now.Sub(l.HeardAt) >= unlistedLimitTTL
		restarted := listed && u.StartedAt > key.StartedAt
		if !recovered && !gone && !restarted {
			return
		}
		removed = true
		b.log.Info("rate limit of an upstream removed", "upstream", key.ID, "born", key.StartedAt, "per_second", l.PerSecond,
			"recovered", recovered, "gone", gone, "restarted", restarted)
		b.removeRateLimit(now, key)
		if b.leading != nil {
			b.rateLimitChanged(now, key)
		}
	})
	if removed {
		b.updateLimitedServices(now)
	}
}

// RateLimitAdmits reports whether an assigned request may be sent under the upstream's rate limit. If not, it returns
// the reason, and for how long this host must not be assigned the upstream again, 0 if it may.
func (b *Broker) RateLimitAdmits(t *Ticket, u *catalog.Upstream) (reason string, backOff time.Duration, admitted bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	key := throttle.Incarnation{ID: u.ID, StartedAt: u.StartedAt}
	_, limited := b.rateLimits.table.Get(key)
	switch {
	case !t.atLeader || !limited && !t.rateLimited:
		return "", 0, true // this host's own Assigner has counted the request, or nobody needs to
	case t.rateLimited && b.options.Clock()-t.submittedAt-t.held > maxGrantTransit:
		return "the assignment under the upstream's rate limit arrived late", 0, false
	case t.rateLimited || b.rateLimits.managed:
		return "", 0, true
	}
	if wait, ok := b.local.TakePermit(time.Now(), key); !ok {
		return "this host's share of the upstream's rate limit is used up", min(wait, maxPermitWait), false
	}
	return "", 0, true
}
