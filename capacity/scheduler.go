package capacity

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"time"

	"github.com/jasminelock/jasminelock/core"
	"github.com/jasminelock/jasminelock/record"
	"github.com/jasminelock/jasminelock/request"
	"github.com/jasminelock/jasminelock/sched"
)

// Life of a lease as the daemon's keeper grants it.
const leaseTTL = 10 * time.Second

// model is the base model of all engines here.
const model = "model-0"

// freeLoads is a budget of loads without bounds.
type freeLoads struct{}

func (freeLoads) TakeLoad(time.Time, string) sched.BudgetAnswer { return sched.BudgetTaken }
func (freeLoads) LoadEnded(time.Time, string)                   {}

// noLoads is a budget that gives none.
type noLoads struct{}

func (noLoads) TakeLoad(time.Time, string) sched.BudgetAnswer { return sched.BudgetRefused }
func (noLoads) LoadEnded(time.Time, string)                   {}

func engineName(i int) string { return fmt.Sprintf("engine-%04d", i) }

// engines returns a configuration of n engines over zones.
func engines(n, zoneCount int) *record.Config {
	var all []record.Envelope
	for i := range n {
		spec := fmt.Appendf(nil, `{"class":"engine","url":"http://10.1.%d.%d:8000","zone":%q,"model":%q,"adapter_slots":%d,"max_batch":32}`,
			i/250, i%250, zoneName(i%zoneCount), model, slotsPerReplica)
		all = append(all, record.Envelope{Schema: record.SchemaV2, Kind: record.KindUpstream, Name: engineName(i), Spec: spec})
	}
	config, problems := record.NewConfig().Apply(1, all)
	if len(problems) > 0 {
		panic(problems[0]) // the records here are valid
	}
	return config
}

// hostPolicy is a scheduler with a claim counter.
type hostPolicy struct {
	*sched.Policy
	name   string
	claims int
	// granted says which leases are granted, nil for all.
	granted func(resource string) bool
}

func newHostPolicy(name string, b sched.Budget) *hostPolicy {
	p := sched.New(sched.Options{Host: name, Zone: zoneName(0), Random: rand.New(rand.NewPCG(1, 1))})
	p.SetBudget(b)
	return &hostPolicy{Policy: p, name: name}
}

// claim grants the leases that are asked for, and returns the other decisions.
func (p *hostPolicy) claim(now time.Time, decisions []sched.Decision) []sched.Decision {
	var rest []sched.Decision
	for len(decisions) > 0 {
		d := decisions[0]
		decisions = decisions[1:]
		c, ok := d.(sched.ClaimLease)
		if !ok {
			rest = append(rest, d)
			continue
		}
		p.claims++
		result := sched.LeaseResult{Resource: c.Resource, SentAt: now, TTL: leaseTTL}
		if p.granted == nil || p.granted(c.Resource) {
			result.Granted, result.Fence, result.Holder = true, 1, p.name
		}
		decisions = append(decisions, p.LeaseUpdated(now, result)...)
	}
	return rest
}

// reportAll reports the adapters that each of n engines holds.
func (p *hostPolicy) reportAll(now time.Time, n, running int) {
	for i := range n {
		r := report(slotsPerReplica)
		r.Running = running
		for k := range r.Adapters {
			r.Adapters[k].Name = adapterName(i*slotsPerReplica + k).String()
			r.Adapters[k].Running = running
		}
		p.claim(now, p.LoadReported(now, engineName(i), r))
	}
}

func requestFor(id, adapter int, now time.Time) sched.Request {
	return sched.Request{
		ID: sched.RequestID(id), Organisation: organisationName(adapter), Model: model, Adapter: adapterName(adapter),
		Tokens: 400, Deadline: now.Add(time.Minute),
	}
}

// measureScheduler measures a scheduler that owns all its upstreams.
func measureScheduler(o Options) (Measurements, error) {
	var all Measurements
	for _, n := range within([]int{12, 120, replicas}, o.MaxReplicas) {
		config := engines(n, zones)
		now := newClock().now
		before := liveHeap()
		p := newHostPolicy(hostName(0), freeLoads{})
		p.claim(now, p.Configure(now, config))
		p.claim(now, p.Members(now, []string{hostName(0)}))
		p.claim(now, p.Tick(now))
		p.reportAll(now, n, 0)
		heapOfOne := (liveHeap() - before) / float64(n)
		routed := true
		r := requestFor(1, 3, now)
		perRequest := allocations(500, func() {
			r.ID++
			routed = routed && len(p.Enqueue(now, r)) > 0
			p.AttemptEnded(now, sched.AttemptEnd{ID: r.ID, Upstream: engineName(0), Outcome: request.Completed, FirstToken: time.Millisecond})
		})
		if !routed {
			return nil, fmt.Errorf("capacity: a request was not routed with %d upstreams", n)
		}
		all = append(all,
			Measurement{schedHeap, n, "replicas", heapOfOne, "B"},
			Measurement{schedAllocations, n, "replicas", perRequest, "allocations"})
		runtime.KeepAlive(p)
	}
	all = append(all, measureAskedFor()...)
	return append(all, measureClaims()), nil
}

// measureAskedFor measures what is kept of adapters that were asked for and
// served nowhere, at once and an hour after that.
func measureAskedFor() Measurements {
	const n = 3_000
	now := newClock().now
	p := newHostPolicy(hostName(0), noLoads{})
	p.claim(now, p.Configure(now, engines(12, zones)))
	before := liveHeap()
	for i := range n {
		p.Enqueue(now, requestFor(i+1, i, now))
		p.Cancel(now, sched.RequestID(i+1))
	}
	asked := (liveHeap() - before) / float64(n)
	const pause = 10 * time.Second
	for range secondsPerHour / int(pause.Seconds()) {
		now = now.Add(pause)
		p.claim(now, p.Tick(now))
	}
	forgotten := (liveHeap() - before) / float64(n)
	runtime.KeepAlive(p)
	return Measurements{{schedAdapterHeap, n, "adapters", asked, "B"}, {schedForgotten, n, "adapters", forgotten, "B"}}
}

// measureClaims counts the claims of leases that one host holds.
func measureClaims() Measurement {
	const lasts = 60 * time.Second
	c := newClock()
	p := newHostPolicy(hostName(0), freeLoads{})
	p.claim(c.now, p.Configure(c.now, engines(replicas, zones)))
	p.claim(c.now, p.Members(c.now, []string{hostName(0)}))
	c.every(0, core.TickInterval, func() { p.claim(c.now, p.Tick(c.now)) })
	c.run(settle)
	p.claims = 0
	c.run(lasts)
	return Measurement{schedClaims, leases, "leases", float64(p.claims) / leases / lasts.Seconds(), "/s"}
}
