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
	// under wire.MaxFrameBytes. The bucket of an organisation beyond the bound
	// starts empty on its new leader.
	maxHandedOver = 8000
	// maxIdleReports is how often a holding of 0 is reported before the leader is
	// assumed to know it.
	maxIdleReports = 30
)

// adopt joins a newer view: this host stops leading the organisations that move
// to other hosts, hands them over, and determines what it has to wait for.
func (l *Lead) adopt(now time.Time, message *wire.LimitView) {
	if message.Epoch <= l.epoch() {
		return
	}
	before := l.view
	l.view = newView(message)
	// The state that this host keeps as a leader is current only if it was a
	// member of the view immediately before.
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

// readySlots returns the in-flight budgets that this host continues to lead and
// whose holdings it knows.
func (l *Lead) readySlots(continuous bool) map[string]*slots {
	kept := map[string]*slots{}
	for org, s := range l.slots {
		lead, _ := l.leadOf(org)
		if continuous && s.reported == nil && lead == l.self {
			kept[org] = s
		}
	}
	return kept
}

// collect removes the accounts that move to other hosts, and returns the handover
// for each member, by host name. Every new member gets a handover from every
// previous member, even an empty one: it may act only after that.
func (l *Lead) collect(now time.Time) map[string]*wire.LimitHandover {
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

// tickResend sends handovers again until they are acknowledged.
func (l *Lead) tickResend(now time.Time) {
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

func (l *Lead) onHandover(now time.Time, from string, m *wire.LimitHandover) {
	switch {
	case m.Epoch > l.epoch():
		l.wantHead() // the handover will be sent again
		return
	case m.Epoch == l.epoch():
		member := wire.LimitMember{Host: from, Incarnation: m.Incarnation}
		l.fence.join(now, l.view, member)
		l.takeHandover(now, member, m)
	}
	l.send(from, &wire.LimitHandoverAck{Epoch: m.Epoch})
}

func (l *Lead) onHandoverAck(from string, m *wire.LimitHandoverAck) {
	if h, ok := l.handovers[from]; ok && h.Epoch == m.Epoch {
		delete(l.handovers, from)
	}
}

// takeHandover applies the handover of a member of the previous view, once.
func (l *Lead) takeHandover(now time.Time, from wire.LimitMember, m *wire.LimitHandover) {
	if _, again := l.handedOver[from]; again || !l.view.previous.has(from) {
		return
	}
	for _, moved := range m.Accounts {
		l.takeAccount(now, from, moved)
	}
	for _, held := range m.Held {
		// This host's own holding is counted directly, not from a report.
		if s, ok := l.ledSlots(held.Organisation); ok && from != l.self {
			s.report(from, &held)
		}
	}
	l.handedOver[from] = now
	l.serveQueued(now)
}

func (l *Lead) takeAccount(now time.Time, from wire.LimitMember, moved wire.LimitAccount) {
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
// ready while the previous leader may still act. A bucket that no host has handed
// over starts empty at the time since which no other host acts; the table service
// is then asked whether the first burst is still available.
func (l *Lead) account(now time.Time, org string) (a *account, ready bool) {
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

// aloneSince returns the time since which only this host may act for an
// organisation that it leads. It returns false while another host may act.
func (l *Lead) aloneSince(now time.Time, org string) (time.Time, bool) {
	before, had := l.view.previous.lead(org)
	if !had || before == l.self {
		return l.fence.adoptedAt, true
	}
	if at, ok := l.handedOver[before]; ok {
		return at, true
	}
	return l.fence.voidAt(), l.fence.void(now, l.view)
}

// blocked returns the time until a bucket that is not ready holds the tokens, if
// that is longer than a request may wait: the previous leader is lost, so its
// evidence has to expire, and the bucket starts empty. Otherwise it returns 0.
func (l *Lead) blocked(now time.Time, org string, tokens int64) time.Duration {
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

// ledSlots returns an in-flight budget that this host leads, ready or not.
func (l *Lead) ledSlots(org string) (*slots, bool) {
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

// slot returns an in-flight budget that this host leads. It is ready once every
// member of the previous view has reported its holding or can no longer act.
func (l *Lead) slot(now time.Time, org string) (s *slots, ready bool) {
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

// quiet reports whether slotQuiet has passed since this host joined the view, or
// there was no previous view.
func (l *Lead) quiet(now time.Time) bool {
	return len(l.view.previous.list) == 0 || !now.Before(l.fence.adoptedAt.Add(slotQuiet))
}

func (l *Lead) allReported(s *slots) bool {
	return !slices.ContainsFunc(l.view.previous.list, func(m wire.LimitMember) bool {
		return m != l.self && !s.reported[m]
	})
}

// reclaim drops the holdings of hosts that are no longer members.
func (l *Lead) reclaim(s *slots) {
	for m := range s.holders {
		if !l.view.members.has(m) {
			delete(s.holders, m)
		}
	}
}

// release records that this host no longer holds n of an in-flight budget.
func (l *Lead) release(org string, n int64) {
	own := l.held[org]
	own.held = max(0, own.held-n)
	own.idleReports = 0
	if l.view == nil {
		return
	}
	l.reportHeld(org)
	l.serveQueued(l.now)
}

// tickHeld reports this host's holdings periodically, since a report may be lost.
func (l *Lead) tickHeld(now time.Time) {
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

func (l *Lead) reportHeld(org string) {
	lead, ok := l.leadOf(org)
	if !ok || lead == l.self {
		return
	}
	report := l.heldReport(org)
	l.send(lead.Host, &report)
}

// heldReport returns a report of this host's holding, which includes the outcome
// of all requests up to Resolved.
func (l *Lead) heldReport(org string) wire.LimitHeld {
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

func (l *Lead) onHeld(from string, m *wire.LimitHeld) {
	sender := wire.LimitMember{Host: from, Incarnation: m.Incarnation}
	if m.Epoch != l.epoch() || l.view == nil || !l.view.members.has(sender) {
		return
	}
	if s, ok := l.ledSlots(m.Organisation); ok {
		s.report(sender, m)
		l.serveQueued(l.now)
	}
}

// Members implements Limiter.
func (l *Lead) Members(now time.Time, hosts []string) []Decision {
	l.hosts.update(l.at(now), hosts, l.view)
	return l.take()
}
