package leader

import (
	"context"
	"time"

	"github.com/jasminelock/jasminelock/store"
	"github.com/jasminelock/jasminelock/watch"
	"github.com/jasminelock/jasminelock/wire"
)

// storeEra is what this host knows of the era of the store, which rises each time the store is restored from a copy.
type storeEra struct {
	number int64
	// seenAt is when this host first learned of the era, by Options.Clock.
	seenAt time.Duration
	// refuted is the era that another host has last told of and the store has not confirmed, at refutedAt. checkedAt is when
	// this host last asked the store because of such a message.
	refuted   int64
	refutedAt time.Time
	checkedAt time.Time
	// askedFor is the host that this leader has asked for what it knows of the time before the restore, at askedAt.
	askedFor string
	askedAt  time.Time
	// reclaims is the number of times that this host has claimed its lease again in a new era.
	reclaims int64
}

// outdated reports whether the store was restored from a copy since the row was written. The row may be older than the
// last claim then, and so may the absence of the row.
func (v *leaseView) outdated() bool {
	return v.era > 0 && (v.version == 0 || v.writtenIn != v.era)
}

// observeEra records an era of the store. A leader whose lease is of an older era must claim it again before it sends
// orders.
func (b *Broker) observeEra(era int64) {
	if era <= b.era.number {
		return
	}
	b.era.number, b.era.seenAt = era, b.options.Clock()
	b.options.Source.ObserveEra(era)
	if b.leading != nil && store.EraOf(b.leader.fence) < era {
		b.log.Warn("store is in a new era; orders wait until the lease is claimed again", "era", era, "fence", b.leader.fence)
		b.leader.reclaiming = true
		b.wakeRun()
	}
}

// eraCheckInterval is the interval at which a host asks the store for its era after others have told of a newer one.
const eraCheckInterval = time.Second

// refutedEraTime is how long an era that the store has not confirmed is not checked again. A change must be in force within
// 5 s of the store's return, also for a host to which the store has stated the old era once more. Other eras are checked
// meanwhile, since one wrong message must not hide a true era below it.
const refutedEraTime = 4 * time.Second

// hearOfEra handles an era of the store that another host has told of. Only the store's own answer counts, since a host that
// takes a wrong era for the present one would discard every answer of the store.
func (b *Broker) hearOfEra(now time.Time, era int64) {
	if era <= b.era.number || era > store.MaxEra || now.Sub(b.era.checkedAt) < eraCheckInterval {
		return
	}
	if era == b.era.refuted && now.Sub(b.era.refutedAt) < refutedEraTime {
		return
	}
	b.era.checkedAt = now
	delay := time.Duration(0)
	if b.leading == nil {
		delay = time.Duration(b.options.Random.Float64() * float64(heartbeatInterval)) // all followers hear of it at once
	}
	go func() {
		sleep(b.ctx, delay)
		row, err := b.readLease(b.ctx)
		b.update(func(now time.Time) {
			if err != nil {
				return
			}
			b.observeEra(row.era)
			if era > b.era.number {
				b.era.refuted, b.era.refutedAt = era, now
			}
		})
	}()
}

// inOtherEra reports whether a write of the lease was answered in another era than that in which the row was read. The
// condition of the write may then have been met by another holder's row.
func (b *Broker) inOtherEra(read *leaseView, written store.Position) bool {
	b.observeEra(store.EraOf(written))
	return store.EraOf(written) != read.era || read.era < b.era.number
}

// eraWait reports whether this host must not claim a lease yet that was written before the store was restored: the last
// holder may have claimed it after the copy was taken, and sends orders until its lease expires by its own clock. The
// holder itself claims it again with reclaim.
func (b *Broker) eraWait(seen *leaseView) bool {
	return seen.outdated() && b.options.Clock()-b.era.seenAt < b.eraWaitTime()
}

// eraWaitTime is the time after the first sight of an era for which a host does not claim an outdated lease. Where engines
// check no fencing tokens, the orders of two alternating holders could overtake each other within the holder pause.
func (b *Broker) eraWaitTime() time.Duration {
	if b.options.Fenced {
		return b.leaseDuration()
	}
	return b.leaseDuration() + b.options.HolderPause
}

// withinEraWait is eraWait for a row that was just read.
func (b *Broker) withinEraWait(row *leaseView) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.observeEra(row.era)
	return row.era < b.era.number || b.eraWait(row)
}

// reclaimRetryDelay is the delay before this leader tries again to claim its lease in a new era.
const reclaimRetryDelay = 50 * time.Millisecond

// reclaim claims the lease that this host holds again in a new era of the store. The row in the copy may be absent,
// released or an older holder's. Other hosts wait before they claim it, so that only a host that took itself for the holder
// as well may have claimed it before. The Assigner continues with the new fencing token.
func (b *Broker) reclaim(ctx context.Context) time.Duration {
	seen, err := b.readLease(ctx)
	if err != nil {
		b.update(func(now time.Time) { b.reclaimFailed(now, err) })
		return reclaimRetryDelay
	}
	b.mu.Lock()
	b.observeEra(seen.era)
	b.mu.Unlock()
	if !seen.outdated() && seen.host != b.options.Host && !seen.released {
		b.update(func(now time.Time) {
			b.stopLeading(now, "another host holds the lease in the new era")
			seen.firstSeenAt = now
			b.leader.row = seen
		})
		return 0
	}
	l := b.reclaimedLease(&seen)
	sentAt := b.options.Clock()
	stamp, err := b.writeLease(ctx, l, seen.version)
	b.update(func(now time.Time) {
		switch {
		case b.leading == nil:
		case err != nil:
			b.reclaimFailed(now, err)
		case b.inOtherEra(&seen, stamp.Version):
		case b.mayHaveExpired(sentAt):
			b.stopLeading(now, "the lease was claimed again too late")
		default:
			seen.claimID, seen.sentAt, seen.storeTime = l.Claim, sentAt, stamp.Clock
			b.continueLeading(now, stamp.Version, &seen)
		}
	})
	return reclaimRetryDelay
}

// reclaimedLease returns the lease with which this leader claims again the row that was seen.
func (b *Broker) reclaimedLease(seen *leaseView) lease {
	b.mu.Lock()
	defer b.mu.Unlock()
	now, row := time.Now(), &b.leader.row
	row.storeTime, row.sentAt = seen.storeTime, seen.sentAt // the clock of the store may have been set back
	usage := b.newUsageRecord(now)
	return lease{
		Host: b.options.Host, URL: b.options.PeerURL, Secret: row.secret, Usage: usage, RenewedMS: usage.ClockMS,
		Strongest: b.maxCores(), Claim: b.options.Random.Uint64(), Suspects: b.newSuspectRecord(now),
		RateLimits: b.recordedRateLimits(now), Era: seen.era,
	}
}

// reclaimFailed notifies the hosts if this leader has not held its lease for too long, and stops leading if the lease
// may have expired.
func (b *Broker) reclaimFailed(now time.Time, err error) {
	if b.leading == nil {
		return
	}
	b.dropSilentMembers(now)
	b.markRenewalOverdue(now, err.Error())
	b.stopIfExpired(now)
}

// continueLeading continues this host's term with a new fencing token, and sends the orders that were held back.
func (b *Broker) continueLeading(now time.Time, fence int64, seen *leaseView) {
	row := &b.leader.row
	held := b.heldOrders
	b.log.Info("lease claimed again in the new era; this host continues to lead", "fence", fence, "fence_before", b.leader.fence,
		"holder_in_copy", seen.host, "orders_held", len(held))
	b.era.reclaims++
	b.leader.fence, b.leader.reclaiming, b.heldOrders = fence, false, nil
	b.leader.renewalSentAt, b.leader.renewalOverdue = seen.sentAt, false
	row.host, row.url, row.version, row.released, row.firstSeenAt = b.options.Host, b.options.PeerURL, fence, false, now
	row.era, row.writtenIn, row.claimID, row.sentAt, row.storeTime = seen.era, seen.era, seen.claimID, seen.sentAt, seen.storeTime
	b.leading.SetFence(fence)
	for host := range b.members {
		b.sendTo(host, b.leaderHeartbeat(now))
	}
	for _, o := range held {
		go b.sendOrder(o)
	}
}

// tablesAskInterval is the interval at which a leader asks a host for what it knows of the time before the restore.
const tablesAskInterval = time.Second

// wantsTables reports whether a host is to be asked for what it knows of the tables from before the restore. Only a leader
// that has started after the restore asks, and one host at a time.
func (b *Broker) wantsTables(now time.Time, from string, m *wire.HostHeartbeat) bool {
	if b.era.number == 0 || b.view.Evacuated.Continuous || !m.KnowsPriorEra || now.Sub(b.era.askedAt) < tablesAskInterval {
		return false
	}
	b.era.askedFor, b.era.askedAt = from, now
	return true
}

// pushKnownTables sends the leader what this host knows of the operator's table.
func (b *Broker) pushKnownTables(to string) {
	b.log.Info("sending the tables to a leader that has started after the store was restored", "lead", to)
	push := b.configPush(b.packedConfig(), nil)
	go func() {
		for _, u := range b.options.Source.Departed() {
			push.Departed = append(push.Departed, wire.UpstreamLeaving{Upstream: u.ID, StartedAt: u.StartedAt})
		}
		b.sendTo(to, push)
	}()
}

// priorTables decodes what another host knows of the time before the restore.
func priorTables(m *wire.ConfigPush) watch.PriorTables {
	p := watch.PriorTables{Config: m.Config, Versions: decodeVersions(m.Versions), EvacuatedZones: m.EvacuatedZones}
	for _, u := range m.Departed {
		p.Departed = append(p.Departed, watch.Incarnation{ID: u.Upstream, StartedAt: u.StartedAt})
	}
	return p
}

// learnTime is how long a host that has begun to lead waits for what others know of the time before the restore. It covers
// the time that they take to find it, and the answer of the first one that it asks.
const learnTime = followerReportTime + 2*heartbeatInterval

// learning reports whether this leader has started after the store was restored from a copy and may still learn what another
// host knows of the time before.
func (b *Broker) learning(now time.Time) bool {
	return b.era.number > 0 && !b.view.Evacuated.Continuous && now.Sub(b.leader.ledSince) <= learnTime
}

// Settled reports whether this host, which has started after the store was restored from a copy, has heard of the other
// hosts, or has waited for them long enough.
func (b *Broker) Settled() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	knows := b.view.Evacuated.Continuous
	switch {
	case b.leading != nil:
		return knows || now.Sub(b.leader.ledSince) > learnTime
	case b.leader.host != "":
		// A leader that has started after the restore as well may have learned nothing yet.
		return b.inSync && (knows || now.Sub(b.leader.ledSince) > learnTime)
	case knows:
		return true
	}
	return now.Sub(b.startedAt) > startupWait && b.options.Clock()-b.era.seenAt > b.eraWaitTime()+learnTime
}
