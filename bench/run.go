package bench

import (
	"fmt"
	"slices"
	"time"

	"github.com/jasminelock/jasminelock/apierr"
	"github.com/jasminelock/jasminelock/core"
	"github.com/jasminelock/jasminelock/locate"
	"github.com/jasminelock/jasminelock/record"
	"github.com/jasminelock/jasminelock/store"
)

// Run runs a scenario of a deployment with a policy and returns its figures.
func Run(d Deployment, s Scenario, p Policy, seed uint64) Result {
	f := newFleet(d, s, p, seed)
	f.start()
	f.scheduleFaults()
	arrivals := newWorkload(d, s, seed).arrivals()
	for _, a := range arrivals {
		f.clock.after(a.at, func() { f.arrive(a) })
	}
	f.clock.runUntil(epoch.Add(warmUpTime + measureTime + drainTime))
	r := f.result(p)
	r.LowerBoundStalls = lowerBoundStalls(d, arrivals)
	return r
}

// scheduleFaults schedules the faults and changes of the scenario.
func (f *fleet) scheduleFaults() {
	s := f.scenario
	if s.RestartedEngines > 0 {
		f.clock.after(s.RestartAt, func() {
			for _, e := range f.engines[:s.RestartedEngines] {
				e.restart()
			}
		})
	}
	if s.OutageFor > 0 {
		f.clock.after(s.OutageFrom, func() { f.tables.down = true })
		f.clock.after(s.OutageFrom+s.OutageFor, func() { f.tables.down = false })
	}
	if s.KillHostAt > 0 && len(f.hosts) > 1 {
		f.clock.after(s.KillHostAt, func() { f.kill(f.hosts[len(f.hosts)-1]) })
	}
	if s.MarkLeavingAt > 0 {
		f.clock.after(s.MarkLeavingAt, func() {
			f.config = f.buildConfig([]string{upstreamName(f.deployment, 0)})
			for _, h := range f.hosts {
				h.handle(core.ConfigUpdated{Config: f.config})
			}
		})
	}
}

// kill stops a host. Its requests end without an answer, since their connections
// break, and are counted as cut. The host stays on the host list for
// hostListDelay.
func (f *fleet) kill(h *fakeHost) {
	h.dead = true
	for _, c := range h.calls {
		c.ended = true
		f.stats.cutByKill++
	}
	f.clock.after(hostListDelay, func() {
		f.hostList = slices.DeleteFunc(slices.Clone(f.hostList), func(l store.Host) bool { return l.Name == h.name })
	})
}

// arrive sends a caller's request to the first live host that locate returns.
func (f *fleet) arrive(a arrival) {
	h := f.hostFor(a)
	c := &call{arrival: a, host: h, arrivedAt: f.clock.now}
	c.coldAdapter = !a.service() && !f.adapterServable(adapterRef(a.adapter))
	c.withinRate = f.idealBuckets[a.organisation].take(f.clock.now, reservation(a))
	f.nextID++
	c.id = f.nextID
	f.clock.after(f.deployment.CallerLatency, func() {
		if h.dead {
			return
		}
		h.calls[c.id] = c
		h.handle(core.RequestArrived{Request: f.request(c)})
	})
}

// reservation returns the tokens that a request reserves until it is settled. For
// an engine's request they follow from the caller's bound on the answer, twice its
// actual length.
func reservation(a arrival) int64 {
	if a.service() {
		return serviceTokens
	}
	return int64(a.prompt + 2*a.answer)
}

func (f *fleet) request(c *call) core.Request {
	a := c.arrival
	r := core.Request{
		ID: c.id, HasKey: true, KeyHash: record.HashSecret(secretOf(f.deployment.Organisations[a.organisation].Name)),
		Tokens: reservation(a), Prefix: a.prefix, Priority: a.priority, Deadline: f.clock.now.Add(requestTimeout),
	}
	if a.service() {
		r.Path, r.Safe = servicePrefix, true
		return r
	}
	r.Model = adapterName(a.adapter)
	return r
}

// hostFor returns the host for a request: the first that locate returns and that
// is alive. A caller that reaches a dead host tries the next one.
func (f *fleet) hostFor(a arrival) *fakeHost {
	q := locate.Query{Zone: f.deployment.Zones[a.zone]}
	if !a.service() {
		q.Model = adapterName(a.adapter)
	}
	for _, choice := range locate.Decide(locate.FromHostList(f.hostList), q) {
		for _, h := range f.hosts {
			if h.name == choice.Host && !h.dead {
				return h
			}
		}
	}
	panic("bench: no live host")
}

// adapterServable reports whether any engine holds the adapter.
func (f *fleet) adapterServable(ref record.AdapterRef) bool {
	return slices.ContainsFunc(f.engines, func(e *fakeEngine) bool { return e.canServe(ref) })
}

// finish ends a request, refunds its unused tokens and counts its result.
func (h *fakeHost) finish(d core.Finish) {
	c, ok := h.calls[d.ID]
	if !ok {
		return
	}
	delete(h.calls, d.ID)
	c.ended = true
	f := h.fleet
	if d.Err == nil {
		f.idealBuckets[c.arrival.organisation].refund(reservation(c.arrival) - c.arrival.tokens())
	}
	if c.arrival.at < warmUpTime {
		return
	}
	f.stats.recordEnd(c, d.Err, f.clock.now, f.isGreedy(c))
}

// isGreedy reports whether the request is of the organisation that requests more
// than its rate.
func (f *fleet) isGreedy(c *call) bool {
	return f.scenario.GreedyFactor > 0 && c.arrival.organisation == 0
}

// idealBucket is an exact token bucket of one organisation for the whole fleet. It
// decides whether a refused request was inside its organisation's rate.
type idealBucket struct {
	rate, burst, tokens float64
	refilledAt          time.Time
}

func newIdealBucket(rate float64, burst int64) *idealBucket {
	return &idealBucket{rate: rate, burst: float64(burst), tokens: float64(burst), refilledAt: epoch}
}

func (b *idealBucket) take(now time.Time, tokens int64) bool {
	b.tokens = min(b.burst, b.tokens+now.Sub(b.refilledAt).Seconds()*b.rate)
	b.refilledAt = now
	if float64(tokens) > b.tokens {
		return false
	}
	b.tokens -= float64(tokens)
	return true
}

func (b *idealBucket) refund(tokens int64) {
	b.tokens = min(b.burst, b.tokens+float64(tokens))
}

// refusalName returns the key under which a refusal is counted.
func refusalName(err *apierr.Error) string {
	return fmt.Sprintf("%s/%s", err.Kind, err.Ran)
}
