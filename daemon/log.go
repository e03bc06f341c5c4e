package daemon

import (
	"fmt"
	"strings"

	"github.com/hashicorp/go-hclog"

	"github.com/jasminelock/jasminelock/core"
	"github.com/jasminelock/jasminelock/sched"
)

// logDecision logs one line for each routing decision, order to an engine and refusal. Decisions contain
// neither API keys nor prompts, so none can reach the log.
func logDecision(log hclog.Logger, d core.Decision) {
	switch d := d.(type) {
	case core.Dispatch:
		log.Info("route", "request", d.ID, "attempt", d.Attempt, "adapter", d.Adapter.String(), "upstream", d.Upstream.Name,
			"rule", d.Why.Rule, "alternatives", alternatives(d.Why))
	case core.Order:
		log.Info("place", "order", d.Order.ID, "operation", d.Order.Operation.String(), "adapter", d.Order.Adapter.String(),
			"upstream", d.Upstream.Name, "fence", d.Order.Fence, "rule", d.Order.Why.Rule, "alternatives", alternatives(d.Order.Why))
	case core.Finish:
		if d.Err != nil {
			log.Info("refuse", "request", d.ID, "kind", d.Err.Kind.String(), "ran", d.Err.Ran.String(), "rule", d.Why.Rule)
		}
	}
}

// alternatives formats the upstreams that a decision compared as "name=expected/note", best first and
// separated by spaces.
func alternatives(reason sched.Reason) string {
	parts := make([]string, 0, len(reason.Alternatives))
	for _, a := range reason.Alternatives {
		parts = append(parts, fmt.Sprintf("%s=%s/%s", a.Upstream, a.Expected, a.Note))
	}
	return strings.Join(parts, " ")
}
