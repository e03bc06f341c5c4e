package core

import (
	"maps"
	"slices"
	"time"

	"github.com/jasminelock/jasminelock/limit"
	"github.com/jasminelock/jasminelock/record"
	"github.com/jasminelock/jasminelock/sched"
)

// Prefixes of the names under which the limiter counts the weight store's budgets. No organisation can
// have such a name, because record names contain no colon.
const (
	loadRatePrefix     = "load-rate:"
	loadInFlightPrefix = "load-in-flight:"
)

// withLoadBudgets returns the organisations' rates together with the weight store's load budgets of
// each model. A budget of loads in flight has a burst but no rate: a unit is returned only when its
// load has ended.
func withLoadBudgets(c *record.Config) map[string]*record.Rate {
	rates := maps.Clone(c.Rates())
	for name, m := range c.Models() {
		if m.LoadsPerSecond > 0 {
			rates[loadRatePrefix+name] = &record.Rate{TokensPerSecond: m.LoadsPerSecond, BurstTokens: max(1, int64(m.LoadsPerSecond))}
		}
		if m.LoadsInFlight > 0 {
			rates[loadInFlightPrefix+name] = &record.Rate{BurstTokens: m.LoadsInFlight}
		}
	}
	return rates
}

// maxUnusedHold is how long a unit of a budget is held without a load before it is released.
const maxUnusedHold = 300 * time.Millisecond

// maxRefusalBackoff bounds the wait before a refused unit of a budget is requested again.
const maxRefusalBackoff = 500 * time.Millisecond

// loadBudget lets the scheduler reserve adapter loads with the limiter. It implements sched.Budget. The
// limiter may have to request a unit of the budget from another host: TakeLoad then returns
// sched.BudgetRequested, and a call after the verdict finds the unit held.
type loadBudget struct {
	limiter limit.Limiter
	config  *record.Config
	parts   map[string]*budgetPart
	// outstanding maps the ticket of each reservation that waits for another host to the name of its
	// budget.
	outstanding map[limit.Ticket]string
	// pending holds the limiter's decisions that takePending has not returned yet.
	pending []limit.Decision
}

// budgetPart is the state of one of a model's two budgets: loads per second, or loads in flight. It
// holds at most one unit.
type budgetPart struct {
	// requested is set while a reservation waits for another host.
	requested bool
	// held is set while a reserved unit has not been used by a load. heldSince is when it was
	// reserved.
	held      bool
	heldSince time.Time
	// retryAt is the earliest time for a new reservation after a refusal.
	retryAt time.Time
}

func newLoadBudget(l limit.Limiter) loadBudget {
	return loadBudget{limiter: l, config: record.NewConfig(), parts: map[string]*budgetPart{}, outstanding: map[limit.Ticket]string{}}
}

// TakeLoad implements sched.Budget. The unit in flight is reserved first, because it can be returned
// in full if the rate is then refused.
func (b *loadBudget) TakeLoad(now time.Time, model string) sched.BudgetAnswer {
	m, ok := b.config.Model(model)
	if !ok {
		return sched.BudgetRefused
	}
	var needed []*budgetPart
	if m.LoadsInFlight > 0 {
		needed = append(needed, b.acquire(now, loadInFlightPrefix+model))
	}
	if m.LoadsPerSecond > 0 && allHeld(needed) {
		needed = append(needed, b.acquire(now, loadRatePrefix+model))
	}
	if !allHeld(needed) {
		if needed[len(needed)-1].requested {
			return sched.BudgetRequested
		}
		return sched.BudgetRefused
	}
	for _, part := range needed {
		part.held = false
	}
	return sched.BudgetTaken
}

func allHeld(parts []*budgetPart) bool {
	return !slices.ContainsFunc(parts, func(p *budgetPart) bool { return !p.held })
}

// acquire returns the named budget, and reserves a unit of it unless one is held, requested or not to
// be requested yet.
func (b *loadBudget) acquire(now time.Time, name string) *budgetPart {
	part, ok := b.parts[name]
	if !ok {
		part = &budgetPart{}
		b.parts[name] = part
	}
	if part.held || part.requested || now.Before(part.retryAt) {
		return part
	}
	v, decisions := b.limiter.Reserve(now, name, 1)
	b.pending = append(b.pending, decisions...)
	if v.Pending {
		part.requested = true
		b.outstanding[v.Ticket] = name
		return part
	}
	part.applyVerdict(now, v)
	return part
}

func (p *budgetPart) applyVerdict(now time.Time, v limit.Verdict) {
	p.held, p.heldSince = v.OK, now
	if !v.OK {
		p.retryAt = now.Add(min(v.RetryAfter, maxRefusalBackoff))
	}
}

// onResolved applies the verdict on an outstanding reservation. It reports whether the ticket belongs
// to a load budget.
func (b *loadBudget) onResolved(now time.Time, r limit.Resolved) bool {
	name, ok := b.outstanding[r.Ticket]
	if !ok {
		return false
	}
	delete(b.outstanding, r.Ticket)
	part := b.parts[name]
	part.requested = false
	part.applyVerdict(now, r.Verdict)
	return true
}

// tick releases units that no load has used within maxUnusedHold.
func (b *loadBudget) tick(now time.Time) {
	for _, name := range slices.Sorted(maps.Keys(b.parts)) {
		part := b.parts[name]
		if part.held && now.Sub(part.heldSince) >= maxUnusedHold {
			part.held = false
			b.release(now, name)
		}
	}
}

func (b *loadBudget) release(now time.Time, name string) {
	b.pending = append(b.pending, b.limiter.Settle(now, name, 1, 0)...)
}

// LoadEnded implements sched.Budget.
func (b *loadBudget) LoadEnded(now time.Time, model string) {
	m, ok := b.config.Model(model)
	if !ok || m.LoadsInFlight == 0 {
		return
	}
	b.release(now, loadInFlightPrefix+model)
}

// takePending returns the limiter's decisions since the last call.
func (b *loadBudget) takePending() []limit.Decision {
	pending := b.pending
	b.pending = nil
	return pending
}
