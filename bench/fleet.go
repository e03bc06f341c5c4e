package bench

import (
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/jasminelock/jasminelock/blackboard"
	"github.com/jasminelock/jasminelock/core"
	"github.com/jasminelock/jasminelock/limit"
	"github.com/jasminelock/jasminelock/record"
	"github.com/jasminelock/jasminelock/request"
	"github.com/jasminelock/jasminelock/sched"
	"github.com/jasminelock/jasminelock/store"
	"github.com/jasminelock/jasminelock/upstream"
	"github.com/jasminelock/jasminelock/wire"
)

// Latencies of the network and of the platform.
const (
	// sameZoneLatency is the one-way latency inside a zone.
	sameZoneLatency = 200 * time.Microsecond
	// storeLatency is the latency of one call of the table service.
	storeLatency = 5 * time.Millisecond
	// hostListInterval is the interval at which hosts read the host list.
	hostListInterval = time.Second
	// hostListDelay is the time from the end of a host to its removal from the
	// host list.
	hostListDelay = 3 * time.Second
)

// fakeHost simulates a host: the real core, with its events and decisions
// delivered by the clock.
type fakeHost struct {
	fleet *fleet
	name  string
	zone  string
	core  *core.Core
	dead  bool
	calls map[sched.RequestID]*call
	// lastCacheEvent is the sequence number of the newest cache event read, by
	// upstream.
	lastCacheEvent map[string]int64
}

// call is one caller's request to a host.
type call struct {
	arrival   arrival
	host      *fakeHost
	id        sched.RequestID
	arrivedAt time.Time
	// coldAdapter reports whether no engine held the adapter when the request
	// arrived.
	coldAdapter bool
	// withinRate reports whether one exact token bucket for the whole fleet admits
	// the request.
	withinRate bool
	// dispatchedAt is when the request was last dispatched to an upstream.
	dispatchedAt time.Time
	firstTokenAt time.Time
	ended        bool
}

// fleet is the state of one run.
type fleet struct {
	clock        *clock
	deployment   Deployment
	scenario     Scenario
	hosts        []*fakeHost
	engines      []*fakeEngine
	upstreams    map[string]*fakeEngine
	tables       *tables
	stats        *stats
	config       *record.Config
	idealBuckets map[int]*idealBucket
	nextID       sched.RequestID
	hostList     []store.Host
}

// Policy selects the limiter and the scheduler of each host's core.
type Policy struct {
	Name string
	// SingleHost runs the policy on a single host that receives all requests.
	// Baselines run in this way, which favours them: their hosts need not agree
	// on anything.
	SingleHost bool
	// NewFactory is called once for each run, and returns the PartsFactory of its hosts.
	NewFactory func() PartsFactory
}

// PartsFactory returns the limiter and the scheduler of one host. rng is seeded.
type PartsFactory func(host, zone string, rng *rand.Rand) (limit.Limiter, sched.Scheduler)

func newFleet(d Deployment, s Scenario, p Policy, seed uint64) *fleet {
	c := newClock()
	f := &fleet{
		clock: c, deployment: d, scenario: s, upstreams: map[string]*fakeEngine{}, tables: newTables(c),
		stats: newStats(), idealBuckets: map[int]*idealBucket{},
	}
	store := &weightStore{clock: c, rng: rand.New(rand.NewPCG(seed, 2)), deployment: d, failureShare: s.LoadFailureShare, stats: f.stats}
	f.config = f.buildConfig(nil)
	for i := range d.Engines + d.Services {
		f.addUpstream(i, store)
	}
	n := d.Hosts
	if p.SingleHost {
		n = 1
	}
	maker := p.NewFactory()
	for i := range n {
		f.addHost(i, maker, rand.New(rand.NewPCG(seed, uint64(100+i))))
	}
	for i, o := range d.Organisations {
		f.idealBuckets[i] = newIdealBucket(f.rateLimit(o))
	}
	return f
}

func (f *fleet) addUpstream(i int, store *weightStore) {
	u, ok := f.config.Upstream(upstreamName(f.deployment, i))
	if !ok {
		return
	}
	e := &fakeEngine{clock: f.clock, record: u, store: store, incarnation: 1, adapters: map[record.AdapterRef]*residentAdapter{}, lastAdvanced: f.clock.now, stats: f.stats}
	if u.Class == record.ClassService {
		e.adapters[record.AdapterRef{}] = &residentAdapter{}
		e.stats = newStats() // the work of services is not counted as that of engines
	} else {
		f.engines = append(f.engines, e)
	}
	f.upstreams[u.Name] = e
}

func (f *fleet) addHost(i int, maker PartsFactory, rng *rand.Rand) {
	h := &fakeHost{
		fleet: f, name: "host-" + strconv.Itoa(i), zone: f.deployment.Zones[i%len(f.deployment.Zones)],
		calls: map[sched.RequestID]*call{}, lastCacheEvent: map[string]int64{},
	}
	limiter, scheduler := maker(h.name, h.zone, rng)
	h.core = core.New(core.Options{Board: blackboard.New(), Limiter: limiter, Scheduler: scheduler})
	f.hosts = append(f.hosts, h)
	f.hostList = append(f.hostList, store.Host{Name: h.name, Zone: h.zone, CallerURL: "http://" + h.name})
}

// start schedules the periodic events of all hosts, at a different offset for each
// host.
func (f *fleet) start() {
	for i, h := range f.hosts {
		offset := time.Duration(i) * time.Millisecond
		f.clock.after(offset, func() {
			h.handle(core.HostsUpdated{Hosts: f.hostList})
			h.handle(core.ConfigUpdated{Config: f.config})
		})
		f.clock.every(offset+time.Millisecond, core.TickInterval, func() { h.handle(core.Tick{}) })
		f.clock.every(offset+2*time.Millisecond, upstream.ReportInterval, h.readReports)
		f.clock.every(offset+3*time.Millisecond, hostListInterval, func() { h.handle(core.HostsUpdated{Hosts: f.hostList}) })
	}
}

// zoneLatency returns the one-way latency between two zones.
func (f *fleet) zoneLatency(a, b string) time.Duration {
	if a == b {
		return sameZoneLatency
	}
	return f.deployment.ZoneLatency
}

// handle passes an event to the core and carries out its decisions.
func (h *fakeHost) handle(ev core.Event) {
	if h.dead {
		return
	}
	for _, d := range h.core.Handle(h.fleet.clock.now, ev) {
		h.carryOut(d)
	}
}

func (h *fakeHost) carryOut(d core.Decision) {
	clock := h.fleet.clock
	switch d := d.(type) {
	case core.Dispatch:
		h.dispatch(d)
	case core.Claim:
		clock.after(storeLatency, func() { h.handle(core.ClaimEnded{ID: d.ID}) })
	case core.Finish:
		h.finish(d)
	case core.Order:
		h.order(d)
	case core.Send:
		h.send(d.Outgoing)
	case core.StoreRead:
		clock.after(storeLatency, func() {
			row, err := h.fleet.tables.get(d.Table, d.Key)
			h.handle(core.StoreEnded{End: limit.StoreResult{ID: d.ID, Row: row, Err: err}})
		})
	case core.StoreCommit:
		clock.after(storeLatency, func() {
			h.handle(core.StoreEnded{End: limit.StoreResult{ID: d.ID, Err: h.fleet.tables.commit(d.Txn)}})
		})
	case core.ClaimLease:
		sent := clock.now
		clock.after(storeLatency, func() {
			h.handle(core.LeaseUpdated{Result: h.fleet.tables.claim(h.name, d.ClaimLease, sent)})
		})
	}
}

// send delivers a message in its encoded form, as between real hosts.
func (h *fakeHost) send(o wire.Outgoing) {
	raw, err := wire.Encode(o.Message)
	if err != nil {
		panic(err)
	}
	h.fleet.stats.peerBytes += int64(len(raw))
	h.fleet.stats.peerMessages++
	for _, to := range h.fleet.hosts {
		if to.name != o.To {
			continue
		}
		h.fleet.clock.after(h.fleet.zoneLatency(h.zone, to.zone), func() {
			m, err := wire.Decode(raw)
			if err != nil {
				panic(err)
			}
			to.handle(core.PeerMessageReceived{From: h.name, Message: m})
		})
	}
}

func (h *fakeHost) dispatch(d core.Dispatch) {
	c, ok := h.calls[d.ID]
	if !ok {
		return
	}
	f := h.fleet
	e := f.upstreams[d.Upstream.Name]
	c.dispatchedAt = f.clock.now
	latency := f.zoneLatency(h.zone, d.Upstream.Zone)
	f.clock.after(latency, func() {
		f.countViolations(d, c)
		j := f.newJob(c, d, latency)
		if !e.start(j) {
			f.stats.notLoaded++
			f.clock.after(latency, func() {
				h.handle(core.AttemptEnded{ID: d.ID, Outcome: request.NotExecuted, NotLoaded: true})
			})
		}
	})
}

func (f *fleet) newJob(c *call, d core.Dispatch, latency time.Duration) *job {
	h := c.host
	a := c.arrival
	j := &job{adapter: d.Adapter, prefix: a.prefix, tokens: a.tokens(), prefill: float64(a.prompt)/prefillTokensPerStep + 1, answer: float64(a.answer)}
	j.onFirstToken = func() {
		f.clock.after(latency, func() {
			if c.firstTokenAt.IsZero() {
				c.firstTokenAt = f.clock.now
			}
			h.handle(core.FirstByteReceived{ID: d.ID, FirstToken: f.clock.now.Sub(c.dispatchedAt)})
		})
	}
	j.onEnd = func(o request.Outcome, used int64) {
		f.clock.after(latency, func() {
			h.handle(core.AttemptEnded{ID: d.ID, Outcome: o, AnswerStarted: !c.firstTokenAt.IsZero(), UsedTokens: used, FirstToken: c.firstTokenAt.Sub(c.dispatchedAt)})
		})
	}
	return j
}

// leavingGrace is the time after which an upstream marked as leaving must not get
// new work.
const leavingGrace = 2 * time.Second

// countViolations counts a dispatch to another adapter than the requested one, and
// one that reaches a leaving upstream after leavingGrace.
func (f *fleet) countViolations(d core.Dispatch, c *call) {
	if !c.arrival.service() && d.Adapter != adapterRef(c.arrival.adapter) {
		f.stats.wrongAdapter++
	}
	since := f.clock.now.Sub(epoch.Add(f.scenario.MarkLeavingAt))
	if f.scenario.MarkLeavingAt > 0 && d.Upstream.Name == upstreamName(f.deployment, 0) && since > leavingGrace {
		f.stats.dispatchedToLeaving++
	}
}

func (h *fakeHost) order(d core.Order) {
	f := h.fleet
	e := f.upstreams[d.Upstream.Name]
	latency := f.zoneLatency(h.zone, d.Upstream.Zone)
	done := func(err error) {
		f.clock.after(latency, func() { h.handle(core.OrderEnded{End: sched.OrderEnd{ID: d.Order.ID, Err: err}}) })
	}
	f.clock.after(latency, func() {
		switch d.Order.Operation {
		case sched.Load:
			e.load(d.Order.Adapter, d.Order.Fence, done)
		case sched.Unload:
			done(e.unload(d.Order.Adapter, d.Order.Fence))
		case sched.SetRole:
			done(nil)
		}
	})
}

// readReports reads the load report and the new cache events of every upstream.
func (h *fakeHost) readReports() {
	if h.dead {
		return
	}
	for i := range h.fleet.deployment.Engines + h.fleet.deployment.Services {
		name := upstreamName(h.fleet.deployment, i)
		e := h.fleet.upstreams[name]
		roundTrip := 2 * h.fleet.zoneLatency(h.zone, e.record.Zone)
		report := e.report()
		h.fleet.clock.after(roundTrip, func() { h.handle(core.LoadReported{Upstream: name, Report: report}) })
		if events := e.eventsAfter(h.lastCacheEvent[name]); len(events) > 0 {
			h.lastCacheEvent[name] = events[len(events)-1].Sequence
			h.fleet.clock.after(roundTrip+reportDelay, func() { h.handle(core.CacheReported{Upstream: name, Events: events}) })
		}
	}
}

// eventsAfter returns the cache events with a higher sequence number.
func (e *fakeEngine) eventsAfter(sequence int64) []upstream.CacheEvent {
	for i, ev := range e.cacheEvents {
		if ev.Sequence > sequence {
			return e.cacheEvents[i:len(e.cacheEvents):len(e.cacheEvents)]
		}
	}
	return nil
}
