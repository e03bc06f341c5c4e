package assign

import "time"

// decodeTokenWork is the work of generating one token in a batch: the time by which a step of the engine grows with
// one more request, near the value that users' deployments state.
const decodeTokenWork = 50 * time.Microsecond

// expectedWork returns the expected work of a request on an upstream of usual pace.
func (a *Assigner) expectedWork(s *service, r *Request) time.Duration {
	configured := a.config.Service(s.name)
	if configured == nil || configured.Engine == nil {
		return assumedRequestTime
	}
	output := r.ExpectedOutput
	if output == 0 {
		output = r.OutputTokens / 2
	}
	return time.Duration(r.PromptTokens)*assumedPrefillPerToken + time.Duration(output)*decodeTokenWork
}
