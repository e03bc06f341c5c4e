package assign

import (
	"maps"
	"time"

	"github.com/jasminelock/jasminelock/catalog"
)

// What is assumed of an upstream before it has been measured, and how fast
// measurements change that.
const (
	// assumedPrefill is the time that an engine takes to read a token of a prompt,
	// near what the users' deployments state; it is learned for each engine.
	assumedPrefill = 40 * time.Microsecond
	// assumedWork is the time that a plain service takes over a request, near what
	// the users' deployments state; it is learned for each upstream.
	assumedWork = 20 * time.Millisecond
	// learnWeight is the weight of a new measurement in a moving average.
	learnWeight = 0.15
	// minMeasuredTokens is the least prefill that tells an engine's speed; below
	// it, the fixed cost of a step dominates.
	minMeasuredTokens = 400
	// slowestPrefill bounds what one measurement may claim.
	slowestPrefill = 2 * time.Millisecond
)

// Bounds of how an upstream that fails is left alone.
const (
	// firstPause and longestPause bound the time without requests after failures
	// to connect or answers that broke off.
	firstPause   = 500 * time.Millisecond
	longestPause = 4 * time.Second
	// fullPause is the time without requests after the upstream was full.
	fullPause = 100 * time.Millisecond
	// failuresPause is how many failures in a row start a pause.
	failuresPause = 2
)

// partLifetime is how long a part of a prompt is taken to stay in an engine's
// cache without being used.
const partLifetime = 20 * time.Second

// maxParts bounds the parts remembered of one engine.
const maxParts = 4096

// upstream is what is known of one incarnation of an upstream.
type upstream struct {
	record  *catalog.Upstream
	service *service
	// engine is nil for an upstream of a plain service.
	engine *catalog.Engine

	running map[RequestID]*entry
	// streams counts the running requests that have had their first token.
	streams int
	// longestPause is how long two events of a stream may be apart, 0 for no bound.
	longestPause time.Duration
	stretch      stretch
	// unstarted is the prefill, in tokens, of requests without a first token.
	unstarted int
	// reading is the part of its time that the engine spends on prefill, by what
	// it was given of late.
	reading decayed
	// cacheTokens is the KV cache that the requests may come to use.
	cacheTokens int
	// prefill is the time to read a token of a prompt.
	prefill time.Duration
	// work is the time from grant to answer of a plain service.
	work time.Duration
	// errors is the moving share of failed requests.
	errors float64
	load   Load
	// heardAt is when it last told anything of itself, or was listed first.
	heardAt time.Time

	failures int
	// pausedUntil is when the upstream may be tried again after failures,
	// fullUntil after it was full.
	pausedUntil time.Time
	fullUntil   time.Time
	// leaving says that it has told a host that it leaves.
	leaving bool
	// evacuated says that its availability zone is to be sent nothing.
	evacuated bool
	slow      slowStart
	// backOff holds the hosts that it wants no requests of, and until when.
	backOff map[string]time.Time

	slots map[string]*slot
	// warm holds when adapters were last held, which load faster again.
	warm map[string]time.Time
	// models are the base models held.
	models map[string]bool
	parts  map[partKey]time.Time
	orders orders
	// wakeAt is when the upstream is to be looked at again, alarm its place among
	// the alarms, counted from 1, 0 for none.
	wakeAt  time.Time
	alarm   int
	touched bool
	// holders is the index that the slots are part of.
	holders *holders
	cold    *coldLoads
}

// partKey names a part of a prompt for an adapter, whose cache entries differ.
type partKey struct {
	adapter catalog.AdapterRef
	part    string
}

func newUpstream(record *catalog.Upstream, s *service, engine *catalog.Engine, h *holders, c *coldLoads) *upstream {
	return &upstream{
		record: record, service: s, engine: engine, holders: h, cold: c, running: map[RequestID]*entry{},
		prefill: assumedPrefill, work: assumedWork, reading: decayed{halfLife: readingHalfLife},
		slots: map[string]*slot{}, warm: map[string]time.Time{}, models: map[string]bool{}, parts: map[partKey]time.Time{},
	}
}

// seeUpstreams brings the upstreams in line with what the store lists.
func (a *Assigner) seeUpstreams(now time.Time, listed map[string]*catalog.Upstream) {
	for id, u := range a.upstreams {
		record, ok := listed[id]
		if !ok || record.StartedAt != u.record.StartedAt || record.Address != u.record.Address {
			a.dropUpstream(u)
		}
	}
	for id, record := range listed {
		if u, ok := a.upstreams[id]; ok {
			before := u.record.SlowStartRemaining
			u.record = record
			u.noteSlowStart(now, before)
			if !a.options.SendsOrders {
				u.trustEntry(now)
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
	u := newUpstream(record, s, engine, &a.holders, &a.cold)
	u.longestPause = a.config.MaxEventGap(record.Service)
	u.heardAt = now
	u.evacuated = a.evacuated[record.Zone]
	u.slow = slowStart{bound: a.slowStartOf(record.Service), options: &a.options}
	u.noteSlowStart(now, 0)
	a.upstreams[record.ID] = u
	s.upstreams = append(s.upstreams, u)
	if engine != nil {
		a.cold.engines(len(s.upstreams))
		u.trustEntry(now)
		a.readReport(now, u)
	}
}

// configureEngines gives each upstream the configuration of its service.
func (a *Assigner) configureEngines(now time.Time) {
	for _, u := range a.upstreams {
		configured := a.config.Service(u.record.Service)
		u.slow.bound = a.slowStartOf(u.record.Service)
		if configured == nil || configured.Engine == nil {
			continue
		}
		isNew := u.engine == nil
		u.longestPause = a.config.MaxEventGap(u.record.Service)
		u.engine = configured.Engine
		if isNew {
			a.cold.engines(len(u.service.upstreams))
			u.trustEntry(now)
			a.readReport(now, u)
		}
	}
}

func (a *Assigner) dropUpstream(u *upstream) {
	delete(a.upstreams, u.record.ID)
	a.touch(u)
	s := u.service
	for i, other := range s.upstreams {
		if other == u {
			s.upstreams = append(s.upstreams[:i:i], s.upstreams[i+1:]...)
			break
		}
	}
	a.holders.forget(u)
	for _, one := range u.slots {
		a.cold.forget(one)
	}
	a.queues.each(func(e *entry) {
		if e.slot != nil && e.slot.upstream == u {
			a.detach(e)
		}
	})
}

// prefillOf returns how many tokens of a request's prompt the upstream has to read.
func (u *upstream) prefillOf(now time.Time, r *Request) int {
	left := r.PromptTokens
	for _, p := range r.PrefixBlocks {
		used, ok := u.parts[partKey{r.Adapter, p.ID}]
		if !ok || now.Sub(used) > partLifetime {
			break
		}
		left -= p.Tokens
	}
	return max(left, 1)
}

func (u *upstream) rememberParts(now time.Time, r *Request) {
	if u.engine == nil {
		return
	}
	if len(u.parts) > maxParts {
		clear(u.parts)
	}
	for _, p := range r.PrefixBlocks {
		u.parts[partKey{r.Adapter, p.ID}] = now
	}
}

// startedRunning notes that an engine has read a request's prompt.
func (u *upstream) startedRunning(now time.Time, e *entry) {
	if !e.started {
		e.started = true
		u.unstarted -= e.prefill
		u.stretch.idleSince = now
	}
}

// learnSpeed takes the time that an engine took to a first token.
func (u *upstream) learnSpeed(now time.Time, e *entry) {
	tokens := e.prefill + e.ahead
	if u.engine == nil || tokens < minMeasuredTokens {
		return
	}
	measured := min(now.Sub(e.grantAt)/time.Duration(tokens), slowestPrefill)
	u.prefill += time.Duration(learnWeight * float64(measured-u.prefill))
}

// learnOutcome takes how an attempt ended.
func (u *upstream) learnOutcome(now time.Time, e *entry, ev AttemptEnded) {
	u.notePauses(now, ev.EventGaps)
	if ev.Feedback.Load != nil {
		u.load, u.heardAt = *ev.Feedback.Load, now
	}
	if ev.Feedback.BackOff > 0 {
		u.backOffFrom(now, ev.ID.Host, ev.Feedback.BackOff)
	}
	failed := 0.0
	switch ev.Outcome {
	case Completed:
		u.failures = 0
		if u.engine == nil {
			u.work += time.Duration(learnWeight * float64(now.Sub(e.grantAt)-u.work))
		}
	case Failed:
		failed, u.failures = 1, 0
	case Full:
		u.fullUntil = now.Add(fullPause)
		return
	case TimedOut:
		failed = 1
	case Unreachable, Lost:
		failed = 1
		u.failures++
		if u.failures >= failuresPause || ev.Outcome == Unreachable {
			u.pause(now, min(firstPause<<min(u.failures, 8), longestPause))
		}
	case Replaced:
		u.pause(now, longestPause)
		return
	default:
		return
	}
	u.errors += learnWeight * (failed - u.errors)
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
	return !u.draining() && !now.Before(u.fullUntil) && !u.slow.full(now)
}

// draining reports whether the upstream takes no new requests, as the list, its own
// answers or the operator say.
func (u *upstream) draining() bool { return u.record.Draining || u.leaving || u.evacuated }

// seeEvacuations has the upstreams of some zones take no new requests, and those of all
// others take them again. What waits for an evacuated one goes elsewhere.
func (a *Assigner) seeEvacuations(now time.Time, zones map[string]bool) {
	if maps.Equal(zones, a.evacuated) {
		return
	}
	a.evacuated = zones
	for _, u := range a.upstreams {
		if held := zones[u.record.Zone]; held != u.evacuated {
			u.evacuated = held
			if !held {
				// It may have become slow meanwhile, which its entry tells later.
				u.slow.begin(now, now.Add(u.slow.bound.Period))
			}
			a.touch(u)
		}
	}
	a.passedAt = time.Time{}
	a.serveWaiting(now)
}

// noteLeaving takes that an upstream leaves. What waits for it goes elsewhere.
func (a *Assigner) noteLeaving(now time.Time, ev UpstreamLeaving) {
	u, ok := a.upstreams[ev.Upstream]
	if !ok || u.record.StartedAt != ev.StartedAt || u.leaving {
		return
	}
	u.leaving = true
	a.touch(u)
	a.serveWaiting(now)
}

// backOffFrom notes that the upstream wants no requests of a host for a while.
func (u *upstream) backOffFrom(now time.Time, host string, d time.Duration) {
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
func (u *upstream) mayAsk(now time.Time, host string) bool {
	return !now.Before(u.backOff[host])
}

// backlog is the expected time until the engine has read what it was given.
func (u *upstream) backlog() time.Duration {
	return time.Duration(u.unstarted) * u.prefill
}
