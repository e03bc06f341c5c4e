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
	suspectsKey = "suspects"
	rowsOfTable = 2
)

// Times of the lease. A lease that was not renewed for leaseTTL, as whoever
// wants it has seen with its own clock, may be taken over.
const (
	renewEvery = 400 * time.Millisecond
	leaseTTL   = 1300 * time.Millisecond
	// unfencedTTL is the same where the holder must have stopped before. A store that
	// takes sixty times as long as usual renews the lease in it.
	unfencedTTL = 2 * time.Second
	// weakAfter is how long renewals may fail before the lead lets others take
	// over that reach the store. It is above a renewal by a store that takes fifty
	// times as long as usual, and below relayAge.
	weakAfter = 1700 * time.Millisecond
	// beatEvery is how often hosts tell the lead that they are there, which it
	// answers.
	beatEvery = 300 * time.Millisecond
	// clockMargin is what is added where a lease is judged by the store's clock.
	clockMargin = 300 * time.Millisecond
	// lookEvery is how often a host without a lead reads the lease.
	lookEvery = 250 * time.Millisecond
	// claimSpread keeps hosts from claiming a free lease all at once.
	claimSpread = 60 * time.Millisecond
	// callTimeout bounds the reading of the lease.
	callTimeout = 1200 * time.Millisecond
	// writeTimeout bounds its writing. A store that takes fifty times as long as
	// usual, as the platform's may, still answers in it. unfencedTimeout bounds it
	// where the lead must have stopped before the lease lapses.
	writeTimeout    = 1900 * time.Millisecond
	unfencedTimeout = 1500 * time.Millisecond
)

// Secret returns what hosts present on their links, "" before it is known.
func (b *Broker) Secret() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.lead.row.secret
}

// PeerURL returns where a host accepts links. Only the lead is linked to, and by a
// new lead the hosts that it tells of itself.
func (b *Broker) PeerURL(host string) (string, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if url, ok := b.announcedTo[host]; ok {
		return url, true
	}
	return b.lead.row.url, host == b.lead.row.host && b.lead.row.url != ""
}

// Run keeps this host linked to the lead, or leading, until the context ends.
func (b *Broker) Run(ctx context.Context) {
	defer b.claims.Wait()
	for ctx.Err() == nil {
		pause := b.turn(ctx)
		select {
		case <-ctx.Done():
		case <-b.wake:
		case <-time.After(pause):
		}
	}
}

// wakeUp has Run take its next turn at once.
func (b *Broker) wakeUp() {
	select {
	case b.wake <- struct{}{}:
	default:
	}
}

// Start gives the broker the context of its calls.
func (b *Broker) Start(ctx context.Context) { b.ctx = ctx }

// turn does what is due and returns when to be called again.
func (b *Broker) turn(ctx context.Context) time.Duration {
	b.mu.Lock()
	leading, hasLead, draining := b.leading != nil, b.lead.host != "", b.draining
	waits := time.Until(b.lookAt)
	aside := b.lead.aside
	weak, yields := b.lead.weak || (b.lead.yields && b.strong()), b.lead.yields
	b.mu.Unlock()
	switch {
	case leading && (draining || aside || (yields && !b.options.Fenced)):
		return b.release(ctx)
	case leading:
		return b.renew(ctx)
	case hasLead:
		if weak && !draining && b.options.Fenced && b.claiming.CompareAndSwap(false, true) {
			// Beats go on meanwhile, or the lead would take this host to be gone.
			b.claims.Go(func() {
				defer b.claiming.Store(false)
				b.takeOver(ctx)
			})
		}
		b.beat()
		return beatEvery
	case waits > 0:
		return waits
	}
	return b.look(ctx)
}

// takeOver claims the lease of a lead that cannot renew it, unless another host
// does so first.
func (b *Broker) takeOver(ctx context.Context) {
	b.mu.Lock()
	row, weak := b.lead.row, b.lead.weak
	b.mu.Unlock()
	delay := b.claimDelay()
	b.mu.Lock()
	if !b.strong() {
		delay += weakDelay
	}
	b.mu.Unlock()
	if weak {
		if b.options.Source.StoreAge() > relayAge {
			return // this host does not reach the store either
		}
		delay += renewEvery + renewAgain
	}
	pause(ctx, delay)
	b.tryClaim(ctx, row)
}

// renewAgain is how long the lead is left to renew its lease after the store is
// back for other hosts.
const renewAgain = 200 * time.Millisecond

// beat tells the lead that this host is there, and gives it up where it is silent.
func (b *Broker) beat() {
	b.step(func(now time.Time) {
		if b.lead.host == "" {
			return
		}
		if now.Sub(b.lead.heardAt) > leadSilence {
			host := b.lead.host
			b.links.Drop(host)
			b.loseLead(now, "silent")
			return
		}
		b.sendLead(b.hostBeat())
	})
}

// goOnAlone has this host decide by itself once it no longer waits for a lead.
func (b *Broker) goOnAlone() {
	b.step(func(now time.Time) {
		if b.lead.everHeard || b.blank(now) {
			return
		}
		b.lead.everHeard = true
		for _, t := range b.tickets {
			if !t.settled && t.request.Service != "" {
				b.send(now, t)
			}
		}
	})
}

// look reads the lease of a host that knows no lead.
func (b *Broker) look(ctx context.Context) time.Duration {
	b.goOnAlone()
	row, err := b.readLease(ctx)
	if err != nil {
		return lookEvery
	}
	var claim, draining bool
	b.step(func(now time.Time) {
		draining = b.draining
		b.recallSuspects(now, &row)
		b.firstLook(now, &row)
		seen := &b.lead.row
		if row.version != seen.version || row.host != seen.host {
			row.since = now
			*seen = row
		} else {
			seen.url, seen.secret, seen.released = row.url, row.secret, seen.released || row.released
			seen.usage, seen.sentAt, seen.clock, seen.renewed = row.usage, row.sentAt, row.clock, row.renewed
			seen.strongest, seen.suspects = row.strongest, row.suspects
		}
		if b.claimedUnheard(seen) {
			b.startLeading(now, seen.version, b.claimedFrom)
			return
		}
		claim = seen.version == 0 || seen.released || seen.host == b.options.Host || seen.lapsed(now, b.lead.lost, b.leaseTime())
		claim = claim && !b.tookTurn(seen) && !now.Before(b.asideUntil)
		if !claim {
			b.sendTo(seen.host, b.hostBeat())
		}
	})
	if !claim || draining {
		b.shareSuspects(ctx, &row)
		return lookEvery
	}
	b.mu.Lock()
	seen := b.lead.row
	b.mu.Unlock()
	if wait := b.leaveToOthers(seen.version); wait > 0 {
		return wait
	}
	pause(ctx, b.claimDelay())
	if b.tryClaim(ctx, seen) {
		return 0 // the row tells who has claimed it first
	}
	return lookEvery
}

// firstLook sends the requests that have waited for the lease's row to be read. Without
// one, the whole fleet has just started.
func (b *Broker) firstLook(now time.Time, row *leaseView) {
	waits := !b.looked && b.blank(now)
	if !b.looked && row.version == 0 {
		b.local.SetFirstInFleet()
	}
	b.looked = true
	if !waits {
		return
	}
	for _, t := range b.tickets {
		if !t.settled && t.request.Service != "" && !b.needsLead(t.request.Service) {
			b.send(now, t)
		}
	}
}

// claimDelay keeps hosts from claiming a lease all at once.
func (b *Broker) claimDelay() time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return time.Duration(b.options.Random.Float64() * float64(claimSpread))
}

// strongPart is the part of the strongest host's processor time that a lead
// should have.
const strongPart = 0.6

// strong reports whether no other host has much more processor time. The lead
// that is to be replaced does not count.
func (b *Broker) strong() bool {
	most := 0.0
	if len(b.hosts) == 0 {
		most = b.lead.row.strongest
	}
	for _, h := range b.hosts {
		if h.Name != b.lead.row.host {
			most = max(most, h.Cores)
		}
	}
	return b.options.Cores >= strongPart*most
}

// strongest returns the most processor time of a host.
func (b *Broker) strongest() float64 {
	most := b.options.Cores
	for _, h := range b.hosts {
		most = max(most, h.Cores)
	}
	return most
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// renew renews the lease that this host holds.
func (b *Broker) renew(ctx context.Context) time.Duration {
	b.mu.Lock()
	row, fence := b.lead.row, b.lead.fence
	now := time.Now()
	usage, suspects, strongest := b.recordUsage(now), b.recordSuspects(now), b.strongest()
	b.mu.Unlock()
	sentAt := b.options.Clock()
	stamp, err := b.writeLease(ctx, lease{
		Host: row.host, URL: row.url, Secret: row.secret, Usage: usage, RenewedMS: usage.ClockMS,
		Strongest: strongest, Claim: row.claim, Suspects: suspects,
	}, row.version)
	if errors.Is(err, store.ErrConflict) {
		return b.conflict(ctx, fence)
	}
	b.step(func(now time.Time) {
		if b.leading == nil {
			return
		}
		alone := b.dropSilent(now)
		b.logStats(now)
		b.yieldToStronger(now)
		if alone && err == nil {
			b.stepAside(now)
		}
		if err == nil {
			if b.lead.weak {
				b.log.Info("lease renewed again", "fence", fence)
			}
			b.lead.row.version, b.lead.row.since, b.lead.weak = stamp.Version, now, false
			b.lead.row.clock, b.lead.row.sentAt, b.lead.heldFrom = stamp.Clock, sentAt, sentAt
		} else {
			b.noteWeak(now, err.Error())
		}
		b.endExpired(now)
	})
	return max(renewEvery-(b.options.Clock()-sentAt), 0)
}

// yieldAfter is how long a lead leads before it lets a stronger host take over,
// so that it has heard of all.
const yieldAfter = 1500 * time.Millisecond

// yieldToStronger lets a host with much more processor time take over.
func (b *Broker) yieldToStronger(now time.Time) {
	yields := !b.strong() && now.Sub(b.lead.ledSince) > yieldAfter
	if yields && !b.lead.yields {
		b.log.Info("a stronger host may lead")
		b.lead.yields = true
		b.rosterChanged()
	}
}

// noteWeak tells hosts when this lead has not renewed its lease for a while, for
// which a renewal under way is not waited.
func (b *Broker) noteWeak(now time.Time, why string) {
	if b.leading != nil && !b.lead.weak && now.Sub(b.lead.row.since) > weakAfter {
		b.lead.weak = true
		b.log.Warn("lease not renewed", "reason", why)
		b.rosterChanged()
	}
}

// conflict finds out whether a renewal whose answer was lost has changed the
// row, or another host.
func (b *Broker) conflict(ctx context.Context, fence int64) time.Duration {
	row, err := b.readLease(ctx)
	if err != nil {
		return lookEvery
	}
	b.step(func(now time.Time) {
		own := row.host == b.options.Host && b.leading != nil && b.lead.fence == fence
		switch {
		case own && row.released:
			b.stopLeading(now, "shutting down")
		case own:
			b.lead.row.version, b.lead.row.since = row.version, now
			b.endExpired(now)
			return
		default:
			b.stopLeading(now, "another host holds the lease")
		}
		row.since = now
		b.lead.row = row
	})
	return 0
}

// release gives the lease back. A lead that cannot goes on leading until the
// store is back, its process ends, or a host that reaches the store takes over.
func (b *Broker) release(ctx context.Context) time.Duration {
	b.mu.Lock()
	row, fence := b.lead.row, b.lead.fence
	now := time.Now()
	usage, suspects := b.recordUsage(now), b.recordSuspects(now)
	b.mu.Unlock()
	if !b.options.Fenced {
		// Another host may lead before the answer is here.
		b.step(func(now time.Time) { b.stopLeading(now, "the lease is given back") })
	}
	l := lease{Host: row.host, URL: row.url, Secret: row.secret, Released: true, Usage: usage, Strongest: row.strongest, Suspects: suspects}
	_, err := b.writeLease(ctx, l, row.version)
	if errors.Is(err, store.ErrConflict) {
		return b.conflict(ctx, fence)
	}
	b.step(func(now time.Time) {
		switch {
		case b.leading == nil:
			if err != nil {
				b.log.Warn("lease not given back; it lapses", "error", err)
			}
		case err == nil:
			b.stopLeading(now, "shutting down")
		default:
			b.dropSilent(now)
			b.releaseFailed(err)
		}
	})
	return lookEvery
}

// releaseFailed lets others take over at once, since this host is about to end.
func (b *Broker) releaseFailed(err error) {
	if !b.lead.weak {
		b.lead.weak = true
		b.log.Warn("lease not given back; this host goes on leading", "error", err)
		b.rosterChanged()
	}
}
