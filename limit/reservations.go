package limit

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/jasminelock/jasminelock/wire"
)

// reservation is a pending reservation of this host.
type reservation struct {
	id       uint64 // of the current attempt; each retry gets a new one
	ticket   Ticket // the same for all attempts
	org      string
	tokens   int64
	deadline time.Time // of the current attempt
	// abandonAt is when the reservation is refused, even if an attempt is
	// pending.
	abandonAt time.Time
	leader    wire.LimitMember
}

// remoteRequest is a request of another host that waits until this host knows the
// state of the organisations that it leads.
type remoteRequest struct {
	from     wire.LimitMember
	message  *wire.LimitRequest
	deadline time.Time
	// notified is true once the requesting host has been notified of a newer
	// view.
	notified bool
}

// route decides a reservation on this host, or returns a pending result if it
// has to wait for a leader.
func (l *LeaderLimiter) route(now time.Time, res *reservation) Verdict {
	leader, ok := l.leaderOf(res.org)
	res.leader = leader
	limit := l.rates[res.org].BurstTokens
	switch {
	case !ok:
		return Verdict{RetryAfter: defaultRetryAfter, Limit: limit}
	case leader == l.self:
		v, ready := l.reserveLocally(now, res)
		if !ready {
			return Verdict{Pending: true, Limit: limit}
		}
		return v
	case l.hosts.isGone(now, leader.Host):
		return Verdict{RetryAfter: goneAfter + evidenceExpiry, Limit: limit}
	case hasNoRate(l.rates[res.org]) && !l.view.members.has(l.self):
		return Verdict{RetryAfter: defaultRetryAfter, Limit: limit}
	}
	return Verdict{Pending: true, Limit: limit}
}

// reserveLocally decides a reservation of this host as the organisation's
// leader. It is not ready while the tokens spent by the previous leader are
// unknown.
func (l *LeaderLimiter) reserveLocally(now time.Time, res *reservation) (v Verdict, ready bool) {
	rate := l.rates[res.org]
	v.Limit = rate.BurstTokens
	if l.evidenceExpired(now) {
		v.RetryAfter = defaultRetryAfter
		return v, true
	}
	if !l.fence.valid(now) {
		return v, false
	}
	if hasNoRate(rate) {
		budget, ready := l.budgetOf(now, res.org)
		if !ready {
			return v, false
		}
		holding := l.holdings[res.org]
		v.OK = budget.heldByOthers()+holding.held+res.tokens <= budget.burst
		if !v.OK {
			return v, false // a release within the wait may allow it
		}
		holding.held += res.tokens
		holding.idleReports = 0
		v.Remaining = max(0, budget.burst-budget.heldByOthers()-holding.held)
		return v, true
	}
	acct, ready := l.account(now, res.org)
	if !ready {
		v.RetryAfter = l.recoveryTime(now, res.org, res.tokens)
		return v, v.RetryAfter > 0
	}
	v.OK, v.RetryAfter = acct.take(now, res.tokens)
	v.Exhausted = !v.OK
	v.Remaining = max(0, int64(acct.tokens))
	return v, v.OK || !acct.burstPending
}

// evidenceExpired reports whether this host had evidence for its view and
// received no newer evidence in time. It is false on a host that has just joined
// its first view, since that host gets its first evidence while requests wait.
func (l *LeaderLimiter) evidenceExpired(now time.Time) bool {
	return !l.fence.validUntil.IsZero() && !l.fence.valid(now)
}

// sendToLeader sends a reservation to its leader, unless that is this host.
func (l *LeaderLimiter) sendToLeader(res *reservation) {
	if res.leader == l.self {
		return
	}
	l.send(res.leader.Host, &wire.LimitRequest{
		ID: res.id, Incarnation: l.self.Incarnation, Epoch: l.view.epoch,
		Organisation: res.org, Tokens: res.tokens,
	})
}

// resolve ends a pending reservation with a result.
func (l *LeaderLimiter) resolve(res *reservation, v Verdict) {
	delete(l.reservations, res.id)
	l.decisions = append(l.decisions, Resolved{Ticket: res.ticket, Verdict: v})
}

// onRequest handles a request of another host, and queues it if it has to wait.
func (l *LeaderLimiter) onRequest(now time.Time, from string, m *wire.LimitRequest) {
	r := &remoteRequest{
		from:     wire.LimitMember{Host: from, Incarnation: m.Incarnation},
		message:  m,
		deadline: now.Add(answerTimeout),
	}
	if !l.answerRequest(now, r) {
		l.queuedRequests = append(l.queuedRequests, r)
	}
}

// answerRequest decides another host's request. It returns false if the request
// has to wait: this host has not joined the view yet, or does not know the
// tokens spent by the previous leader.
func (l *LeaderLimiter) answerRequest(now time.Time, r *remoteRequest) bool {
	m := r.message
	if l.view == nil || l.view.epoch < m.Epoch {
		l.scheduleHeadRead()
		return false
	}
	if l.view.epoch > m.Epoch && !r.notified {
		r.notified = true
		l.send(r.from.Host, l.probe(0))
	}
	leader, _ := l.leaderOf(m.Organisation)
	rate, known := l.rates[m.Organisation]
	if leader != l.self || !known || l.evidenceExpired(now) {
		l.reply(r, Verdict{RetryAfter: defaultRetryAfter})
		return true
	}
	if !l.fence.valid(now) {
		return false
	}
	if hasNoRate(rate) {
		return l.answerInFlight(now, r)
	}
	acct, ready := l.account(now, m.Organisation)
	if !ready {
		wait := l.recoveryTime(now, m.Organisation, m.Tokens)
		if wait > 0 {
			l.reply(r, Verdict{RetryAfter: wait})
		}
		return wait > 0
	}
	var v Verdict
	v.OK, v.RetryAfter = acct.take(now, m.Tokens)
	v.Exhausted = !v.OK
	if !v.OK && acct.burstPending {
		return false
	}
	if v.OK {
		acct.addGrant(now, r.from, m.ID, m.Tokens)
	}
	v.Remaining = max(0, int64(acct.tokens))
	l.reply(r, v)
	return true
}

// answerInFlight decides a request for an in-flight budget. Only a member of the
// same view may hold a part of it, since the next leader learns holdings from
// the members only.
func (l *LeaderLimiter) answerInFlight(now time.Time, r *remoteRequest) bool {
	m := r.message
	budget, ready := l.budgetOf(now, m.Organisation)
	if !ready {
		return false
	}
	v := Verdict{OK: true}
	own := l.holdings[m.Organisation].held
	switch {
	case m.Epoch != l.view.epoch || !l.view.members.has(r.from):
		v = Verdict{RetryAfter: defaultRetryAfter}
	case !budget.grant(r.from, m.ID, m.Tokens, own):
		return false // a release within the wait may allow it
	}
	v.Remaining = max(0, budget.burst-budget.heldByOthers()-own)
	l.reply(r, v)
	return true
}

func (l *LeaderLimiter) reply(r *remoteRequest, v Verdict) {
	millis := (v.RetryAfter + time.Millisecond - 1) / time.Millisecond
	l.send(r.from.Host, &wire.LimitAnswer{
		ID: r.message.ID, Incarnation: r.message.Incarnation, Epoch: l.view.epoch,
		OK: v.OK, Exhausted: v.Exhausted, RetryMillis: int64(millis), Remaining: v.Remaining, Stamp: l.currentStamp(),
	})
}

// retryQueued retries the queued requests of other hosts and the pending
// reservations that this host decides.
func (l *LeaderLimiter) retryQueued(now time.Time) {
	l.queuedRequests = slices.DeleteFunc(l.queuedRequests, func(r *remoteRequest) bool {
		return !now.Before(r.deadline) || l.answerRequest(now, r)
	})
	for _, res := range l.pendingReservations() {
		if _, known := l.rates[res.org]; !known || res.leader != l.self {
			continue
		}
		if v, ready := l.reserveLocally(now, res); ready {
			l.resolve(res, v)
		}
	}
}

// pendingReservations returns this host's pending reservations in order of
// arrival.
func (l *LeaderLimiter) pendingReservations() []*reservation {
	if len(l.reservations) == 0 {
		return nil
	}
	byTicket := func(a, b *reservation) int { return cmp.Compare(a.ticket, b.ticket) }
	return slices.SortedFunc(maps.Values(l.reservations), byTicket)
}

// onAnswer handles a leader's answer. It ignores an answer to a reservation that
// has been abandoned or sent to another leader.
func (l *LeaderLimiter) onAnswer(m *wire.LimitAnswer) {
	if m.Incarnation != l.self.Incarnation {
		return
	}
	res, ok := l.reservations[m.ID]
	if !ok {
		return
	}
	if m.Stamp > l.stamps[res.leader].minMillis(l.now) {
		l.stamps[res.leader] = stamp{leaderMillis: m.Stamp, receivedAt: l.now}
	}
	if !l.now.Before(res.deadline) {
		l.expire(res)
		return
	}
	v := Verdict{
		OK:         m.OK,
		Exhausted:  m.Exhausted,
		RetryAfter: time.Duration(m.RetryMillis) * time.Millisecond,
		Remaining:  m.Remaining,
	}
	if rate, known := l.rates[res.org]; known {
		v.Limit = rate.BurstTokens
		if hasNoRate(rate) {
			l.onInFlightAnswer(res, m, v)
			return
		}
	}
	l.resolve(res, v)
	if m.OK {
		l.send(res.leader.Host, &wire.LimitGrantSettled{ID: m.ID, Incarnation: l.self.Incarnation, Organisation: res.org})
	}
}

// onInFlightAnswer handles the answer to a request for an in-flight budget. The
// answer is valid only in the view in which it was given: the next leader has
// received a report of the holdings without it.
func (l *LeaderLimiter) onInFlightAnswer(res *reservation, m *wire.LimitAnswer, v Verdict) {
	if m.Epoch != l.view.epoch {
		return
	}
	if m.OK {
		l.holdings[res.org].held += res.tokens
		l.holdings[res.org].idleReports = 0
	}
	l.resolve(res, v)
}

// onGrantSettled frees the capacity kept by a grant.
func (l *LeaderLimiter) onGrantSettled(now time.Time, from string, m *wire.LimitGrantSettled) {
	if acct, ok := l.accounts[m.Organisation]; ok {
		acct.releaseGrant(now, wire.LimitMember{Host: from, Incarnation: m.Incarnation}, m.ID)
	}
}

// rerouteReservations sends the pending reservations to the leaders of a new
// view.
func (l *LeaderLimiter) rerouteReservations(now time.Time) {
	for _, res := range l.pendingReservations() {
		if _, known := l.rates[res.org]; !known {
			l.resolve(res, Verdict{OverBurst: true})
			continue
		}
		l.retry(now, res)
	}
}

// retry sends a reservation again under a new ID, so that a late answer to the
// previous attempt is ignored.
func (l *LeaderLimiter) retry(now time.Time, res *reservation) {
	delete(l.reservations, res.id)
	l.lastID++
	res.id = l.lastID
	res.deadline = now.Add(answerTimeout)
	l.reservations[res.id] = res
	v := l.route(now, res)
	if v.Pending {
		l.sendToLeader(res)
		return
	}
	l.resolve(res, v)
}

// tickReservations retries unanswered reservations, and refuses those that have
// waited too long. A request for an in-flight budget is not retried, since the
// first attempt may have been granted.
func (l *LeaderLimiter) tickReservations(now time.Time) {
	if len(l.queuedRequests) > 0 || len(l.reservations) > 0 {
		l.retryQueued(now)
	}
	for _, res := range l.pendingReservations() {
		rate, known := l.rates[res.org]
		switch {
		case now.Before(res.deadline):
		case known && !hasNoRate(rate) && now.Before(res.abandonAt):
			l.retry(now, res)
		default:
			l.expire(res)
		}
	}
}

// expire refuses a reservation that has waited too long. The leader of an
// in-flight budget gets a report at once, so that it takes back a grant whose
// answer is late.
func (l *LeaderLimiter) expire(res *reservation) {
	v := Verdict{RetryAfter: defaultRetryAfter}
	rate, known := l.rates[res.org]
	if known {
		v.Limit = rate.BurstTokens
	}
	l.resolve(res, v)
	if known && hasNoRate(rate) && l.view != nil {
		l.reportHeld(res.org)
	}
}

// onReturn credits returned tokens. It ignores duplicate and reordered messages:
// tokens may be lost but never created.
func (l *LeaderLimiter) onReturn(now time.Time, from string, m *wire.LimitReturn) {
	sender := wire.LimitMember{Host: from, Incarnation: m.Incarnation}
	if m.Epoch != l.epoch() || m.Sequence <= l.receivedReturns[sender] {
		return
	}
	l.receivedReturns[sender] = m.Sequence
	if leader, ok := l.leaderOf(m.Organisation); !ok || leader != l.self {
		return
	}
	if _, known := l.rates[m.Organisation]; !known {
		return
	}
	if acct, ready := l.account(now, m.Organisation); ready {
		acct.credit(now, l.stampTime(m.Stamp), float64(m.Tokens))
	}
}
