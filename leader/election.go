package leader

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/jasminelock/jasminelock/store"
	"github.com/jasminelock/jasminelock/wire"
)

// Table and keys of the lease.
const (
	leaseTable = "jasminelock"
	leaseKey   = "lead"
	// suspectsKey is the row in which hosts without a leader share the requests that crash upstreams. Its key
	// sorts after the lease's, so that one call reads both rows.
	suspectsKey    = "suspects"
	leaseTableRows = 2
)

// Timing of the lease. For a host, the lease expires once the host has seen it unchanged for leaseTTL by the host's
// own clock.
const (
	renewInterval = 400 * time.Millisecond
	leaseTTL      = 1300 * time.Millisecond
	// unfencedTTL replaces leaseTTL where engines check no fencing tokens, so that the holder must stop leading
	// before the lease expires. A store that takes sixty times as long as usual still renews the lease within it.
	unfencedTTL = 2 * time.Second
	// renewalOverdueAfter is how long renewals may fail before the leader lets a host that reaches the store take
	// over. It exceeds a renewal by a store that takes fifty times as long as usual, and is below maxRelayAge.
	renewalOverdueAfter = 1700 * time.Millisecond
	// heartbeatInterval is the interval between a host's heartbeats to the leader, each of which is answered.
	heartbeatInterval = 300 * time.Millisecond
	// clockMargin is added to the TTL where a lease's age is measured by the store's clock.
	clockMargin = 300 * time.Millisecond
	// leaseReadInterval is the interval at which a host without a leader reads the lease.
	leaseReadInterval = 250 * time.Millisecond
	// claimJitter is the maximum random delay of a claim; it keeps hosts from claiming a free lease all at once.
	claimJitter = 60 * time.Millisecond
	// readTimeout is the timeout for reading the lease.
	readTimeout = 1200 * time.Millisecond
	// writeTimeout is the timeout for writing the lease. A store that takes fifty times as long as usual, as the
	// platform's may, still answers within it. unfencedWriteTimeout replaces it where the leader must stop before
	// the lease expires.
	writeTimeout         = 1900 * time.Millisecond
	unfencedWriteTimeout = 1500 * time.Millisecond
)

// Secret returns the secret that hosts present on their links, "" before it is known.
func (b *Broker) Secret() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.leader.row.secret
}

// PeerURL returns the URL at which a host accepts links. It is known for the leader, on a new leader for the hosts to
// which it announces itself, and on a host whose leader does not announce rate limits for all hosts.
func (b *Broker) PeerURL(host string) (string, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if url, ok := b.announcedTo[host]; ok {
		return url, true
	}
	if host == b.leader.row.host && b.leader.row.url != "" {
		return b.leader.row.url, true
	}
	i := slices.IndexFunc(b.hosts, func(h wire.CallerHost) bool { return h.Name == host })
	if i < 0 || b.rateLimits.managed || b.hosts[i].PeerURL == "" {
		return "", false
	}
	return b.hosts[i].PeerURL, true
}

// Run keeps this host in contact with the leader, or leading, until the context ends.
func (b *Broker) Run(ctx context.Context) {
	defer b.claims.Wait()
	for ctx.Err() == nil {
		pause := b.runOnce(ctx)
		select {
		case <-ctx.Done():
		case <-b.wake:
		case <-time.After(pause):
		}
	}
}

// wakeRun makes Run call runOnce at once.
func (b *Broker) wakeRun() {
	select {
	case b.wake <- struct{}{}:
	default:
	}
}

// Start sets the context of the broker's calls.
func (b *Broker) Start(ctx context.Context) { b.ctx = ctx }

// runOnce performs the actions that are due and returns the delay until the next call.
func (b *Broker) runOnce(ctx context.Context) time.Duration {
	b.mu.Lock()
	leading, hasLeader, draining := b.leading != nil, b.leader.host != "", b.draining
	wait := time.Until(b.nextLeaseRead)
	releasing := b.releasing()
	mayTakeOver := b.leader.renewalOverdue || (b.leader.yielding && b.strong())
	b.mu.Unlock()
	switch {
	case leading && releasing:
		return b.release(ctx)
	case leading:
		return b.renew(ctx)
	case hasLeader:
		if mayTakeOver && !draining && b.options.Fenced && b.claiming.CompareAndSwap(false, true) {
			// Heartbeats continue meanwhile; without them, the leader would drop this host as gone.
			b.claims.Go(func() {
				defer b.claiming.Store(false)
				b.takeOver(ctx)
			})
		}
		b.sendHeartbeat()
		return heartbeatInterval
	case wait > 0:
		return wait
	}
	return b.lookForLeader(ctx)
}

// takeOver claims the lease of a leader that cannot renew it or yields, unless another host does so first.
func (b *Broker) takeOver(ctx context.Context) {
	b.mu.Lock()
	row, renewalOverdue, era := b.leader.row, b.leader.renewalOverdue, b.era.number
	b.mu.Unlock()
	if row.era < era {
		var err error
		if row, err = b.readLease(ctx); err != nil || b.withinEraWait(&row) {
			return
		}
	}
	delay := b.claimDelay()
	b.mu.Lock()
	if !b.strong() {
		delay += weakHostDelay
	}
	b.mu.Unlock()
	if renewalOverdue {
		if b.options.Source.StoreAge() > maxRelayAge {
			return // this host does not reach the store either
		}
		delay += renewInterval + renewalGrace
	}
	sleep(ctx, delay)
	b.tryClaim(ctx, row)
}

// renewalGrace is how much time the leader gets to renew its lease once the store answers other hosts again.
const renewalGrace = 200 * time.Millisecond

// sendHeartbeat sends a heartbeat to the leader, or drops a leader that has been silent for leaderTimeout.
func (b *Broker) sendHeartbeat() {
	b.update(func(now time.Time) {
		if b.leader.host == "" {
			return
		}
		if now.Sub(b.leader.heardAt) > leaderTimeout {
			host := b.leader.host
			b.links.Disconnect(host)
			b.loseLeader(now, "silent")
			return
		}
		b.sendToLeader(b.hostHeartbeat())
		b.removeEndedRateLimits(now)
	})
}

// endStartupWait submits the waiting requests once this host no longer waits for a leader.
func (b *Broker) endStartupWait() {
	b.update(func(now time.Time) {
		if b.leader.startupDone || b.startingUp(now) {
			return
		}
		b.leader.startupDone = true
		for _, t := range b.tickets {
			if !t.decided && t.request.Service != "" {
				b.submit(now, t)
			}
		}
	})
}

// lookForLeader reads the lease of a host without a leader, and contacts its holder or claims it. It returns the
// delay until the next read.
func (b *Broker) lookForLeader(ctx context.Context) time.Duration {
	b.endStartupWait()
	b.update(b.removeEndedRateLimits)
	row, err := b.readLease(ctx)
	if err != nil {
		return leaseReadInterval
	}
	var mayClaim, draining bool
	b.update(func(now time.Time) {
		draining = b.draining
		b.restoreSuspects(now, &row)
		b.restoreRateLimits(now, row.rateLimits)
		b.handleLeaseRead(now, &row)
		b.observeEra(row.era)
		seen := b.recordLease(now, &row)
		if b.claimedWithoutAnswer(seen) {
			b.startLeading(now, seen.version, b.claimedLease)
			return
		}
		mayClaim = seen.version == 0 || seen.released || seen.host == b.options.Host ||
			seen.expired(now, b.leader.hasLostLeader, b.leaseDuration())
		mayClaim = mayClaim && !b.withinHolderPause(seen) && !b.eraWait(seen) && !now.Before(b.noClaimUntil)
		if !mayClaim {
			b.sendTo(seen.host, b.hostHeartbeat())
		}
	})
	if !mayClaim || draining {
		b.shareSuspects(ctx, &row)
		return leaseReadInterval
	}
	b.mu.Lock()
	seen := b.leader.row
	b.mu.Unlock()
	if wait := b.remainingDeferral(seen.version); wait > 0 {
		return wait
	}
	sleep(ctx, b.claimDelay())
	if b.tryClaim(ctx, seen) {
		return 0 // the row now names the host that claimed first
	}
	return leaseReadInterval
}

// handleLeaseRead submits the requests that have waited for the first read of the lease's row. If there is no such
// row, the whole fleet has just started.
func (b *Broker) handleLeaseRead(now time.Time, row *leaseView) {
	waiting := !b.leaseRead && b.startingUp(now)
	if !b.leaseRead && row.version == 0 {
		b.local.SetFirstInFleet()
	}
	b.leaseRead = true
	if !waiting {
		return
	}
	for _, t := range b.tickets {
		if !t.decided && t.request.Service != "" && !b.needsLeader(t.request.Service) {
			b.submit(now, t)
		}
	}
}

// claimDelay returns a random delay that keeps hosts from claiming a lease all at once.
func (b *Broker) claimDelay() time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return time.Duration(b.options.Random.Float64() * float64(claimJitter))
}

// strongRatio is the minimum ratio of a leader's cores to those of the host with the most cores.
const strongRatio = 0.6

// strong reports whether this host has at least strongRatio of the cores of any other host. The leader that is to
// be replaced is not counted.
func (b *Broker) strong() bool {
	highest := 0.0
	if len(b.hosts) == 0 {
		highest = b.leader.row.maxCores
	}
	for _, h := range b.hosts {
		if h.Name != b.leader.row.host {
			highest = max(highest, h.Cores)
		}
	}
	return b.options.Cores >= strongRatio*highest
}

// maxCores returns the highest processor time of any host, in cores.
func (b *Broker) maxCores() float64 {
	highest := b.options.Cores
	for _, h := range b.hosts {
		highest = max(highest, h.Cores)
	}
	return highest
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// renew renews the lease that this host holds.
func (b *Broker) renew(ctx context.Context) time.Duration {
	b.mu.Lock()
	if b.leader.reclaiming {
		b.mu.Unlock()
		return b.reclaim(ctx)
	}
	row, fence := b.leader.row, b.leader.fence
	now := time.Now()
	usage, suspects, maxCores, limits := b.newUsageRecord(now), b.newSuspectRecord(now), b.maxCores(), b.recordedRateLimits(now)
	b.mu.Unlock()
	sentAt := b.options.Clock()
	stamp, err := b.writeLease(ctx, lease{
		Host: row.host, URL: row.url, Secret: row.secret, Usage: usage, RenewedMS: usage.ClockMS,
		Strongest: maxCores, Claim: row.claimID, Suspects: suspects, RateLimits: limits, Era: row.era,
	}, row.version)
	if errors.Is(err, store.ErrConflict) {
		return b.resolveConflict(ctx, fence)
	}
	b.update(func(now time.Time) {
		if b.leading == nil {
			return
		}
		if err == nil && b.inOtherEra(&row, stamp.Version) {
			return // the row may be another holder's: the lease is claimed again
		}
		noMembers := b.dropSilentMembers(now)
		b.logStats(now)
		b.removeEndedRateLimits(now)
		b.yieldToStronger(now)
		if noMembers && err == nil {
			b.stepAside(now)
		}
		if err == nil {
			if b.leader.renewalOverdue {
				b.log.Info("lease renewed again after failures", "fence", fence)
			}
			b.leader.row.version, b.leader.row.firstSeenAt, b.leader.renewalOverdue = stamp.Version, now, false
			b.leader.row.storeTime, b.leader.row.sentAt, b.leader.renewalSentAt = stamp.Clock, sentAt, sentAt
		} else {
			b.markRenewalOverdue(now, err.Error())
		}
		b.stopIfExpired(now)
	})
	return max(renewInterval-(b.options.Clock()-sentAt), 0)
}

// yieldAfter is how long a leader leads before it lets a stronger host take over, so that all hosts have joined.
const yieldAfter = 1500 * time.Millisecond

// yieldToStronger lets a host with much more processor time take over.
func (b *Broker) yieldToStronger(now time.Time) {
	yielding := !b.strong() && now.Sub(b.leader.ledSince) > yieldAfter
	if yielding && !b.leader.yielding {
		b.log.Info("host with more cores may take over the lease")
		b.leader.yielding = true
		b.memberListChanged()
	}
}

// markRenewalOverdue notifies the hosts once this leader has not renewed its lease for renewalOverdueAfter. It
// does not wait for a renewal in progress.
func (b *Broker) markRenewalOverdue(now time.Time, reason string) {
	if b.leading != nil && !b.leader.renewalOverdue && now.Sub(b.leader.row.firstSeenAt) > renewalOverdueAfter {
		b.leader.renewalOverdue = true
		b.log.Warn("lease not renewed", "reason", reason)
		b.memberListChanged()
	}
}

// resolveConflict reads the lease to find out whether its row was changed by this host, with a renewal whose
// answer was lost, or by another host.
func (b *Broker) resolveConflict(ctx context.Context, fence int64) time.Duration {
	row, err := b.readLease(ctx)
	if err != nil {
		return leaseReadInterval
	}
	b.update(func(now time.Time) {
		if b.observeEra(row.era); b.leading != nil && b.leader.reclaiming {
			return
		}
		own := row.host == b.options.Host && b.leading != nil && b.leader.fence == fence
		switch {
		case own && row.released:
			b.stopLeading(now, "shutting down")
		case own:
			b.leader.row.version, b.leader.row.firstSeenAt = row.version, now
			b.stopIfExpired(now)
			return
		default:
			b.stopLeading(now, "another host holds the lease")
		}
		row.firstSeenAt = now
		b.leader.row = row
	})
	return 0
}

// release releases the lease. A leader that cannot release it goes on leading until the store is back, its process
// ends, or a host that reaches the store takes over.
func (b *Broker) release(ctx context.Context) time.Duration {
	b.mu.Lock()
	row, fence := b.leader.row, b.leader.fence
	now := time.Now()
	usage, suspects, limits := b.newUsageRecord(now), b.newSuspectRecord(now), b.recordedRateLimits(now)
	b.mu.Unlock()
	if !b.options.Fenced {
		// Another host may lead before the store's answer arrives.
		b.update(func(now time.Time) { b.stopLeading(now, "releasing the lease") })
	}
	l := lease{
		Host: row.host, URL: row.url, Secret: row.secret, Released: true, Usage: usage, Strongest: row.maxCores, Suspects: suspects, RateLimits: limits,
		Era: row.era,
	}
	_, err := b.writeLease(ctx, l, row.version)
	if errors.Is(err, store.ErrConflict) {
		return b.resolveConflict(ctx, fence)
	}
	b.update(func(now time.Time) {
		switch {
		case b.leading == nil:
			if err != nil {
				b.log.Warn("lease not released; it will expire", "error", err)
			}
		case err == nil:
			b.stopLeading(now, "shutting down")
		default:
			b.dropSilentMembers(now)
			b.releaseFailed(err)
		}
	})
	return leaseReadInterval
}

// releaseFailed lets other hosts take over at once, since this host is about to stop.
func (b *Broker) releaseFailed(err error) {
	if !b.leader.renewalOverdue {
		b.leader.renewalOverdue = true
		b.log.Warn("lease not released; this host continues to lead", "error", err)
		b.memberListChanged()
	}
}
