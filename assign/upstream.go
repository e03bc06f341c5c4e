package assign

import (
	"maps"
	"time"

	"github.com/jasminelock/jasminelock/catalog"
	"github.com/jasminelock/jasminelock/throttle"
)

// Assumptions about an upstream before it has been measured, and the weight of measurements.
const (
	// assumedPrefillPerToken is the initial prefill time per prompt token, near the value that users' deployments
	// state. It is learned for each engine.
	assumedPrefillPerToken = 40 * time.Microsecond
	// assumedRequestTime is the initial request time of a plain service, near the value that users' deployments
	// state. It is learned for each upstream.
	assumedRequestTime = 20 * time.Millisecond
	// learnWeight is the weight of a new measurement in a moving average.
	learnWeight = 0.15
	// minMeasuredTokens is the smallest prefill from which an engine's speed is measured; below it, the fixed cost
	// of a step dominates.
	minMeasuredTokens = 400
	// maxPrefillPerToken caps a single measurement.
	maxPrefillPerToken = 2 * time.Millisecond
)

// Bounds on the pause of an upstream after failures.
const (
	// initialFailurePause and maxFailurePause bound the pause after failed connections or interrupted answers.
	initialFailurePause = 500 * time.Millisecond
	maxFailurePause     = 4 * time.Second
	// fullPause is the pause after the upstream was full.
	fullPause = 100 * time.Millisecond
	// failuresBeforePause is the number of consecutive failures that starts a pause.
	failuresBeforePause = 2
)

// cachedBlockLifetime is the time for which an unused prefix block is assumed to stay in an engine's cache.
const cachedBlockLifetime = 20 * time.Second

// maxCachedBlocks bounds the prefix blocks remembered for one engine.
const maxCachedBlocks = 4096

// upstream is the state of one incarnation of an upstream.
type upstream struct {
	record  *catalog.Upstream
	service *service
	// engine is nil for an upstream of a plain service.
	engine *catalog.Engine

	running map[RequestID]*requestState
	// streams counts the running requests whose first byte has been received.
	streams int
	// maxEventGap is the maximum time between two events of a stream, 0 for no limit.
	maxEventGap time.Duration
	burst       prefillBurst
	// pendingPrefillTokens is the number of prompt tokens to prefill for requests without a first token.
	pendingPrefillTokens int
	// prefillLoad is the fraction of its time that the engine spends on prefill, from the recently assigned
	// requests.
	prefillLoad decayingRate
	// cacheTokens is the KV cache, in tokens, that the assigned requests may use at most.
	cacheTokens int
	// prefillPerToken is the prefill time per prompt token.
	prefillPerToken time.Duration
	// prefills are the requests without a first token, in the order of their assignment. headSince is the time at which
	// the engine began with the first of them.
	prefills  []*requestState
	headSince time.Time
	// pace is the pace of the upstream. prefillPerToken is the time at usual pace if requests are assigned by work.
	pace pace
	// decodeFactor is the time per generated token, relative to typicalTokenTime at the upstream's usual pace.
	decodeFactor float64
	// decode is what is left to decode of the streams.
	decode decodeBacklog
	// others is the number of other hosts' requests, othersWaiting that of those without a first token.
	others        othersLoad
	othersWaiting othersLoad
	options       *Options
	// requestTime is the time from assignment to answer of a plain service.
	requestTime time.Duration
	// errorRate is the moving average of the fraction of failed requests.
	errorRate    float64
	reportedLoad Load
	// lastHeardAt is the time of the last information from the upstream, or of its first listing.
	lastHeardAt time.Time

	consecutiveFailures int
	// pausedUntil is the end of the pause after failures, fullUntil the end of the pause after the upstream was
	// full.
	pausedUntil time.Time
	fullUntil   time.Time
	// leaving is true if the upstream has announced its departure to a host.
	leaving bool
	// evacuated is true if the upstream's availability zone is being evacuated.
	evacuated bool
	slowStart slowStartLimiter
	// rateLimit enforces the rate limit that the upstream states, nil for none.
	rateLimit *throttle.Limiter
	// backOff holds the hosts from which the upstream accepts no requests, with the end of each back-off.
	backOff map[string]time.Time

	slots map[string]*slot
	// warm holds the time at which each recently held adapter was last held. Such adapters load faster.
	warm map[string]time.Time
	// models are the base models that the engine holds.
	models       map[string]bool
	cachedBlocks map[blockKey]time.Time
	orders       orders
	// wakeAt is the time of the next check of the upstream. wakeupIndex is its position in the heap of wake-ups,
	// counted from 1; 0 if it is not in the heap.
	wakeAt      time.Time
	wakeupIndex int
	wakeupStale bool
	// adapterIndex is the Assigner's index, which lists the slots.
	adapterIndex *adapterIndex
	coldLoads    *coldLoadLimiter
	// capacity is what the upstream contributes to the capacity of its service. dropped is true once the upstream is no longer
	// listed; its requests may still end.
	capacity upstreamCapacity
	dropped  bool
}

// blockKey identifies a prefix block for one adapter. Cache entries are not shared between adapters.
type blockKey struct {
	adapter catalog.AdapterRef
	block   string
}

func newUpstream(record *catalog.Upstream, s *service, engine *catalog.Engine, a *Assigner) *upstream {
	return &upstream{
		record: record, service: s, engine: engine, adapterIndex: &a.adapterIndex, coldLoads: &a.coldLoads,
		options: &a.options, decodeFactor: 1, running: map[RequestID]*requestState{},
		prefillPerToken: assumedPrefillPerToken, requestTime: assumedRequestTime,
		prefillLoad: decayingRate{halfLife: prefillHalfLife}, slots: map[string]*slot{}, warm: map[string]time.Time{},
		models: map[string]bool{}, cachedBlocks: map[blockKey]time.Time{},
	}
}

// updateUpstreams applies the store's list of upstreams. An upstream with a new start time or address replaces the
// old one.
func (a *Assigner) updateUpstreams(now time.Time, listed map[string]*catalog.Upstream) {
	for id, u := range a.upstreams {
		record, ok := listed[id]
		if !ok || record.StartedAt != u.record.StartedAt || record.Address != u.record.Address {
			a.dropUpstream(u)
		}
	}
	for id, record := range listed {
		if u, ok := a.upstreams[id]; ok {
			before := u.record
			if u.record = record; record.Zone != before.Zone {
				a.adapterIndex.moveZone(u)
			}
			u.updateSlowStart(now, before.SlowStartRemaining)
			if !a.options.SendsOrders {
				u.syncFromRecord(now)
			}
			continue
		}
		a.addUpstream(now, record)
	}
}

func (a *Assigner) addUpstream(now time.Time, record *catalog.Upstream) {
	s := a.service(record.Service)
	var engine *catalog.Engine
	if configured := a.config.Service(record.Service); configured != nil {
		engine = configured.Engine
	}
	u := newUpstream(record, s, engine, a)
	u.maxEventGap = a.config.MaxEventGap(record.Service)
	u.lastHeardAt = now
	u.evacuated = a.evacuatedZones[record.Zone]
	u.slowStart = slowStartLimiter{limits: a.slowStartLimits(record.Service), options: &a.options}
	u.updateSlowStart(now, 0)
	u.rateLimit = a.rateLimiters[throttle.Incarnation{ID: record.ID, StartedAt: record.StartedAt}]
	a.upstreams[record.ID] = u
	s.upstreams = append(s.upstreams, u)
	if engine != nil {
		a.coldLoads.setEngineCount(len(s.upstreams))
		u.syncFromRecord(now)
		a.readReport(now, u)
	}
}

// configureEngines applies the configuration of each upstream's service.
func (a *Assigner) configureEngines(now time.Time) {
	for _, u := range a.upstreams {
		configured := a.config.Service(u.record.Service)
		u.slowStart.limits = a.slowStartLimits(u.record.Service)
		if configured == nil || configured.Engine == nil {
			continue
		}
		isNew := u.engine == nil
		u.maxEventGap = a.config.MaxEventGap(u.record.Service)
		u.engine = configured.Engine
		if isNew {
			a.coldLoads.setEngineCount(len(u.service.upstreams))
			u.syncFromRecord(now)
			a.readReport(now, u)
		}
	}
}

func (a *Assigner) dropUpstream(u *upstream) {
	u.dropped = true
	delete(a.upstreams, u.record.ID)
	a.invalidateWakeup(u)
	s := u.service
	for i, other := range s.upstreams {
		if other == u {
			s.upstreams = append(s.upstreams[:i:i], s.upstreams[i+1:]...)
			break
		}
	}
	a.adapterIndex.removeUpstream(u)
	for _, held := range u.slots {
		a.coldLoads.discard(held)
		u.evictedUsed(held)
	}
	a.queues.each(func(e *requestState) {
		if e.slot != nil && e.slot.upstream == u {
			a.releaseClaim(e)
		}
	})
}

// uncachedTokens returns the number of prompt tokens of a request that the upstream has to prefill, at least 1.
func (u *upstream) uncachedTokens(now time.Time, r *Request) int {
	left := r.PromptTokens
	for _, p := range r.PrefixBlocks {
		used, ok := u.cachedBlocks[blockKey{r.Adapter, p.ID}]
		if !ok || now.Sub(used) > cachedBlockLifetime {
			break
		}
		left -= p.Tokens
	}
	return max(left, 1)
}

func (u *upstream) rememberBlocks(now time.Time, r *Request) {
	if u.engine == nil {
		return
	}
	if len(u.cachedBlocks) > maxCachedBlocks {
		clear(u.cachedBlocks)
	}
	for _, p := range r.PrefixBlocks {
		u.cachedBlocks[blockKey{r.Adapter, p.ID}] = now
	}
}

// finishPrefill records that an engine has prefilled a request's prompt, or that the attempt has ended before.
func (u *upstream) finishPrefill(now time.Time, e *requestState) {
	if !e.prefillDone {
		e.prefillDone = true
		u.pendingPrefillTokens -= e.prefillTokens
		u.removePrefill(now, e)
		u.burst.idleSince = now
	}
}

// learnPrefillTime updates the prefill time per token from the time to a first token.
func (u *upstream) learnPrefillTime(now time.Time, e *requestState) {
	if u.byWork() {
		u.learnPrefillPace(now, e)
		return
	}
	tokens := e.prefillTokens + e.prefillAhead
	if u.engine == nil || tokens < minMeasuredTokens {
		return
	}
	measured := min(now.Sub(e.grantedAt)/time.Duration(tokens), maxPrefillPerToken)
	u.prefillPerToken += time.Duration(learnWeight * float64(measured-u.prefillPerToken))
	u.capacityChanged()
}

// recordOutcome applies the outcome of an attempt and the feedback that came with it.
func (u *upstream) recordOutcome(now time.Time, e *requestState, ev AttemptEnded) {
	u.capacityChanged()
	u.recordEventGaps(now, ev.EventGaps)
	// The load of a stream was stated at its beginning.
	if ev.Feedback.Load != nil && !e.loadStated {
		u.recordLoad(now, *ev.Feedback.Load)
	}
	if ev.Feedback.BackOff > 0 {
		u.recordBackOff(now, ev.ID.Host, ev.Feedback.BackOff)
	}
	failed := 0.0
	switch ev.Outcome {
	case Completed:
		u.consecutiveFailures = 0
		if u.engine == nil {
			u.requestTime += time.Duration(learnWeight * float64(now.Sub(e.grantedAt)-u.requestTime))
		}
		u.learnTokenTime(now, e, ev.Feedback.OutputTokens)
	case Failed:
		failed, u.consecutiveFailures = 1, 0
	case Full:
		u.fullUntil = now.Add(fullPause)
		return
	case TimedOut:
		failed = 1
	case Unreachable, Lost:
		failed = 1
		u.consecutiveFailures++
		if u.consecutiveFailures >= failuresBeforePause || ev.Outcome == Unreachable {
			u.pause(now, min(initialFailurePause<<min(u.consecutiveFailures, 8), maxFailurePause))
		}
	case Replaced:
		u.pause(now, maxFailurePause)
		return
	default:
		return
	}
	u.errorRate += learnWeight * (failed - u.errorRate)
}

func (u *upstream) pause(now time.Time, d time.Duration) {
	if until := now.Add(d); until.After(u.pausedUntil) {
		u.pausedUntil = until
		u.capacityChanged()
	}
}

// usable reports whether the upstream may be assigned a request now.
func (u *upstream) usable(now time.Time) bool {
	return u.present(now) && !now.Before(u.pausedUntil)
}

// present reports whether the upstream may be assigned a request, disregarding a pause after failures.
func (u *upstream) present(now time.Time) bool {
	return !u.draining() && !now.Before(u.fullUntil) && !u.slowStart.exhausted(now) && !u.rateLimit.Exhausted(now)
}

// draining reports whether the upstream gets no new requests, according to the store's list, its own announcement
// or an evacuation.
func (u *upstream) draining() bool { return u.record.Draining || u.leaving || u.evacuated }

// updateEvacuations applies the set of evacuated zones: their upstreams get no new requests, those of all other
// zones do. Requests queued for an evacuated upstream are assigned elsewhere.
func (a *Assigner) updateEvacuations(now time.Time, zones map[string]bool) {
	if maps.Equal(zones, a.evacuatedZones) {
		return
	}
	a.evacuatedZones = zones
	for _, u := range a.upstreams {
		if inEvacuatedZone := zones[u.record.Zone]; inEvacuatedZone != u.evacuated {
			u.evacuated = inEvacuatedZone
			if !inEvacuatedZone {
				// It may have entered slow start meanwhile, which its record shows only later.
				u.slowStart.begin(now, now.Add(u.slowStart.limits.Period))
			}
			a.invalidateWakeup(u)
		}
	}
	a.lastPassAt = time.Time{}
	a.serveWaiting(now)
}

// markLeaving records that an upstream has announced its departure. Requests queued for it are assigned elsewhere.
func (a *Assigner) markLeaving(now time.Time, ev UpstreamLeaving) {
	u, ok := a.upstreams[ev.Upstream]
	if !ok || u.record.StartedAt != ev.StartedAt || u.leaving {
		return
	}
	u.leaving = true
	u.capacityChanged()
	a.invalidateWakeup(u)
	a.serveWaiting(now)
}

// recordBackOff records that the upstream accepts no requests from a host for a time.
func (u *upstream) recordBackOff(now time.Time, host string, d time.Duration) {
	if u.backOff == nil {
		u.backOff = map[string]time.Time{}
	}
	for other, until := range u.backOff {
		if !now.Before(until) {
			delete(u.backOff, other)
		}
	}
	until := now.Add(d)
	if until.After(u.backOff[host]) {
		u.backOff[host] = until
	}
	if until.After(u.service.backOffUntil) {
		u.service.backOffUntil = until
	}
}

// accepts reports whether the upstream accepts requests from a host, according to its own back-off.
func (u *upstream) accepts(now time.Time, host string) bool {
	return !now.Before(u.backOff[host])
}

// backlog is the time that the prompts assigned to the engine take at usual pace.
func (u *upstream) backlog() time.Duration {
	return u.prefillWork(u.pendingPrefillTokens)
}

// hasBacklogRoom reports whether the engine may be assigned another prompt in advance.
func (u *upstream) hasBacklogRoom(now time.Time) bool {
	if u.byWork() {
		return u.timeFor(now, u.remainingPrefill(now)) <= maxWorkBacklog
	}
	return u.backlog() <= maxBacklog
}

// prefillTime is the expected time of the prefill of a number of prompt tokens.
func (u *upstream) prefillTime(now time.Time, tokens int) time.Duration {
	if u.byWork() {
		return u.timeFor(now, u.prefillWork(tokens))
	}
	return u.prefillWork(tokens)
}

// tokensAhead is the number of prompt tokens that are left to prefill.
func (u *upstream) tokensAhead(now time.Time) int {
	if u.byWork() {
		return int(u.remainingPrefill(now) / max(u.prefillPerToken, 1))
	}
	return u.pendingPrefillTokens
}
