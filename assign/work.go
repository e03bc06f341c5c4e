package assign

import (
	"time"

	"github.com/jasminelock/jasminelock/workcost"
)

// decodeTokenWork is the work of generating one token in a batch: the time by which a step of the engine grows with
// one more request, near the value that users' deployments state.
const decodeTokenWork = 50 * time.Microsecond

const (
	// maxCostEntries bounds what is learned of the cost of requests, to about 4 MB for tokens and time each. At the
	// design scale it covers the adapters that are in use.
	maxCostEntries = 16 << 10
	// assumedOutputFraction is the fraction of the allowed output that a request without a hint is assumed to use.
	assumedOutputFraction = 0.5
)

// costs are what is learned of the cost of requests.
type costs struct {
	outputTokens *workcost.Learner
	requestTimes *workcost.Learner
}

func newCosts() costs {
	return costs{outputTokens: workcost.New(maxCostEntries), requestTimes: workcost.New(maxCostEntries)}
}

// costKey states what a request has in common with others.
func costKey(r *Request) workcost.Key {
	return workcost.Key{
		Route: r.Service + "/" + r.Route, Organisation: r.Organisation, Model: r.Adapter.Model, Adapter: r.Adapter.Adapter,
		Hinted: r.ExpectedOutput > 0,
	}
}

// outputPrior returns the number of generated tokens that is expected of a request without observations.
func outputPrior(r *Request) float64 {
	if r.ExpectedOutput > 0 {
		return float64(r.ExpectedOutput)
	}
	return max(assumedOutputFraction*float64(r.OutputTokens), 1)
}

// expectedTokens returns the mean number of tokens that an engine generates for a request.
func (a *Assigner) expectedTokens(r *Request) int {
	mean := a.costs.outputTokens.Estimate(costKey(r), outputPrior(r)).Mean()
	if r.OutputTokens > 0 {
		mean = min(mean, float64(r.OutputTokens))
	}
	return int(mean)
}

// expectedRequestTime returns the mean time of a request to a plain service, at usual pace.
func (a *Assigner) expectedRequestTime(r *Request) time.Duration {
	mean := a.costs.requestTimes.Estimate(costKey(r), float64(assumedRequestTime)).Mean()
	return time.Duration(min(mean, float64(maxRequestTime)))
}

// expectedWork returns the expected work of a request on an upstream of usual pace.
func (a *Assigner) expectedWork(s *service, r *Request) time.Duration {
	configured := a.config.Service(s.name)
	if configured == nil || configured.Engine == nil {
		return a.expectedRequestTime(r)
	}
	return time.Duration(r.PromptTokens)*assumedPrefillPerToken + time.Duration(a.expectedTokens(r))*decodeTokenWork
}

// learnCost records the cost of a request that has been answered.
func (a *Assigner) learnCost(now time.Time, u *upstream, e *requestState, ev *AttemptEnded) {
	if ev.Outcome != Completed || !u.byWork() {
		return
	}
	r := &e.request
	if u.engine != nil && !e.streaming {
		u.service.setStreaming(r.Route, false)
		return
	}
	if u.engine != nil {
		a.costs.outputTokens.Observe(costKey(r), outputPrior(r), float64(ev.Feedback.OutputTokens))
		return
	}
	// A request that waited in the upstream's queue took longer than its work.
	if e.runningAtGrant < u.slotCount() && !e.adopted && !u.slowStart.active(now) {
		took := float64(now.Sub(e.grantedAt)) * 2 / (e.paceAtGrant + u.pace.current(now))
		a.costs.requestTimes.Observe(costKey(r), float64(assumedRequestTime), took)
	}
}
