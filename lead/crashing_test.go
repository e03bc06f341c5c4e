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
	away map[string]time.Time
	// ends are the times at which it has reached an upstream, and ended it.
	ends []time.Time
	// failing is the part of the upstreams' answers that are failures of their own, for
	// which nothing was run.
	failing float64
	// living upstreams do not end, but lose the answer, or answer where answered is set.
	living   bool
	answered bool
	random   *rand.Rand
}

// Times of the stand-ins, as on the users' deployments.
const (
	// contactTime is how long the fleet has to learn of the third end.
	contactTime = 3 * time.Second
	// listedFor is how long an upstream that has ended stays listed.
	listedFor = 3600 * time.Millisecond
	// backAfter is when it is back.
	backAfter = 5 * time.Second
	// freeEnds is how many upstreams may end before the fleet must know, and
	// sentAfter how often the request may be sent once it must.
	freeEnds  = 3
	sentAfter = 3
)

// readyEngines is engines that hold the adapter from their start on.
type readyEngines struct{}

func (readyEngines) SendOrder(context.Context, assign.Order, string) assign.OrderResult {
	return assign.OrderSatisfied
}

func (readyEngines) ReadReport(context.Context, *catalog.Upstream) (*assign.Report, error) {
	return &assign.Report{Loaded: loadedAdapter()}, nil
}

func loadedAdapter() []catalog.LoadedModel {
	return []catalog.LoadedModel{{Model: "m", Adapters: []catalog.LoadedAdapter{{Name: adapterName, Version: 1}}}}
}

// crashingFleet runs a test with a fleet of hosts that has twelve engines and three
// upstreams of a plain service, which no lead decides on.
func crashingFleet(t *testing.T, service string, test func(c *crashingRequest)) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		f.engine = readyEngines{}
		f.view.Upstreams = map[string]*catalog.Upstream{}
		for i := range 12 {
			f.listUpstream(&catalog.Upstream{ID: fmt.Sprintf("e%d", i), StartedAt: 1, Service: "s", Zone: "z", Slots: 8, Loaded: loadedAdapter()})
		}
		for i := range 3 {
			f.listUpstream(&catalog.Upstream{ID: fmt.Sprintf("p%d", i), StartedAt: 1, Service: "plain", Zone: "z", Slots: 6})
		}
		for i := range 7 {
			f.add(fmt.Sprintf("h%d", i), 0.4)
		}
		time.Sleep(2 * time.Second)
		require.Len(t, f.leads(), 1)
		test(&crashingRequest{
			f: f, service: service, fingerprint: assign.Fingerprint{7}, away: map[string]time.Time{}, random: rand.New(rand.NewPCG(1, 1)),
		})
		f.end()
		time.Sleep(backAfter) // the last upstream that ended is back
	})
}

// listUpstream has the list hold an upstream.
func (f *fleet) listUpstream(u *catalog.Upstream) {
	f.changeList(func(listed map[string]*catalog.Upstream) { listed[u.ID] = u })
}

// changeList changes the list and shows it to every host.
func (f *fleet) changeList(change func(listed map[string]*catalog.Upstream)) {
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
		h.broker.UpdateView(&view)
	}
}

// end has an upstream end: it refuses connections at once, is listed for a while, and
// comes back with the same ID.
func (c *crashingRequest) end(id string) {
	c.ends = append(c.ends, time.Now())
	c.away[id] = time.Now().Add(backAfter)
	go func() {
		time.Sleep(listedFor)
		var gone *catalog.Upstream
		c.f.changeList(func(listed map[string]*catalog.Upstream) {
			gone = listed[id]
			delete(listed, id)
		})
		time.Sleep(backAfter - listedFor)
		again := *gone
		again.StartedAt++
		c.f.listUpstream(&again)
	}()
}

// arrive has the request come to a host, once.
func (c *crashingRequest) arrive(h *testHost) {
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
	h.broker.RequestAssignment(t, r)
	select {
	case d := <-t.Decisions():
		if g, ok := d.(assign.Grant); ok {
			o := c.sent(g.Upstream)
			h.broker.AttemptEnded(t, assign.AttemptEnded{Outcome: o, NoListener: o == assign.Unreachable, Succeeded: o == assign.Completed})
		}
	case <-time.After(time.Second):
	}
}

// sent returns how an attempt at an upstream ends.
func (c *crashingRequest) sent(id string) assign.Outcome {
	switch {
	case time.Now().Before(c.away[id]):
		return assign.Unreachable
	case c.random.Float64() < c.failing:
		return assign.Failed
	case c.answered:
		c.ends = append(c.ends, time.Now())
		return assign.Completed
	case c.living:
		c.ends = append(c.ends, time.Now())
		return assign.Lost
	}
	c.end(id)
	return assign.Lost
}

// comesFor has the request come every so often, each time at another host.
func (c *crashingRequest) comesFor(d, every time.Duration) {
	for n, end := 0, time.Now().Add(d); time.Now().Before(end); n++ {
		c.f.mu.Lock()
		h := c.f.hosts[fmt.Sprintf("h%d", n%7)]
		c.f.mu.Unlock()
		if h != nil {
			c.arrive(h)
		}
		time.Sleep(every)
	}
}

// judge counts what the fleet has sent after it had to know of the request.
func (c *crashingRequest) judge() {
	late := 0
	for _, at := range c.ends {
		if len(c.ends) >= freeEnds && at.Sub(c.ends[freeEnds-1]) > contactTime {
			late++
		}
	}
	assert.LessOrEqual(c.f.t, late, sentAfter, "upstreams of %s ended %d times", c.service, len(c.ends))
	assert.NotEmpty(c.f.t, c.ends)
}

// Pattern: a request crashes its upstreams and comes at any host, for engines, on which
// the lead decides, and for a service on which every host decides by itself.
func TestACrashingRequestComesAtAnyHost(t *testing.T) {
	for _, service := range []string{"s", "plain"} {
		crashingFleet(t, service, func(c *crashingRequest) {
			c.comesFor(60*time.Second, 300*time.Millisecond)
			c.judge()
		})
	}
}

// Pattern: the request comes with another query each time. What else is asked for at its
// path is not refused for it, as long as it is answered.
func TestACrashingRequestWithChangingQueries(t *testing.T) {
	for _, service := range []string{"s", "plain"} {
		crashingFleet(t, service, func(c *crashingRequest) {
			c.resource = assign.Fingerprint{9}
			for n := range 60 {
				c.fingerprint = assign.Fingerprint{7, byte(n)}
				c.comesFor(300*time.Millisecond, 300*time.Millisecond)
			}
			c.judge()
		})
	}
	crashingFleet(t, "plain", func(c *crashingRequest) {
		c.resource = assign.Fingerprint{9}
		c.living = true
		for n := range 60 {
			c.fingerprint, c.answered = assign.Fingerprint{7, byte(n)}, n%3 > 0
			c.arrive(c.f.hosts["h1"])
		}
		require.Len(t, c.ends, 60)
	})
}

// Pattern: a request crashes its engines while the lead, which decides on it, is
// killed again and again.
func TestACrashingRequestOutlivesItsLeads(t *testing.T) {
	crashingFleet(t, "s", func(c *crashingRequest) {
		for range 8 {
			c.comesFor(6*time.Second, 300*time.Millisecond)
			for _, lead := range c.f.leads() {
				c.f.kill(lead)
				time.Sleep(400 * time.Millisecond)
				c.f.add(lead, 0.4)
			}
		}
		c.judge()
	})
}

// Pattern: a request crashes its upstreams while all hosts are killed at once, so that
// none remembers it.
func TestACrashingRequestOutlivesAllHosts(t *testing.T) {
	for _, service := range []string{"s", "plain"} {
		crashingFleet(t, service, func(c *crashingRequest) {
			for range 6 {
				c.comesFor(7*time.Second, 300*time.Millisecond)
				for i := range 7 {
					c.f.kill(fmt.Sprintf("h%d", i))
				}
				for i := range 7 {
					c.f.add(fmt.Sprintf("h%d", i), 0.4)
				}
			}
			c.judge()
		})
	}
}

// Pattern: a request crashes its upstreams while the store is away and the lead is
// killed. Hosts tell the next lead what they have seen.
func TestACrashingRequestInAnOutage(t *testing.T) {
	for _, service := range []string{"s", "plain"} {
		crashingFleet(t, service, func(c *crashingRequest) {
			c.f.cutStore(true)
			c.comesFor(4*time.Second, 300*time.Millisecond)
			c.f.kill(c.f.leads()[0])
			c.comesFor(4*time.Second, 300*time.Millisecond)
			c.f.cutStore(false)
			c.comesFor(20*time.Second, 300*time.Millisecond)
			c.judge()
		})
	}
}

// Pattern: living upstreams lose answers of a request that may be repeated. It is not
// taken for one that crashes them, nor is one that is answered in between.
func TestARequestWhoseAnswersAreLostIsServed(t *testing.T) {
	for _, service := range []string{"s", "plain"} {
		crashingFleet(t, service, func(c *crashingRequest) {
			c.living = true
			c.comesFor(800*time.Millisecond, 300*time.Millisecond)
			require.Len(t, c.ends, 3)
			for range 20 {
				c.answered = true
				c.comesFor(time.Second, 300*time.Millisecond)
				c.answered = false
				c.comesFor(800*time.Millisecond, 300*time.Millisecond)
			}
			require.Len(t, c.ends, 3+20*(4+3))
		})
	}
}

// Pattern: upstreams also fail a part of their requests, the crashing one among them,
// with answers of their own. These do not clear it.
func TestACrashingRequestThatIsAlsoFailed(t *testing.T) {
	for _, service := range []string{"s", "plain"} {
		crashingFleet(t, service, func(c *crashingRequest) {
			c.failing = 0.8
			c.comesFor(60*time.Second, 300*time.Millisecond)
			c.judge()
		})
	}
}

// Pattern: a request comes so seldom that an upstream which it has crashed is back
// under its ID, and was never refused a connection, before it comes again.
func TestACrashingRequestThatComesSeldom(t *testing.T) {
	for _, service := range []string{"s", "plain"} {
		crashingFleet(t, service, func(c *crashingRequest) {
			c.comesFor(100*time.Second, 5500*time.Millisecond)
			c.judge()
		})
	}
}

// Pattern: a caller leaves, or its time is over, before the host sees that the
// upstream has ended, since the links to it are silent.
func TestACrashingRequestWhoseCallersLeave(t *testing.T) {
	crashingFleet(t, "plain", func(c *crashingRequest) {
		for n := range 40 {
			h := c.f.hosts[fmt.Sprintf("h%d", n%7)]
			ticket := h.broker.NewTicket()
			now := time.Now()
			h.broker.RequestAssignment(ticket, assign.Request{
				Service: c.service, Organisation: "o", Cost: 1, Fingerprint: c.fingerprint, Arrived: now, Target: now, Deadline: now.Add(time.Second),
			})
			if g, ok := (<-ticket.Decisions()).(assign.Grant); ok {
				if o := c.sent(g.Upstream); o != assign.Lost {
					h.broker.AttemptEnded(ticket, assign.AttemptEnded{Outcome: o, NoListener: o == assign.Unreachable})
				} else {
					time.Sleep(300 * time.Millisecond)
					h.broker.AttemptEnded(ticket, assign.AttemptEnded{Outcome: []assign.Outcome{assign.CallerLeft, assign.TimedOut}[n%2]})
				}
			}
			h.broker.Withdraw(ticket)
			time.Sleep(1500 * time.Millisecond)
		}
		c.judge()
	})
}

// Pattern: the lead reaches the store and no host. Each host decides by itself meanwhile,
// for as long as the lead holds its lease.
func TestACrashingRequestWhileTheLeadIsAlone(t *testing.T) {
	for _, service := range []string{"s", "plain"} {
		crashingFleet(t, service, func(c *crashingRequest) {
			lead := c.f.hosts[c.f.leads()[0]]
			c.f.mu.Lock()
			lead.cut = true
			delete(c.f.hosts, lead.name) // nobody asks it
			c.f.mu.Unlock()
			time.Sleep(contactTime)
			c.comesFor(20*time.Second, 300*time.Millisecond)
			shared := c.f.sharedVersion()
			require.NotZero(t, shared)
			c.comesFor(20*time.Second, 300*time.Millisecond)
			require.Equal(t, shared, c.f.sharedVersion(), "what is known is not written again")
			c.f.mu.Lock()
			lead.cut = false
			c.f.hosts[lead.name] = lead
			c.f.mu.Unlock()
			c.comesFor(20*time.Second, 300*time.Millisecond)
			c.judge()
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
