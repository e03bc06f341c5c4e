package bench

import (
	"math/rand/v2"

	"github.com/jasminelock/jasminelock/bench/baseline"
	"github.com/jasminelock/jasminelock/limit"
	"github.com/jasminelock/jasminelock/sched"
)

// OwnPolicy is the name of the policy that the daemon runs.
const OwnPolicy = "jasminelock"

// ExactLimits is our scheduler with one exact limiter for all hosts, as if they
// could count together at no cost. It measures scheduling by itself.
const ExactLimits = "exact-limits"

// Policies returns our policy and the baselines.
func Policies() []Policy {
	exact := limit.NewStatic(1)
	return []Policy{
		{Name: OwnPolicy, Make: own},
		{Name: ExactLimits, Make: func(host, zone string, rng *rand.Rand) (limit.Limiter, sched.Scheduler) {
			return exact, newScheduler(host, zone, rng)
		}},
		oneHost("random", func(rng *rand.Rand) baseline.Ranker { return baseline.Random{Rand: rng} }),
		oneHost("least-loaded-lru", func(*rand.Rand) baseline.Ranker { return baseline.LeastLoaded{} }),
		oneHost("bounded-hash", func(*rand.Rand) baseline.Ranker { return baseline.BoundedHash{} }),
	}
}

// own makes the parts that the daemon makes.
func own(host, zone string, rng *rand.Rand) (limit.Limiter, sched.Scheduler) {
	return limit.NewStatic(hosts), newScheduler(host, zone, rng)
}

func newScheduler(host, zone string, rng *rand.Rand) sched.Scheduler {
	return sched.New(sched.Options{Host: host, Zone: zone, Random: rng})
}

func oneHost(name string, ranker func(*rand.Rand) baseline.Ranker) Policy {
	return Policy{Name: name, OneHost: true, Make: func(_, _ string, rng *rand.Rand) (limit.Limiter, sched.Scheduler) {
		return limit.NewStatic(1), baseline.New(ranker(rng))
	}}
}
