package leader

import (
	"time"

	"github.com/jasminelock/jasminelock/wire"
)

// A host is strong if it has at least strongRatio of the cores of any other host, and weak otherwise. A new leader
// announces itself to every host that it knows, and weak hosts wait for that announcement. The loss of a leader
// therefore causes a few store calls of the strong hosts instead of some calls of every host.
const (
	// announceMargin is how long beyond the lease's duration a weak host waits for the next leader's announcement
	// before it reads the lease. A leader that is gone is replaced within that time.
	announceMargin = leaseReadInterval + claimJitter
	// tableChangeReserve is the part of Options.MaxPropagation kept for a change that the lost leader has not relayed:
	// the time to notice the leader's silence, and a read of the tables.
	tableChangeReserve = leaderTimeout + heartbeatInterval + 900*time.Millisecond
	// weakHostDelay is how much longer a weak host waits before it claims the lease. It exceeds leaseReadInterval,
	// so that every strong host has read the lease before.
	weakHostDelay = 700 * time.Millisecond
	// maxFirstClaimDelay bounds how long the weakest host delays its claim while it knows no other host, as at the
	// first start of the fleet.
	maxFirstClaimDelay = 400 * time.Millisecond
	// announcePeriod is how long a new leader tries to open links to announce itself.
	announcePeriod = 5 * time.Second
)

// announce notifies hosts that this host leads with the given fencing token.
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
				b.announcedTo = nil // hosts open links to the leader from here on
			}
		})
	})
}

// awaitSuccessor decides how a host that has lost its leader finds the next one: a strong host reads the lease at
// once, a weak one waits for an announcement. If the link has ended, the leader may still be running, so a
// heartbeat is sent to it.
func (b *Broker) awaitSuccessor(now time.Time, reason string) {
	if reason == reasonLinkEnded {
		b.sendTo(b.leader.row.host, b.hostHeartbeat())
	}
	if b.strong() || len(b.hosts) == 0 || b.leader.row.released {
		b.nextLeaseRead, b.inSync = time.Time{}, false
		b.wakeRun()
		b.options.Source.SetRelayed(false)
		return
	}
	announceWait := b.leaseDuration() + announceMargin
	b.nextLeaseRead = now.Add(announceWait)
	time.AfterFunc(announceWait, b.wakeRun)
	lostAt := now
	b.leader.lostAt = lostAt
	time.AfterFunc(min(max(b.options.MaxPropagation-tableChangeReserve, 0), announceWait), func() {
		b.update(func(time.Time) {
			if b.leader.host == "" && b.leader.lostAt.Equal(lostAt) {
				b.inSync = false
				b.options.Source.SetRelayed(false)
			}
		})
	})
}

// reasonLinkEnded is the reason for the loss of a leader or a member whose last link has ended.
const reasonLinkEnded = "link ended"

// claimDeferral is the time until which a host does not claim the lease of one version.
type claimDeferral struct {
	version int64
	until   time.Time
	started bool
}

// remainingDeferral returns how long this host still leaves the lease of the given version to stronger hosts. The
// caller reads the lease again after that time.
func (b *Broker) remainingDeferral(version int64) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	p := &b.deferral
	if !p.started || p.version != version {
		*p = claimDeferral{version: version, until: time.Now().Add(b.initialDeferral()), started: true}
	}
	return time.Until(p.until)
}

// initialDeferral returns how long a host leaves a lease to stronger hosts after it has first seen it. A host that
// knows no other hosts derives the time from its own cores.
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
	// minDeferralCores keeps the deferral of the weakest hosts finite.
	minDeferralCores = 0.01
	// halfCoreDeferral is the deferral of a host with half a core.
	halfCoreDeferral = 100 * time.Millisecond
)
