package assign

import (
	"time"

	"github.com/jasminelock/jasminelock/catalog"
)

// modelPollInterval is the interval at which an engine is polled for the end of the load of a base model.
const modelPollInterval = 100 * time.Millisecond

// modelLoadMargin keeps loads of base models below the rate of the weight store.
const modelLoadMargin = 0.9

// nextModelOrder returns the order to load a base model on an engine that holds none, as after a restart.
func (a *Assigner) nextModelOrder(now time.Time, u *upstream) (order, bool) {
	o := &u.orders
	if len(u.models) > 0 || u.draining() {
		return order{}, false
	}
	if o.loadingModel == "" {
		model, ok := a.wantedModel(u)
		if !ok || !u.service.takeModelLoad(now, u) {
			return order{}, false
		}
		o.loadingModel = model
		return order{ref: catalog.AdapterRef{Model: model}}, true
	}
	if now.Before(o.modelPollAt) {
		return order{}, false
	}
	return order{ref: catalog.AdapterRef{Model: o.loadingModel}}, true
}

// takeModelLoad reports whether a base model may be loaded now and, if so, reserves the load. It keeps the loads
// of all engines of a service below the rate of the weight store.
func (s *service) takeModelLoad(now time.Time, u *upstream) bool {
	rate := u.engine.LoadsPerSecond * modelLoadMargin
	if rate <= 0 {
		return true
	}
	if now.Before(s.nextModelLoadAt) {
		return false
	}
	s.nextModelLoadAt = now.Add(time.Duration(float64(time.Second) / rate))
	return true
}

// wantedModel returns the model with the most requests per engine that holds or loads it.
func (a *Assigner) wantedModel(u *upstream) (string, bool) {
	holders := map[string]int{}
	demand := map[string]int{}
	for _, other := range u.service.upstreams {
		for modelName := range other.models {
			holders[modelName]++
		}
		if other.orders.loadingModel != "" && len(other.models) == 0 {
			holders[other.orders.loadingModel]++
		}
	}
	for _, e := range a.requests {
		if e.request.Service == u.service.name {
			demand[e.request.Adapter.Model]++
		}
	}
	best, bestScore := "", -1.0
	for _, model := range u.engine.Models {
		score := float64(demand[model.Name]+1) / float64(holders[model.Name]+1)
		if score > bestScore && model.WeightsMB <= u.engine.WeightsMB {
			best, bestScore = model.Name, score
		}
	}
	return best, best != ""
}

// modelOrderApplied records that a base model is loaded, or being loaded.
func (a *Assigner) modelOrderApplied(now time.Time, u *upstream, result OrderResult) {
	o := &u.orders
	if result == OrderSatisfied {
		u.models[o.sent.ref.Model] = true
		o.loadingModel, o.modelOrderAccepted = "", false
		return
	}
	if !o.modelOrderAccepted {
		o.sequence++
	}
	o.modelOrderAccepted = true
	o.modelPollAt = now.Add(modelPollInterval)
}
