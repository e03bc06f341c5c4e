package sched

import (
	"cmp"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/jasminelock/jasminelock/fairshare"
	"github.com/jasminelock/jasminelock/wire"
)

// Durations and limits of placement.
const (
	// minResidency is the shortest time for which a loaded adapter is kept, so that the
	// requests that waited for it can be dispatched.
	minResidency = 2 * time.Second
	// loadFailureBackoff is the delay after a failed load. It doubles with each further
	// failure, at most maxBackoffDoublings times and up to maxFailureBackoff.
	loadFailureBackoff  = 500 * time.Millisecond
	maxFailureBackoff   = 30 * time.Second
	maxBackoffDoublings = 6
	// maxLoadFailures is the number of consecutive failed loads after which the waiting
	// requests are refused.
	maxLoadFailures = 5
	// noSlotBackoff is the delay before another load on an engine that reported no free slot.
	noSlotBackoff = 500 * time.Millisecond
	// maxLoadCandidates is the largest number of engines considered for one load.
	maxLoadCandidates = 16
)

// openOrder is an order that has not ended.
type openOrder struct {
	view *upstreamView
	slot *slot
	op   Operation
	// remoteBudget means that another host has taken the budget of the load.
	remoteBudget bool
	// nextLoad is the group to load into the slot that an eviction frees.
	nextLoad  *requestGroup
	startedAt time.Time
}

// loadDemand describes a group that should be loaded.
type loadDemand struct {
	group        *requestGroup
	organisation string
	cold         bool
	batch        bool
	since        time.Time
}

// placeLoads starts the loads that are needed: groups that no upstream can serve come first,
// then those of the organisation with the fewest loads relative to its weight.
func (p *Policy) placeLoads(now time.Time) {
	var wanted []loadDemand
	for g := range p.pendingGroups {
		if d, ok := p.needsLoad(now, g); ok {
			wanted = append(wanted, d)
		}
	}
	slices.SortFunc(wanted, p.compareDemand)
	for _, d := range wanted {
		if !now.Before(p.budgetRefusedUntil[d.group.model]) {
			p.tryLoad(now, d)
		}
	}
}

// placeGroup tries to load a group as soon as a request for it has arrived.
func (p *Policy) placeGroup(now time.Time, g *requestGroup) {
	if now.Before(p.budgetRefusedUntil[g.model]) {
		return
	}
	if d, ok := p.needsLoad(now, g); ok {
		p.tryLoad(now, d)
	}
}

func (p *Policy) compareDemand(a, b loadDemand) int {
	if a.cold != b.cold {
		if a.cold {
			return -1
		}
		return 1
	}
	if a.batch != b.batch {
		if b.batch {
			return -1
		}
		return 1
	}
	if c := cmp.Compare(p.shares.counter(a.organisation), p.shares.counter(b.organisation)); c != 0 {
		return c
	}
	if c := a.since.Compare(b.since); c != 0 {
		return c
	}
	return strings.Compare(a.group.name, b.group.name)
}

// needsLoad reports whether a group should be loaded: no slot can serve it, or the wait for
// its slots is longer than another load takes.
func (p *Policy) needsLoad(now time.Time, g *requestGroup) (loadDemand, bool) {
	if g.ref.Name == "" || g.queue.Len() == 0 || g.remote != nil {
		return loadDemand{}, false
	}
	for _, s := range g.slots {
		if s.state == slotLoading && s.view.usable(now) {
			return loadDemand{}, false
		}
	}
	head := g.queue.Head(now)
	wait, served := p.queueWait(now, g, &head.Value.request)
	if served && wait <= p.loadCost(g.model) {
		g.coldSince = time.Time{}
		return loadDemand{}, false
	}
	if g.coldSince.IsZero() {
		g.coldSince = now
	}
	batch := head.Rank == batchRank && now.Sub(head.EnqueuedAt) < fairshare.AgingTime
	return loadDemand{group: g, organisation: head.Organisation, cold: !served, batch: batch, since: g.coldSince}, true
}

// loadCost returns the expected time of a load, including the wait for the weight store.
func (p *Policy) loadCost(model string) time.Duration {
	cost := p.loadTime.orDefault(defaultLoadTime)
	if m, ok := p.config.Model(model); ok && m.LoadsPerSecond > 0 {
		cost += time.Duration(float64(time.Second) / m.LoadsPerSecond)
	}
	return cost
}

// tryLoad takes the budget of a load, then orders the load or requests it from the upstream's
// owner. The engine is chosen each time budget is requested, from current knowledge.
func (p *Policy) tryLoad(now time.Time, d loadDemand) {
	v := p.loadTarget(now, d.group)
	if v == nil {
		return
	}
	switch p.budget.TakeLoad(now, d.group.model) {
	case BudgetRequested:
		return
	case BudgetRefused:
		p.budgetRefusedUntil[d.group.model] = now.Add(p.budgetRetryDelay(now, d))
		return
	case BudgetTaken:
	}
	p.shares.charge(now, d.organisation)
	switch {
	case !v.lease.ownedLocally():
		p.requestLoad(now, d.group, v, d.organisation)
	case !p.startLoad(now, d.group, v, false):
		p.budget.LoadEnded(now, d.group.model)
	}
}

// loadTarget returns the engine on which to load a group: the one whose slot costs least, nil
// if there is none.
func (p *Policy) loadTarget(now time.Time, g *requestGroup) *upstreamView {
	views := p.engines[g.model]
	head := g.queue.Head(now)
	var best *upstreamView
	least := 0.0
	start := xxhash.Sum64String(g.name)
	for i := range min(len(views), maxLoadCandidates) {
		v := views[(start+uint64(i))%uint64(len(views))]
		if !p.loadable(now, g, v) || (head != nil && slices.Contains(head.Value.request.Avoid, v.record.Name)) {
			continue
		}
		cost, ok := p.slotCost(now, v)
		if ok && (best == nil || cost < least) {
			best, least = v, cost
		}
	}
	return best
}

// loadable reports whether a group may be loaded on an engine now.
func (p *Policy) loadable(now time.Time, g *requestGroup, v *upstreamView) bool {
	switch {
	case v.slots[g] != nil, v.loading != nil, !v.usable(now), now.Before(v.noSlotUntil),
		now.Before(g.retryAt[v.record.Name]):
		return false
	}
	if v.lease.ownedLocally() {
		return true
	}
	owner := p.remoteOwner(v)
	return owner != "" && !p.ownerUnresponsive(now, owner)
}

// slotCost returns the cost of loading on an engine, from the demand for the adapter that
// would be evicted and the utilisation of the engine's batch, and whether a slot can be had.
func (p *Policy) slotCost(now time.Time, v *upstreamView) (float64, bool) {
	price := p.priceOf(now, v)
	cost := float64(v.inFlight+v.othersInFlight) / float64(max(v.record.MaxBatch, 1))
	if price.free > 0 {
		return cost, true
	}
	return cost + 1 + price.demand, !price.blocked
}

// priceOf returns the price of a slot: computed for the upstreams that this host owns, last
// reported by the owner for others.
func (p *Policy) priceOf(now time.Time, v *upstreamView) slotPrice {
	if !v.lease.ownedLocally() {
		if now.Sub(v.price.at) <= maxPriceAge {
			return v.price
		}
		return slotPrice{free: v.freeSlots()}
	}
	price := slotPrice{at: now, free: v.freeSlots()}
	if price.free > 0 {
		return price
	}
	s := p.victim(now, v)
	if s == nil {
		price.blocked = true
		return price
	}
	price.demand = p.slotDemand(now, s)
	return price
}

func (p *Policy) ownPrices(now time.Time) []wire.SlotPrice {
	var out []wire.SlotPrice
	for _, l := range p.sortedLeases {
		if !l.ownedLocally() {
			continue
		}
		for _, v := range l.views {
			price := p.priceOf(now, v)
			out = append(out, wire.SlotPrice{
				Upstream: v.record.Name, Free: price.free, Demand: price.demand, Blocked: price.blocked || v.loading != nil,
			})
		}
	}
	return out
}

func (p *Policy) recordPrices(now time.Time, prices []wire.SlotPrice) {
	for _, reported := range prices {
		if v, ok := p.upstreams[reported.Upstream]; ok {
			v.price = slotPrice{at: now, free: reported.Free, demand: reported.Demand, blocked: reported.Blocked}
		}
	}
}

// recentUseRate is the rate of requests expected of an adapter that has just been used.
// recentUseLifetime is the time constant with which that expectation decays.
const (
	recentUseRate     = 0.05 // requests per second
	recentUseLifetime = 15 * time.Second
)

// slotDemand returns the rate of requests that an eviction would affect: the rate expected
// after a recent use plus the adapter's average rate, divided between its replicas.
func (p *Policy) slotDemand(now time.Time, s *slot) float64 {
	idle := now.Sub(later(s.lastUsed, s.group.lastUsed))
	recent := recentUseRate * math.Exp(-float64(idle)/float64(recentUseLifetime))
	usual := s.group.demand.valueAt(now) / demandMeanLifeSeconds
	return p.slotWeight(s.group) * (recent + usual) / float64(max(len(s.group.slots), 1))
}

// victim returns the idle adapter that an engine can evict at the least cost, nil if none may
// be evicted.
func (p *Policy) victim(now time.Time, v *upstreamView) *slot {
	if !p.mayEvict(now, v) {
		return nil
	}
	var best *slot
	least := 0.0
	for _, s := range v.slots {
		if !p.slotIdle(now, s) {
			continue
		}
		cost := p.slotDemand(now, s)
		if best == nil || cost < least || (cost == least && compareLastUse(s, best) < 0) {
			best, least = s, cost
		}
	}
	return best
}

func compareLastUse(a, b *slot) int {
	if c := a.lastUsed.Compare(b.lastUsed); c != 0 {
		return c
	}
	return strings.Compare(a.group.name, b.group.name)
}

// slotIdle reports whether it is certain that no host uses an adapter: no request of this host
// is in flight, no grant is valid, and a report made after the last request could have arrived
// counts no request.
func (p *Policy) slotIdle(now time.Time, s *slot) bool {
	switch {
	case s.state != slotResident, s.inFlight > 0, s.busy, s.group.queue.Len() > 0:
		return false
	case now.Before(s.peerGrantsUntil), s.view.freshReportAt.Before(s.maybeBusyUntil):
		return false
	}
	return now.Sub(s.stateSince) >= minResidency
}
