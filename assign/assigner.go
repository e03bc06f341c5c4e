package assign

import (
	"math/rand/v2"
	"time"

	"github.com/jasminelock/jasminelock/apierr"
	"github.com/jasminelock/jasminelock/catalog"
	"github.com/jasminelock/jasminelock/throttle"
)

// Options configures an Assigner.
type Options struct {
	// SendsOrders allows the Assigner to send orders to engines, with Fence as the fencing token.
	SendsOrders bool
	Fence       int64
	// HoldEvictions is the time until which no adapter is evicted, unless the event HostsReported arrives earlier:
	// hosts may still report running requests that use an adapter.
	HoldEvictions time.Time
	// Share is the fraction of the fleet's limits that this Assigner hands out; 1 for the leader.
	Share float64
	// FirstInFleet is true if no other Assigner of the fleet was active before this one.
	FirstInFleet bool
	// Limits are the fleet-wide bounds on retries and on organisations' rates.
	Limits Limits
	// Scheduling is the order of waiting requests in services whose upstreams state no pace.
	Scheduling Scheduling
	// LearnPace has requests assigned by the remaining work and the pace of upstreams also in services whose upstreams
	// state no pace. It is then learned from measurements.
	LearnPace bool
	// Random breaks ties. It must not be shared.
	Random *rand.Rand
}

// Scheduling is an order of waiting requests.
type Scheduling uint8

const (
	// ByArrival serves requests that can still meet their target first, then by priority and arrival.
	ByArrival Scheduling = iota
	// ByUrgency serves requests by rank, then fairly between organisations.
	ByUrgency
)

// Limits are the fleet-wide bounds, as configured for the deployment.
type Limits struct {
	// RetryRatio is the number of retries allowed per request.
	RetryRatio float64
	// RetrySlack is the number of retries allowed per window in addition to RetryRatio.
	RetrySlack float64
	// RateWindow is the window over which an organisation's rate and burst are enforced.
	RateWindow time.Duration
	// RateTolerance is the fraction by which an organisation may exceed its rate and burst in a window.
	RateTolerance float64
	// RateSlackTokens is the number of tokens by which it may exceed them in addition.
	RateSlackTokens float64
}

// Assigner is the state machine that assigns requests to upstreams. It holds all assigned and queued requests.
type Assigner struct {
	options   Options
	config    *catalog.Config
	versions  catalog.Versions
	upstreams map[string]*upstream
	services  map[string]*service
	requests  map[RequestID]*requestState
	queues    queues
	usages    map[string]*usage
	// shares overrides Options.Share per organisation.
	shares          map[string]float64
	lastOrderNumber uint64
	// evictionsHeld is true while no adapter may be evicted.
	evictionsHeld bool
	// rateLimiters enforce the rate limits that upstreams state. They are kept while an upstream is not listed.
	rateLimiters map[throttle.Incarnation]*throttle.Limiter
	// lastQueueCheck is the time of the last check of the queues against the rate limits.
	lastQueueCheck time.Time
	// evacuatedZones are the availability zones whose upstreams receive no new requests.
	evacuatedZones map[string]bool
	adapterIndex   adapterIndex
	coldLoads      coldLoadLimiter
	demand         map[catalog.AdapterRef]*decayingRate
	costs          costs
	// lastPassAt is the time of the last pass over all queues.
	lastPassAt time.Time
	// wakeups orders upstreams by the time of their next check; staleWakeups are the upstreams whose wake-up time
	// may have changed since the last call of Assigner.NextWakeup. lastSweepAt is the time of the last check of all
	// upstreams.
	wakeups      wakeupHeap
	staleWakeups []*upstream
	lastSweepAt  time.Time
	// optionsEvaluated counts the options whose cost was computed.
	optionsEvaluated uint64
	// prefixes are the upstreams that were last assigned each prefix.
	prefixes recentPrefixes
	// candidateBuffer, slotBuffer and queueBuffer are reused to avoid allocations: the first two for each choice of an
	// upstream, the last for each pass over the queues.
	candidateBuffer []*upstream
	slotBuffer      []*slot
	queueBuffer     []*queue
	decisions       []Decision
	rankStats       rankStats
}

// service holds the state of one service and its upstreams.
type service struct {
	name      string
	upstreams []*upstream
	retries   retryBudget
	// nextModelLoadAt is the earliest time at which the next base model may be loaded.
	nextModelLoadAt time.Time
	// backOffUntil is the latest time until which some upstream refuses requests from some host.
	backOffUntil time.Time
	// prefillSpeed is the service's total prefill speed, in tokens per nanosecond, as computed at prefillSpeedAt.
	prefillSpeed   float64
	prefillSpeedAt time.Time
	// lastReturn is the turn of the last caller that was refused because of rate limits and can return in time.
	lastReturn time.Time
	// statesPace is true once an upstream of the service has stated its pace.
	statesPace bool
	// line orders the waiting requests, nil while the service is not ranked.
	line *line
	// lastLoadAt is the time of the last order to load an adapter.
	lastLoadAt time.Time
	// streamingRoutes holds the routes of the service whose last answer was a stream.
	streamingRoutes map[string]bool
	// evictingUsed is the number of adapters in use that are making way for more urgent requests.
	evictingUsed int
}

// ranked reports whether the waiting requests of a service are ordered by rank and shared fairly.
func (s *service) ranked(o *Options) bool { return o.Scheduling == ByUrgency || s.statesPace }

// requestState is the state of a request that has not ended.
type requestState struct {
	requestWork
	requestRank
	request     Request
	submittedAt time.Time
	// upstream is the upstream that the request is assigned to, nil while it is queued.
	upstream *upstream
	// queue is the queue that holds the request, nil if it is not queued.
	queue       *queue
	slot        *slot
	prefillDone bool
	// streaming is true once the first byte of the answer has been received.
	streaming bool
	grantedAt time.Time
	// prefillTokens is the number of prompt tokens that the engine had to prefill.
	prefillTokens int
	// prefillAhead is the number of tokens waiting for prefill on the engine when the request was assigned,
	// without the request's own.
	prefillAhead int
}

// New returns an Assigner without configuration, upstreams or requests.
func New(o Options) *Assigner {
	return &Assigner{
		options: o, evictionsHeld: !o.HoldEvictions.IsZero(),
		config: catalog.NewConfig(catalog.ConfigParts{}), versions: catalog.Versions{},
		upstreams: map[string]*upstream{}, services: map[string]*service{},
		requests: map[RequestID]*requestState{}, queues: newQueues(), usages: map[string]*usage{},
		rateLimiters: map[throttle.Incarnation]*throttle.Limiter{},
		adapterIndex: newAdapterIndex(), coldLoads: newColdLoadLimiter(), demand: map[catalog.AdapterRef]*decayingRate{},
		costs: newCosts(),
	}
}

// SetShare changes the fraction of the fleet's limits that this Assigner hands out.
func (a *Assigner) SetShare(share float64) { a.options.Share = share }

// SetFirstInFleet records that no other Assigner of the fleet was active before this one.
func (a *Assigner) SetFirstInFleet() { a.options.FirstInFleet = true }

// Waiting returns the number of queued requests.
func (a *Assigner) Waiting() int { return a.queues.count }

// InFlight returns the number of requests that are assigned to an upstream.
func (a *Assigner) InFlight() int { return len(a.requests) - a.queues.count }

// Handle applies an event and returns the resulting decisions, in the order in which to carry them out.
func (a *Assigner) Handle(now time.Time, ev Event) []Decision {
	switch e := ev.(type) {
	case ConfigUpdated:
		a.resetCapacity()
		former := a.config
		a.config = e.Config
		a.configureEngines(now)
		a.configureLines(now, former)
		a.serveWaiting(now)
	case VersionsUpdated:
		a.versions = e.Versions
		a.retireOldVersions(now)
		a.serveWaiting(now)
	case EvacuationsUpdated:
		a.resetCapacity()
		a.updateEvacuations(now, e.Zones)
	case UpstreamsUpdated:
		a.resetCapacity()
		a.updateUpstreams(now, e.Upstreams)
		a.serveWaiting(now)
	case RequestSubmitted:
		a.submit(now, e.Request)
	case RequestAdopted:
		a.adopt(now, e)
	case RequestWithdrawn:
		a.withdraw(now, e.ID)
	case FirstByteReceived:
		a.firstByteReceived(now, e.ID)
	case AttemptEnded:
		a.attemptEnded(now, e)
	case HostLost:
		a.hostLost(now, e.Host)
	case HostsReported:
		a.allowEvictions(now)
	case Tick:
		a.tick(now)
	default:
		a.handleUpstreamEvent(now, ev)
	}
	decisions := a.decisions
	a.decisions = nil
	return decisions
}

// handleUpstreamEvent applies what an upstream has answered or stated about itself.
func (a *Assigner) handleUpstreamEvent(now time.Time, ev Event) {
	a.invalidateCapacity()
	switch e := ev.(type) {
	case UpstreamLeaving:
		a.markLeaving(now, e)
	case LoadStated:
		a.loadStated(now, e)
	case RateLimitUpdated:
		a.updateRateLimit(now, e)
	case RateLimitEnded:
		a.endRateLimit(now, e.Upstream)
	case OrderEnded:
		a.orderEnded(now, e)
	case ReportReceived:
		a.reportReceived(now, e)
	}
}

func (a *Assigner) emit(d Decision) { a.decisions = append(a.decisions, d) }

func (a *Assigner) refuse(now time.Time, e *requestState, kind apierr.Kind, retryAfter time.Duration, rule string) {
	_, state, _ := a.service(e.request.Service).fleetRate(now)
	a.emit(Refuse{ID: e.request.ID, Kind: kind, RetryAfter: retryAfter, Rule: rule, RateLimit: state})
}

// submit handles a new request, or a retry of one: it assigns, queues or refuses the request.
func (a *Assigner) submit(now time.Time, r Request) {
	if old, ok := a.requests[r.ID]; ok {
		a.removeRequest(now, old)
	}
	e := &requestState{request: r, submittedAt: now}
	e.request.boundTokens()
	s := a.service(r.Service)
	switch {
	case r.retry() && !s.retries.take(a.options):
		a.refuse(now, e, apierr.QueueFull, a.retryAfter(now, e), "retry_budget")
		return
	case !r.Charged:
		if wait, ok := a.charge(now, &r); !ok {
			a.refuse(now, e, apierr.RateLimited, wait, "rate")
			return
		}
	}
	if !r.retry() {
		s.retries.earn(a.options)
	}
	a.requests[r.ID] = e
	a.recordDemand(now, r.Adapter)
	if a.lineOf(now, s) != nil {
		a.submitRanked(now, s, e)
		return
	}
	if a.takeTurn(now, s, e) || a.place(now, e) {
		return
	}
	if rule, refused := a.refusalRule(now, e); refused {
		a.refund(now, e)
		a.removeRequest(now, e)
		a.refuse(now, e, apierr.QueueFull, a.retryAfter(now, e), rule)
		return
	}
	a.enqueue(now, e)
}

// adopt records a request that is already running on an upstream.
func (a *Assigner) adopt(now time.Time, ev RequestAdopted) {
	if _, ok := a.requests[ev.Request.ID]; ok {
		return
	}
	e := &requestState{request: ev.Request, requestWork: requestWork{adopted: true}}
	e.request.boundTokens()
	u, ok := a.upstreams[ev.Upstream]
	if !ok {
		return
	}
	a.requests[ev.Request.ID] = e
	var held *slot
	if u.engine != nil && ev.Request.Adapter.Adapter != "" {
		held = u.ensureSlot(now, ev.Request.Adapter)
	}
	a.startAttempt(now, e, u, held)
	if ev.FirstByteReceived {
		u.finishPrefill(now, e)
		u.addStream(now, e)
	}
}

func (a *Assigner) withdraw(now time.Time, id RequestID) {
	e, ok := a.requests[id]
	if !ok || e.upstream != nil {
		return
	}
	a.refund(now, e)
	a.removeRequest(now, e)
}

func (a *Assigner) firstByteReceived(now time.Time, id RequestID) {
	e, ok := a.requests[id]
	if !ok || e.upstream == nil || e.prefillDone {
		return
	}
	e.upstream.learnPrefillTime(now, e)
	e.upstream.finishPrefill(now, e)
	e.upstream.addStream(now, e)
	a.serveOn(now, e.upstream)
}

func (a *Assigner) attemptEnded(now time.Time, ev AttemptEnded) {
	e, ok := a.requests[ev.ID]
	if !ok || e.upstream == nil {
		return
	}
	u, s := e.upstream, e.slot
	a.invalidateWakeup(u)
	a.endAttempt(now, e)
	delete(a.requests, ev.ID)
	u.recordOutcome(now, e, ev)
	a.learnCost(now, u, e, &ev)
	if ev.Outcome.NotRun() {
		a.refund(now, e)
	}
	if ev.Outcome == NotSent {
		u.rateLimit.Return(now)
	}
	if ev.Outcome == NotLoaded && s != nil {
		a.adapterDenied(now, u, s)
	}
	a.serveOn(now, u)
}

func (a *Assigner) hostLost(now time.Time, host string) {
	for id, e := range a.requests {
		if id.Host == host {
			a.removeRequest(now, e)
		}
	}
	a.serveWaiting(now)
}

// removeRequest drops a request, whether it is assigned or queued.
func (a *Assigner) removeRequest(now time.Time, e *requestState) {
	delete(a.requests, e.request.ID)
	if e.upstream != nil {
		a.endAttempt(now, e)
		return
	}
	a.releaseClaim(e)
	a.queues.remove(e)
}

// releaseClaim ends the claim of a queued request on an adapter's slot.
func (a *Assigner) releaseClaim(e *requestState) {
	if e.slot != nil {
		e.slot.claims--
		e.slot = nil
	}
}

// startAttempt records that a request was assigned to an upstream.
func (a *Assigner) startAttempt(now time.Time, e *requestState, u *upstream, s *slot) {
	a.releaseClaim(e)
	e.upstream, e.slot, e.grantedAt = u, s, now
	e.prefillTokens = u.uncachedTokens(now, &e.request)
	a.addWork(now, e, u, s)
	u.running[e.request.ID] = e
	if s != nil {
		s.claims++
		s.lastUsed = now
	}
	u.rememberBlocks(now, &e.request)
	if _, ok := a.adapterIndex.wide[serviceAdapter{u.service, e.request.Adapter}]; ok {
		a.prefixes.record(&e.request, u)
	}
	u.slowStart.take(now)
}

// endAttempt records that an upstream no longer processes a request.
func (a *Assigner) endAttempt(now time.Time, e *requestState) {
	u := e.upstream
	u.finishPrefill(now, e)
	if e.streaming {
		u.removeStream(now, e)
	}
	delete(u.running, e.request.ID)
	u.cacheTokens -= e.request.cacheTokens()
	if e.slot != nil {
		e.slot.claims--
		e.slot.lastUsed = now
	}
	s := e.slot
	e.upstream, e.slot = nil, nil
	if s != nil && a.options.SendsOrders {
		a.retireSlot(now, s)
	}
}

// service returns the state of a service and creates it if it does not exist.
func (a *Assigner) service(name string) *service {
	s, ok := a.services[name]
	if !ok {
		s = &service{name: name}
		a.services[name] = s
	}
	return s
}

// tick handles everything that depends on time alone.
func (a *Assigner) tick(now time.Time) {
	if !now.Before(a.options.HoldEvictions) {
		a.allowEvictions(now)
	}
	a.runDueWakeups(now)
	a.refuseExpired(now)
	a.refuseUnservable(now)
	a.serveWaiting(now)
	a.pruneDemand(now)
}
