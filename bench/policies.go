package bench

import (
	"math/rand/v2"

	"github.com/jasminelock/jasminelock/bench/baseline"
	"github.com/jasminelock/jasminelock/limit"
	"github.com/jasminelock/jasminelock/sched"
)

// OwnPolicy is the name of the policy that the daemon runs.
const OwnPolicy = "jasminelock"

// ExactLimits is the name of the policy with the daemon's scheduler and one exact
// limiter for all hosts, as if hosts could share counts at no cost. It measures
// scheduling alone.
const ExactLimits = "exact-limits"

// Policies returns the daemon's policy, the one with exact limits, and the
// baselines.
func Policies() []Policy {
	return []Policy{
		{Name: OwnPolicy, NewFactory: func() PartsFactory { return newOwnParts }},
		{Name: ExactLimits, NewFactory: exactLimits},
		oneHost("random", func(rng *rand.Rand) baseline.Ranker { return baseline.Random{Rand: rng} }),
		oneHost("least-loaded-lru", func(*rand.Rand) baseline.Ranker { return baseline.LeastLoaded{} }),
		oneHost("bounded-hash", func(*rand.Rand) baseline.Ranker { return baseline.BoundedHash{} }),
	}
}

// newOwnParts returns the limiter and the scheduler that the daemon uses.
func newOwnParts(host, zone string, rng *rand.Rand) (limit.Limiter, sched.Scheduler) {
	return limit.NewLeaderLimiter(limit.LeaderOptions{Host: host, Incarnation: rng.Uint64(), Rand: rng}), sched.New(sched.Options{Host: host, Zone: zone, Random: rng})
}

// exactLimits returns a PartsFactory whose hosts share one exact limiter, which real hosts
// cannot do. The difference from the daemon's policy is the cost of sharing limits.
func exactLimits() PartsFactory {
	shared := limit.NewStatic(1)
	return func(host, zone string, rng *rand.Rand) (limit.Limiter, sched.Scheduler) {
		return shared, sched.New(sched.Options{Host: host, Zone: zone, Random: rng})
	}
}

func oneHost(name string, ranker func(*rand.Rand) baseline.Ranker) Policy {
	maker := func(_, _ string, rng *rand.Rand) (limit.Limiter, sched.Scheduler) {
		return limit.NewStatic(1), baseline.New(ranker(rng))
	}
	return Policy{Name: name, SingleHost: true, NewFactory: func() PartsFactory { return maker }}
}
