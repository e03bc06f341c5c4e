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
	announceMargin = lookEvery + claimSpread
	// tablesReserve is what remains for a change that the lost lead has not passed on:
	// the time in which its silence was noticed and a read of the tables.
	tablesReserve = leadSilence + beatEvery + 900*time.Millisecond
	// weakDelay is how much longer weak hosts leave a lease to others. It is above
	// lookEvery, so that every strong host has looked before.
	weakDelay = 700 * time.Millisecond
	// slowestClaim is how long the weakest host leaves a lease to others that it
	// knows nothing of, as at the first start of all.
	slowestClaim = 400 * time.Millisecond
	// announceFor is how long the links are tried that tell of a new lead.
	announceFor = 5 * time.Second
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
	time.AfterFunc(announceFor, func() {
		b.step(func(time.Time) {
			if b.lead.fence == fence {
				b.announcedTo = nil // from here on hosts link to the lead
			}
		})
	})
}

// awaitSuccessor decides what a host does that has lost its lead. Where the link has
// ended, the lead may still be there.
func (b *Broker) awaitSuccessor(now time.Time, why string) {
	if why == linkEnded {
		b.sendTo(b.lead.row.host, b.hostBeat())
	}
	if b.strong() || len(b.hosts) == 0 || b.lead.row.released {
		b.lookAt, b.inStep = time.Time{}, false
		b.wakeUp()
		b.options.Source.SetRelayed(false)
		return
	}
	announceWait := b.leaseTime() + announceMargin
	b.lookAt = now.Add(announceWait)
	time.AfterFunc(announceWait, b.wakeUp)
	lostAt := now
	b.lead.lostAt = lostAt
	time.AfterFunc(min(max(b.options.MaxPropagation-tablesReserve, 0), announceWait), func() {
		b.step(func(time.Time) {
			if b.lead.host == "" && b.lead.lostAt.Equal(lostAt) {
				b.inStep = false
				b.options.Source.SetRelayed(false)
			}
		})
	})
}

// linkEnded is why a lead was lost whose link has ended.
const linkEnded = "link ended"

// patience is until when a host leaves the lease of a version to others.
type patience struct {
	version int64
	until   time.Time
	begun   bool
}

// leaveToOthers returns for how long this host leaves a lease to stronger hosts. It
// reads the lease again after that.
func (b *Broker) leaveToOthers(version int64) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	p := &b.patience
	if !p.begun || p.version != version {
		*p = patience{version: version, until: time.Now().Add(b.deference()), begun: true}
	}
	return time.Until(p.until)
}

// deference is how long a host leaves a lease to stronger hosts at first. One that
// knows of no others goes by its own strength.
func (b *Broker) deference() time.Duration {
	switch {
	case !b.strong():
		return weakDelay
	case len(b.hosts) == 0 && b.lead.row.strongest == 0 && b.options.Cores < 1:
		return min(time.Duration((1/max(b.options.Cores, leastCores)-1)*float64(deferencePerCore)), slowestClaim)
	}
	return 0
}

const (
	// leastCores keeps the deference of the weakest hosts finite.
	leastCores = 0.01
	// deferencePerCore is the wait of a host with half a core.
	deferencePerCore = 100 * time.Millisecond
)
