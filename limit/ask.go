package limit

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/jasminelock/jasminelock/wire"
)

// ask is a pending reservation of this host.
type ask struct {
	id       uint64 // of the current attempt; each retry gets a new one
	ticket   Ticket // the same for all attempts
	org      string
	tokens   int64
	deadline time.Time // of the current attempt
	// giveUp is when the reservation is refused, even if an attempt is pending.
	giveUp time.Time
	lead   wire.LimitMember
}

// remoteAsk is a request of another host that waits until this host knows the
// state of the organisations that it leads.
type remoteAsk struct {
	from     wire.LimitMember
	message  *wire.LimitAsk
	deadline time.Time
	// told is true once the requesting host has been notified of a newer view.
	told bool
}

// route decides a reservation on this host, or returns a pending result if it
// has to wait for a leader.
func (l *Lead) route(now time.Time, a *ask) Verdict {
	lead, ok := l.leadOf(a.org)
	a.lead = lead
	limit := l.rates[a.org].BurstTokens
	switch {
	case !ok:
		return Verdict{RetryAfter: unknownRetry, Limit: limit}
	case lead == l.self:
		v, ready := l.decideHere(now, a)
		if !ready {
			return Verdict{Wait: true, Limit: limit}
		}
		return v
	case l.hosts.gone(now, lead.Host):
		return Verdict{RetryAfter: goneAfter + voidAfter, Limit: limit}
	case inFlightOnly(l.rates[a.org]) && !l.view.members.has(l.self):
		return Verdict{RetryAfter: unknownRetry, Limit: limit}
	}
	return Verdict{Wait: true, Limit: limit}
}

// decideHere decides a reservation of this host as the organisation's leader. It
// is not ready while the tokens spent by the previous leader are unknown.
func (l *Lead) decideHere(now time.Time, a *ask) (v Verdict, ready bool) {
	rate := l.rates[a.org]
	v.Limit = rate.BurstTokens
	if l.lapsed(now) {
		v.RetryAfter = unknownRetry
		return v, true
	}
	if !l.fence.valid(now) {
		return v, false
	}
	if inFlightOnly(rate) {
		s, ready := l.slot(now, a.org)
		if !ready {
			return v, false
		}
		own := l.held[a.org]
		v.OK = s.others()+own.held+a.tokens <= s.burst
		if !v.OK {
			return v, false // a release within the wait may allow it
		}
		own.held += a.tokens
		own.idleReports = 0
		v.Remaining = max(0, s.burst-s.others()-own.held)
		return v, true
	}
	acct, ready := l.account(now, a.org)
	if !ready {
		v.RetryAfter = l.blocked(now, a.org, a.tokens)
		return v, v.RetryAfter > 0
	}
	v.OK, v.RetryAfter = acct.take(now, a.tokens)
	v.Exhausted = !v.OK
	v.Remaining = max(0, int64(acct.tokens))
	return v, v.OK || !acct.creating
}

// lapsed reports that this host had evidence for its view and received no newer
// evidence in time. It is false on a host that has just joined its first view,
// since that host gets its first evidence while requests wait.
func (l *Lead) lapsed(now time.Time) bool {
	return !l.fence.validUntil.IsZero() && !l.fence.valid(now)
}

// askLead sends a reservation to its leader, unless that is this host.
func (l *Lead) askLead(a *ask) {
	if a.lead == l.self {
		return
	}
	l.send(a.lead.Host, &wire.LimitAsk{
		ID: a.id, Incarnation: l.self.Incarnation, Epoch: l.view.epoch,
		Organisation: a.org, Tokens: a.tokens,
	})
}

// resolve ends a pending reservation with a result.
func (l *Lead) resolve(a *ask, v Verdict) {
	delete(l.asks, a.id)
	l.out = append(l.out, Resolved{Ticket: a.ticket, Verdict: v})
}

// onAsk handles a request of another host, and queues it if it has to wait.
func (l *Lead) onAsk(now time.Time, from string, m *wire.LimitAsk) {
	r := &remoteAsk{
		from:     wire.LimitMember{Host: from, Incarnation: m.Incarnation},
		message:  m,
		deadline: now.Add(answerWait),
	}
	if !l.answer(now, r) {
		l.queued = append(l.queued, r)
	}
}

// answer decides another host's request. It returns false if the request has to
// wait: this host has not joined the view yet, or does not know the tokens spent
// by the previous leader.
func (l *Lead) answer(now time.Time, r *remoteAsk) bool {
	m := r.message
	if l.view == nil || l.view.epoch < m.Epoch {
		l.wantHead()
		return false
	}
	if l.view.epoch > m.Epoch && !r.told {
		r.told = true
		l.send(r.from.Host, l.probe(0))
	}
	lead, _ := l.leadOf(m.Organisation)
	rate, known := l.rates[m.Organisation]
	if lead != l.self || !known || l.lapsed(now) {
		l.reply(r, Verdict{RetryAfter: unknownRetry})
		return true
	}
	if !l.fence.valid(now) {
		return false
	}
	if inFlightOnly(rate) {
		return l.answerSlot(now, r)
	}
	acct, ready := l.account(now, m.Organisation)
	if !ready {
		wait := l.blocked(now, m.Organisation, m.Tokens)
		if wait > 0 {
			l.reply(r, Verdict{RetryAfter: wait})
		}
		return wait > 0
	}
	var v Verdict
	v.OK, v.RetryAfter = acct.take(now, m.Tokens)
	v.Exhausted = !v.OK
	if !v.OK && acct.creating {
		return false
	}
	if v.OK {
		acct.lend(now, r.from, m.ID, m.Tokens)
	}
	v.Remaining = max(0, int64(acct.tokens))
	l.reply(r, v)
	return true
}

// answerSlot decides a request for an in-flight budget. Only a member of the same
// view may hold a part of it, since the next leader learns holdings from the
// members only.
func (l *Lead) answerSlot(now time.Time, r *remoteAsk) bool {
	m := r.message
	s, ready := l.slot(now, m.Organisation)
	if !ready {
		return false
	}
	v := Verdict{OK: true}
	own := l.held[m.Organisation].held
	switch {
	case m.Epoch != l.view.epoch || !l.view.members.has(r.from):
		v = Verdict{RetryAfter: unknownRetry}
	case !s.grant(r.from, m.ID, m.Tokens, own):
		return false // a release within the wait may allow it
	}
	v.Remaining = max(0, s.burst-s.others()-own)
	l.reply(r, v)
	return true
}

func (l *Lead) reply(r *remoteAsk, v Verdict) {
	millis := (v.RetryAfter + time.Millisecond - 1) / time.Millisecond
	l.send(r.from.Host, &wire.LimitAnswer{
		ID: r.message.ID, Incarnation: r.message.Incarnation, Epoch: l.view.epoch,
		OK: v.OK, Exhausted: v.Exhausted, RetryMillis: int64(millis), Remaining: v.Remaining, Stamp: l.ownStamp(),
	})
}

// serveQueued retries the queued requests of other hosts and the pending
// reservations that this host decides.
func (l *Lead) serveQueued(now time.Time) {
	l.queued = slices.DeleteFunc(l.queued, func(r *remoteAsk) bool {
		return !now.Before(r.deadline) || l.answer(now, r)
	})
	for _, a := range l.waiting() {
		if _, known := l.rates[a.org]; !known || a.lead != l.self {
			continue
		}
		if v, ready := l.decideHere(now, a); ready {
			l.resolve(a, v)
		}
	}
}

// waiting returns this host's pending reservations in order of arrival.
func (l *Lead) waiting() []*ask {
	if len(l.asks) == 0 {
		return nil
	}
	byTicket := func(a, b *ask) int { return cmp.Compare(a.ticket, b.ticket) }
	return slices.SortedFunc(maps.Values(l.asks), byTicket)
}

// onAnswer handles a leader's answer. It ignores an answer to a reservation that
// has been abandoned or sent to another leader.
func (l *Lead) onAnswer(m *wire.LimitAnswer) {
	if m.Incarnation != l.self.Incarnation {
		return
	}
	a, ok := l.asks[m.ID]
	if !ok {
		return
	}
	if m.Stamp > l.stamps[a.lead].millis(l.now) {
		l.stamps[a.lead] = stamp{lead: m.Stamp, at: l.now}
	}
	if !l.now.Before(a.deadline) {
		l.expire(a)
		return
	}
	v := Verdict{
		OK:         m.OK,
		Exhausted:  m.Exhausted,
		RetryAfter: time.Duration(m.RetryMillis) * time.Millisecond,
		Remaining:  m.Remaining,
	}
	if rate, known := l.rates[a.org]; known {
		v.Limit = rate.BurstTokens
		if inFlightOnly(rate) {
			l.onSlotAnswer(a, m, v)
			return
		}
	}
	l.resolve(a, v)
	if m.OK {
		l.send(a.lead.Host, &wire.LimitSpent{ID: m.ID, Incarnation: l.self.Incarnation, Organisation: a.org})
	}
}

// onSlotAnswer handles the answer to a request for an in-flight budget. The
// answer is valid only in the view in which it was given: the next leader has
// received a report of the holdings without it.
func (l *Lead) onSlotAnswer(a *ask, m *wire.LimitAnswer, v Verdict) {
	if m.Epoch != l.view.epoch {
		return
	}
	if m.OK {
		l.held[a.org].held += a.tokens
		l.held[a.org].idleReports = 0
	}
	l.resolve(a, v)
}

// onSpent frees the capacity kept by a grant.
func (l *Lead) onSpent(now time.Time, from string, m *wire.LimitSpent) {
	if acct, ok := l.accounts[m.Organisation]; ok {
		acct.spent(now, wire.LimitMember{Host: from, Incarnation: m.Incarnation}, m.ID)
	}
}

// rerouteAsks sends the pending reservations to the leaders of a new view.
func (l *Lead) rerouteAsks(now time.Time) {
	for _, a := range l.waiting() {
		if _, known := l.rates[a.org]; !known {
			l.resolve(a, Verdict{OverBurst: true})
			continue
		}
		l.askAgain(now, a)
	}
}

// askAgain retries a reservation under a new ID, so that a late answer to the
// previous attempt is ignored.
func (l *Lead) askAgain(now time.Time, a *ask) {
	delete(l.asks, a.id)
	l.lastID++
	a.id = l.lastID
	a.deadline = now.Add(answerWait)
	l.asks[a.id] = a
	v := l.route(now, a)
	if v.Wait {
		l.askLead(a)
		return
	}
	l.resolve(a, v)
}

// tickAsks retries unanswered reservations, and refuses those that have waited
// too long. A request for an in-flight budget is not retried, since the first
// attempt may have been granted.
func (l *Lead) tickAsks(now time.Time) {
	if len(l.queued) > 0 || len(l.asks) > 0 {
		l.serveQueued(now)
	}
	for _, a := range l.waiting() {
		rate, known := l.rates[a.org]
		switch {
		case now.Before(a.deadline):
		case known && !inFlightOnly(rate) && now.Before(a.giveUp):
			l.askAgain(now, a)
		default:
			l.expire(a)
		}
	}
}

// expire refuses a reservation that has waited too long. The leader of an
// in-flight budget gets a report at once, so that it takes back a grant whose
// answer is late.
func (l *Lead) expire(a *ask) {
	v := Verdict{RetryAfter: unknownRetry}
	rate, known := l.rates[a.org]
	if known {
		v.Limit = rate.BurstTokens
	}
	l.resolve(a, v)
	if known && inFlightOnly(rate) && l.view != nil {
		l.reportHeld(a.org)
	}
}

// onReturn credits returned tokens. It ignores duplicate and reordered messages:
// tokens may be lost but never created.
func (l *Lead) onReturn(now time.Time, from string, m *wire.LimitReturn) {
	sender := wire.LimitMember{Host: from, Incarnation: m.Incarnation}
	if m.Epoch != l.epoch() || m.Sequence <= l.returned[sender] {
		return
	}
	l.returned[sender] = m.Sequence
	if lead, ok := l.leadOf(m.Organisation); !ok || lead != l.self {
		return
	}
	if _, known := l.rates[m.Organisation]; !known {
		return
	}
	if acct, ready := l.account(now, m.Organisation); ready {
		acct.credit(now, l.stamped(m.Stamp), float64(m.Tokens))
	}
}
