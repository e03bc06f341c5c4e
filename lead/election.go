package lead

import (
	"context"
	"errors"
	"time"

	"github.com/jasminelock/jasminelock/store"
)

// The lease's row.
const (
	leaseTable = "jasminelock"
	leaseKey   = "lead"
	// suspectsKey is the row by which hosts that have no lead tell one another of
	// requests that crash upstreams. It comes after the lease, so that one call reads both.
	suspectsKey    = "suspects"
	leaseTableRows = 2
)

// Times of the lease. A lease that was not renewed for leaseTTL, as whoever
// wants it has seen with its own clock, may be taken over.
const (
	renewInterval = 400 * time.Millisecond
	leaseTTL      = 1300 * time.Millisecond
	// unfencedTTL is the same where the holder must have stopped before. A store that
	// takes sixty times as long as usual renews the lease in it.
	unfencedTTL = 2 * time.Second
	// renewalOverdueAfter is how long renewals may fail before the lead lets others take
	// over that reach the store. It is above a renewal by a store that takes fifty
	// times as long as usual, and below maxRelayAge.
	renewalOverdueAfter = 1700 * time.Millisecond
	// heartbeatInterval is how often hosts tell the lead that they are there, which it
	// answers.
	heartbeatInterval = 300 * time.Millisecond
	// clockMargin is what is added where a lease is judged by the store's clock.
	clockMargin = 300 * time.Millisecond
	// leaseReadInterval is how often a host without a lead reads the lease.
	leaseReadInterval = 250 * time.Millisecond
	// claimJitter keeps hosts from claiming a free lease all at once.
	claimJitter = 60 * time.Millisecond
	// readTimeout bounds the reading of the lease.
	readTimeout = 1200 * time.Millisecond
	// writeTimeout bounds its writing. A store that takes fifty times as long as
	// usual, as the platform's may, still answers in it. unfencedWriteTimeout bounds it
	// where the lead must have stopped before the lease lapses.
	writeTimeout         = 1900 * time.Millisecond
	unfencedWriteTimeout = 1500 * time.Millisecond
)

// Secret returns what hosts present on their links, "" before it is known.
func (b *Broker) Secret() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.leader.row.secret
}

// PeerURL returns where a host accepts links. Only the lead is linked to, and by a
// new lead the hosts that it tells of itself.
func (b *Broker) PeerURL(host string) (string, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if url, ok := b.announcedTo[host]; ok {
		return url, true
	}
	return b.leader.row.url, host == b.leader.row.host && b.leader.row.url != ""
}

// Run keeps this host linked to the lead, or leading, until the context ends.
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

// wakeUp has Run take its next turn at once.
func (b *Broker) wakeRun() {
	select {
	case b.wake <- struct{}{}:
	default:
	}
}

// Start gives the broker the context of its calls.
func (b *Broker) Start(ctx context.Context) { b.ctx = ctx }

// turn does what is due and returns when to be called again.
func (b *Broker) runOnce(ctx context.Context) time.Duration {
	b.mu.Lock()
	leading, hasLead, draining := b.leading != nil, b.leader.host != "", b.draining
	wait := time.Until(b.nextLeaseRead)
	steppingAside := b.leader.steppingAside
	mayTakeOver, yielding := b.leader.renewalOverdue || (b.leader.yielding && b.strong()), b.leader.yielding
	b.mu.Unlock()
	switch {
	case leading && (draining || steppingAside || (yielding && !b.options.Fenced)):
		return b.release(ctx)
	case leading:
		return b.renew(ctx)
	case hasLead:
		if mayTakeOver && !draining && b.options.Fenced && b.claiming.CompareAndSwap(false, true) {
			// Beats go on meanwhile, or the lead would take this host to be gone.
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

// takeOver claims the lease of a lead that cannot renew it, unless another host
// does so first.
func (b *Broker) takeOver(ctx context.Context) {
	b.mu.Lock()
	row, renewalOverdue := b.leader.row, b.leader.renewalOverdue
	b.mu.Unlock()
	delay := b.claimDelay()
	b.mu.Lock()
	if !b.strong() {
		delay += weakHostDelay
	}
	b.mu.Unlock()
	if renewalOverdue {
		if b.options.Source.Contact() > maxRelayAge {
			return // this host does not reach the store either
		}
		delay += renewInterval + renewalGrace
	}
	sleep(ctx, delay)
	b.tryClaim(ctx, row)
}

// renewalGrace is how long the lead is left to renew its lease after the store is
// back for other hosts.
const renewalGrace = 200 * time.Millisecond

// beat tells the lead that this host is there, and gives it up where it is silent.
func (b *Broker) sendHeartbeat() {
	b.update(func(now time.Time) {
		if b.leader.host == "" {
			return
		}
		if now.Sub(b.leader.heardAt) > leaderTimeout {
			host := b.leader.host
			b.links.Drop(host)
			b.loseLeader(now, "silent")
			return
		}
		b.sendToLeader(b.hostHeartbeat())
	})
}

// goOnAlone has this host decide by itself once it no longer waits for a lead.
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

// look reads the lease of a host that knows no lead.
func (b *Broker) lookForLeader(ctx context.Context) time.Duration {
	b.endStartupWait()
	row, err := b.readLease(ctx)
	if err != nil {
		return leaseReadInterval
	}
	var mayClaim, draining bool
	b.update(func(now time.Time) {
		draining = b.draining
		b.restoreSuspects(now, &row)
		b.handleLeaseRead(now, &row)
		seen := &b.leader.row
		if row.version != seen.version || row.host != seen.host {
			row.firstSeenAt = now
			*seen = row
		} else {
			seen.url, seen.secret, seen.released = row.url, row.secret, seen.released || row.released
			seen.usage, seen.sentAt, seen.storeTime, seen.renewedAt = row.usage, row.sentAt, row.storeTime, row.renewedAt
			seen.maxCores, seen.suspects = row.maxCores, row.suspects
		}
		if b.claimedWithoutAnswer(seen) {
			b.startLeading(now, seen.version, b.claimedLease)
			return
		}
		mayClaim = seen.version == 0 || seen.released || seen.host == b.options.Host || seen.expired(now, b.leader.hasLostLeader, b.leaseDuration())
		mayClaim = mayClaim && !b.withinHolderPause(seen) && !now.Before(b.noClaimUntil)
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
		return 0 // the row tells who has claimed it first
	}
	return leaseReadInterval
}

// firstLook sends the requests that have waited for the lease's row to be read. Without
// one, the whole fleet has just started.
func (b *Broker) handleLeaseRead(now time.Time, row *leaseView) {
	waiting := !b.leaseRead && b.startingUp(now)
	if !b.leaseRead && row.version == 0 {
		b.local.SetFirst()
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

// claimDelay keeps hosts from claiming a lease all at once.
func (b *Broker) claimDelay() time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return time.Duration(b.options.Random.Float64() * float64(claimJitter))
}

// strongRatio is the part of the strongest host's processor time that a lead
// should have.
const strongRatio = 0.6

// strong reports whether no other host has much more processor time. The lead
// that is to be replaced does not count.
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

// strongest returns the most processor time of a host.
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
	row, fence := b.leader.row, b.leader.fence
	now := time.Now()
	usage, suspects, maxCores := b.newUsageRecord(now), b.newSuspectRecord(now), b.maxCores()
	b.mu.Unlock()
	sentAt := b.options.Clock()
	stamp, err := b.writeLease(ctx, lease{
		Host: row.host, URL: row.url, Secret: row.secret, Usage: usage, RenewedMS: usage.ClockMS,
		Strongest: maxCores, Claim: row.claimID, Suspects: suspects,
	}, row.version)
	if errors.Is(err, store.ErrConflict) {
		return b.resolveConflict(ctx, fence)
	}
	b.update(func(now time.Time) {
		if b.leading == nil {
			return
		}
		noMembers := b.dropSilentMembers(now)
		b.logStats(now)
		b.yieldToStronger(now)
		if noMembers && err == nil {
			b.stepAside(now)
		}
		if err == nil {
			if b.leader.renewalOverdue {
				b.log.Info("lease renewed again", "fence", fence)
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

// yieldAfter is how long a lead leads before it lets a stronger host take over,
// so that it has heard of all.
const yieldAfter = 1500 * time.Millisecond

// yieldToStronger lets a host with much more processor time take over.
func (b *Broker) yieldToStronger(now time.Time) {
	yielding := !b.strong() && now.Sub(b.leader.ledSince) > yieldAfter
	if yielding && !b.leader.yielding {
		b.log.Info("a stronger host may lead")
		b.leader.yielding = true
		b.memberListChanged()
	}
}

// noteWeak tells hosts when this lead has not renewed its lease for a while, for
// which a renewal under way is not waited.
func (b *Broker) markRenewalOverdue(now time.Time, reason string) {
	if b.leading != nil && !b.leader.renewalOverdue && now.Sub(b.leader.row.firstSeenAt) > renewalOverdueAfter {
		b.leader.renewalOverdue = true
		b.log.Warn("lease not renewed", "reason", reason)
		b.memberListChanged()
	}
}

// conflict finds out whether a renewal whose answer was lost has changed the
// row, or another host.
func (b *Broker) resolveConflict(ctx context.Context, fence int64) time.Duration {
	row, err := b.readLease(ctx)
	if err != nil {
		return leaseReadInterval
	}
	b.update(func(now time.Time) {
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

// release gives the lease back. A lead that cannot goes on leading until the
// store is back, its process ends, or a host that reaches the store takes over.
func (b *Broker) release(ctx context.Context) time.Duration {
	b.mu.Lock()
	row, fence := b.leader.row, b.leader.fence
	now := time.Now()
	usage, suspects := b.newUsageRecord(now), b.newSuspectRecord(now)
	b.mu.Unlock()
	if !b.options.Fenced {
		// Another host may lead before the answer is here.
		b.update(func(now time.Time) { b.stopLeading(now, "the lease is given back") })
	}
	l := lease{Host: row.host, URL: row.url, Secret: row.secret, Released: true, Usage: usage, Strongest: row.maxCores, Suspects: suspects}
	_, err := b.writeLease(ctx, l, row.version)
	if errors.Is(err, store.ErrConflict) {
		return b.resolveConflict(ctx, fence)
	}
	b.update(func(now time.Time) {
		switch {
		case b.leading == nil:
			if err != nil {
				b.log.Warn("lease not given back; it lapses", "error", err)
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

// releaseFailed lets others take over at once, since this host is about to end.
func (b *Broker) releaseFailed(err error) {
	if !b.leader.renewalOverdue {
		b.leader.renewalOverdue = true
		b.log.Warn("lease not given back; this host goes on leading", "error", err)
		b.memberListChanged()
	}
}
