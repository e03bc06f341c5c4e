package limit

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jasminelock/jasminelock/record"
	"github.com/jasminelock/jasminelock/wire"
)

// The organisations of the workloads.
const (
	testOrg   = "acme"
	quietOrg  = "bravo"
	testRate  = 1000.0 // tokens a second
	testBurst = 8000   // tokens
)

// maxWrongful is the largest accepted share of requests refused within the rate.
const maxWrongful = 0.001

// workload is demand on a fleet of seven hosts. Requests reserve 60 to 140
// tokens, use two fifths of them and take 2 s.
type workload struct {
	name string
	// load is the demand as a multiple of the organisation's rate.
	load     float64
	duration time.Duration
	host     func(s *sim) *simHost
	fault    func(s *sim)
	// killsLeader is true if the fault kills the organisation's leader, killsAny
	// if it kills any host.
	killsLeader, killsAny bool
}

// refillTime is how long a bucket that starts empty takes to hold the tokens that
// running requests keep reserved: requests reserve two and a half times the
// tokens that they use.
const refillTime = 2 * testBurst / testRate * time.Second

func anyHost(s *sim) *simHost {
	for {
		if h := s.hosts[s.rand.IntN(len(s.hosts))]; h.alive {
			return h
		}
	}
}

func movingHost(s *sim) *simHost { return s.hosts[int(s.now.Unix()/5)%len(s.hosts)] }

var workloads = []workload{
	{name: "steady", load: 0.8, duration: 20 * time.Minute, host: anyHost},
	{name: "skewed to one host", load: 0.8, duration: 20 * time.Minute, host: func(s *sim) *simHost { return s.hosts[4] }},
	{name: "moving between hosts", load: 0.8, duration: 20 * time.Minute, host: movingHost},
	{name: "five times the rate", load: 5, duration: 10 * time.Minute, host: anyHost},
	{
		name: "leader of the organisation killed", load: 0.8, duration: 5 * time.Minute, host: anyHost,
		killsLeader: true, killsAny: true, fault: func(s *sim) { s.kill(s.leaderHost(testOrg)) },
	},
	{name: "another host killed", load: 0.8, duration: 20 * time.Minute, host: anyHost, killsAny: true, fault: func(s *sim) {
		i := s.leaderHost(testOrg).index
		s.kill(s.hosts[(i+1)%len(s.hosts)])
	}},
	{name: "store down for an hour", load: 0.8, duration: time.Hour, host: movingHost, fault: func(s *sim) { s.platformDown = true }},
}

// leaderHost returns the host that leads an organisation, or the first host if
// the mechanism has no leaders.
func (s *sim) leaderHost(org string) *simHost {
	if l, ok := s.hosts[0].limiter.(interface {
		leaderOf(string) (wire.LimitMember, bool)
	}); ok {
		leader, _ := l.leaderOf(org)
		for _, h := range s.hosts {
			if h.name == leader.Host {
				return h
			}
		}
	}
	return s.hosts[0]
}

// poissonArrivals sends an organisation's requests as a Poisson process until the
// workload ends.
func (s *sim) poissonArrivals(org string, perSecond float64, host func(*sim) *simHost) {
	var next func()
	next = func() {
		s.after(time.Duration(s.rand.ExpFloat64()/perSecond*float64(time.Second)), next)
		tokens := 60 + s.rand.Int64N(81)
		s.request(host(s), org, tokens, tokens*2/5, 2*time.Second, nil)
	}
	next()
}

// run runs a workload and returns its checker and the start time of the fault.
func (w workload) run(t *testing.T, limiter limiterFunc) (c *checker, faultAt time.Time) {
	const warmUp = 20 * time.Second
	s := newSim(1, 7, faults{}, map[string]*record.Rate{
		testOrg:  {TokensPerSecond: testRate, BurstTokens: testBurst},
		quietOrg: {TokensPerSecond: testRate / 10, BurstTokens: testBurst / 10},
	}, limiter)
	s.run(fleetStart)
	const usedPerRequest = 40 // tokens
	s.poissonArrivals(testOrg, w.load*testRate/usedPerRequest, w.host)
	s.poissonArrivals(quietOrg, testRate/10/usedPerRequest/2, w.host)
	s.run(warmUp)
	s.check.scores = map[string]*score{}
	if w.fault != nil {
		w.fault(s)
	}
	faultAt = s.now
	s.run(w.duration)
	require.NoError(t, s.check.verify())
	return s.check, faultAt
}

// TestWrongfulRefusals compares the mechanisms by their refusals within the rate.
// Bounds are asserted only for the mechanism in use.
func TestWrongfulRefusals(t *testing.T) {
	t.Parallel()
	mechanisms := []struct {
		name    string
		limiter limiterFunc
	}{
		{"static", func(string, uint64) Limiter { return NewStatic(7) }},
		{"escrow", escrowLimiter(7)},
		{"lead", newLeaderLimiter},
	}
	for _, w := range workloads {
		for _, m := range mechanisms {
			if raceEnabled && m.name != "lead" {
				continue
			}
			t.Run(w.name+"/"+m.name, func(t *testing.T) {
				t.Parallel()
				c, faultAt := w.run(t, m.limiter)
				for _, org := range []string{testOrg, quietOrg} {
					sc := c.score(org)
					t.Logf("%s: %d requests, %.3f%% wrongfully refused, last %.1f s after the start, %.3f%% fewer tokens used",
						org, sc.arrived, 100*sc.wrongfulShare(), math.Max(0, sc.lastWrongful.Sub(faultAt).Seconds()), 100*sc.shortfall())
				}
				if m.name == "lead" {
					w.assert(t, c, faultAt)
				}
			})
		}
	}
}

func (w workload) assert(t *testing.T, c *checker, faultAt time.Time) {
	sc := c.score(testOrg)
	switch {
	case w.load > 1:
		require.LessOrEqual(t, sc.shortfall(), maxWrongful)
	case w.killsLeader:
		require.Less(t, sc.lastWrongful.Sub(faultAt), takeoverTime+refillTime)
		return // the other organisation's leader may have been killed too
	default:
		require.LessOrEqual(t, sc.wrongfulShare(), maxWrongful)
	}
	if !w.killsAny {
		require.LessOrEqual(t, c.score(quietOrg).wrongfulShare(), maxWrongful)
	}
}
