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
	all := maps.Clone(c.Rates())
	for name, m := range c.Models() {
		if m.LoadsPerSecond > 0 {
			all[loadRatePrefix+name] = &record.Rate{TokensPerSecond: m.LoadsPerSecond, BurstTokens: max(1, int64(m.LoadsPerSecond))}
		}
		if m.LoadsInFlight > 0 {
			all[loadInFlightPrefix+name] = &record.Rate{BurstTokens: m.LoadsInFlight}
		}
	}
	return all
}

// maxInHand is how long a part of the budget that no load has used is kept.
const maxInHand = 300 * time.Millisecond

// askAgainWithin bounds how long a refused part of the budget is not asked for
// again.
const askAgainWithin = 500 * time.Millisecond

// loadBudget lets the scheduler take loads from the limiter. It implements
// sched.Budget. A part of the budget may come from another host: TakeLoad then
// reports false, and a call after the answer finds the part in hand.
type loadBudget struct {
	limiter limit.Limiter
	config  *record.Config
	parts   map[string]*budgetPart
	// asked are the parts that another host is being asked for.
	asked map[limit.Ticket]string
	// pending are the limiter's decisions that have not been handed out.
	pending []limit.Decision
}

// budgetPart is one part of a model's budget: its rate, or its loads in flight.
type budgetPart struct {
	asked  bool
	inHand bool
	since  time.Time // of inHand
	// notBefore is when a refused part is asked for again.
	notBefore time.Time
}

func newLoadBudget(l limit.Limiter) loadBudget {
	return loadBudget{limiter: l, config: record.NewConfig(), parts: map[string]*budgetPart{}, asked: map[limit.Ticket]string{}}
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
		needed = append(needed, b.obtain(now, loadInFlightPrefix+model))
	}
	if m.LoadsPerSecond > 0 && allInHand(needed) {
		needed = append(needed, b.obtain(now, loadRatePrefix+model))
	}
	if !allInHand(needed) {
		if needed[len(needed)-1].asked {
			return sched.BudgetRequested
		}
		return sched.BudgetRefused
	}
	for _, part := range needed {
		part.inHand = false
	}
	return sched.BudgetTaken
}

func allInHand(parts []*budgetPart) bool {
	return !slices.ContainsFunc(parts, func(p *budgetPart) bool { return !p.inHand })
}

// obtain returns a part of the budget, asked for unless it is in hand.
func (b *loadBudget) obtain(now time.Time, name string) *budgetPart {
	part, ok := b.parts[name]
	if !ok {
		part = &budgetPart{}
		b.parts[name] = part
	}
	if part.inHand || part.asked || now.Before(part.notBefore) {
		return part
	}
	v, decisions := b.limiter.Reserve(now, name, 1)
	b.pending = append(b.pending, decisions...)
	if v.Pending {
		part.asked = true
		b.asked[v.Ticket] = name
		return part
	}
	part.take(now, v)
	return part
}

func (p *budgetPart) take(now time.Time, v limit.Verdict) {
	p.inHand, p.since = v.OK, now
	if !v.OK {
		p.notBefore = now.Add(min(v.RetryAfter, askAgainWithin))
	}
}

// resolved takes the answer to what was asked for, and reports whether the
// ticket was this budget's.
func (b *loadBudget) resolved(now time.Time, r limit.Resolved) bool {
	name, ok := b.asked[r.Ticket]
	if !ok {
		return false
	}
	delete(b.asked, r.Ticket)
	part := b.parts[name]
	part.asked = false
	part.take(now, r.Verdict)
	return true
}

// tick gives back what no load has used.
func (b *loadBudget) tick(now time.Time) {
	for _, name := range slices.Sorted(maps.Keys(b.parts)) {
		part := b.parts[name]
		if part.inHand && now.Sub(part.since) >= maxInHand {
			part.inHand = false
			b.giveBack(now, name)
		}
	}
}

func (b *loadBudget) giveBack(now time.Time, name string) {
	b.pending = append(b.pending, b.limiter.Settle(now, name, 1, 0)...)
}

// LoadEnded implements sched.Budget.
func (b *loadBudget) LoadEnded(now time.Time, model string) {
	m, ok := b.config.Model(model)
	if !ok || m.LoadsInFlight == 0 {
		return
	}
	b.giveBack(now, loadInFlightPrefix+model)
}

// take returns the limiter's decisions since the last call.
func (b *loadBudget) take() []limit.Decision {
	pending := b.pending
	b.pending = nil
	return pending
}
