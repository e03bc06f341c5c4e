package bench

import "fmt"

// Bounds of the daemon's policy, from the users' targets.
const (
	// maxFirstTokenSeconds is the bound of the 95th percentile of the time to first
	// token.
	maxFirstTokenSeconds = 1.0
	// maxWrongfulShare is the largest share of requests that may be refused although
	// they are inside their organisation's rate.
	maxWrongfulShare = 0.001
	// minStallRatio is the smallest ratio of the stall seconds of least-loaded-lru to
	// those of the daemon's policy, in the skewed and shifting scenarios.
	minStallRatio = 2.0
)

// BrokenBounds returns a text for each bound that a result of the daemon's policy breaks.
func BrokenBounds(results []Result) []string {
	var broken []string
	for _, r := range results {
		if r.Policy == OwnPolicy {
			broken = append(broken, boundsBrokenBy(r, results)...)
		}
	}
	return broken
}

func boundsBrokenBy(r Result, all []Result) []string {
	var broken []string
	add := func(format string, args ...any) {
		broken = append(broken, fmt.Sprintf("%s/%s: ", r.Deployment, r.Scenario)+fmt.Sprintf(format, args...))
	}
	if r.ServingEvictions > 0 {
		add("%d serving adapters evicted", r.ServingEvictions)
	}
	if r.WrongAdapter > 0 {
		add("%d requests on the wrong adapter", r.WrongAdapter)
	}
	if r.DispatchedToLeaving > 0 {
		add("%d requests to a leaving upstream", r.DispatchedToLeaving)
	}
	if r.MaxLoadsInFlight > maxLoadsAtOnce {
		add("%d loads in flight, at most %d", r.MaxLoadsInFlight, maxLoadsAtOnce)
	}
	// After a host is killed, the organisations whose tokens it counted wait until
	// another host may count them; the design note on limits states the time.
	if r.Scenario != "host-killed" && float64(r.WrongfulRefusals) > maxWrongfulShare*float64(r.Requests) {
		add("%d of %d requests refused inside their rate, at most %.1f in 1000", r.WrongfulRefusals, r.Requests, maxWrongfulShare*1000)
	}
	if r.Scenario == "steady" && r.FirstTokenP95 > maxFirstTokenSeconds {
		add("first token p95 %.2f s, at most %.2f s", r.FirstTokenP95, maxFirstTokenSeconds)
	}
	if base, ok := findResult(all, r.Deployment, r.Scenario, "least-loaded-lru"); ok && breaksStallBound(r, base) {
		add("%.1f s of load stalls, least-loaded-lru %.1f s: not %.0f times better", r.StallSeconds, base.StallSeconds, minStallRatio)
	}
	return broken
}

// breaksStallBound reports whether r is of the skewed or the shifting scenario and
// its stall seconds are above the bound relative to the baseline.
func breaksStallBound(r, base Result) bool {
	if r.Scenario != "skewed" && r.Scenario != "shifting" {
		return false
	}
	return r.StallSeconds*minStallRatio > base.StallSeconds
}

func findResult(all []Result, deployment, scenario, policy string) (Result, bool) {
	for _, r := range all {
		if r.Deployment == deployment && r.Scenario == scenario && r.Policy == policy {
			return r, true
		}
	}
	return Result{}, false
}
