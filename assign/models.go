package assign

import (
	"time"

	"github.com/jasminelock/jasminelock/catalog"
)

// modelPollInterval is how often an engine is asked whether a base model has
// been loaded.
const modelPollInterval = 100 * time.Millisecond

// loadMargin keeps loads of base models below what the weight store gives out.
const loadMargin = 0.9

// nextModelOrder loads a base model on an engine that holds none, as one does
// after a restart.
func (a *Assigner) nextModelOrder(now time.Time, u *upstream) (order, bool) {
	o := &u.orders
	if len(u.models) > 0 || u.draining() {
		return order{}, false
	}
	if o.model == "" {
		model, ok := a.wantedModel(u)
		if !ok || !u.service.mayLoadModel(now, u) {
			return order{}, false
		}
		o.model = model
		return order{ref: catalog.AdapterRef{Model: model}}, true
	}
	if now.Before(o.modelPoll) {
		return order{}, false
	}
	return order{ref: catalog.AdapterRef{Model: o.model}}, true
}

// mayLoadModel keeps the loads of all engines of a service below the rate of
// the weight store.
func (s *service) mayLoadModel(now time.Time, u *upstream) bool {
	rate := u.engine.LoadsPerSecond * loadMargin
	if rate <= 0 {
		return true
	}
	if now.Before(s.nextModelLoad) {
		return false
	}
	s.nextModelLoad = now.Add(time.Duration(float64(time.Second) / rate))
	return true
}

// wantedModel returns the model that the fewest engines hold for the requests
// that ask for it.
func (a *Assigner) wantedModel(u *upstream) (string, bool) {
	holders := map[string]int{}
	demand := map[string]int{}
	for _, other := range u.service.upstreams {
		for m := range other.models {
			holders[m]++
		}
		if other.orders.model != "" && len(other.models) == 0 {
			holders[other.orders.model]++
		}
	}
	for _, e := range a.requests {
		if e.request.Service == u.service.name {
			demand[e.request.Adapter.Model]++
		}
	}
	best, most := "", -1.0
	for _, m := range u.engine.Models {
		score := float64(demand[m.Name]+1) / float64(holders[m.Name]+1)
		if score > most && m.WeightsMB <= u.engine.WeightsMB {
			best, most = m.Name, score
		}
	}
	return best, best != ""
}

// modelOrderTaken notes that a base model is there, or on its way.
func (a *Assigner) modelOrderTaken(now time.Time, u *upstream, result OrderResult) {
	o := &u.orders
	if result == OrderSatisfied {
		u.models[o.sent.ref.Model] = true
		o.model, o.modelOrdered = "", false
		return
	}
	if !o.modelOrdered {
		o.sequence++
	}
	o.modelOrdered = true
	o.modelPoll = now.Add(modelPollInterval)
}
