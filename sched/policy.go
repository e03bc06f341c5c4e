package sched

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/jasminelock/jasminelock/record"
	"github.com/jasminelock/jasminelock/request"
	"github.com/jasminelock/jasminelock/sched/fair"
	"github.com/jasminelock/jasminelock/upstream"
	"github.com/jasminelock/jasminelock/wire"
)

// reportLag is how old a report can be when it arrives.
const reportLag = time.Second

// Policy is the scheduler for many adapters: it routes by expected time to the
// first token, shares upstreams fairly between organisations, and loads and
// evicts adapters by demand on the upstreams whose lease it holds.
type Policy struct {
	host   string
	zone   string
	random *rand.Rand
	budget Budget
	config *record.Config

	upstreams map[string]*upstreamView
	// engines lists each model's engines by name.
	engines map[string][]*upstreamView
	// adapters and names index the same groups.
	adapters map[record.AdapterRef]*group
	names    map[string]*group
	pools    map[string]*group

	counters  *fair.Counters
	waiting   map[RequestID]*waitingRequest
	deadlines deadlineHeap
	running   map[RequestID]runningSlot
	drained   drainRate

	// hungry are the groups that have requests waiting.
	hungry map[*group]struct{}
	// remotes are the groups that another host was asked to load, served what
	// other hosts have asked of this one.
	remotes map[*group]struct{}
	orphans []orphanLoad
	// givenUp are owners that have not answered an ask, until they are heard of.
	givenUp   map[string]struct{}
	served    map[loadKey]*servedLoad
	lastLoad  uint64
	loads     loadShares
	slotsHeld map[string]*orgSlots
	allSlots  int
	// refused holds when a model's budget may be asked for again.
	refused   map[string]time.Time
	loadTime  average
	orders    map[OrderID]openOrder
	lastOrder OrderID

	leases map[string]*leaseState
	// leaseOrder holds the leases by name.
	leaseOrder []*leaseState
	members    []string
	// departed holds when hosts left the host list.
	departed  map[string]time.Time
	startedAt time.Time
	// listedAt is when this host last read itself in the host list, listedSince
	// when it began to do so without a gap.
	listedAt    time.Time
	listedSince time.Time
	lastEvent   time.Time
	// sweptAt is when idle groups were last forgotten.
	sweptAt time.Time
	// stalledAt is when this host last went on after a pause. Reports that come
	// soon after may have been made before it.
	stalledAt time.Time

	held    map[*slot]struct{}
	asks    map[string]*wire.UseRequest
	asked   map[uint64]time.Time
	lastAsk uint64
	process uint64
	out     []Decision
}

type runningSlot struct {
	slot *slot
	at   time.Time
}

// Options are what a Policy is told of its host.
type Options struct {
	Host string
	Zone string
	// Random breaks ties. It must not be shared.
	Random *rand.Rand
}

// New returns an empty scheduler for one host.
func New(o Options) *Policy {
	return &Policy{
		host: o.Host, zone: o.Zone, random: o.Random, config: record.NewConfig(),
		upstreams: map[string]*upstreamView{}, engines: map[string][]*upstreamView{},
		adapters: map[record.AdapterRef]*group{}, names: map[string]*group{}, pools: map[string]*group{},
		counters: fair.NewCounters(), waiting: map[RequestID]*waitingRequest{}, running: map[RequestID]runningSlot{},
		hungry: map[*group]struct{}{}, remotes: map[*group]struct{}{}, givenUp: map[string]struct{}{}, served: map[loadKey]*servedLoad{}, loads: newLoadShares(), slotsHeld: map[string]*orgSlots{},
		refused: map[string]time.Time{}, orders: map[OrderID]openOrder{},
		leases: map[string]*leaseState{}, members: []string{o.Host}, departed: map[string]time.Time{},
		process: o.Random.Uint64(),
		held:    map[*slot]struct{}{}, asks: map[string]*wire.UseRequest{}, asked: map[uint64]time.Time{},
	}
}

// take ends an event: it returns what was decided.
func (p *Policy) take(now time.Time) []Decision {
	p.sendAsks(now)
	out := p.out
	p.out = nil
	return out
}

func (p *Policy) decide(d Decision) { p.out = append(p.out, d) }

func (p *Policy) send(to string, m wire.Message) {
	p.decide(Send{wire.Outgoing{To: to, Message: m}})
}

// SetBudget implements Scheduler.
func (p *Policy) SetBudget(b Budget) { p.budget = b }

// Configure implements Scheduler.
func (p *Policy) Configure(now time.Time, c *record.Config) []Decision {
	p.begin(now)
	if p.startedAt.IsZero() {
		p.startedAt = now
	}
	p.config = c
	p.loads.configure(c.Rates())
	for name, u := range c.Upstreams() {
		if old, ok := p.upstreams[name]; ok && old.record.URL == u.URL && old.record.Model == u.Model && old.record.Pool == u.Pool {
			old.record = u
			continue
		}
		p.addUpstream(now, u)
	}
	for name, v := range p.upstreams {
		if _, ok := c.Upstream(name); !ok {
			p.removeUpstream(now, v)
		}
	}
	p.indexEngines()
	p.chooseCandidates()
	for _, g := range p.sortedHungry() {
		p.serveGroup(now, g)
	}
	return p.take(now)
}

func (p *Policy) addUpstream(now time.Time, u *record.Upstream) {
	if old, ok := p.upstreams[u.Name]; ok {
		p.removeUpstream(now, old)
	}
	v := &upstreamView{record: u, slots: map[*group]*slot{}, gone: map[*group]time.Time{}}
	p.upstreams[u.Name] = v
	if u.Class == record.ClassService {
		v.addSlot(p.poolGroup(u.Pool), slotResident, now)
		return
	}
	v.lease = p.leaseOf(u)
}

func (p *Policy) removeUpstream(now time.Time, v *upstreamView) {
	for _, s := range v.slots {
		v.dropSlot(s, now)
		delete(p.held, s)
	}
	if p.upstreams[v.record.Name] == v {
		delete(p.upstreams, v.record.Name)
	}
}

func (p *Policy) indexEngines() {
	clear(p.engines)
	for _, l := range p.leaseOrder {
		l.views = nil
	}
	for _, v := range p.upstreams {
		if v.record.Class == record.ClassEngine {
			p.engines[v.record.Model] = append(p.engines[v.record.Model], v)
		}
	}
	for _, views := range p.engines {
		slices.SortFunc(views, compareViews)
		for _, v := range views {
			v.lease.views = append(v.lease.views, v)
		}
	}
	for _, l := range p.leaseOrder {
		slices.SortFunc(l.views, compareViews)
	}
}

func compareViews(a, b *upstreamView) int { return strings.Compare(a.record.Name, b.record.Name) }

func (p *Policy) poolGroup(pool string) *group {
	g, ok := p.pools[pool]
	if !ok {
		g = p.newGroup(record.AdapterRef{}, pool, "")
		p.pools[pool] = g
	}
	return g
}

func (p *Policy) adapterGroup(ref record.AdapterRef, model string) *group {
	g, ok := p.adapters[ref]
	if !ok {
		g = p.newGroup(ref, ref.String(), model)
		p.adapters[ref] = g
		p.names[g.name] = g
	}
	return g
}

func (p *Policy) newGroup(ref record.AdapterRef, name, model string) *group {
	organisation, held := p.slotsOf(ref.Name)
	return &group{organisation: organisation, held: held, ref: ref, name: name, model: model, queue: fair.NewQueue[*waitingRequest](p.counters), retryAt: map[string]time.Time{}}
}

// LoadReported implements Scheduler.
func (p *Policy) LoadReported(now time.Time, name string, r upstream.Report) []Decision {
	p.begin(now)
	v, ok := p.upstreams[name]
	if !ok {
		return nil
	}
	if v.incarnation != r.Incarnation {
		p.restarted(now, v)
	}
	v.incarnation = r.Incarnation
	v.reportedAt, v.unreachable = now, false
	if now.Sub(p.stalledAt) > reportLag {
		v.provenAt = now
	}
	v.role = r.Role
	v.others = max(0, r.Running+r.Waiting-v.inFlight)
	if v.record.Class == record.ClassEngine {
		p.seeAdapters(now, v, r.Adapters)
	}
	p.serveUpstream(now, v)
	return p.take(now)
}

// restarted forgets what the engine's last incarnation held.
func (p *Policy) restarted(now time.Time, v *upstreamView) {
	if v.record.Class != record.ClassEngine {
		return
	}
	for _, s := range v.slots {
		if s.order == 0 {
			v.dropSlot(s, now)
		}
	}
	clear(v.gone)
	v.prefixes.clear()
}

// seeAdapters brings the slots in line with a report. A slot that the report
// does not list is kept while the report may be older than the slot.
func (p *Policy) seeAdapters(now time.Time, v *upstreamView, adapters []upstream.AdapterState) {
	for g, at := range v.gone {
		if now.Sub(at) > reportLag {
			delete(v.gone, g)
		}
	}
	listed := make(map[*group]struct{}, len(adapters))
	for i := range adapters {
		g := p.groupNamed(adapters[i].Name, v.record.Model)
		if g == nil {
			continue
		}
		listed[g] = struct{}{}
		p.seeAdapter(now, v, g, &adapters[i])
	}
	for g, s := range v.slots {
		if _, ok := listed[g]; !ok && s.order == 0 && now.Sub(s.since) > reportLag {
			v.dropSlot(s, now)
		}
	}
}

func (p *Policy) seeAdapter(now time.Time, v *upstreamView, g *group, a *upstream.AdapterState) {
	s, ok := v.slots[g]
	if !ok {
		if _, gone := v.gone[g]; gone {
			return
		}
		s = v.addSlot(g, slotLoading, now)
	}
	s.busy = a.Running+a.Waiting > 0
	if s.state == slotLoading && s.order == 0 && !a.Loading {
		p.becomeResident(now, s)
	}
}

func (p *Policy) groupNamed(name, model string) *group {
	if g, ok := p.names[name]; ok {
		return g
	}
	ref, ok := record.ParseAdapterRef(name)
	if !ok {
		return nil
	}
	return p.adapterGroup(ref, model)
}

func (p *Policy) becomeResident(now time.Time, s *slot) {
	s.state, s.since, s.order = slotResident, now, 0
	s.group.failures = 0
	p.serveGroup(now, s.group)
}

// CacheUpdated implements Scheduler. After a gap, what is known may be stale, but
// a wrong guess costs only prefill time: nothing is forgotten.
func (p *Policy) CacheUpdated(now time.Time, name string, events []upstream.CacheEvent) []Decision {
	p.begin(now)
	v, ok := p.upstreams[name]
	if !ok {
		return nil
	}
	for _, e := range events {
		if e.Stored {
			v.prefixes.add(e.Prefix)
		} else {
			v.prefixes.remove(e.Prefix)
		}
	}
	return p.take(now)
}

// Unreachable implements Scheduler.
func (p *Policy) Unreachable(now time.Time, name string) []Decision {
	p.begin(now)
	if v, ok := p.upstreams[name]; ok {
		v.unreachable = true
	}
	return p.take(now)
}

// AttemptEnded implements Scheduler.
func (p *Policy) AttemptEnded(now time.Time, e AttemptEnd) []Decision {
	p.begin(now)
	run, ok := p.running[e.ID]
	if !ok {
		return nil
	}
	delete(p.running, e.ID)
	s, v := run.slot, run.slot.view
	s.inFlight--
	v.inFlight--
	s.lastUsed = now
	if e.Outcome == request.Completed {
		v.hold.add(now.Sub(run.at))
		if e.FirstToken > 0 {
			v.first.add(e.FirstToken)
		}
	} else {
		s.doubtUntil = later(s.doubtUntil, now.Add(transitBound+reportLag))
	}
	if e.NotLoaded {
		v.dropSlot(s, now)
	}
	if e.Outcome == request.NotExecuted && !e.NotLoaded {
		v.unreachable = true
	}
	p.serveUpstream(now, v)
	return p.take(now)
}

// Tick implements Scheduler.
func (p *Policy) Tick(now time.Time) []Decision {
	p.begin(now)
	if p.startedAt.IsZero() {
		p.startedAt = now
	}
	p.expire(now)
	p.keepLeases(now)
	p.renewUses(now)
	p.followRemotes(now)
	p.place(now)
	p.sweep(now)
	return p.take(now)
}

// Receive implements Scheduler.
func (p *Policy) Receive(now time.Time, from string, m wire.Message) []Decision {
	p.begin(now)
	delete(p.givenUp, from)
	switch m := m.(type) {
	case *wire.UseRequest:
		p.onUseAsk(now, from, m)
	case *wire.UseAnswer:
		p.onUseAnswer(now, from, m)
	case *wire.OwnerNotice:
		p.onOwnerNotice(now, from, m)
	case *wire.OwnerAck:
		p.onOwnerAck(now, from, m)
	}
	return p.take(now)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
