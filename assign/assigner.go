package assign

import (
	"math/rand/v2"
	"time"

	"github.com/jasminelock/jasminelock/apierr"
	"github.com/jasminelock/jasminelock/catalog"
)

// Options are what an Assigner is made of.
type Options struct {
	// Orders says that engines may be given orders, under the fence.
	Orders bool
	Fence  int64
	// HoldEvictions is until when no adapter is dropped, unless HostsTold comes
	// before: hosts may still tell of requests that run.
	HoldEvictions time.Time
	// Share is the part of the fleet's limits that this Assigner hands out, 1
	// for the lead.
	Share float64
	// First says that no Assigner of the fleet has come before this one.
	First bool
	// Limits are the fleet's bounds on repeated requests and rates.
	Limits Limits
	// Random breaks ties. It must not be shared.
	Random *rand.Rand
}

// Limits are the fleet's bounds, as the deployment states them.
type Limits struct {
	// RetryRatio is how many requests may be sent again for each request.
	RetryRatio float64
	// RetrySlack is how many more may be sent again in a window.
	RetrySlack float64
	// RateWindow is the time in which an organisation may use its rate and its burst.
	RateWindow time.Duration
	// RateOver is how far an organisation may go beyond that, as a part of it.
	RateOver float64
	// RateSlackTokens is how far it may go beyond that besides.
	RateSlackTokens float64
}

// Assigner holds the requests that it has assigned or that wait.
type Assigner struct {
	options   Options
	config    *catalog.Config
	versions  catalog.Versions
	upstreams map[string]*upstream
	services  map[string]*service
	requests  map[RequestID]*requestState
	queues    queues
	usages    map[string]*usage
	// shares holds the parts of the limits of some organisations that this Assigner
	// hands out, in place of Options.Share.
	shares    map[string]float64
	lastOrder uint64
	// holding says that no adapter may be dropped yet.
	evictionsHeld bool
	// evacuated holds the availability zones whose upstreams are sent nothing.
	evacuatedZones map[string]bool
	adapterIndex   adapterIndex
	coldLoads      coldLoadLimiter
	demand         map[catalog.AdapterRef]*decayingRate
	// passedAt is when all waiting requests were last looked at.
	lastPassAt time.Time
	// alarms are the upstreams that are to be looked at again, touched those whose
	// alarm may have changed since the last Wake. All were looked at at sweptAt.
	wakeups      wakeupHeap
	staleWakeups []*upstream
	lastSweepAt  time.Time
	// weighings counts the options that were weighed.
	optionsEvaluated uint64
	// weighed is reused between choices, heads between looks at the queues.
	candidateBuffer []*upstream
	queueBuffer     []*queue
	decisions       []Decision
}

// service is the upstreams of one service.
type service struct {
	name      string
	upstreams []*upstream
	retries   retryBudget
	// nextModelLoad is when the next base model may be loaded.
	nextModelLoadAt time.Time
	// backOffUntil is until when some upstream wants no requests of some host.
	backOffUntil time.Time
	// speed is the reading speed as of speedAt.
	prefillSpeed   float64
	prefillSpeedAt time.Time
}

// requestState is a request that has not ended.
type requestState struct {
	request Request
	// upstream runs the request, nil while it waits.
	upstream *upstream
	// queue is where it waits, nil where it does not.
	queue       *queue
	slot        *slot
	prefillDone bool
	// streaming says that it has had its first token.
	streaming bool
	grantedAt time.Time
	// prefill is the part of the prompt that the engine had to read.
	prefillTokens int
	// ahead is the prefill that was before the request's own when it was granted.
	prefillAhead int
}

// New returns an Assigner that knows nothing.
func New(o Options) *Assigner {
	return &Assigner{
		options: o, evictionsHeld: !o.HoldEvictions.IsZero(), config: catalog.NewConfig(catalog.Parts{}), versions: catalog.Versions{},
		upstreams: map[string]*upstream{}, services: map[string]*service{}, requests: map[RequestID]*requestState{}, queues: newQueues(),
		usages: map[string]*usage{}, adapterIndex: newAdapterIndex(), coldLoads: newColdLoadLimiter(), demand: map[catalog.AdapterRef]*decayingRate{},
	}
}

// SetShare changes the part of the fleet's limits that is handed out.
func (a *Assigner) SetShare(share float64) { a.options.Share = share }

// SetFirst says that no Assigner of the fleet has come before this one.
func (a *Assigner) SetFirst() { a.options.First = true }

// Waiting returns how many requests wait for an upstream.
func (a *Assigner) Waiting() int { return a.queues.count }

// InFlight returns how many requests upstreams have been given.
func (a *Assigner) InFlight() int { return len(a.requests) - a.queues.count }

// Handle takes an event and returns what is to be done, in order.
func (a *Assigner) Handle(now time.Time, ev Event) []Decision {
	switch e := ev.(type) {
	case ConfigSeen:
		a.config = e.Config
		a.configureEngines(now)
		a.serveWaiting(now)
	case VersionsSeen:
		a.versions = e.Versions
		a.retireOldVersions(now)
		a.serveWaiting(now)
	case EvacuationsSeen:
		a.updateEvacuations(now, e.Zones)
	case UpstreamsSeen:
		a.updateUpstreams(now, e.Upstreams)
		a.serveWaiting(now)
	case Asked:
		a.submit(now, e.Request)
	case Adopted:
		a.adopt(now, e)
	case Withdrawn:
		a.withdraw(now, e.ID)
	case Started:
		a.firstByteReceived(now, e.ID)
	case Ended:
		a.attemptEnded(now, e)
	case UpstreamLeaving:
		a.markLeaving(now, e)
	case HostLost:
		a.hostLost(now, e.Host)
	case HostsTold:
		a.allowEvictions(now)
	case OrderEnded:
		a.orderEnded(now, e)
	case ReportRead:
		a.reportRead(now, e)
	case Tick:
		a.tick(now)
	}
	out := a.decisions
	a.decisions = nil
	return out
}

func (a *Assigner) emit(d Decision) { a.decisions = append(a.decisions, d) }

func (a *Assigner) refuse(e *requestState, kind apierr.Kind, retryAfter time.Duration, why string) {
	a.emit(Refuse{ID: e.request.ID, Kind: kind, RetryAfter: retryAfter, Why: why})
}

// ask takes a new request, or one that is to be tried again.
func (a *Assigner) submit(now time.Time, r Request) {
	if old, ok := a.requests[r.ID]; ok {
		a.removeRequest(now, old)
	}
	e := &requestState{request: r}
	s := a.service(r.Service)
	switch {
	case r.retry() && !s.retries.take(a.options):
		a.refuse(e, apierr.QueueFull, a.retryAfter(s, now, r.ID.Host), "retry_budget")
		return
	case !r.Charged:
		if wait, ok := a.charge(now, &r); !ok {
			a.refuse(e, apierr.RateLimited, wait, "rate")
			return
		}
	}
	if !r.retry() {
		s.retries.earn(a.options)
	}
	a.requests[r.ID] = e
	a.recordDemand(now, r.Adapter)
	if a.place(now, e) {
		return
	}
	if why, hopeless := a.refusalRule(now, e); hopeless {
		a.refund(now, e)
		delete(a.requests, r.ID)
		a.refuse(e, apierr.QueueFull, a.retryAfter(s, now, r.ID.Host), why)
		return
	}
	a.enqueue(e)
}

// adopt takes over a request that is already with an upstream.
func (a *Assigner) adopt(now time.Time, ev Adopted) {
	if _, ok := a.requests[ev.Request.ID]; ok {
		return
	}
	e := &requestState{request: ev.Request}
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
	if ev.Started {
		u.finishPrefill(now, e)
		u.streams++
		e.streaming = true
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
	e.upstream.streams++
	e.streaming = true
	a.serveOn(now, e.upstream)
}

func (a *Assigner) attemptEnded(now time.Time, ev Ended) {
	e, ok := a.requests[ev.ID]
	if !ok || e.upstream == nil {
		return
	}
	u, s := e.upstream, e.slot
	a.invalidateWakeup(u)
	a.endAttempt(now, e)
	delete(a.requests, ev.ID)
	u.recordOutcome(now, e, ev)
	if ev.Outcome.NotRun() {
		a.refund(now, e)
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

// forget drops a request, wherever it is.
func (a *Assigner) removeRequest(now time.Time, e *requestState) {
	delete(a.requests, e.request.ID)
	if e.upstream != nil {
		a.endAttempt(now, e)
		return
	}
	a.releaseClaim(e)
	a.queues.remove(e)
}

// detach ends a waiting request's claim on an adapter's slot.
func (a *Assigner) releaseClaim(e *requestState) {
	if e.slot != nil {
		e.slot.claims--
		e.slot = nil
	}
}

// occupy notes that an upstream has been given a request.
func (a *Assigner) startAttempt(now time.Time, e *requestState, u *upstream, s *slot) {
	a.releaseClaim(e)
	e.upstream, e.slot, e.grantedAt = u, s, now
	e.prefillTokens = u.uncachedTokens(now, &e.request)
	u.recordPrefill(now, time.Duration(e.prefillTokens)*u.prefillPerToken)
	e.prefillAhead = u.pendingPrefillTokens
	u.running[e.request.ID] = e
	u.pendingPrefillTokens += e.prefillTokens
	u.prefillLoad.add(now, (time.Duration(e.prefillTokens) * u.prefillPerToken).Seconds())
	u.cacheTokens += e.request.PromptTokens + e.request.OutputTokens
	if s != nil {
		s.claims++
		s.lastUsed = now
	}
	u.rememberBlocks(now, &e.request)
	u.slowStart.take(now)
}

// vacate notes that an upstream no longer works on a request.
func (a *Assigner) endAttempt(now time.Time, e *requestState) {
	u := e.upstream
	u.finishPrefill(now, e)
	if e.streaming {
		u.streams--
	}
	delete(u.running, e.request.ID)
	u.cacheTokens -= e.request.PromptTokens + e.request.OutputTokens
	if e.slot != nil {
		e.slot.claims--
		e.slot.lastUsed = now
	}
	s := e.slot
	e.upstream, e.slot = nil, nil
	if s != nil && a.options.Orders {
		a.retireSlot(now, s)
	}
}

// service returns a service's state, a new one where there is none.
func (a *Assigner) service(name string) *service {
	s, ok := a.services[name]
	if !ok {
		s = &service{name: name}
		a.services[name] = s
	}
	return s
}

// tick lets time pass.
func (a *Assigner) tick(now time.Time) {
	if !now.Before(a.options.HoldEvictions) {
		a.allowEvictions(now)
	}
	a.runDueWakeups(now)
	a.refuseExpired(now)
	a.serveWaiting(now)
	a.pruneDemand(now)
}
