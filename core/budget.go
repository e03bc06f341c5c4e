package core

import (
	"maps"
	"slices"
	"time"

	"github.com/jasminelock/jasminelock/limit"
	"github.com/jasminelock/jasminelock/record"
	"github.com/jasminelock/jasminelock/sched"
)

// The names under which the limiter counts the weight store's budget. No
// organisation can have them, since record names have no colon.
const (
	loadRatePrefix     = "load-rate:"
	loadInFlightPrefix = "load-in-flight:"
)

// withLoadBudgets returns the organisations' rates together with the weight
// store's budget of each model. A budget in flight has no rate: what was taken
// comes back only when the load has ended.
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

// maxUnusedHold is how long a part of the budget that no load has used is kept.
const maxUnusedHold = 300 * time.Millisecond

// maxRefusalBackoff bounds how long a refused part of the budget is not asked for
// again.
const maxRefusalBackoff = 500 * time.Millisecond

// loadBudget lets the scheduler take loads from the limiter. It implements
// sched.Budget. A part of the budget may come from another host: TakeLoad then
// reports false, and a call after the answer finds the part in hand.
type loadBudget struct {
	limiter limit.Limiter
	config  *record.Config
	parts   map[string]*budgetPart
	// outstanding are the parts that another host is being asked for.
	outstanding map[limit.Ticket]string
	// pending are the limiter's decisions that have not been handed out.
	pending []limit.Decision
}

// budgetPart is one part of a model's budget: its rate, or its loads in flight.
type budgetPart struct {
	requested bool
	held      bool
	heldSince time.Time
	// retryAt is when a refused part is asked for again.
	retryAt time.Time
}

func newLoadBudget(l limit.Limiter) loadBudget {
	return loadBudget{limiter: l, config: record.NewConfig(), parts: map[string]*budgetPart{}, outstanding: map[limit.Ticket]string{}}
}

// TakeLoad implements sched.Budget. The place in flight is obtained first: it
// comes back whole where the rate is then refused.
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
			return sched.BudgetAsked
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

// acquire returns a part of the budget, asked for unless it is in hand.
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
	if v.Wait {
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

// onResolved takes the answer to what was asked for, and reports whether the
// ticket was this budget's.
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

// tick gives back what no load has used.
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
