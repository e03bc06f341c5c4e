package assign

import (
	"math/rand/v2"
	"time"

	"github.com/jasminelock/jasminelock/apierr"
	"github.com/jasminelock/jasminelock/catalog"
)

// Options are what an Assigner is made of.
type Options struct {
	// SendsOrders says that engines may be given orders, under the fence.
	SendsOrders bool
	Fence  int64
	// HoldEvictions is until when no adapter is dropped, unless HostsReported comes
	// before: hosts may still tell of requests that run.
	HoldEvictions time.Time
	// Share is the part of the fleet's limits that this Assigner hands out, 1
	// for the lead.
	Share float64
	// FirstInFleet says that no Assigner of the fleet has come before this one.
	FirstInFleet bool
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
	// RateTolerance is how far an organisation may go beyond that, as a part of it.
	RateTolerance float64
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
	requests  map[RequestID]*entry
	queues    queues
	rates     map[string]*usage
	// shares holds the parts of the limits of some organisations that this Assigner
	// hands out, in place of Options.Share.
	shares    map[string]float64
	lastOrder uint64
	// holding says that no adapter may be dropped yet.
	holding bool
	// evacuated holds the availability zones whose upstreams are sent nothing.
	evacuated map[string]bool
	holders   holders
	cold      coldLoads
	demand    map[catalog.AdapterRef]*decayed
	// passedAt is when all waiting requests were last looked at.
	passedAt time.Time
	// alarms are the upstreams that are to be looked at again, touched those whose
	// alarm may have changed since the last Wake. All were looked at at sweptAt.
	alarms  alarms
	touched []*upstream
	sweptAt time.Time
	// weighings counts the options that were weighed.
	weighings uint64
	// weighed is reused between choices, heads between looks at the queues.
	weighed []*upstream
	heads   []*queue
	out     []Decision
}

// service is the upstreams of one service.
type service struct {
	name      string
	upstreams []*upstream
	retries   retryBudget
	// nextModelLoad is when the next base model may be loaded.
	nextModelLoad time.Time
	// backOffUntil is until when some upstream wants no requests of some host.
	backOffUntil time.Time
	// speed is the reading speed as of speedAt.
	speed   float64
	speedAt time.Time
}

// entry is a request that has not ended.
type entry struct {
	request Request
	// upstream runs the request, nil while it waits.
	upstream *upstream
	// queue is where it waits, nil where it does not.
	queue   *queue
	slot    *slot
	started bool
	// streaming says that it has had its first token.
	streaming bool
	grantAt   time.Time
	// prefill is the part of the prompt that the engine had to read.
	prefill int
	// ahead is the prefill that was before the request's own when it was granted.
	ahead int
}

// New returns an Assigner that knows nothing.
func New(o Options) *Assigner {
	return &Assigner{
		options: o, holding: !o.HoldEvictions.IsZero(), config: catalog.NewConfig(catalog.ConfigParts{}), versions: catalog.Versions{},
		upstreams: map[string]*upstream{}, services: map[string]*service{}, requests: map[RequestID]*entry{}, queues: newQueues(),
		rates: map[string]*usage{}, holders: newHolders(), cold: newColdLoads(), demand: map[catalog.AdapterRef]*decayed{},
	}
}

// SetShare changes the part of the fleet's limits that is handed out.
func (a *Assigner) SetShare(share float64) { a.options.Share = share }

// SetFirstInFleet says that no Assigner of the fleet has come before this one.
func (a *Assigner) SetFirstInFleet() { a.options.FirstInFleet = true }

// Waiting returns how many requests wait for an upstream.
func (a *Assigner) Waiting() int { return a.queues.count }

// InFlight returns how many requests upstreams have been given.
func (a *Assigner) InFlight() int { return len(a.requests) - a.queues.count }

// Handle takes an event and returns what is to be done, in order.
func (a *Assigner) Handle(now time.Time, ev Event) []Decision {
	switch e := ev.(type) {
	case ConfigUpdated:
		a.config = e.Config
		a.configureEngines(now)
		a.serveWaiting(now)
	case VersionsUpdated:
		a.versions = e.Versions
		a.retire(now)
		a.serveWaiting(now)
	case EvacuationsUpdated:
		a.seeEvacuations(now, e.Zones)
	case UpstreamsUpdated:
		a.seeUpstreams(now, e.Upstreams)
		a.serveWaiting(now)
	case RequestSubmitted:
		a.ask(now, e.Request)
	case RequestAdopted:
		a.adopt(now, e)
	case RequestWithdrawn:
		a.withdraw(now, e.ID)
	case FirstByteReceived:
		a.start(now, e.ID)
	case AttemptEnded:
		a.end(now, e)
	case UpstreamLeaving:
		a.noteLeaving(now, e)
	case HostLost:
		a.loseHost(now, e.Host)
	case HostsReported:
		a.endHold(now)
	case OrderEnded:
		a.orderEnded(now, e)
	case ReportReceived:
		a.reportRead(now, e)
	case Tick:
		a.tick(now)
	}
	out := a.out
	a.out = nil
	return out
}

func (a *Assigner) decide(d Decision) { a.out = append(a.out, d) }

func (a *Assigner) refuse(e *entry, kind apierr.Kind, retryAfter time.Duration, why string) {
	a.decide(Refuse{ID: e.request.ID, Kind: kind, RetryAfter: retryAfter, Rule: why})
}

// ask takes a new request, or one that is to be tried again.
func (a *Assigner) ask(now time.Time, r Request) {
	if old, ok := a.requests[r.ID]; ok {
		a.forget(now, old)
	}
	e := &entry{request: r}
	s := a.service(r.Service)
	switch {
	case r.retry() && !s.retries.take(a.options):
		a.refuse(e, apierr.QueueFull, a.returnIn(s, now, r.ID.Host), "retry_budget")
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
	a.noteDemand(now, r.Adapter)
	if a.place(now, e) {
		return
	}
	if why, hopeless := a.hopeless(now, e); hopeless {
		a.refund(now, e)
		delete(a.requests, r.ID)
		a.refuse(e, apierr.QueueFull, a.returnIn(s, now, r.ID.Host), why)
		return
	}
	a.wait(e)
}

// adopt takes over a request that is already with an upstream.
func (a *Assigner) adopt(now time.Time, ev RequestAdopted) {
	if _, ok := a.requests[ev.Request.ID]; ok {
		return
	}
	e := &entry{request: ev.Request}
	u, ok := a.upstreams[ev.Upstream]
	if !ok {
		return
	}
	a.requests[ev.Request.ID] = e
	var held *slot
	if u.engine != nil && ev.Request.Adapter.Adapter != "" {
		held = u.holdSlot(now, ev.Request.Adapter)
	}
	a.occupy(now, e, u, held)
	if ev.FirstByteReceived {
		u.startedRunning(now, e)
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
	a.forget(now, e)
}

func (a *Assigner) start(now time.Time, id RequestID) {
	e, ok := a.requests[id]
	if !ok || e.upstream == nil || e.started {
		return
	}
	e.upstream.learnSpeed(now, e)
	e.upstream.startedRunning(now, e)
	e.upstream.streams++
	e.streaming = true
	a.serveOn(now, e.upstream)
}

func (a *Assigner) end(now time.Time, ev AttemptEnded) {
	e, ok := a.requests[ev.ID]
	if !ok || e.upstream == nil {
		return
	}
	u, s := e.upstream, e.slot
	a.touch(u)
	a.vacate(now, e)
	delete(a.requests, ev.ID)
	u.learnOutcome(now, e, ev)
	if ev.Outcome.NotRun() {
		a.refund(now, e)
	}
	if ev.Outcome == NotLoaded && s != nil {
		a.doubt(now, u, s)
	}
	a.serveOn(now, u)
}

func (a *Assigner) loseHost(now time.Time, host string) {
	for id, e := range a.requests {
		if id.Host == host {
			a.forget(now, e)
		}
	}
	a.serveWaiting(now)
}

// forget drops a request, wherever it is.
func (a *Assigner) forget(now time.Time, e *entry) {
	delete(a.requests, e.request.ID)
	if e.upstream != nil {
		a.vacate(now, e)
		return
	}
	a.detach(e)
	a.queues.remove(e)
}

// detach ends a waiting request's claim on an adapter's slot.
func (a *Assigner) detach(e *entry) {
	if e.slot != nil {
		e.slot.claims--
		e.slot = nil
	}
}

// occupy notes that an upstream has been given a request.
func (a *Assigner) occupy(now time.Time, e *entry, u *upstream, s *slot) {
	a.detach(e)
	e.upstream, e.slot, e.grantAt = u, s, now
	e.prefill = u.prefillOf(now, &e.request)
	u.noteReading(now, time.Duration(e.prefill)*u.prefill)
	e.ahead = u.unstarted
	u.running[e.request.ID] = e
	u.unstarted += e.prefill
	u.reading.add(now, (time.Duration(e.prefill) * u.prefill).Seconds())
	u.cacheTokens += e.request.PromptTokens + e.request.OutputTokens
	if s != nil {
		s.claims++
		s.lastUsed = now
	}
	u.rememberParts(now, &e.request)
	u.slow.use(now)
}

// vacate notes that an upstream no longer works on a request.
func (a *Assigner) vacate(now time.Time, e *entry) {
	u := e.upstream
	u.startedRunning(now, e)
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
	if s != nil && a.options.SendsOrders {
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
		a.endHold(now)
	}
	a.followDue(now)
	a.giveUp(now)
	a.serveWaiting(now)
	a.forgetDemand(now)
}
