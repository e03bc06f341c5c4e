package sched

import (
	"cmp"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/jasminelock/jasminelock/sched/fair"
	"github.com/jasminelock/jasminelock/wire"
)

// Times and bounds of placement.
const (
	// minResidency is how long a loaded adapter is kept at least, so that those
	// who waited for it can reach it.
	minResidency = 2 * time.Second
	// loadFailureBackoff doubles with each failure, up to maxFailureBackoff.
	loadFailureBackoff = 500 * time.Millisecond
	maxFailureBackoff  = 30 * time.Second
	maxDoublings       = 6
	// failuresGivenUp is when the requests that wait are refused.
	failuresGivenUp = 5
	// noSlotBackoff is when an engine that had no slot is asked again.
	noSlotBackoff = 500 * time.Millisecond
	// candidatesWeighed bounds the engines weighed for one load.
	candidatesWeighed = 16
)

// openOrder is an order that has not ended.
type openOrder struct {
	view *upstreamView
	slot *slot
	op   Operation
	// paid says that another host has taken the budget.
	paid bool
	// load is the group that the evicted adapter's slot is for.
	load      *group
	startedAt time.Time
}

// demandFor is one group that should be loaded.
type demandFor struct {
	group        *group
	organisation string
	cold         bool
	batch        bool
	since        time.Time
}

// place gives out loads: first to what cannot be served at all, the
// organisation with the fewest loads first.
func (p *Policy) place(now time.Time) {
	var wanted []demandFor
	for g := range p.hungry {
		if d, ok := p.needsLoad(now, g); ok {
			wanted = append(wanted, d)
		}
	}
	slices.SortFunc(wanted, p.compareDemand)
	for _, d := range wanted {
		if !now.Before(p.refused[d.group.model]) {
			p.tryLoad(now, d)
		}
	}
}

// placeOne tries to load a group as soon as a request for it has arrived.
func (p *Policy) placeOne(now time.Time, g *group) {
	if now.Before(p.refused[g.model]) {
		return
	}
	if d, ok := p.needsLoad(now, g); ok {
		p.tryLoad(now, d)
	}
}

func (p *Policy) compareDemand(a, b demandFor) int {
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
	if c := cmp.Compare(p.loads.of(a.organisation), p.loads.of(b.organisation)); c != 0 {
		return c
	}
	if c := a.since.Compare(b.since); c != 0 {
		return c
	}
	return strings.Compare(a.group.name, b.group.name)
}

// needsLoad reports whether a group should be loaded: nothing that holds it can
// serve, or waiting for what does costs more than another load.
func (p *Policy) needsLoad(now time.Time, g *group) (demandFor, bool) {
	if g.ref.Name == "" || g.queue.Len() == 0 || g.remote != nil {
		return demandFor{}, false
	}
	for _, s := range g.slots {
		if s.state == slotLoading && s.view.usable(now) {
			return demandFor{}, false
		}
	}
	head := g.queue.Head(now)
	wait, served := p.queueWait(now, g, &head.Value.request)
	if served && wait <= p.loadCost(g.model) {
		g.coldSince = time.Time{}
		return demandFor{}, false
	}
	if g.coldSince.IsZero() {
		g.coldSince = now
	}
	batch := head.Batch && now.Sub(head.EnqueuedAt) < fair.AgingLimit
	return demandFor{group: g, organisation: head.Organisation, cold: !served, batch: batch, since: g.coldSince}, true
}

// loadCost is the time that a load takes, with the wait for the weight store.
func (p *Policy) loadCost(model string) time.Duration {
	cost := p.loadTime.or(guessedLoad)
	if m, ok := p.config.Model(model); ok && m.LoadsPerSecond > 0 {
		cost += time.Duration(float64(time.Second) / m.LoadsPerSecond)
	}
	return cost
}

// tryLoad takes the budget of a load and orders it, or asks the upstream's owner
// to. The target is chosen only when there is budget, by what is known then.
func (p *Policy) tryLoad(now time.Time, d demandFor) {
	v := p.target(now, d.group)
	if v == nil {
		return
	}
	switch p.budget.TakeLoad(now, d.group.model) {
	case BudgetRequested:
		return
	case BudgetRefused:
		p.refused[d.group.model] = now.Add(p.budgetRetry(now, d))
		return
	case BudgetTaken:
	}
	p.loads.charge(now, d.organisation)
	switch {
	case !v.lease.mine():
		p.askLoad(now, d.group, v, d.organisation)
	case !p.startLoad(now, d.group, v, false):
		p.budget.LoadEnded(now, d.group.model)
	}
}

// target chooses the engine to load a group on: the one whose slot costs least.
func (p *Policy) target(now time.Time, g *group) *upstreamView {
	views := p.engines[g.model]
	head := g.queue.Head(now)
	var best *upstreamView
	least := 0.0
	start := xxhash.Sum64String(g.name)
	for i := range min(len(views), candidatesWeighed) {
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
func (p *Policy) loadable(now time.Time, g *group, v *upstreamView) bool {
	switch {
	case v.slots[g] != nil, v.loading != nil, !v.usable(now), now.Before(v.fullUntil), now.Before(g.retryAt[v.record.Name]):
		return false
	}
	if v.lease.mine() {
		return true
	}
	owner := p.ownerOf(v)
	return owner != "" && !p.silent(now, owner)
}

// slotCost weighs the demand that an eviction would hurt and how full the
// engine's batch is.
func (p *Policy) slotCost(now time.Time, v *upstreamView) (float64, bool) {
	price := p.priceOf(now, v)
	cost := float64(v.inFlight+v.others) / float64(max(v.record.MaxBatch, 1))
	if price.free > 0 {
		return cost, true
	}
	return cost + 1 + price.demand, !price.blocked
}

// priceOf returns what a slot costs: for this host's upstreams by its own
// knowledge, for others as their owner has told.
func (p *Policy) priceOf(now time.Time, v *upstreamView) slotPrice {
	if !v.lease.mine() {
		if now.Sub(v.price.at) <= priceAge {
			return v.price
		}
		return slotPrice{free: v.free()}
	}
	price := slotPrice{at: now, free: v.free()}
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
	for _, l := range p.leaseOrder {
		if !l.mine() {
			continue
		}
		for _, v := range l.views {
			price := p.priceOf(now, v)
			out = append(out, wire.SlotPrice{Upstream: v.record.Name, Free: price.free, Demand: price.demand, Blocked: price.blocked || v.loading != nil})
		}
	}
	return out
}

func (p *Policy) takePrices(now time.Time, prices []wire.SlotPrice) {
	for _, told := range prices {
		if v, ok := p.upstreams[told.Upstream]; ok {
			v.price = slotPrice{at: now, free: told.Free, demand: told.Demand, blocked: told.Blocked}
		}
	}
}

// recentRate is the rate of requests expected of an adapter that has just been
// used, recentLife how fast that expectation fades.
const (
	recentRate = 0.05 // a second
	recentLife = 15 * time.Second
)

// slotDemand is the rate of requests that an eviction would hurt: that expected
// of a user who has just been served, and the adapter's usual one. Replicas
// share it.
func (p *Policy) slotDemand(now time.Time, s *slot) float64 {
	idle := now.Sub(later(s.lastUsed, s.group.lastUsed))
	recent := recentRate * math.Exp(-float64(idle)/float64(recentLife))
	usual := s.group.demand.read(now) / secondsPerHalfLife
	return p.slotWorth(s.group) * (recent + usual) / float64(max(len(s.group.slots), 1))
}

// victim returns the adapter that an engine can drop at the least cost, nil
// where none may go.
func (p *Policy) victim(now time.Time, v *upstreamView) *slot {
	if !p.mayEvict(now, v) {
		return nil
	}
	var best *slot
	least := 0.0
	for _, s := range v.slots {
		if !p.idle(now, s) {
			continue
		}
		cost := p.slotDemand(now, s)
		if best == nil || cost < least || (cost == least && compareIdle(s, best) < 0) {
			best, least = s, cost
		}
	}
	return best
}

func compareIdle(a, b *slot) int {
	if c := a.lastUsed.Compare(b.lastUsed); c != 0 {
		return c
	}
	return strings.Compare(a.group.name, b.group.name)
}

// idle reports whether it is certain that no host uses an adapter: no request
// of this host is in flight, no grant is valid, and a report made after the
// last of them could have arrived counts no request.
func (p *Policy) idle(now time.Time, s *slot) bool {
	switch {
	case s.state != slotResident, s.inFlight > 0, s.busy, s.group.queue.Len() > 0:
		return false
	case now.Before(s.grantedUntil), s.view.provenAt.Before(s.doubtUntil):
		return false
	}
	return now.Sub(s.since) >= minResidency
}
