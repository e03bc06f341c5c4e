package limit

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/jasminelock/jasminelock/wire"
)

const (
	// maxHandedOver bounds the accounts of one handover, so that its frame stays
	// under wire.MaxFrameBytes. The bucket of an organisation beyond it starts
	// empty on its new lead.
	maxHandedOver = 8000
	// maxIdleReports is how often a holding of 0 is reported before it is taken
	// to be known.
	maxIdleReports = 30
)

// adopt joins a newer view: this host stops leading what moves to others,
// passes it on, and learns what it has to wait for.
func (l *LeaderLimiter) adopt(now time.Time, message *wire.LimitView) {
	if message.Epoch <= l.epoch() {
		return
	}
	before := l.view
	l.view = newView(message)
	// What this host leads is current only if it was a member just before.
	continuous := before != nil && before.epoch+1 == message.Epoch && l.view.previous.has(l.self)
	wasReady := l.readySlots(continuous)
	l.fence.reset(now)
	l.returns = map[string]uint64{}
	l.returned = map[wire.LimitMember]uint64{}
	maps.DeleteFunc(l.stamps, func(m wire.LimitMember, _ stamp) bool { return !l.view.members.has(m) })
	l.fence.join(now, l.view, l.self)
	l.handedOver = map[wire.LimitMember]time.Time{}
	if !continuous {
		l.accounts = map[string]*account{}
	}
	l.slots = wasReady
	l.handovers = l.collect(now)
	l.newcomers = map[string]uint64{}
	if before == nil {
		l.joinAlone = now.Add(l.jitter(aloneAfter))
	}
	l.wantHead()
	l.nextResend = time.Time{}
	l.nextRound = now.Add(resendInterval)
	l.rerouteAsks(now)
	if own, ok := l.handovers[l.self.Host]; ok {
		delete(l.handovers, l.self.Host)
		l.takeHandover(now, l.self, own)
	}
	l.tickResend(now)
	l.serveQueued(now)
}

// readySlots returns the budgets in flight that this host leads on and knows.
func (l *LeaderLimiter) readySlots(continuous bool) map[string]*slots {
	kept := map[string]*slots{}
	for org, s := range l.slots {
		lead, _ := l.leadOf(org)
		if continuous && s.reported == nil && lead == l.self {
			kept[org] = s
		}
	}
	return kept
}

// collect takes the accounts that move away out of this host's own, and returns
// what each member is to be told. Every new member hears from every previous
// one, even if there is nothing to pass on: it may act only then.
func (l *LeaderLimiter) collect(now time.Time) map[string]*wire.LimitHandover {
	all := map[string]*wire.LimitHandover{}
	if !l.view.previous.has(l.self) {
		return all
	}
	to := func(host string) *wire.LimitHandover {
		if all[host] == nil {
			all[host] = &wire.LimitHandover{Incarnation: l.self.Incarnation, Epoch: l.view.epoch}
		}
		return all[host]
	}
	for _, m := range l.view.members.list {
		if !l.view.previous.has(m) || m == l.self {
			to(m.Host)
		}
	}
	for _, org := range slices.Sorted(maps.Keys(l.accounts)) {
		a := l.accounts[org]
		lead, ok := l.leadOf(org)
		if ok && lead == l.self {
			continue
		}
		delete(l.accounts, org)
		h := to(lead.Host)
		if !ok || len(h.Accounts) >= maxHandedOver {
			continue
		}
		a.refill(now)
		h.Accounts = append(h.Accounts, wire.LimitAccount{Organisation: org, Tokens: a.tokens, Granted: a.inFlight})
	}
	for _, org := range slices.Sorted(maps.Keys(l.held)) {
		if lead, ok := l.leadOf(org); ok {
			h := to(lead.Host)
			h.Held = append(h.Held, l.heldReport(org))
		}
	}
	return all
}

// tickResend sends handovers until they are acknowledged.
func (l *LeaderLimiter) tickResend(now time.Time) {
	if len(l.handovers) == 0 || now.Before(l.nextResend) {
		return
	}
	l.nextResend = now.Add(resendInterval)
	for _, m := range l.view.members.list {
		if h, ok := l.handovers[m.Host]; ok {
			l.send(m.Host, h)
		}
	}
}

func (l *LeaderLimiter) onHandover(now time.Time, from string, m *wire.LimitHandover) {
	switch {
	case m.Epoch > l.epoch():
		l.wantHead() // sent again later
		return
	case m.Epoch == l.epoch():
		member := wire.LimitMember{Host: from, Incarnation: m.Incarnation}
		l.fence.join(now, l.view, member)
		l.takeHandover(now, member, m)
	}
	l.send(from, &wire.LimitHandoverAck{Epoch: m.Epoch})
}

func (l *LeaderLimiter) onHandoverAck(from string, m *wire.LimitHandoverAck) {
	if h, ok := l.handovers[from]; ok && h.Epoch == m.Epoch {
		delete(l.handovers, from)
	}
}

// takeHandover takes what a member of the previous view led, once.
func (l *LeaderLimiter) takeHandover(now time.Time, from wire.LimitMember, m *wire.LimitHandover) {
	if _, again := l.handedOver[from]; again || !l.view.previous.has(from) {
		return
	}
	for _, moved := range m.Accounts {
		l.takeAccount(now, from, moved)
	}
	for _, held := range m.Held {
		// What this host holds itself is counted as it stands, not as reported.
		if s, ok := l.ledSlots(held.Organisation); ok && from != l.self {
			s.report(from, &held)
		}
	}
	l.handedOver[from] = now
	l.serveQueued(now)
}

func (l *LeaderLimiter) takeAccount(now time.Time, from wire.LimitMember, moved wire.LimitAccount) {
	rate, known := l.rates[moved.Organisation]
	before, _ := l.view.previous.lead(moved.Organisation)
	lead, _ := l.leadOf(moved.Organisation)
	_, started := l.accounts[moved.Organisation]
	if !known || before != from || lead != l.self || started || inFlightOnly(rate) {
		return
	}
	a := newAccount(now, rate)
	if moved.Granted > 0 {
		a.granted = []grant{{tokens: moved.Granted, expires: now.Add(grantTTL)}}
		a.inFlight = moved.Granted
	}
	a.tokens = math.Min(moved.Tokens, a.room())
	l.accounts[moved.Organisation] = a
}

// account returns the bucket of an organisation if this host leads it. It is not
// ready while the lead before may still act. A bucket that nobody has passed on
// starts empty at the time since which no other host acts; whether the first
// burst is still to be given out, the table service is asked.
func (l *LeaderLimiter) account(now time.Time, org string) (a *account, ready bool) {
	if lead, ok := l.leadOf(org); !ok || lead != l.self {
		return nil, false
	}
	if a, ok := l.accounts[org]; ok {
		return a, true
	}
	since, ready := l.aloneSince(now, org)
	if !ready {
		return nil, false
	}
	a = newAccount(since, l.rates[org])
	a.creating = true
	l.accounts[org] = a
	l.create(org)
	return a, true
}

// aloneSince is since when only this host may act for an organisation that it
// leads. It reports false while another one may.
func (l *LeaderLimiter) aloneSince(now time.Time, org string) (time.Time, bool) {
	before, had := l.view.previous.lead(org)
	if !had || before == l.self {
		return l.fence.adoptedAt, true
	}
	if at, ok := l.handedOver[before]; ok {
		return at, true
	}
	return l.fence.voidAt(), l.fence.void(now, l.view)
}

// blocked is how long it takes until a bucket that is not ready holds tokens, if
// that is longer than a request may wait: the lead before is lost, so its time has
// to run out, and the bucket starts empty. Otherwise it is 0.
func (l *LeaderLimiter) blocked(now time.Time, org string, tokens int64) time.Duration {
	if _, started := l.accounts[org]; started || now.Before(l.fence.adoptedAt.Add(handoverGrace)) {
		return 0
	}
	wait := voidAfter
	if !l.fence.majorityAt.IsZero() {
		wait = l.fence.voidAt().Sub(now)
	}
	fill := float64(tokens) / l.rates[org].TokensPerSecond
	return wait + time.Duration(math.Ceil(fill*float64(time.Second)))
}

// ledSlots returns a budget in flight that this host leads, ready or not.
func (l *LeaderLimiter) ledSlots(org string) (*slots, bool) {
	rate, known := l.rates[org]
	lead, ok := l.leadOf(org)
	if !known || !ok || lead != l.self || !inFlightOnly(rate) {
		return nil, false
	}
	s, started := l.slots[org]
	if !started {
		s = newSlots(rate.BurstTokens)
		l.slots[org] = s
	}
	return s, true
}

// slot returns a budget in flight that this host leads. It is ready once every
// member of the previous view has said what it holds or acts no more.
func (l *LeaderLimiter) slot(now time.Time, org string) (s *slots, ready bool) {
	s, ok := l.ledSlots(org)
	if !ok {
		return nil, false
	}
	void := l.fence.void(now, l.view)
	if s.reported != nil && (void || l.allReported(s)) && l.quiet(now) {
		s.reported = nil
	}
	if void {
		l.reclaim(s)
	}
	return s, s.reported == nil
}

// quiet says that slotQuiet has passed since this host joined the view, or that
// there was no view before.
func (l *LeaderLimiter) quiet(now time.Time) bool {
	return len(l.view.previous.list) == 0 || !now.Before(l.fence.adoptedAt.Add(slotQuiet))
}

func (l *LeaderLimiter) allReported(s *slots) bool {
	return !slices.ContainsFunc(l.view.previous.list, func(m wire.LimitMember) bool {
		return m != l.self && !s.reported[m]
	})
}

// reclaim takes back what hosts hold that are members no more.
func (l *LeaderLimiter) reclaim(s *slots) {
	for m := range s.holders {
		if !l.view.members.has(m) {
			delete(s.holders, m)
		}
	}
}

// release notes that this host no longer holds a part of a budget in flight.
func (l *LeaderLimiter) release(org string, n int64) {
	own := l.held[org]
	own.held = max(0, own.held-n)
	own.idleReports = 0
	if l.view == nil {
		return
	}
	l.reportHeld(org)
	l.serveQueued(l.now)
}

// tickHeld repeats what this host holds, since a report may be lost.
func (l *LeaderLimiter) tickHeld(now time.Time) {
	if l.view == nil || now.Before(l.nextHeld) {
		return
	}
	l.nextHeld = now.Add(heldInterval)
	for _, org := range slices.Sorted(maps.Keys(l.held)) {
		own := l.held[org]
		if own.held > 0 || own.idleReports < maxIdleReports {
			own.idleReports++
			l.reportHeld(org)
		}
	}
}

func (l *LeaderLimiter) reportHeld(org string) {
	lead, ok := l.leadOf(org)
	if !ok || lead == l.self {
		return
	}
	report := l.heldReport(org)
	l.send(lead.Host, &report)
}

// heldReport says what this host holds, all asks but those under way included.
func (l *LeaderLimiter) heldReport(org string) wire.LimitHeld {
	resolved := l.lastID
	for id, a := range l.asks {
		if a.org == org {
			resolved = min(resolved, id-1)
		}
	}
	return wire.LimitHeld{
		Incarnation: l.self.Incarnation, Epoch: l.epoch(), Organisation: org,
		Held: l.held[org].held, Resolved: resolved,
	}
}

func (l *LeaderLimiter) onHeld(from string, m *wire.LimitHeld) {
	sender := wire.LimitMember{Host: from, Incarnation: m.Incarnation}
	if m.Epoch != l.epoch() || l.view == nil || !l.view.members.has(sender) {
		return
	}
	if s, ok := l.ledSlots(m.Organisation); ok {
		s.report(sender, m)
		l.serveQueued(l.now)
	}
}

// UpdateHosts implements Limiter.
func (l *LeaderLimiter) UpdateHosts(now time.Time, hosts []string) []Decision {
	l.hosts.update(l.at(now), hosts, l.view)
	return l.take()
}
