package limit

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/jasminelock/jasminelock/wire"
)

// ask is a reservation of this host that waits.
type ask struct {
	id       uint64 // changes when the ask goes to another lead
	ticket   Ticket // stays
	org      string
	tokens   int64
	deadline time.Time
	// giveUp is when the reservation is refused, whatever is still asked.
	giveUp time.Time
	lead   wire.LimitMember
}

// remoteAsk is another host's ask, or one of this host's own, that waits until
// this host knows what it leads.
type remoteAsk struct {
	from     wire.LimitMember
	message  *wire.LimitRequest
	deadline time.Time
	// told is true once the asking host has been told of a newer view.
	told bool
}

// route decides an ask on this host, or says that it has to wait for a lead.
func (l *LeaderLimiter) route(now time.Time, a *ask) Verdict {
	lead, ok := l.leadOf(a.org)
	a.lead = lead
	limit := l.rates[a.org].BurstTokens
	switch {
	case !ok:
		return Verdict{RetryAfter: unknownRetry, Limit: limit}
	case lead == l.self:
		v, ready := l.decideHere(now, a)
		if !ready {
			return Verdict{Pending: true, Limit: limit}
		}
		return v
	case l.hosts.gone(now, lead.Host):
		return Verdict{RetryAfter: goneAfter + voidAfter, Limit: limit}
	case inFlightOnly(l.rates[a.org]) && !l.view.members.has(l.self):
		return Verdict{RetryAfter: unknownRetry, Limit: limit}
	}
	return Verdict{Pending: true, Limit: limit}
}

// decideHere decides an ask of this host as the organisation's lead. It is not
// ready while what the lead before has spent is not known.
func (l *LeaderLimiter) decideHere(now time.Time, a *ask) (v Verdict, ready bool) {
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
			return v, false // what is given back within the wait may serve it
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

// lapsed says that this host had evidence for its view and got no newer in
// time. A host that has just joined its first view gets it within a wait.
func (l *LeaderLimiter) lapsed(now time.Time) bool {
	return !l.fence.validUntil.IsZero() && !l.fence.valid(now)
}

// askLead sends an ask to its lead, unless that is this host.
func (l *LeaderLimiter) askLead(a *ask) {
	if a.lead == l.self {
		return
	}
	l.send(a.lead.Host, &wire.LimitRequest{
		ID: a.id, Incarnation: l.self.Incarnation, Epoch: l.view.epoch,
		Organisation: a.org, Tokens: a.tokens,
	})
}

// resolve ends an ask.
func (l *LeaderLimiter) resolve(a *ask, v Verdict) {
	delete(l.asks, a.id)
	l.out = append(l.out, Resolved{Ticket: a.ticket, Verdict: v})
}

// onAsk decides another host's ask.
func (l *LeaderLimiter) onAsk(now time.Time, from string, m *wire.LimitRequest) {
	r := &remoteAsk{
		from:     wire.LimitMember{Host: from, Incarnation: m.Incarnation},
		message:  m,
		deadline: now.Add(answerWait),
	}
	if !l.answer(now, r) {
		l.queued = append(l.queued, r)
	}
}

// answer decides another host's ask. It reports false where the ask has to
// wait: this host has not joined the view yet, or does not know what the lead
// before has spent.
func (l *LeaderLimiter) answer(now time.Time, r *remoteAsk) bool {
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

// answerSlot decides an ask for a budget in flight. Only a member of the same
// view may hold any, since the next lead asks the members what they hold.
func (l *LeaderLimiter) answerSlot(now time.Time, r *remoteAsk) bool {
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
		return false // what is given back within the wait may serve it
	}
	v.Remaining = max(0, s.burst-s.others()-own)
	l.reply(r, v)
	return true
}

func (l *LeaderLimiter) reply(r *remoteAsk, v Verdict) {
	millis := (v.RetryAfter + time.Millisecond - 1) / time.Millisecond
	l.send(r.from.Host, &wire.LimitAnswer{
		ID: r.message.ID, Incarnation: r.message.Incarnation, Epoch: l.view.epoch,
		OK: v.OK, Exhausted: v.Exhausted, RetryMillis: int64(millis), Remaining: v.Remaining, Stamp: l.ownStamp(),
	})
}

// serveQueued tries again what had to wait.
func (l *LeaderLimiter) serveQueued(now time.Time) {
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

// waiting returns this host's asks in the order they came.
func (l *LeaderLimiter) waiting() []*ask {
	if len(l.asks) == 0 {
		return nil
	}
	byTicket := func(a, b *ask) int { return cmp.Compare(a.ticket, b.ticket) }
	return slices.SortedFunc(maps.Values(l.asks), byTicket)
}

// onAnswer takes a lead's answer. One that comes after the ask was given up,
// or sent to another lead, counts for nothing.
func (l *LeaderLimiter) onAnswer(m *wire.LimitAnswer) {
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
		l.send(a.lead.Host, &wire.LimitGrantSettled{ID: m.ID, Incarnation: l.self.Incarnation, Organisation: a.org})
	}
}

// onSlotAnswer takes the answer to an ask for a budget in flight. It counts only
// in the view that it was given in: the next lead has been told what was held.
func (l *LeaderLimiter) onSlotAnswer(a *ask, m *wire.LimitAnswer, v Verdict) {
	if m.Epoch != l.view.epoch {
		return
	}
	if m.OK {
		l.held[a.org].held += a.tokens
		l.held[a.org].idleReports = 0
	}
	l.resolve(a, v)
}

// onSpent frees the room that a grant keeps.
func (l *LeaderLimiter) onSpent(now time.Time, from string, m *wire.LimitGrantSettled) {
	if acct, ok := l.accounts[m.Organisation]; ok {
		acct.spent(now, wire.LimitMember{Host: from, Incarnation: m.Incarnation}, m.ID)
	}
}

// rerouteAsks sends the asks under way to the leads of a new view.
func (l *LeaderLimiter) rerouteAsks(now time.Time) {
	for _, a := range l.waiting() {
		if _, known := l.rates[a.org]; !known {
			l.resolve(a, Verdict{OverBurst: true})
			continue
		}
		l.askAgain(now, a)
	}
}

// askAgain asks under another number: an answer to the one before counts for
// nothing.
func (l *LeaderLimiter) askAgain(now time.Time, a *ask) {
	delete(l.asks, a.id)
	l.lastID++
	a.id = l.lastID
	a.deadline = now.Add(answerWait)
	l.asks[a.id] = a
	v := l.route(now, a)
	if v.Pending {
		l.askLead(a)
		return
	}
	l.resolve(a, v)
}

// tickAsks asks again for what has got no answer, and refuses what has waited
// for too long. A budget in flight is asked for once: who asked may hold it.
func (l *LeaderLimiter) tickAsks(now time.Time) {
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

// expire refuses an ask that has waited for too long. The lead of a budget in
// flight is told at once, should its answer still come.
func (l *LeaderLimiter) expire(a *ask) {
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

// onReturn takes tokens given back. A repeated or overtaken message counts for
// nothing: tokens may be lost, never made.
func (l *LeaderLimiter) onReturn(now time.Time, from string, m *wire.LimitReturn) {
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
