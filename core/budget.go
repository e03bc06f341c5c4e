package core

import (
	"maps"
	"time"

	"github.com/jasminelock/jasminelock/limit"
	"github.com/jasminelock/jasminelock/record"
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

// loadBudget lets the scheduler take loads from the limiter. It implements
// sched.Budget.
type loadBudget struct {
	limiter limit.Limiter
	config  *record.Config
	// pending are the limiter's decisions that have not been handed out.
	pending []limit.Decision
}

// TakeLoad implements sched.Budget.
func (b *loadBudget) TakeLoad(now time.Time, model string) bool {
	m, ok := b.config.Model(model)
	if !ok {
		return false
	}
	if m.LoadsInFlight > 0 && !b.reserve(now, loadInFlightPrefix+model) {
		return false
	}
	if m.LoadsPerSecond > 0 && !b.reserve(now, loadRatePrefix+model) {
		b.LoadEnded(now, model)
		return false
	}
	return true
}

func (b *loadBudget) reserve(now time.Time, name string) bool {
	v, decisions := b.limiter.Reserve(now, name, 1)
	b.pending = append(b.pending, decisions...)
	return v.OK
}

// LoadEnded implements sched.Budget.
func (b *loadBudget) LoadEnded(now time.Time, model string) {
	m, ok := b.config.Model(model)
	if !ok || m.LoadsInFlight == 0 {
		return
	}
	b.pending = append(b.pending, b.limiter.Settle(now, loadInFlightPrefix+model, 1, 0)...)
}

// take returns the limiter's decisions since the last call.
func (b *loadBudget) take() []limit.Decision {
	pending := b.pending
	b.pending = nil
	return pending
}
