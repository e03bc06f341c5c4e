package lead

import (
	"time"

	"github.com/jasminelock/jasminelock/wire"
)

// A new lead tells every host that it knows of itself, and a host that is too weak
// to lead waits for that. So the loss of a lead costs the store a few calls of the
// strong hosts, not some of each.
const (
	// announceMargin is how long beyond the lease's time a weak host waits to hear of
	// the next lead before it looks for one. A lead that is gone is replaced in less.
	announceMargin = leaseReadInterval + claimJitter
	// tableChangeReserve is what remains for a change that the lost lead has not passed on:
	// the time in which its silence was noticed and a read of the tables.
	tableChangeReserve = leaderTimeout + heartbeatInterval + 900*time.Millisecond
	// weakHostDelay is how much longer weak hosts leave a lease to others. It is above
	// leaseReadInterval, so that every strong host has looked before.
	weakHostDelay = 700 * time.Millisecond
	// maxFirstClaimDelay is how long the weakest host leaves a lease to others that it
	// knows nothing of, as at the first start of all.
	maxFirstClaimDelay = 400 * time.Millisecond
	// announcePeriod is how long the links are tried that tell of a new lead.
	announcePeriod = 5 * time.Second
)

// announce tells hosts that this one leads.
func (b *Broker) announce(hosts []wire.CallerHost, fence int64) {
	m := &wire.Successor{Host: b.options.Host, URL: b.options.PeerURL, Fence: fence}
	b.announcedTo = map[string]string{}
	for _, h := range hosts {
		if h.Name != b.options.Host && h.PeerURL != "" {
			b.announcedTo[h.Name] = h.PeerURL
			b.sendTo(h.Name, m)
		}
	}
	time.AfterFunc(announcePeriod, func() {
		b.update(func(time.Time) {
			if b.leader.fence == fence {
				b.announcedTo = nil // from here on hosts link to the lead
			}
		})
	})
}

// awaitSuccessor decides what a host does that has lost its lead. Where the link has
// ended, the lead may still be there.
func (b *Broker) awaitSuccessor(now time.Time, reason string) {
	if reason == reasonLinkEnded {
		b.sendTo(b.leader.row.host, b.hostHeartbeat())
	}
	if b.strong() || len(b.hosts) == 0 || b.leader.row.released {
		b.nextLeaseRead, b.inSync = time.Time{}, false
		b.wakeRun()
		b.options.Source.Relayed(false)
		return
	}
	announceWait := b.leaseDuration() + announceMargin
	b.nextLeaseRead = now.Add(announceWait)
	time.AfterFunc(announceWait, b.wakeRun)
	lostAt := now
	b.leader.lostAt = lostAt
	time.AfterFunc(min(max(b.options.InForce-tableChangeReserve, 0), announceWait), func() {
		b.update(func(time.Time) {
			if b.leader.host == "" && b.leader.lostAt.Equal(lostAt) {
				b.inSync = false
				b.options.Source.Relayed(false)
			}
		})
	})
}

// reasonLinkEnded is why a lead was lost whose link has ended.
const reasonLinkEnded = "link ended"

// claimDeferral is until when a host leaves the lease of a version to others.
type claimDeferral struct {
	version int64
	until   time.Time
	started bool
}

// leaveToOthers returns for how long this host leaves a lease to stronger hosts. It
// reads the lease again after that.
func (b *Broker) remainingDeferral(version int64) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	p := &b.deferral
	if !p.started || p.version != version {
		*p = claimDeferral{version: version, until: time.Now().Add(b.initialDeferral()), started: true}
	}
	return time.Until(p.until)
}

// deference is how long a host leaves a lease to stronger hosts at first. One that
// knows of no others goes by its own strength.
func (b *Broker) initialDeferral() time.Duration {
	switch {
	case !b.strong():
		return weakHostDelay
	case len(b.hosts) == 0 && b.leader.row.maxCores == 0 && b.options.Cores < 1:
		return min(time.Duration((1/max(b.options.Cores, minDeferralCores)-1)*float64(halfCoreDeferral)), maxFirstClaimDelay)
	}
	return 0
}

const (
	// minDeferralCores keeps the deference of the weakest hosts finite.
	minDeferralCores = 0.01
	// halfCoreDeferral is the wait of a host with half a core.
	halfCoreDeferral = 100 * time.Millisecond
)
