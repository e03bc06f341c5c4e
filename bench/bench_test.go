package bench

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jasminelock/jasminelock/bench/baseline"
	"github.com/jasminelock/jasminelock/limit"
	"github.com/jasminelock/jasminelock/record"
	"github.com/jasminelock/jasminelock/sched"
)

func policyNamed(t *testing.T, name string) Policy {
	t.Helper()
	for _, p := range Policies() {
		if p.Name == name {
			return p
		}
	}
	t.Fatalf("no policy %s", name)
	return Policy{}
}

func TestRun_Deterministic(t *testing.T) {
	d, s := Deployments()[0], Scenarios()[0]
	p := policyNamed(t, "random")
	require.Equal(t, Run(d, s, p, 7), Run(d, s, p, 7))
	require.NotEqual(t, Run(d, s, p, 7), Run(d, s, p, 8))
	own := policyNamed(t, OwnPolicy)
	d = Deployments()[1]
	require.Equal(t, Run(d, s, own, 1), Run(d, s, own, 1))
}

func TestClock_RunsInOrder(t *testing.T) {
	c := newClock()
	var got []int
	c.after(2*time.Second, func() { got = append(got, 3) })
	c.after(time.Second, func() {
		got = append(got, 1)
		c.after(0, func() { got = append(got, 2) })
	})
	c.after(time.Minute, func() { got = append(got, 4) })
	c.runUntil(epoch.Add(30 * time.Second))
	require.Equal(t, []int{1, 2, 3}, got)
	require.Equal(t, epoch.Add(30*time.Second), c.now)
}

func TestLowerBoundStalls_EvictsFurthestNextUse(t *testing.T) {
	d := Deployment{Engines: 1, AdapterSlots: 2}
	var arrivals []arrival
	for i, adapter := range []int{1, 2, 3, 1, 2, 3} {
		arrivals = append(arrivals, arrival{at: warmUpTime + time.Duration(i), adapter: adapter})
	}
	// Adapters 1, 2 and 3 miss and 3 replaces 2. Then 1 hits, 2 misses and replaces
	// 1, and 3 hits.
	require.Equal(t, 4, lowerBoundStalls(d, arrivals))
}

func TestWeightStore_SlowerBeyondBound(t *testing.T) {
	c := newClock()
	d := Deployment{LoadsPerSecond: 1000, LoadsInFlight: 2, LoadTime: time.Second}
	s := &weightStore{clock: c, rng: rand.New(rand.NewPCG(1, 1)), deployment: d, stats: newStats()}
	var ends []time.Duration
	for range 4 {
		s.fetch(func(error) { ends = append(ends, c.now.Sub(epoch).Round(100*time.Millisecond)) })
	}
	c.runUntil(epoch.Add(time.Minute))
	require.Equal(t, []time.Duration{time.Second, time.Second, 1500 * time.Millisecond, 2 * time.Second}, ends)
	require.Equal(t, 4, s.stats.maxLoadsInFlight)
}

// ownPolicyWith returns a policy that has the name of the daemon's policy, so that
// its bounds are checked, but another scheduler.
func ownPolicyWith(scheduler func() sched.Scheduler) Policy {
	maker := func(string, string, *rand.Rand) (limit.Limiter, sched.Scheduler) {
		return limit.NewStatic(1), scheduler()
	}
	return Policy{Name: OwnPolicy, SingleHost: true, NewFactory: func() PartsFactory { return maker }}
}

// evictingScheduler breaks a rule: with each request for an engine it also orders
// the unload of the request's adapter from engine-0.
type evictingScheduler struct{ *baseline.Scheduler }

func (c evictingScheduler) Enqueue(now time.Time, r sched.Request) []sched.Decision {
	out := c.Scheduler.Enqueue(now, r)
	if r.Pool == "" {
		out = append(out, sched.Order{ID: sched.OrderID(1e6 + int(r.ID)), Upstream: "engine-0", Operation: sched.Unload, Adapter: r.Adapter, Fence: 1})
	}
	return out
}

func TestRun_DetectsServingEviction(t *testing.T) {
	p := ownPolicyWith(func() sched.Scheduler { return evictingScheduler{baseline.New(baseline.LeastLoaded{})} })
	r := Run(Deployments()[0], Scenarios()[0], p, 1)
	require.Positive(t, r.ServingEvictions)
	require.NotEmpty(t, BrokenBounds([]Result{r}))
}

// staleConfigScheduler ignores all configurations after the first, and thus does
// not learn that an upstream is leaving.
type staleConfigScheduler struct{ *baseline.Scheduler }

func (d staleConfigScheduler) Configure(now time.Time, c *record.Config) []sched.Decision {
	if c.Revision > 1 {
		return nil
	}
	return d.Scheduler.Configure(now, c)
}

func TestRun_DetectsWorkToLeavingUpstream(t *testing.T) {
	p := ownPolicyWith(func() sched.Scheduler { return staleConfigScheduler{baseline.New(baseline.LeastLoaded{})} })
	leaving := Scenarios()[len(Scenarios())-1]
	r := Run(Deployments()[0], leaving, p, 1)
	require.Positive(t, r.DispatchedToLeaving)
	require.NotEmpty(t, BrokenBounds([]Result{r}))
}

func TestBroken(t *testing.T) {
	good := Result{Deployment: "d", Scenario: "shifting", Policy: OwnPolicy, Requests: 1000, StallSeconds: 10}
	base := Result{Deployment: "d", Scenario: "shifting", Policy: "least-loaded-lru", StallSeconds: 20}
	require.Empty(t, BrokenBounds([]Result{good, base}))
	for name, spoil := range map[string]func(r *Result){
		"stalls":   func(r *Result) { r.StallSeconds = 11 },
		"wrongful": func(r *Result) { r.WrongfulRefusals = 2 },
		"loads":    func(r *Result) { r.MaxLoadsInFlight = 9 },
		"adapter":  func(r *Result) { r.WrongAdapter = 1 },
		"first":    func(r *Result) { r.Scenario = "steady"; r.FirstTokenP95 = 1.1 },
	} {
		bad := good
		spoil(&bad)
		require.NotEmpty(t, BrokenBounds([]Result{bad, base}), name)
	}
}
