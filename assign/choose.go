package assign

import (
	"slices"
	"time"

	"github.com/jasminelock/jasminelock/catalog"
)

// Costs and bounds for the choice of an upstream. Costs are added to the expected time to the first token.
const (
	// maxBacklog is the prefill time up to which an engine is assigned requests in advance. Further requests stay
	// queued here, where they can still be reordered or assigned to another engine.
	maxBacklog = 450 * time.Millisecond
	// crossZoneCost is the cost of an upstream in another availability zone.
	crossZoneCost = 4 * time.Millisecond
	// coldCopyCost is the cost of a further copy of an adapter that has to be loaded from the weight store: it
	// occupies a slot that another adapter could use. warmCopyCost is the cost if the engine held the adapter recently.
	coldCopyCost = 350 * time.Millisecond
	warmCopyCost = 100 * time.Millisecond
	// storeLoadCost is the cost of a load from the weight store in addition to its duration: it slows down other
	// loads.
	storeLoadCost = 200 * time.Millisecond
	// freeSlotWait is the typical time until an engine without a free adapter slot has one.
	freeSlotWait = 200 * time.Millisecond
	// evictCost is the cost of evicting another adapter.
	evictCost = 20 * time.Millisecond
	// decodeDelayWeight is the weight of a prompt's prefill time, per running request of the engine: prefill
	// delays the tokens of these requests.
	decodeDelayWeight = 0.15
	// ownDecodeDelayWeight is the weight of the delay of a request's own tokens on an engine that spends all its
	// time on prefill.
	ownDecodeDelayWeight = 0.3
	// typicalTokenTime is the time that an engine takes to generate one token.
	typicalTokenTime = 9 * time.Millisecond
	// errorRateCost is the cost of an upstream whose requests all fail.
	errorRateCost = 2 * time.Second
	// idleBonusWeight is the weight of the time since the last request to a rate-limited upstream, and maxIdleBonus
	// the maximum by which that time lowers its cost. It exceeds the other costs.
	idleBonusWeight = 0.1
	maxIdleBonus    = 3 * time.Second
	// cacheMargin is the fraction of the KV cache that assignments may use.
	cacheMargin = 0.95
)

// option is one way to serve a request: an upstream with the cost of using it.
type option struct {
	upstream *upstream
	slot     *slot
	// needsLoad is true if the adapter has to be loaded first.
	needsLoad bool
	// ready is true if the request can be assigned to the upstream now.
	ready bool
	cost  time.Duration
	// evicts is the adapter in use that has to make room for a more urgent request, nil if there is no need.
	evicts *slot
	// score is the cost by which options are compared.
	score time.Duration
	rule  string
}

// place assigns a request to the best upstream, or starts the load of its adapter, and reports whether the request
// was assigned.
func (a *Assigner) place(now time.Time, e *requestState) bool {
	s := a.service(e.request.Service)
	best, ok := a.readyOption(now, s, e)
	if !ok {
		return false
	}
	a.loadOnIdle(now, s, e.request.Adapter)
	a.grant(now, e, best)
	a.copyHotAdapter(now, s, e)
	return true
}

// readyOption returns the best option for a request if the request can be assigned to it now. Otherwise it starts the
// load of the adapter or claims a slot that holds it, and returns false.
func (a *Assigner) readyOption(now time.Time, s *service, e *requestState) (option, bool) {
	best, ok := a.bestOption(now, s, e)
	if !ok {
		if held := a.exhaustedHolder(now, s, e); held != nil {
			a.claimSlot(e, held)
		}
		return best, false
	}
	if best.needsLoad {
		if best.evicts != nil {
			best.upstream.evictUsed(best.evicts)
		}
		a.claimSlot(e, a.startLoad(now, best.upstream, e.request.Adapter))
		return best, false
	}
	if !best.ready {
		a.claimSlot(e, best.slot)
		return best, false
	}
	return best, true
}

// grant assigns a request to the upstream of an option.
func (a *Assigner) grant(now time.Time, e *requestState, o option) {
	u := o.upstream
	queued := a.grantRanked(now, e)
	a.startAttempt(now, e, u, o.slot)
	u.rateLimit.Take(now)
	g := Grant{
		ID: e.request.ID, Upstream: u.record.ID, StartedAt: u.record.StartedAt, Rule: o.rule, Expected: o.cost,
		RateLimit: u.rateLimit.State(now), Held: now.Sub(e.submittedAt),
		Turn: e.estimatedTurn, Ranked: queued,
	}
	if o.slot != nil {
		g.Version = o.slot.version
	}
	a.emit(g)
}

// claimSlot claims an adapter's slot for a queued request and releases the request's previous claim. A nil slot
// only releases the claim.
func (a *Assigner) claimSlot(e *requestState, s *slot) {
	if e.slot == s {
		return
	}
	a.releaseClaim(e)
	e.slot = s
	if s != nil {
		s.claims++
	}
}

// bestOption returns the option with the lowest cost.
func (a *Assigner) bestOption(now time.Time, s *service, e *requestState) (option, bool) {
	candidates := a.candidates(s, e)
	best, found := a.bestOf(now, s, e, candidates, (*upstream).usable)
	if !found && !a.anyUsable(now, s) {
		// If all upstreams are paused after failures, a paused one is better than none.
		return a.bestOf(now, s, e, candidates, (*upstream).present)
	}
	return best, found
}

// bestOf returns the option with the lowest cost over the candidates for which may returns true.
func (a *Assigner) bestOf(
	now time.Time, s *service, e *requestState, candidates []*upstream, may func(*upstream, time.Time) bool,
) (option, bool) {
	var best option
	found := false
	held := a.heldByService(now, s, e)
	for _, u := range candidates {
		if !may(u, now) || !u.accepts(now, e.request.ID.Host) || slices.Contains(e.request.Avoid, u.record.ID) {
			continue
		}
		o, ok := a.option(now, u, e, held)
		if !ok {
			continue
		}
		if o.score = o.cost; o.ready {
			o.score -= idleBonus(now, u)
		}
		if !found || o.score < best.score || (o.score == best.score && o.upstream.record.ID < best.upstream.record.ID) {
			best, found = o, true
		}
	}
	return best, found
}

// option returns how an upstream would serve a request, and false if it cannot.
func (a *Assigner) option(now time.Time, u *upstream, e *requestState, held bool) (option, bool) {
	a.optionsEvaluated++
	o := option{upstream: u, cost: time.Duration(u.errorRate * float64(errorRateCost))}
	if u.record.Zone != e.request.Zone {
		o.cost += crossZoneCost
	}
	if u.engine == nil {
		if u.byWork() {
			o.cost += a.plainWorkCost(now, u, e)
			o.ready, o.rule = true, "least_work"
			return o, true
		}
		return u.plainOption(o)
	}
	if !u.models[e.request.Adapter.Model] || !a.fits(u, e) {
		return o, false
	}
	cost, ready := a.engineCost(now, u, e)
	o.cost += cost
	o.ready = ready
	if e.request.Adapter.Adapter == "" {
		o.rule = "least_expected"
		return o, true
	}
	return a.adapterOption(now, o, e, held)
}

// engineCost returns the cost of serving a request on an engine that holds its adapter, and whether the request can be
// assigned now.
func (a *Assigner) engineCost(now time.Time, u *upstream, e *requestState) (cost time.Duration, ready bool) {
	if u.byWork() {
		return a.workCost(now, u, e)
	}
	backlog := u.backlog()
	prefill := u.prefillWork(u.uncachedTokens(now, &e.request))
	cost = backlog + prefill
	cost += time.Duration(decodeDelayWeight * float64(prefill) * float64(len(u.running)))
	cost += time.Duration(u.prefillLoad.rate(now) * float64(decodeDelayCost(&e.request)))
	return cost, backlog <= maxBacklog && u.mayPrefill(now, prefill)
}

// idleBonus lowers the cost of a rate-limited upstream that has been sent less than it accepts, the more the longer
// this lasts. Without requests it would not be found out that the limit no longer holds.
func idleBonus(now time.Time, u *upstream) time.Duration {
	return min(time.Duration(idleBonusWeight*float64(u.rateLimit.Idle(now))), maxIdleBonus)
}

// decodeDelayCost is the cost for a request of an engine that spends all its time on prefill.
func decodeDelayCost(r *Request) time.Duration {
	tokens := r.ExpectedOutput
	if tokens == 0 {
		tokens = r.OutputTokens / 2
	}
	return time.Duration(ownDecodeDelayWeight * float64(tokens) * float64(typicalTokenTime))
}

// adapterOption adds the cost of having the adapter on the engine.
func (a *Assigner) adapterOption(now time.Time, o option, e *requestState, held bool) (option, bool) {
	u, ref := o.upstream, e.request.Adapter
	s, ok := u.slots[ref.Adapter]
	switch {
	case ok && s.state == slotResident && a.isCurrent(s):
		o.slot, o.rule = s, "resident"
		return o, true
	case ok && (s.state == slotQueued || s.state == slotLoading):
		o.ready, o.slot, o.rule = false, s, "coming"
		o.cost += max(s.readyAt.Sub(now), pollInterval)
		return o, true
	case !a.options.SendsOrders || !u.orders.sequenceKnown:
		return o, false
	case ok:
		return o, false
	case !a.makesRoom(now, u, e, &o):
		return a.warmOption(now, o, e)
	case !u.isWarm(ref.Adapter) && !a.coldLoads.mayStart():
		return o, false
	}
	o.needsLoad, o.ready, o.rule = true, false, "load"
	o.cost += u.loadTime(ref.Adapter) + time.Duration(u.pendingLoads())*warmLoad + u.orderDelay(now)
	if !u.isWarm(ref.Adapter) {
		o.cost += storeLoadCost
	}
	if u.keptSlots() >= u.engine.AdapterSlots {
		o.cost += evictCost
	}
	if held {
		o.cost += a.copyCost(now, u, ref)
	}
	return o, true
}

// makesRoom reports whether another adapter may be loaded on an engine, if necessary by evicting one that less urgent
// requests use.
func (a *Assigner) makesRoom(now time.Time, u *upstream, e *requestState, o *option) bool {
	if a.hasRoom(u) {
		return true
	}
	victim, end := a.lessUrgentSlot(now, u, e)
	if victim == nil {
		return false
	}
	o.evicts = victim
	o.cost += end
	return true
}

// warmOption waits for a free slot on an engine that held the adapter recently. Its cost grows with the time that
// the request has waited, so that a load from the weight store elsewhere becomes the better option.
func (a *Assigner) warmOption(now time.Time, o option, e *requestState) (option, bool) {
	if !o.upstream.isWarm(e.request.Adapter.Adapter) {
		return o, false
	}
	o.ready, o.rule = false, "wait_warm"
	o.cost += warmLoad + freeSlotWait + now.Sub(e.request.Arrived)
	return o, true
}

// copyCost is the cost of a further copy of an adapter. It falls as the load on each of the present copies rises.
func (a *Assigner) copyCost(now time.Time, u *upstream, ref catalog.AdapterRef) time.Duration {
	cost := coldCopyCost
	if u.isWarm(ref.Adapter) {
		cost = warmCopyCost
	}
	copies := max(len(a.adapterIndex.slots[ref]), 1)
	load := a.demandOf(now, ref) * (typicalPromptTokens * u.prefillPerToken).Seconds() / float64(copies)
	return time.Duration(float64(cost) * max(0, 1-load/maxCopyLoad))
}

// Bounds on the load that calls for another copy of an adapter.
const (
	// typicalPromptTokens is the prompt length of a typical request.
	typicalPromptTokens = 2000
	// maxCopyLoad is the fraction of an engine's time up to which one copy may use it.
	maxCopyLoad = 0.35
)

// isCurrent reports whether a slot holds the announced version of its adapter, or a newer one.
func (a *Assigner) isCurrent(s *slot) bool {
	want, announced := a.versions[s.ref]
	return !announced || s.version >= want
}

// heldByService reports whether a usable engine of the service holds the current version of the request's adapter,
// or is about to load it.
func (a *Assigner) heldByService(now time.Time, s *service, e *requestState) bool {
	for _, held := range a.adapterIndex.slots[e.request.Adapter] {
		if held.upstream.service == s && held.upstream.usable(now) && held.state != slotEvicting && a.isCurrent(held) {
			return true
		}
	}
	return false
}

// fits reports whether an engine has room for a request in its batch and its KV cache. An idle engine always has.
func (a *Assigner) fits(u *upstream, e *requestState) bool {
	if len(u.running) == 0 {
		return true
	}
	return len(u.running) < u.engine.BatchSize &&
		float64(u.cacheTokens+e.request.cacheTokens()) <= cacheMargin*float64(u.engine.CacheTokens)
}

// plainOption returns how an upstream of a plain service would serve a request. The cost is the average request
// time, for each request ahead and for this one.
func (u *upstream) plainOption(o option) (option, bool) {
	reported := max(u.reportedLoad.Waiting, 0)
	o.cost += time.Duration(len(u.running)+reported+1) * u.requestTime
	o.ready, o.rule = true, "least_work"
	return o, true
}
