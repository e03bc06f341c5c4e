package assign

import (
	"maps"
	"time"

	"github.com/jasminelock/jasminelock/catalog"
)

// What is assumed of an upstream before it has been measured, and how fast
// measurements change that.
const (
	// assumedPrefillPerToken is the time that an engine takes to read a token of a prompt,
	// near what the users' deployments state; it is learned for each engine.
	assumedPrefillPerToken = 40 * time.Microsecond
	// assumedRequestTime is the time that a plain service takes over a request, near what
	// the users' deployments state; it is learned for each upstream.
	assumedRequestTime = 20 * time.Millisecond
	// learnWeight is the weight of a new measurement in a moving average.
	learnWeight = 0.15
	// minMeasuredTokens is the least prefill that tells an engine's speed; below
	// it, the fixed cost of a step dominates.
	minMeasuredTokens = 400
	// maxPrefillPerToken bounds what one measurement may claim.
	maxPrefillPerToken = 2 * time.Millisecond
)

// Bounds of how an upstream that fails is left alone.
const (
	// initialFailurePause and maxFailurePause bound the time without requests after failures
	// to connect or answers that broke off.
	initialFailurePause = 500 * time.Millisecond
	maxFailurePause     = 4 * time.Second
	// fullPause is the time without requests after the upstream was full.
	fullPause = 100 * time.Millisecond
	// failuresBeforePause is how many failures in a row start a pause.
	failuresBeforePause = 2
)

// cachedBlockLifetime is how long a part of a prompt is taken to stay in an engine's
// cache without being used.
const cachedBlockLifetime = 20 * time.Second

// maxCachedBlocks bounds the parts remembered of one engine.
const maxCachedBlocks = 4096

// upstream is what is known of one incarnation of an upstream.
type upstream struct {
	record  *catalog.Upstream
	service *service
	// engine is nil for an upstream of a plain service.
	engine *catalog.Engine

	running map[RequestID]*requestState
	// streams counts the running requests that have had their first token.
	streams int
	// maxFailurePause is how long two events of a stream may be apart, 0 for no bound.
	maxEventGap time.Duration
	burst       prefillBurst
	// unstarted is the prefill, in tokens, of requests without a first token.
	pendingPrefillTokens int
	// reading is the part of its time that the engine spends on prefill, by what
	// it was given of late.
	prefillLoad decayingRate
	// cacheTokens is the KV cache that the requests may come to use.
	cacheTokens int
	// prefill is the time to read a token of a prompt.
	prefillPerToken time.Duration
	// work is the time from grant to answer of a plain service.
	requestTime time.Duration
	// errors is the moving share of failed requests.
	errorRate    float64
	reportedLoad Load
	// heardAt is when it last told anything of itself, or was listed first.
	lastHeardAt time.Time

	consecutiveFailures int
	// pausedUntil is when the upstream may be tried again after failures,
	// fullUntil after it was full.
	pausedUntil time.Time
	fullUntil   time.Time
	// leaving says that it has told a host that it leaves.
	leaving bool
	// evacuated says that its availability zone is to be sent nothing.
	evacuated bool
	slowStart slowStartLimiter
	// backOff holds the hosts that it wants no requests of, and until when.
	backOff map[string]time.Time

	slots map[string]*slot
	// warm holds when adapters were last held, which load faster again.
	warm map[string]time.Time
	// models are the base models held.
	models       map[string]bool
	cachedBlocks map[blockKey]time.Time
	orders       orders
	// wakeAt is when the upstream is to be looked at again, alarm its place among
	// the alarms, counted from 1, 0 for none.
	wakeAt      time.Time
	wakeupIndex int
	wakeupStale bool
	// adapterIndex is the index that the slots are part of.
	adapterIndex *adapterIndex
	coldLoads    *coldLoadLimiter
}

// blockKey names a part of a prompt for an adapter, whose cache entries differ.
type blockKey struct {
	adapter catalog.AdapterRef
	block   string
}

func newUpstream(record *catalog.Upstream, s *service, engine *catalog.Engine, h *adapterIndex, c *coldLoadLimiter) *upstream {
	return &upstream{
		record: record, service: s, engine: engine, adapterIndex: h, coldLoads: c, running: map[RequestID]*requestState{},
		prefillPerToken: assumedPrefillPerToken, requestTime: assumedRequestTime, prefillLoad: decayingRate{halfLife: prefillHalfLife},
		slots: map[string]*slot{}, warm: map[string]time.Time{}, models: map[string]bool{}, cachedBlocks: map[blockKey]time.Time{},
	}
}

// seeUpstreams brings the upstreams in line with what the store lists.
func (a *Assigner) updateUpstreams(now time.Time, listed map[string]*catalog.Upstream) {
	for id, u := range a.upstreams {
		record, ok := listed[id]
		if !ok || record.Born != u.record.Born || record.Address != u.record.Address {
			a.dropUpstream(u)
		}
	}
	for id, record := range listed {
		if u, ok := a.upstreams[id]; ok {
			before := u.record.SlowStart
			u.record = record
			u.updateSlowStart(now, before)
			if !a.options.Orders {
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
	u := newUpstream(record, s, engine, &a.adapterIndex, &a.coldLoads)
	u.maxEventGap = a.config.LongestPause(record.Service)
	u.lastHeardAt = now
	u.evacuated = a.evacuatedZones[record.Zone]
	u.slowStart = slowStartLimiter{limits: a.slowStartLimits(record.Service), options: &a.options}
	u.updateSlowStart(now, 0)
	a.upstreams[record.ID] = u
	s.upstreams = append(s.upstreams, u)
	if engine != nil {
		a.coldLoads.setEngineCount(len(s.upstreams))
		u.syncFromRecord(now)
		a.readReport(now, u)
	}
}

// configureEngines gives each upstream the configuration of its service.
func (a *Assigner) configureEngines(now time.Time) {
	for _, u := range a.upstreams {
		configured := a.config.Service(u.record.Service)
		u.slowStart.limits = a.slowStartLimits(u.record.Service)
		if configured == nil || configured.Engine == nil {
			continue
		}
		isNew := u.engine == nil
		u.maxEventGap = a.config.LongestPause(u.record.Service)
		u.engine = configured.Engine
		if isNew {
			a.coldLoads.setEngineCount(len(u.service.upstreams))
			u.syncFromRecord(now)
			a.readReport(now, u)
		}
	}
}

func (a *Assigner) dropUpstream(u *upstream) {
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
	for _, one := range u.slots {
		a.coldLoads.discard(one)
	}
	a.queues.each(func(e *requestState) {
		if e.slot != nil && e.slot.upstream == u {
			a.releaseClaim(e)
		}
	})
}

// prefillOf returns how many tokens of a request's prompt the upstream has to read.
func (u *upstream) uncachedTokens(now time.Time, r *Request) int {
	left := r.PromptTokens
	for _, p := range r.Parts {
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
	for _, p := range r.Parts {
		u.cachedBlocks[blockKey{r.Adapter, p.ID}] = now
	}
}

// startedRunning notes that an engine has read a request's prompt.
func (u *upstream) finishPrefill(now time.Time, e *requestState) {
	if !e.prefillDone {
		e.prefillDone = true
		u.pendingPrefillTokens -= e.prefillTokens
		u.burst.idleSince = now
	}
}

// learnSpeed takes the time that an engine took to a first token.
func (u *upstream) learnPrefillTime(now time.Time, e *requestState) {
	tokens := e.prefillTokens + e.prefillAhead
	if u.engine == nil || tokens < minMeasuredTokens {
		return
	}
	measured := min(now.Sub(e.grantedAt)/time.Duration(tokens), maxPrefillPerToken)
	u.prefillPerToken += time.Duration(learnWeight * float64(measured-u.prefillPerToken))
}

// learnOutcome takes how an attempt ended.
func (u *upstream) recordOutcome(now time.Time, e *requestState, ev Ended) {
	u.recordEventGaps(now, ev.Pauses)
	if ev.Said.Load != nil {
		u.reportedLoad, u.lastHeardAt = *ev.Said.Load, now
	}
	if ev.Said.BackOff > 0 {
		u.recordBackOff(now, ev.ID.Host, ev.Said.BackOff)
	}
	failed := 0.0
	switch ev.Outcome {
	case Completed:
		u.consecutiveFailures = 0
		if u.engine == nil {
			u.requestTime += time.Duration(learnWeight * float64(now.Sub(e.grantedAt)-u.requestTime))
		}
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
	}
}

// usable reports whether the upstream may be given a request now.
func (u *upstream) usable(now time.Time) bool {
	return u.present(now) && !now.Before(u.pausedUntil)
}

// present reports whether the upstream could take a request, were it not left
// alone after failures.
func (u *upstream) present(now time.Time) bool {
	return !u.draining() && !now.Before(u.fullUntil) && !u.slowStart.exhausted(now)
}

// draining reports whether the upstream takes no new requests, as the list, its own
// answers or the operator say.
func (u *upstream) draining() bool { return u.record.Draining || u.leaving || u.evacuated }

// seeEvacuations has the upstreams of some zones take no new requests, and those of all
// others take them again. What waits for an evacuated one goes elsewhere.
func (a *Assigner) updateEvacuations(now time.Time, zones map[string]bool) {
	if maps.Equal(zones, a.evacuatedZones) {
		return
	}
	a.evacuatedZones = zones
	for _, u := range a.upstreams {
		if held := zones[u.record.Zone]; held != u.evacuated {
			u.evacuated = held
			if !held {
				// It may have become slow meanwhile, which its entry tells later.
				u.slowStart.begin(now, now.Add(u.slowStart.limits.For))
			}
			a.invalidateWakeup(u)
		}
	}
	a.lastPassAt = time.Time{}
	a.serveWaiting(now)
}

// noteLeaving takes that an upstream leaves. What waits for it goes elsewhere.
func (a *Assigner) markLeaving(now time.Time, ev UpstreamLeaving) {
	u, ok := a.upstreams[ev.Upstream]
	if !ok || u.record.Born != ev.Born || u.leaving {
		return
	}
	u.leaving = true
	a.invalidateWakeup(u)
	a.serveWaiting(now)
}

// backOffFrom notes that the upstream wants no requests of a host for a while.
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

// mayAsk reports whether a host may send the upstream requests, as far as the
// upstream itself has said.
func (u *upstream) accepts(now time.Time, host string) bool {
	return !now.Before(u.backOff[host])
}

// backlog is the expected time until the engine has read what it was given.
func (u *upstream) backlog() time.Duration {
	return time.Duration(u.pendingPrefillTokens) * u.prefillPerToken
}
