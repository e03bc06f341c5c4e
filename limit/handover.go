package limit

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/jasminelock/jasminelock/wire"
)

const (
	// maxHandoverAccounts bounds the accounts of one handover, so that its frame
	// stays under wire.MaxFrameBytes. The bucket of an organisation beyond the
	// bound starts empty on its new leader.
	maxHandoverAccounts = 8000
	// maxIdleReports is how often a holding of 0 is reported before the leader is
	// assumed to know it.
	maxIdleReports = 30
)

// adoptView joins a newer view: this host stops leading the organisations that
// move to other hosts, hands them over, and determines what it has to wait for.
func (l *LeaderLimiter) adoptView(now time.Time, message *wire.LimitView) {
	if message.Epoch <= l.epoch() {
		return
	}
	before := l.view
	l.view = newView(message)
	// The state that this host keeps as a leader is current only if it was a
	// member of the view immediately before.
	continuous := before != nil && before.epoch+1 == message.Epoch && l.view.previous.has(l.self)
	wasReady := l.readyBudgets(continuous)
	l.fence.reset(now)
	l.sentReturns = map[string]uint64{}
	l.receivedReturns = map[wire.LimitMember]uint64{}
	maps.DeleteFunc(l.stamps, func(m wire.LimitMember, _ stamp) bool { return !l.view.members.has(m) })
	l.fence.recordJoin(now, l.view, l.self)
	l.handedOverAt = map[wire.LimitMember]time.Time{}
	if !continuous {
		l.accounts = map[string]*account{}
	}
	l.budgets = wasReady
	l.pendingHandovers = l.collectHandovers(now)
	l.newcomers = map[string]uint64{}
	if before == nil {
		l.joinAloneAt = now.Add(l.jitter(joinAloneAfter))
	}
	l.scheduleHeadRead()
	l.nextResend = time.Time{}
	l.nextRound = now.Add(resendInterval)
	l.rerouteReservations(now)
	if own, ok := l.pendingHandovers[l.self.Host]; ok {
		delete(l.pendingHandovers, l.self.Host)
		l.applyHandover(now, l.self, own)
	}
	l.tickHandovers(now)
	l.retryQueued(now)
}

// readyBudgets returns the in-flight budgets that this host continues to lead and
// whose holdings it knows.
func (l *LeaderLimiter) readyBudgets(continuous bool) map[string]*inFlightBudget {
	kept := map[string]*inFlightBudget{}
	for org, budget := range l.budgets {
		leader, _ := l.leaderOf(org)
		if continuous && budget.reportedBy == nil && leader == l.self {
			kept[org] = budget
		}
	}
	return kept
}

// collectHandovers removes the accounts that move to other hosts, and returns
// the handover for each member, by host name. Every new member gets a handover
// from every previous member, even an empty one: it may act only after that.
func (l *LeaderLimiter) collectHandovers(now time.Time) map[string]*wire.LimitHandover {
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
		leader, ok := l.leaderOf(org)
		if ok && leader == l.self {
			continue
		}
		delete(l.accounts, org)
		h := to(leader.Host)
		if !ok || len(h.Accounts) >= maxHandoverAccounts {
			continue
		}
		a.refill(now)
		h.Accounts = append(h.Accounts, wire.LimitAccount{Organisation: org, Tokens: a.tokens, Granted: a.outstanding})
	}
	for _, org := range slices.Sorted(maps.Keys(l.holdings)) {
		if leader, ok := l.leaderOf(org); ok {
			h := to(leader.Host)
			h.Held = append(h.Held, l.heldReport(org))
		}
	}
	return all
}

// tickHandovers sends handovers again until they are acknowledged.
func (l *LeaderLimiter) tickHandovers(now time.Time) {
	if len(l.pendingHandovers) == 0 || now.Before(l.nextResend) {
		return
	}
	l.nextResend = now.Add(resendInterval)
	for _, m := range l.view.members.list {
		if h, ok := l.pendingHandovers[m.Host]; ok {
			l.send(m.Host, h)
		}
	}
}

func (l *LeaderLimiter) onHandover(now time.Time, from string, m *wire.LimitHandover) {
	switch {
	case m.Epoch > l.epoch():
		l.scheduleHeadRead() // the handover will be sent again
		return
	case m.Epoch == l.epoch():
		member := wire.LimitMember{Host: from, Incarnation: m.Incarnation}
		l.fence.recordJoin(now, l.view, member)
		l.applyHandover(now, member, m)
	}
	l.send(from, &wire.LimitHandoverAck{Epoch: m.Epoch})
}

func (l *LeaderLimiter) onHandoverAck(from string, m *wire.LimitHandoverAck) {
	if h, ok := l.pendingHandovers[from]; ok && h.Epoch == m.Epoch {
		delete(l.pendingHandovers, from)
	}
}

// applyHandover applies the handover of a member of the previous view, once.
func (l *LeaderLimiter) applyHandover(now time.Time, from wire.LimitMember, m *wire.LimitHandover) {
	if _, again := l.handedOverAt[from]; again || !l.view.previous.has(from) {
		return
	}
	for _, moved := range m.Accounts {
		l.applyAccount(now, from, moved)
	}
	for _, held := range m.Held {
		// This host's own holding is counted directly, not from a report.
		if budget, ok := l.ledBudget(held.Organisation); ok && from != l.self {
			budget.report(from, &held)
		}
	}
	l.handedOverAt[from] = now
	l.retryQueued(now)
}

func (l *LeaderLimiter) applyAccount(now time.Time, from wire.LimitMember, moved wire.LimitAccount) {
	rate, known := l.rates[moved.Organisation]
	previousLeader, _ := l.view.previous.leader(moved.Organisation)
	leader, _ := l.leaderOf(moved.Organisation)
	_, started := l.accounts[moved.Organisation]
	if !known || previousLeader != from || leader != l.self || started || hasNoRate(rate) {
		return
	}
	a := newAccount(now, rate)
	if moved.Granted > 0 {
		a.grants = []grant{{tokens: moved.Granted, expiresAt: now.Add(grantTTL)}}
		a.outstanding = moved.Granted
	}
	a.tokens = math.Min(moved.Tokens, a.capacity())
	l.accounts[moved.Organisation] = a
}

// account returns the bucket of an organisation if this host leads it. It is not
// ready while the previous leader may still act. A bucket that no host has handed
// over starts empty at the time since which no other host acts; the organisation's
// first burst is then claimed in the table service.
func (l *LeaderLimiter) account(now time.Time, org string) (a *account, ready bool) {
	if leader, ok := l.leaderOf(org); !ok || leader != l.self {
		return nil, false
	}
	if a, ok := l.accounts[org]; ok {
		return a, true
	}
	since, ready := l.soleLeaderSince(now, org)
	if !ready {
		return nil, false
	}
	a = newAccount(since, l.rates[org])
	a.burstPending = true
	l.accounts[org] = a
	l.claimFirstBurst(org)
	return a, true
}

// soleLeaderSince returns the time since which only this host may act for an
// organisation that it leads. It returns false while another host may act.
func (l *LeaderLimiter) soleLeaderSince(now time.Time, org string) (time.Time, bool) {
	previousLeader, had := l.view.previous.leader(org)
	if !had || previousLeader == l.self {
		return l.fence.adoptedAt, true
	}
	if at, ok := l.handedOverAt[previousLeader]; ok {
		return at, true
	}
	return l.fence.previousExpiresAt(), l.fence.previousExpired(now, l.view)
}

// recoveryTime returns the time until a bucket that is not ready holds the
// tokens, if that is longer than a request may wait: the previous leader is
// lost, so its evidence has to expire, and the bucket starts empty. Otherwise it
// returns 0.
func (l *LeaderLimiter) recoveryTime(now time.Time, org string, tokens int64) time.Duration {
	if _, started := l.accounts[org]; started || now.Before(l.fence.adoptedAt.Add(handoverGrace)) {
		return 0
	}
	wait := evidenceExpiry
	if !l.fence.majorityAt.IsZero() {
		wait = l.fence.previousExpiresAt().Sub(now)
	}
	fill := float64(tokens) / l.rates[org].TokensPerSecond
	return wait + time.Duration(math.Ceil(fill*float64(time.Second)))
}

// ledBudget returns an in-flight budget that this host leads, ready or not.
func (l *LeaderLimiter) ledBudget(org string) (*inFlightBudget, bool) {
	rate, known := l.rates[org]
	leader, ok := l.leaderOf(org)
	if !known || !ok || leader != l.self || !hasNoRate(rate) {
		return nil, false
	}
	budget, started := l.budgets[org]
	if !started {
		budget = newInFlightBudget(rate.BurstTokens)
		l.budgets[org] = budget
	}
	return budget, true
}

// budgetOf returns an in-flight budget that this host leads. It is ready once
// every member of the previous view has reported its holding or can no longer
// act, and the quiet period is over.
func (l *LeaderLimiter) budgetOf(now time.Time, org string) (budget *inFlightBudget, ready bool) {
	budget, ok := l.ledBudget(org)
	if !ok {
		return nil, false
	}
	expired := l.fence.previousExpired(now, l.view)
	if budget.reportedBy != nil && (expired || l.allReported(budget)) && l.quietPeriodOver(now) {
		budget.reportedBy = nil
	}
	if expired {
		l.dropFormerMembers(budget)
	}
	return budget, budget.reportedBy == nil
}

// quietPeriodOver reports whether inFlightQuietPeriod has passed since this host
// joined the view, or there was no previous view.
func (l *LeaderLimiter) quietPeriodOver(now time.Time) bool {
	return len(l.view.previous.list) == 0 || !now.Before(l.fence.adoptedAt.Add(inFlightQuietPeriod))
}

func (l *LeaderLimiter) allReported(budget *inFlightBudget) bool {
	return !slices.ContainsFunc(l.view.previous.list, func(m wire.LimitMember) bool {
		return m != l.self && !budget.reportedBy[m]
	})
}

// dropFormerMembers drops the holdings of hosts that are no longer members.
func (l *LeaderLimiter) dropFormerMembers(budget *inFlightBudget) {
	for m := range budget.holders {
		if !l.view.members.has(m) {
			delete(budget.holders, m)
		}
	}
}

// releaseHeld records that this host no longer holds n of an in-flight budget.
func (l *LeaderLimiter) releaseHeld(org string, n int64) {
	holding := l.holdings[org]
	holding.held = max(0, holding.held-n)
	holding.idleReports = 0
	if l.view == nil {
		return
	}
	l.reportHeld(org)
	l.retryQueued(l.now)
}

// tickHeld reports this host's holdings periodically, since a report may be lost.
func (l *LeaderLimiter) tickHeld(now time.Time) {
	if l.view == nil || now.Before(l.nextHeld) {
		return
	}
	l.nextHeld = now.Add(heldInterval)
	for _, org := range slices.Sorted(maps.Keys(l.holdings)) {
		holding := l.holdings[org]
		if holding.held > 0 || holding.idleReports < maxIdleReports {
			holding.idleReports++
			l.reportHeld(org)
		}
	}
}

func (l *LeaderLimiter) reportHeld(org string) {
	leader, ok := l.leaderOf(org)
	if !ok || leader == l.self {
		return
	}
	report := l.heldReport(org)
	l.send(leader.Host, &report)
}

// heldReport returns a report of this host's holding, which includes the outcome
// of all requests up to Resolved.
func (l *LeaderLimiter) heldReport(org string) wire.LimitHeld {
	resolved := l.lastID
	for id, res := range l.reservations {
		if res.org == org {
			resolved = min(resolved, id-1)
		}
	}
	return wire.LimitHeld{
		Incarnation: l.self.Incarnation, Epoch: l.epoch(), Organisation: org,
		Held: l.holdings[org].held, Resolved: resolved,
	}
}

func (l *LeaderLimiter) onHeld(from string, m *wire.LimitHeld) {
	sender := wire.LimitMember{Host: from, Incarnation: m.Incarnation}
	if m.Epoch != l.epoch() || l.view == nil || !l.view.members.has(sender) {
		return
	}
	if budget, ok := l.ledBudget(m.Organisation); ok {
		budget.report(sender, m)
		l.retryQueued(l.now)
	}
}

// UpdateHosts implements Limiter.
func (l *LeaderLimiter) UpdateHosts(now time.Time, hosts []string) []Decision {
	l.hosts.update(l.advanceTo(now), hosts, l.view)
	return l.takeDecisions()
}
