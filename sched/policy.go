package sched

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/jasminelock/jasminelock/fairshare"
	"github.com/jasminelock/jasminelock/record"
	"github.com/jasminelock/jasminelock/request"
	"github.com/jasminelock/jasminelock/upstream"
	"github.com/jasminelock/jasminelock/wire"
)

// reportLag is the greatest age of a report when it arrives.
const reportLag = time.Second

// Policy is the scheduler for many adapters. It routes by expected time to the first token,
// shares upstreams fairly between organisations, and loads and evicts adapters by demand on
// the upstreams whose lease it holds.
type Policy struct {
	host   string
	zone   string
	random *rand.Rand
	budget Budget
	config *record.Config

	upstreams map[string]*upstreamView
	// engines lists the engines of each model, sorted by name.
	engines map[string][]*upstreamView
	// adapters and names index the same groups, by reference and by name.
	adapters map[record.AdapterRef]*requestGroup
	names    map[string]*requestGroup
	pools    map[string]*requestGroup

	counters *fairshare.Counters
	// queueOptions are shared by all queues.
	queueOptions *fairshare.Options[*waitingRequest]
	waiting      map[RequestID]*waitingRequest
	deadlines    deadlineHeap
	running      map[RequestID]runningSlot
	drain        drainRate

	// pendingGroups are the groups that have requests waiting.
	pendingGroups map[*requestGroup]struct{}
	// remoteLoads are the groups whose load this host has requested from another host.
	// receivedLoads are the loads that other hosts have requested from this one.
	remoteLoads map[*requestGroup]struct{}
	orphans     []orphanLoad
	// unresponsiveOwners are the owners that did not answer a load request in time. An owner
	// is removed when a message from it arrives.
	unresponsiveOwners map[string]struct{}
	receivedLoads      map[loadKey]*receivedLoad
	lastLoadNumber     uint64
	shares             loadShares
	slotsByOrg         map[string]*orgSlots
	totalSlots         int
	// budgetRefusedUntil holds, by model, when budget may be requested again after a refusal.
	budgetRefusedUntil map[string]time.Time
	loadTime           average
	orders             map[OrderID]openOrder
	lastOrderID        OrderID

	leases map[string]*leaseState
	// sortedLeases holds the leases sorted by name.
	sortedLeases []*leaseState
	members      []string
	// departed holds when hosts left the host list.
	departed  map[string]time.Time
	startedAt time.Time
	// listedAt is when this host last found itself in the host list, listedSince since when it
	// has done so without a gap.
	listedAt    time.Time
	listedSince time.Time
	lastEventAt time.Time
	// sweptAt is when idle groups were last deleted.
	sweptAt time.Time
	// resumedAt is when this host last resumed after a pause. Reports that arrive soon
	// afterwards may have been made before the pause.
	resumedAt time.Time

	// grantedSlots are the slots for which this host has received a grant. outgoing holds the
	// request being collected for each owner, unanswered when each numbered request was sent.
	grantedSlots      map[*slot]struct{}
	outgoing          map[string]*wire.UseRequest
	unanswered        map[uint64]time.Time
	lastRequestNumber uint64
	processID         uint64
	decisions         []Decision
}

type runningSlot struct {
	slot         *slot
	dispatchedAt time.Time
}

// Options are the settings of a Policy.
type Options struct {
	Host string
	Zone string
	// Random is the source of random numbers. It must not be shared.
	Random *rand.Rand
}

// New returns an empty scheduler for one host.
func New(o Options) *Policy {
	counters := fairshare.NewCounters()
	return &Policy{
		host: o.Host, zone: o.Zone, random: o.Random, config: record.NewConfig(),
		upstreams: map[string]*upstreamView{}, engines: map[string][]*upstreamView{},
		adapters: map[record.AdapterRef]*requestGroup{}, names: map[string]*requestGroup{}, pools: map[string]*requestGroup{},
		counters: counters, queueOptions: queueOptions(counters), waiting: map[RequestID]*waitingRequest{}, running: map[RequestID]runningSlot{},
		pendingGroups: map[*requestGroup]struct{}{}, remoteLoads: map[*requestGroup]struct{}{},
		unresponsiveOwners: map[string]struct{}{}, receivedLoads: map[loadKey]*receivedLoad{},
		shares: newLoadShares(), slotsByOrg: map[string]*orgSlots{},
		budgetRefusedUntil: map[string]time.Time{}, orders: map[OrderID]openOrder{},
		leases: map[string]*leaseState{}, members: []string{o.Host}, departed: map[string]time.Time{},
		processID:    o.Random.Uint64(),
		grantedSlots: map[*slot]struct{}{}, outgoing: map[string]*wire.UseRequest{}, unanswered: map[uint64]time.Time{},
	}
}

// endEvent ends the handling of an event: it sends the collected requests to other hosts and
// returns the decisions.
func (p *Policy) endEvent(now time.Time) []Decision {
	p.sendRequests(now)
	decisions := p.decisions
	p.decisions = nil
	return decisions
}

func (p *Policy) emit(d Decision) { p.decisions = append(p.decisions, d) }

func (p *Policy) send(to string, m wire.Message) {
	p.emit(Send{wire.Outgoing{To: to, Message: m}})
}

// SetBudget implements Scheduler.
func (p *Policy) SetBudget(b Budget) { p.budget = b }

// Configure implements Scheduler.
func (p *Policy) Configure(now time.Time, c *record.Config) []Decision {
	p.beginEvent(now)
	if p.startedAt.IsZero() {
		p.startedAt = now
	}
	p.config = c
	p.shares.configure(c.Rates())
	for name, u := range c.Upstreams() {
		if old, ok := p.upstreams[name]; ok && old.record.URL == u.URL &&
			old.record.Model == u.Model && old.record.Pool == u.Pool {
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
	for _, g := range p.sortedPendingGroups() {
		p.serveGroup(now, g)
	}
	return p.endEvent(now)
}

func (p *Policy) addUpstream(now time.Time, u *record.Upstream) {
	if old, ok := p.upstreams[u.Name]; ok {
		p.removeUpstream(now, old)
	}
	v := &upstreamView{record: u, slots: map[*requestGroup]*slot{}, unloadedAt: map[*requestGroup]time.Time{}}
	p.upstreams[u.Name] = v
	if u.Class == record.ClassService {
		v.addSlot(p.poolGroup(u.Pool), slotResident, now)
		return
	}
	v.lease = p.leaseOf(u)
}

func (p *Policy) removeUpstream(now time.Time, v *upstreamView) {
	for _, s := range v.slots {
		v.removeSlot(s, now)
		delete(p.grantedSlots, s)
	}
	if p.upstreams[v.record.Name] == v {
		delete(p.upstreams, v.record.Name)
	}
}

func (p *Policy) indexEngines() {
	clear(p.engines)
	for _, l := range p.sortedLeases {
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
	for _, l := range p.sortedLeases {
		slices.SortFunc(l.views, compareViews)
	}
}

func compareViews(a, b *upstreamView) int { return strings.Compare(a.record.Name, b.record.Name) }

func (p *Policy) poolGroup(pool string) *requestGroup {
	g, ok := p.pools[pool]
	if !ok {
		g = p.newGroup(record.AdapterRef{}, pool, "")
		p.pools[pool] = g
	}
	return g
}

func (p *Policy) adapterGroup(ref record.AdapterRef, model string) *requestGroup {
	g, ok := p.adapters[ref]
	if !ok {
		g = p.newGroup(ref, ref.String(), model)
		p.adapters[ref] = g
		p.names[g.name] = g
	}
	return g
}

func (p *Policy) newGroup(ref record.AdapterRef, name, model string) *requestGroup {
	organisation, ownerSlots := p.organisationSlots(ref.Name)
	return &requestGroup{
		organisation: organisation, ownerSlots: ownerSlots, ref: ref, name: name, model: model,
		queue: fairshare.NewQueue(p.queueOptions), retryAt: map[string]time.Time{},
	}
}

// LoadReported implements Scheduler.
func (p *Policy) LoadReported(now time.Time, name string, r upstream.Report) []Decision {
	p.beginEvent(now)
	v, ok := p.upstreams[name]
	if !ok {
		return nil
	}
	if v.incarnation != r.Incarnation {
		p.onRestart(now, v)
	}
	v.incarnation = r.Incarnation
	v.reportedAt, v.unreachable = now, false
	if now.Sub(p.resumedAt) > reportLag {
		v.freshReportAt = now
	}
	v.role = r.Role
	v.othersInFlight = max(0, r.Running+r.Waiting-v.inFlight)
	if v.record.Class == record.ClassEngine {
		p.applyAdapters(now, v, r.Adapters)
	}
	p.serveUpstream(now, v)
	return p.endEvent(now)
}

// onRestart removes the slots and prefixes of the engine's previous incarnation.
func (p *Policy) onRestart(now time.Time, v *upstreamView) {
	if v.record.Class != record.ClassEngine {
		return
	}
	for _, s := range v.slots {
		if s.orderID == 0 {
			v.removeSlot(s, now)
		}
	}
	clear(v.unloadedAt)
	v.prefixes.clear()
}

// applyAdapters updates an engine's slots from a report. A slot that the report does not list
// is kept for as long as the report may be older than the slot.
func (p *Policy) applyAdapters(now time.Time, v *upstreamView, adapters []upstream.AdapterState) {
	for g, at := range v.unloadedAt {
		if now.Sub(at) > reportLag {
			delete(v.unloadedAt, g)
		}
	}
	listed := make(map[*requestGroup]struct{}, len(adapters))
	for i := range adapters {
		g := p.groupNamed(adapters[i].Name, v.record.Model)
		if g == nil {
			continue
		}
		listed[g] = struct{}{}
		p.applyAdapter(now, v, g, &adapters[i])
	}
	for g, s := range v.slots {
		if _, ok := listed[g]; !ok && s.orderID == 0 && now.Sub(s.stateSince) > reportLag {
			v.removeSlot(s, now)
		}
	}
}

func (p *Policy) applyAdapter(now time.Time, v *upstreamView, g *requestGroup, a *upstream.AdapterState) {
	s, ok := v.slots[g]
	if !ok {
		if _, unloaded := v.unloadedAt[g]; unloaded {
			return
		}
		s = v.addSlot(g, slotLoading, now)
	}
	s.busy = a.Running+a.Waiting > 0
	if s.state == slotLoading && s.orderID == 0 && !a.Loading {
		p.becomeResident(now, s)
	}
}

func (p *Policy) groupNamed(name, model string) *requestGroup {
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
	s.state, s.stateSince, s.orderID = slotResident, now, 0
	s.group.failures = 0
	p.serveGroup(now, s.group)
}

// CacheUpdated implements Scheduler. After a gap in the events the known prefixes may be stale.
// They are kept, because a wrong prediction costs only prefill time.
func (p *Policy) CacheUpdated(now time.Time, name string, events []upstream.CacheEvent) []Decision {
	p.beginEvent(now)
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
	return p.endEvent(now)
}

// Unreachable implements Scheduler.
func (p *Policy) Unreachable(now time.Time, name string) []Decision {
	p.beginEvent(now)
	if v, ok := p.upstreams[name]; ok {
		v.unreachable = true
	}
	return p.endEvent(now)
}

// AttemptEnded implements Scheduler.
func (p *Policy) AttemptEnded(now time.Time, e AttemptEnd) []Decision {
	p.beginEvent(now)
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
		v.serviceTime.add(now.Sub(run.dispatchedAt))
		if e.FirstToken > 0 {
			v.firstTokenTime.add(e.FirstToken)
		}
	} else {
		s.maybeBusyUntil = later(s.maybeBusyUntil, now.Add(maxTransitTime+reportLag))
	}
	if e.NotLoaded {
		v.removeSlot(s, now)
	}
	if e.Outcome == request.NotExecuted && !e.NotLoaded {
		v.unreachable = true
	}
	p.serveUpstream(now, v)
	return p.endEvent(now)
}

// Tick implements Scheduler.
func (p *Policy) Tick(now time.Time) []Decision {
	p.beginEvent(now)
	if p.startedAt.IsZero() {
		p.startedAt = now
	}
	p.expire(now)
	p.maintainLeases(now)
	p.renewGrants(now)
	p.followRemoteLoads(now)
	p.placeLoads(now)
	p.sweep(now)
	return p.endEvent(now)
}

// Receive implements Scheduler.
func (p *Policy) Receive(now time.Time, from string, m wire.Message) []Decision {
	p.beginEvent(now)
	delete(p.unresponsiveOwners, from)
	switch m := m.(type) {
	case *wire.UseRequest:
		p.onUseRequest(now, from, m)
	case *wire.UseAnswer:
		p.onUseAnswer(now, from, m)
	case *wire.OwnerNotice:
		p.onOwnerNotice(now, from, m)
	case *wire.OwnerAck:
		p.onOwnerAck(now, from, m)
	}
	return p.endEvent(now)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
