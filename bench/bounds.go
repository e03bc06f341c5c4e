package bench

import "fmt"

// Bounds of our policy, from the users' targets.
const (
	// maxFirstTokenSeconds is when 95 in 100 have their first token, in seconds.
	maxFirstTokenSeconds = 1.0
	// maxWrongfulShare is the largest share of wrongful refusals.
	maxWrongfulShare = 0.001
	// minStallRatio is how many times fewer stalls than least-loaded-lru there
	// must be in the skewed and shifting scenarios.
	minStallRatio = 2.0
)

// Broken lists the bounds that the results break.
func Broken(results []Result) []string {
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
	if r.ToLeaving > 0 {
		add("%d requests to a leaving upstream", r.ToLeaving)
	}
	if r.LoadsInFlight > maxLoadsAtOnce {
		add("%d loads in flight, at most %d", r.LoadsInFlight, maxLoadsAtOnce)
	}
	// Where a host is killed, what it kept the count of waits until another host
	// may; the limits' design note states the time.
	if r.Scenario != "host-killed" && float64(r.Wrongful) > maxWrongfulShare*float64(r.Requests) {
		add("%d of %d requests refused inside their rate, at most %.1f in 1000", r.Wrongful, r.Requests, maxWrongfulShare*1000)
	}
	if r.Scenario == "steady" && r.FirstTokenP95 > maxFirstTokenSeconds {
		add("first token p95 %.2f s, at most %.2f s", r.FirstTokenP95, maxFirstTokenSeconds)
	}
	if base, ok := findResult(all, r.Deployment, r.Scenario, "least-loaded-lru"); ok && breaksStallBound(r, base) {
		add("%.1f s of load stalls, least-loaded-lru %.1f s: not %.0f times better", r.StallSeconds, base.StallSeconds, minStallRatio)
	}
	return broken
}

// breaksStallBound reports whether a scenario that must have far fewer stalls has not.
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
