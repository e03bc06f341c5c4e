package assign

import (
	"container/heap"
	"slices"
	"time"

	"github.com/jasminelock/jasminelock/apierr"
	"github.com/jasminelock/jasminelock/catalog"
)

// Rules of refusals in ranked services.
const (
	// Turn is the rule for new requests whose turn would come too late.
	Turn = "turn"
	// Displaced is the rule for waiting requests whose turn would come too late because of more urgent ones or a loss
	// of capacity.
	Displaced = "displaced"
	// Expired is the rule for waiting requests that have reached their last useful moment although no others have put
	// back their turn: the estimate was wrong.
	Expired = "expired"
)

// maxHeadsPerPass is the number of queues that a pass looks at, including those whose adapter is being loaded.
const maxHeadsPerPass = 4 * maxQueuesPerPass

// lineOf returns the order of a ranked service, nil if the service is not ranked. Requests that were queued before the
// service became ranked are moved to it.
func (a *Assigner) lineOf(now time.Time, s *service) *line {
	if s.line != nil || !s.ranked(&a.options) {
		return s.line
	}
	s.line = newLine(s, newWeights(a.config), &a.rankStats)
	a.queues.each(func(e *requestState) {
		if e.request.Service == s.name && e.waiting == nil {
			a.queues.remove(e)
			a.prepareRanked(now, s, e)
			a.enqueue(now, e)
			s.line.startChecks(e)
		}
	})
	return s.line
}

// maxWork bounds the expected work of a request.
const maxWork = time.Minute

// prepareRanked computes what the order of a ranked service needs to know of a request.
func (a *Assigner) prepareRanked(now time.Time, s *service, e *requestState) {
	e.work = min(max(a.expectedWork(s, &e.request), time.Microsecond), maxWork)
	e.lastUseful = a.lastUseful(now, s, e)
}

// submitRanked handles a new request of a ranked service: it assigns, queues or refuses the request. The request
// competes with those that wait.
func (a *Assigner) submitRanked(now time.Time, s *service, e *requestState) {
	l := s.line
	a.prepareRanked(now, s, e)
	rank := e.request.Rank()
	l.arrived(now, rank, e)
	if l.count == 0 && a.place(now, e) {
		l.admitted(now, rank, e)
		return
	}
	a.enqueue(now, e)
	rank = e.waiting.CurrentRank()
	if l.count > 1 && a.compete(now, s, e) {
		l.admitted(now, rank, e)
		l.pushBack(rank, len(l.ranks), e, !e.request.Admitted)
		return
	}
	t := a.estimateTurn(now, s, e, withArrivals)
	admitted := (e.request.Admitted || e.request.retry()) && now.Before(e.lastUseful) && s.hasUpstream()
	if rule, refused := a.refusesTurn(now, s, e, t); refused && !admitted {
		a.refuseQueued(now, s, e, t, rule)
		return
	}
	l.admitted(now, t.rank, e)
	e.estimatedTurn, e.pushedAtAdmission = t.wait, l.ranks[t.rank].pushed
	e.dueAtAdmission = l.begun + t.present
	e.lossesAtAdmission = l.losses
	// A request that another Assigner had admitted was ahead of the others already.
	l.pushBack(t.rank, len(l.ranks), e, !e.request.Admitted)
	l.ranks[t.rank].scheduleCheck(e, e.lastUseful.Sub(now)-t.wait)
}

// hasUpstream reports whether some upstream of the service is not draining.
func (s *service) hasUpstream() bool {
	return slices.ContainsFunc(s.upstreams, func(u *upstream) bool { return !u.draining() })
}

// turnPrecision is the time by which a turn may come later than estimated although the estimate is right: the step of
// rateWait, and a pass before and after it.
const turnPrecision = rateWaitStep + 2*passInterval

// refusesTurn reports whether a new request is refused because its turn would come too late, and the rule.
func (a *Assigner) refusesTurn(now time.Time, s *service, e *requestState, t turnEstimate) (string, bool) {
	late := t.wait + time.Duration(turnTolerance*float64(t.wait)) + turnPrecision - e.lastUseful.Sub(now)
	switch {
	case !s.hasUpstream():
		return "no_upstream", true
	case late <= 0 && !s.line.endangersOthers(now, e.waiting) && !s.line.endangersLate(now, e.waiting, t.wait):
		return "", false
	}
	if _, _, limited := s.fleetRate(now); limited {
		return UpstreamRate, true
	}
	return Turn, true
}

// refuseQueued refuses a queued request of a ranked service.
func (a *Assigner) refuseQueued(now time.Time, s *service, e *requestState, t turnEstimate, rule string) {
	retryAfter := a.turnRetryAfter(now, s, e, t)
	a.refund(now, e)
	a.removeRequest(now, e)
	_, state, _ := s.fleetRate(now)
	a.emit(Refuse{
		ID: e.request.ID, Kind: apierr.QueueFull, RetryAfter: retryAfter, Rule: rule, Detail: t.String(), RateLimit: state,
	})
}

// maxPromise bounds the time by which the turns of refused callers are put back for others, who may not return.
const maxPromise = 10 * time.Second

// turnRetryAfter returns the time after which the turn of a refused caller is likely. Callers each get a turn after the one
// before, at the rate of work that more urgent ranks leave; turns of more urgent ranks put back those of less urgent ones.
// Turns after the deadline count too: with turns before it only, callers of an overload that lasts returned to a full queue
// and waited there for about as long again.
func (a *Assigner) turnRetryAfter(now time.Time, s *service, e *requestState, t turnEstimate) time.Duration {
	l := s.line
	step := time.Duration(float64(e.work) / l.rateLeft(now, t.rank, l.rate.estimate(now, a.capacity(now, s).rate)))
	if perSecond, _, limited := s.fleetRate(now); limited && perSecond > 0 {
		step = max(step, time.Duration(float64(time.Second)/perSecond))
	}
	step = min(step, maxKnownRetryAfter)
	// By then the queue is short enough for a request like this one: the part that is too long has been served or, if
	// others would have lost their turns, those have had them.
	shorter := now.Add(t.wait).Sub(e.lastUseful)
	if shorter < 0 {
		shorter = t.wait
	}
	// Requests that are yet to arrive count up to maxPromise.
	waiting := time.Duration(float64(t.present) / l.rate.estimate(now, a.capacity(now, s).rate))
	shorter = min(shorter, max(now.Add(waiting).Sub(e.lastUseful), 0)+maxPromise)
	if host := e.request.ID.Host; !s.accepts(now, host) {
		shorter = max(shorter, s.hostRetryDelay(now, host))
	}
	turn := now.Add(max(shorter, minRetryAfter))
	if promised := l.ranks[t.rank].promisedUntil.Add(step); turn.Before(promised) {
		turn = promised
	}
	spread := step
	if turn.Sub(now) > maxPromise {
		spread = max(e.request.Deadline.Sub(now)/2, step)
	} else {
		l.ranks[t.rank].promisedUntil = turn
		for _, r := range l.ranks[t.rank+1:] {
			if r.promisedUntil.After(now) {
				r.promisedUntil = now.Add(min(r.promisedUntil.Add(step).Sub(now), maxPromise))
			}
		}
	}
	wait := turn.Sub(now) + time.Duration(a.options.Random.Float64()*float64(spread))
	return min(wait, maxKnownRetryAfter)
}

// minRateLeft is the fraction of the rate of work that a rank is assumed to get at least, though more urgent requests use all
// of it: they may end.
const minRateLeft = 0.1

// rateLeft returns what the requests of more urgent ranks leave of a rate of work.
func (l *line) rateLeft(now time.Time, rank int, rate float64) float64 {
	left := rate
	for _, r := range l.ranks[:rank] {
		left -= r.arrivals.rate(now)
	}
	return max(left, minRateLeft*rate)
}

// compete lets a new request, which is queued, compete with the other ones for the upstreams that it could use now. It
// reports whether the request was assigned.
func (a *Assigner) compete(now time.Time, s *service, e *requestState) bool {
	for range maxFailedTries {
		o, ok := a.bestOption(now, s, e)
		if !ok || !o.ready {
			break
		}
		a.offer(now, o, e)
		if e.upstream != nil {
			return true
		}
	}
	a.serveWaiting(now)
	return e.upstream != nil
}

// serveLine tries the queues of a ranked service in the order of their first requests.
func (a *Assigner) serveLine(now time.Time, s *service) {
	l := s.line
	l.sweep(now)
	l.updateIntervals(now, a.workRate(now, s))
	var tried []*queue
	lacking := false
	for failed := 0; failed < maxQueuesPerPass && len(tried) < maxHeadsPerPass; {
		q := l.first(now)
		if q == nil {
			break
		}
		head := q.ordered.Head(now).Value
		if !isLoading(now, head) && a.serveRankedQueue(now, s, q) {
			continue
		}
		if !isLoading(now, head) {
			lacking = true
			failed++
		}
		heap.Remove(&l.heads, q.headIndex-1)
		tried = append(tried, q)
	}
	for _, q := range tried {
		l.updateHead(now, q)
	}
	l.rate.setSaturated(now, lacking, a.capacity(now, s).rate)
	// A request whose last useful moment is now has had its chance.
	a.checkTurns(now, s)
}

// serveRankedQueue looks for an upstream that is ready for one of the first requests of a queue, and offers it to all
// requests that could use it, in their order. It reports whether a request was assigned.
func (a *Assigner) serveRankedQueue(now time.Time, s *service, q *queue) bool {
	var found option
	e := q.firstAccepted(now, func(e *requestState) bool {
		o, ok := a.readyOption(now, s, e)
		found = o
		return ok
	})
	if e == nil {
		return false
	}
	before := s.line.grants
	a.offer(now, found, e)
	return s.line.grants > before
}

// offer offers an upstream that is ready for a queued request to all that could use it, in their order. An upstream that
// is paused after failures, which is used if all are, is assigned the request itself.
func (a *Assigner) offer(now time.Time, o option, e *requestState) {
	a.loadOnIdle(now, o.upstream.service, e.request.Adapter)
	if o.upstream.usable(now) {
		a.serveOn(now, o.upstream)
		a.copyHotAdapter(now, o.upstream.service, e)
		return
	}
	a.grant(now, e, o)
}

// serveRankedOn assigns queued requests to an upstream that may have room now, in their order.
func (a *Assigner) serveRankedOn(now time.Time, u *upstream) {
	l := u.service.line
	waiting := a.queuesFor(u)
	for len(waiting) > 0 && (u.engine == nil || u.hasBacklogRoom(now)) && u.usable(now) {
		first := slices.MinFunc(waiting, func(x, y *queue) int {
			return l.key(now, x.ordered.Head(now)).compare(l.key(now, y.ordered.Head(now)))
		})
		if !a.serveFirstOn(now, first, u) || first.ordered.Len() == 0 {
			waiting = slices.DeleteFunc(waiting, func(q *queue) bool { return q == first })
		}
	}
}

// serveFirstOn assigns one of the first requests of a queue to an upstream, and reports whether it did.
func (a *Assigner) serveFirstOn(now time.Time, q *queue, u *upstream) bool {
	return q.firstAccepted(now, func(e *requestState) bool { return a.placeOn(now, e, u) }) != nil
}

// firstAccepted returns the first request of a queue that is accepted, nil if none of the first maxFailedTries is. Accept may
// remove the request that it accepts from the queue.
func (q *queue) firstAccepted(now time.Time, accept func(*requestState) bool) *requestState {
	var accepted *requestState
	var aside [maxFailedTries]*waitingEntry
	tried := 0
	for tried < maxFailedTries {
		entry := q.ordered.Head(now)
		if entry == nil {
			break
		}
		if accept(entry.Value) {
			accepted = entry.Value
			break
		}
		q.ordered.SetAside(entry)
		aside[tried] = entry
		tried++
	}
	for _, entry := range aside[:tried] {
		q.ordered.Restore(entry)
	}
	return accepted
}

// checkTurns refuses the waiting requests whose turn would come too late. A request is looked at only after its turn
// may have moved back by as much as it can afford.
func (a *Assigner) checkTurns(now time.Time, s *service) {
	l := s.line
	if rate := a.capacity(now, s).stated; rate < lostCapacity*l.checkedRate {
		l.pushAll()
		l.checkedRate = rate
	} else {
		l.checkedRate = max(l.checkedRate, rate)
	}
	if !l.checkedAt.IsZero() {
		for _, r := range l.ranks {
			r.delay += now.Sub(l.checkedAt)
		}
	}
	l.checkedAt = now
	for _, r := range l.ranks {
		for len(r.checks) > 0 && r.checks[0].checkAt <= r.delay {
			a.checkTurn(now, s, r, r.checks[0])
		}
	}
}

// lostCapacity is the fraction of a service's capacity below which all waiting requests are checked again. The capacity is
// that without learned speeds, which vary with the requests.
const lostCapacity = 0.9

// checkTurn refuses a waiting request if its turn would come too late, else schedules its next check.
func (a *Assigner) checkTurn(now time.Time, s *service, r *rankLine, e *requestState) {
	if !now.Before(e.lastUseful) {
		rule := Expired
		if r.pushed > e.pushedAtAdmission {
			rule = Displaced
		}
		a.refuseQueued(now, s, e, a.estimateTurn(now, s, e, withoutArrivals), rule)
		return
	}
	t := a.estimateTurn(now, s, e, withoutArrivals)
	late := t.wait - e.lastUseful.Sub(now)
	if s.line.displaces(r, e, t, late) {
		a.refuseQueued(now, s, e, t, Displaced)
		return
	}
	slack := -late
	if late > 0 {
		slack = queueCheckInterval
	}
	r.scheduleCheck(e, min(slack, e.lastUseful.Sub(now)))
}

// displaces reports whether a waiting request whose turn would come too late by the given time is displaced. It is if others
// have just put back its turn and more work goes before it than at its admission, or if capacity has been lost. A change of
// the estimate displaces no request.
func (l *line) displaces(r *rankLine, e *requestState, t turnEstimate, late time.Duration) bool {
	if l.losses > e.lossesAtAdmission && late > time.Duration(turnTolerance*float64(t.wait))+2*t.perRequest() {
		return true
	}
	now := l.rate.at
	return late > 0 && r.pushed > e.pushedAtAdmission && now.Sub(r.pushedAt) <= minCheckInterval && l.begun+t.present > e.dueAtAdmission
}

// pushBack records that a request that is new in a rank has put back the turns of the other organisations of that rank, by
// fair sharing, and of the less urgent ranks before the given one. A request that displaces others has put back what was
// admitted before it.
func (l *line) pushBack(rank, before int, e *requestState, displaces bool) {
	d := time.Duration(float64(e.work) / l.rate.estimate(l.rate.at, l.prior.rate))
	for i, r := range l.ranks[min(rank, len(l.ranks)):min(before, len(l.ranks))] {
		r.delay += d
		if displaces && (i > 0 || r.othersWait(e.request.Organisation)) {
			r.pushed += d
			r.pushedAt = l.rate.at
		}
	}
}

// othersWait reports whether requests of other organisations than the given one wait.
func (r *rankLine) othersWait(organisation string) bool {
	others := r.waiting
	if own, ok := r.accounts[organisation]; ok && own.count > 0 {
		others--
	}
	return others > 0
}

// pushAll has all waiting requests checked again after a loss of capacity.
func (l *line) pushAll() {
	l.losses++
	for _, r := range l.ranks {
		r.delay += maxKnownRetryAfter
		r.pushed++
	}
}

// grantRanked counts the work of a request of a ranked service that is assigned to an upstream, and takes the request
// out of the queue. It reports whether the request was queued there after its admission.
func (a *Assigner) grantRanked(now time.Time, e *requestState) bool {
	s := a.service(e.request.Service)
	if s.line == nil {
		return false
	}
	admitted := e.checkIndex > 0
	s.line.charge(now, e)
	a.queues.remove(e)
	return admitted
}

// configureLines applies a configuration to the orders of ranked services: the weights, and the priorities of
// organisations. The priority of a route has been applied to each request on its host.
func (a *Assigner) configureLines(now time.Time, former *catalog.Config) {
	for _, s := range a.services {
		if s.line != nil {
			s.line.weights.configure(a.config)
			for _, r := range s.line.ranks {
				for _, acct := range r.list {
					acct.rate = s.line.weights.configured(acct.organisation)
				}
			}
		}
	}
	a.queues.each(func(e *requestState) {
		priority, ok := a.configuredPriority(&e.request, former)
		if e.waiting == nil || !ok || priority == e.request.Priority {
			return
		}
		from := e.waiting.CurrentRank()
		a.queues.remove(e)
		e.request.Priority = priority
		a.enqueue(now, e)
		e.line.changedRank(e, from)
	})
}

// configuredPriority returns the priority that the configuration now gives a request, and false if it says nothing new about it.
func (a *Assigner) configuredPriority(r *Request, former *catalog.Config) (int, bool) {
	if o := a.config.Organisation(r.Organisation); o != nil && o.HasPriority {
		return o.Priority, true
	}
	before := former.Organisation(r.Organisation)
	return r.RoutePriority, before != nil && before.HasPriority
}
