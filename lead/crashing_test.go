package lead

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/jasminelock/jasminelock/assign"
	"github.com/jasminelock/jasminelock/catalog"
)

// crashingRequest is a request that ends each upstream which begins to run it, and
// that comes again and again, at any host.
type crashingRequest struct {
	f           *fleet
	service     string
	fingerprint assign.Fingerprint
	resource    assign.Fingerprint
	// away holds when the upstreams that have ended are back.
	restartAt map[string]time.Time
	// ends are the times at which it has reached an upstream, and ended it.
	executions []time.Time
	// failing is the part of the upstreams' answers that are failures of their own, for
	// which nothing was run.
	failureRatio float64
	// living upstreams do not end, but lose the answer, or answer where answered is set.
	loseAnswers bool
	answered    bool
	random      *rand.Rand
}

// Times of the stand-ins, as on the users' deployments.
const (
	// detectionTime is how long the fleet has to learn of the third end.
	detectionTime = 3 * time.Second
	// delistAfter is how long an upstream that has ended stays listed.
	delistAfter = 3600 * time.Millisecond
	// restartAfter is when it is back.
	restartAfter = 5 * time.Second
	// allowedCrashes is how many upstreams may end before the fleet must know, and
	// maxLateExecutions how often the request may be sent once it must.
	allowedCrashes    = 3
	maxLateExecutions = 3
)

// loadedEngines is engines that hold the adapter from their start on.
type loadedEngines struct{}

func (loadedEngines) Order(context.Context, assign.Order, string) assign.OrderResult {
	return assign.OrderHolds
}

func (loadedEngines) Report(context.Context, *catalog.Upstream) (*assign.Report, error) {
	return &assign.Report{Loaded: loadedAdapter()}, nil
}

func loadedAdapter() []catalog.Loaded {
	return []catalog.Loaded{{Model: "m", Adapters: []catalog.LoadedAdapter{{Name: adapterName, Version: 1}}}}
}

// withCrashingRequest runs a test with a fleet of hosts that has twelve engines and three
// upstreams of a plain service, which no lead decides on.
func withCrashingRequest(t *testing.T, service string, test func(c *crashingRequest)) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		f.engine = loadedEngines{}
		f.view.Upstreams = map[string]*catalog.Upstream{}
		for i := range 12 {
			f.addUpstream(&catalog.Upstream{ID: fmt.Sprintf("e%d", i), Born: 1, Service: "s", Zone: "z", Slots: 8, Loaded: loadedAdapter()})
		}
		for i := range 3 {
			f.addUpstream(&catalog.Upstream{ID: fmt.Sprintf("p%d", i), Born: 1, Service: "plain", Zone: "z", Slots: 6})
		}
		for i := range 7 {
			f.add(fmt.Sprintf("h%d", i), 0.4)
		}
		time.Sleep(2 * time.Second)
		require.Len(t, f.leaders(), 1)
		test(&crashingRequest{
			f: f, service: service, fingerprint: assign.Fingerprint{7}, restartAt: map[string]time.Time{}, random: rand.New(rand.NewPCG(1, 1)),
		})
		f.end()
		time.Sleep(restartAfter) // the last upstream that ended is back
	})
}

// listUpstream has the list hold an upstream.
func (f *fleet) addUpstream(u *catalog.Upstream) {
	f.updateUpstreams(func(listed map[string]*catalog.Upstream) { listed[u.ID] = u })
}

// changeList changes the list and shows it to every host.
func (f *fleet) updateUpstreams(change func(listed map[string]*catalog.Upstream)) {
	f.mu.Lock()
	view := *f.view
	view.Upstreams = maps.Clone(f.view.Upstreams)
	change(view.Upstreams)
	f.view = &view
	hosts := make([]*testHost, 0, len(f.hosts))
	for _, h := range f.hosts {
		hosts = append(hosts, h)
	}
	f.mu.Unlock()
	for _, h := range hosts {
		h.broker.SeeView(&view)
	}
}

// end has an upstream end: it refuses connections at once, is listed for a while, and
// comes back with the same ID.
func (c *crashingRequest) crash(id string) {
	c.executions = append(c.executions, time.Now())
	c.restartAt[id] = time.Now().Add(restartAfter)
	go func() {
		time.Sleep(delistAfter)
		var gone *catalog.Upstream
		c.f.updateUpstreams(func(listed map[string]*catalog.Upstream) {
			gone = listed[id]
			delete(listed, id)
		})
		time.Sleep(restartAfter - delistAfter)
		restarted := *gone
		restarted.Born++
		c.f.addUpstream(&restarted)
	}()
}

// arrive has the request come to a host, once.
func (c *crashingRequest) arriveAt(h *testHost) {
	now := time.Now()
	t := h.broker.NewTicket()
	defer h.broker.Withdraw(t)
	r := assign.Request{
		Service: c.service, Organisation: "o", Cost: 1, Fingerprint: c.fingerprint, Resource: c.resource,
		Arrived: now, Target: now.Add(200 * time.Millisecond), Deadline: now.Add(time.Second),
	}
	if c.service == "s" {
		r.Adapter, r.PromptTokens = catalog.AdapterRef{Model: "m", Adapter: adapterName}, 100
	}
	h.broker.Ask(t, r)
	select {
	case d := <-t.Decisions():
		if g, ok := d.(assign.Grant); ok {
			outcome := c.attemptOutcome(g.Upstream)
			h.broker.Ended(t, assign.Ended{Outcome: outcome, NoListener: outcome == assign.Unreachable, Succeeded: outcome == assign.Completed})
		}
	case <-time.After(time.Second):
	}
}

// sent returns how an attempt at an upstream ends.
func (c *crashingRequest) attemptOutcome(id string) assign.Outcome {
	switch {
	case time.Now().Before(c.restartAt[id]):
		return assign.Unreachable
	case c.random.Float64() < c.failureRatio:
		return assign.Failed
	case c.answered:
		c.executions = append(c.executions, time.Now())
		return assign.Completed
	case c.loseAnswers:
		c.executions = append(c.executions, time.Now())
		return assign.Lost
	}
	c.crash(id)
	return assign.Lost
}

// comesFor has the request come every so often, each time at another host.
func (c *crashingRequest) arriveFor(d, every time.Duration) {
	for n, end := 0, time.Now().Add(d); time.Now().Before(end); n++ {
		c.f.mu.Lock()
		h := c.f.hosts[fmt.Sprintf("h%d", n%7)]
		c.f.mu.Unlock()
		if h != nil {
			c.arriveAt(h)
		}
		time.Sleep(every)
	}
}

// judge counts what the fleet has sent after it had to know of the request.
func (c *crashingRequest) checkBound() {
	late := 0
	for _, at := range c.executions {
		if len(c.executions) >= allowedCrashes && at.Sub(c.executions[allowedCrashes-1]) > detectionTime {
			late++
		}
	}
	assert.LessOrEqual(c.f.t, late, maxLateExecutions, "upstreams of %s ended %d times", c.service, len(c.executions))
	assert.NotEmpty(c.f.t, c.executions)
}

// Pattern: a request crashes its upstreams and comes at any host, for engines, on which
// the lead decides, and for a service on which every host decides by itself.
func TestCrashingRequest_AnyHost(t *testing.T) {
	for _, service := range []string{"s", "plain"} {
		withCrashingRequest(t, service, func(c *crashingRequest) {
			c.arriveFor(60*time.Second, 300*time.Millisecond)
			c.checkBound()
		})
	}
}

// Pattern: the request comes with another query each time. What else is asked for at its
// path is not refused for it, as long as it is answered.
func TestCrashingRequest_ChangingQueries(t *testing.T) {
	for _, service := range []string{"s", "plain"} {
		withCrashingRequest(t, service, func(c *crashingRequest) {
			c.resource = assign.Fingerprint{9}
			for n := range 60 {
				c.fingerprint = assign.Fingerprint{7, byte(n)}
				c.arriveFor(300*time.Millisecond, 300*time.Millisecond)
			}
			c.checkBound()
		})
	}
	withCrashingRequest(t, "plain", func(c *crashingRequest) {
		c.resource = assign.Fingerprint{9}
		c.loseAnswers = true
		for n := range 60 {
			c.fingerprint, c.answered = assign.Fingerprint{7, byte(n)}, n%3 > 0
			c.arriveAt(c.f.hosts["h1"])
		}
		require.Len(t, c.executions, 60)
	})
}

// Pattern: a request crashes its engines while the lead, which decides on it, is
// killed again and again.
func TestCrashingRequest_LeadersKilled(t *testing.T) {
	withCrashingRequest(t, "s", func(c *crashingRequest) {
		for range 8 {
			c.arriveFor(6*time.Second, 300*time.Millisecond)
			for _, leader := range c.f.leaders() {
				c.f.kill(leader)
				time.Sleep(400 * time.Millisecond)
				c.f.add(leader, 0.4)
			}
		}
		c.checkBound()
	})
}

// Pattern: a request crashes its upstreams while all hosts are killed at once, so that
// none remembers it.
func TestCrashingRequest_AllHostsKilled(t *testing.T) {
	for _, service := range []string{"s", "plain"} {
		withCrashingRequest(t, service, func(c *crashingRequest) {
			for range 6 {
				c.arriveFor(7*time.Second, 300*time.Millisecond)
				for i := range 7 {
					c.f.kill(fmt.Sprintf("h%d", i))
				}
				for i := range 7 {
					c.f.add(fmt.Sprintf("h%d", i), 0.4)
				}
			}
			c.checkBound()
		})
	}
}

// Pattern: a request crashes its upstreams while the store is away and the lead is
// killed. Hosts tell the next lead what they have seen.
func TestCrashingRequest_StoreOutage(t *testing.T) {
	for _, service := range []string{"s", "plain"} {
		withCrashingRequest(t, service, func(c *crashingRequest) {
			c.f.cutStore(true)
			c.arriveFor(4*time.Second, 300*time.Millisecond)
			c.f.kill(c.f.leaders()[0])
			c.arriveFor(4*time.Second, 300*time.Millisecond)
			c.f.cutStore(false)
			c.arriveFor(20*time.Second, 300*time.Millisecond)
			c.checkBound()
		})
	}
}

// Pattern: living upstreams lose answers of a request that may be repeated. It is not
// taken for one that crashes them, nor is one that is answered in between.
func TestCrashingRequest_LostAnswersServed(t *testing.T) {
	for _, service := range []string{"s", "plain"} {
		withCrashingRequest(t, service, func(c *crashingRequest) {
			c.loseAnswers = true
			c.arriveFor(800*time.Millisecond, 300*time.Millisecond)
			require.Len(t, c.executions, 3)
			for range 20 {
				c.answered = true
				c.arriveFor(time.Second, 300*time.Millisecond)
				c.answered = false
				c.arriveFor(800*time.Millisecond, 300*time.Millisecond)
			}
			require.Len(t, c.executions, 3+20*(4+3))
		})
	}
}

// Pattern: upstreams also fail a part of their requests, the crashing one among them,
// with answers of their own. These do not clear it.
func TestCrashingRequest_FailuresDoNotClear(t *testing.T) {
	for _, service := range []string{"s", "plain"} {
		withCrashingRequest(t, service, func(c *crashingRequest) {
			c.failureRatio = 0.8
			c.arriveFor(60*time.Second, 300*time.Millisecond)
			c.checkBound()
		})
	}
}

// Pattern: a request comes so seldom that an upstream which it has crashed is back
// under its ID, and was never refused a connection, before it comes again.
func TestCrashingRequest_Infrequent(t *testing.T) {
	for _, service := range []string{"s", "plain"} {
		withCrashingRequest(t, service, func(c *crashingRequest) {
			c.arriveFor(100*time.Second, 5500*time.Millisecond)
			c.checkBound()
		})
	}
}

// Pattern: a caller leaves, or its time is over, before the host sees that the
// upstream has ended, since the links to it are silent.
func TestCrashingRequest_CallersLeave(t *testing.T) {
	withCrashingRequest(t, "plain", func(c *crashingRequest) {
		for n := range 40 {
			h := c.f.hosts[fmt.Sprintf("h%d", n%7)]
			ticket := h.broker.NewTicket()
			now := time.Now()
			h.broker.Ask(ticket, assign.Request{
				Service: c.service, Organisation: "o", Cost: 1, Fingerprint: c.fingerprint, Arrived: now, Target: now, Deadline: now.Add(time.Second),
			})
			if g, ok := (<-ticket.Decisions()).(assign.Grant); ok {
				if outcome := c.attemptOutcome(g.Upstream); outcome != assign.Lost {
					h.broker.Ended(ticket, assign.Ended{Outcome: outcome, NoListener: outcome == assign.Unreachable})
				} else {
					time.Sleep(300 * time.Millisecond)
					h.broker.Ended(ticket, assign.Ended{Outcome: []assign.Outcome{assign.CallerLeft, assign.TimedOut}[n%2]})
				}
			}
			h.broker.Withdraw(ticket)
			time.Sleep(1500 * time.Millisecond)
		}
		c.checkBound()
	})
}

// Pattern: the lead reaches the store and no host. Each host decides by itself meanwhile,
// for as long as the lead holds its lease.
func TestCrashingRequest_LeaderIsolated(t *testing.T) {
	for _, service := range []string{"s", "plain"} {
		withCrashingRequest(t, service, func(c *crashingRequest) {
			leader := c.f.hosts[c.f.leaders()[0]]
			c.f.mu.Lock()
			leader.cut = true
			delete(c.f.hosts, leader.name) // nobody asks it
			c.f.mu.Unlock()
			time.Sleep(detectionTime)
			c.arriveFor(20*time.Second, 300*time.Millisecond)
			shared := c.f.sharedVersion()
			require.NotZero(t, shared)
			c.arriveFor(20*time.Second, 300*time.Millisecond)
			require.Equal(t, shared, c.f.sharedVersion(), "what is known is not written again")
			c.f.mu.Lock()
			leader.cut = false
			c.f.hosts[leader.name] = leader
			c.f.mu.Unlock()
			c.arriveFor(20*time.Second, 300*time.Millisecond)
			c.checkBound()
		})
	}
}

// sharedVersion returns the version of the row by which hosts without a lead tell one
// another of requests.
func (f *fleet) sharedVersion() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.rows[suspectsKey].Version
}
