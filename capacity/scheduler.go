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

// unlimitedBudget is a budget of loads without bounds.
type unlimitedBudget struct{}

func (unlimitedBudget) TakeLoad(time.Time, string) sched.BudgetAnswer { return sched.BudgetTaken }
func (unlimitedBudget) LoadEnded(time.Time, string)                   {}

// refusingBudget is a budget that gives none.
type refusingBudget struct{}

func (refusingBudget) TakeLoad(time.Time, string) sched.BudgetAnswer { return sched.BudgetRefused }
func (refusingBudget) LoadEnded(time.Time, string)                   {}

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

// hostScheduler is a scheduler with a claim counter.
type hostScheduler struct {
	*sched.Policy
	name   string
	claims int
	// granted says which leases are granted, nil for all.
	isGranted func(resource string) bool
}

func newHostScheduler(name string, b sched.Budget) *hostScheduler {
	p := sched.New(sched.Options{Host: name, Zone: zoneName(0), Random: rand.New(rand.NewPCG(1, 1))})
	p.SetBudget(b)
	return &hostScheduler{Policy: p, name: name}
}

// claim grants the leases that are asked for, and returns the other decisions.
func (p *hostScheduler) grantLeases(now time.Time, decisions []sched.Decision) []sched.Decision {
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
		if p.isGranted == nil || p.isGranted(c.Resource) {
			result.Granted, result.Fence, result.Holder = true, 1, p.name
		}
		decisions = append(decisions, p.LeaseUpdated(now, result)...)
	}
	return rest
}

// reportAll reports the adapters that each of n engines holds.
func (p *hostScheduler) reportAll(now time.Time, n, running int) {
	for i := range n {
		r := newLoadReport(slotsPerReplica)
		r.Running = running
		for k := range r.Adapters {
			r.Adapters[k].Name = adapterName(i*slotsPerReplica + k).String()
			r.Adapters[k].Running = running
		}
		p.grantLeases(now, p.LoadReported(now, engineName(i), r))
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
	for _, n := range sizesUpTo([]int{12, 120, replicas}, o.MaxReplicas) {
		config := engines(n, zones)
		now := newClock().now
		before := liveHeap()
		p := newHostScheduler(hostName(0), unlimitedBudget{})
		p.grantLeases(now, p.Configure(now, config))
		p.grantLeases(now, p.Members(now, []string{hostName(0)}))
		p.grantLeases(now, p.Tick(now))
		p.reportAll(now, n, 0)
		heapPerReplica := (liveHeap() - before) / float64(n)
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
			Measurement{schedHeap, n, "replicas", heapPerReplica, "B"},
			Measurement{schedAllocations, n, "replicas", perRequest, "allocations"})
		runtime.KeepAlive(p)
	}
	all = append(all, measureRequestedAdapters()...)
	return append(all, measureClaims()), nil
}

// measureRequestedAdapters measures what is kept of adapters that were asked for and
// served nowhere, at once and an hour after that.
func measureRequestedAdapters() Measurements {
	const n = 3_000
	now := newClock().now
	p := newHostScheduler(hostName(0), refusingBudget{})
	p.grantLeases(now, p.Configure(now, engines(12, zones)))
	before := liveHeap()
	for i := range n {
		p.Enqueue(now, requestFor(i+1, i, now))
		p.Cancel(now, sched.RequestID(i+1))
	}
	requestedHeap := (liveHeap() - before) / float64(n)
	const pause = 10 * time.Second
	for range secondsPerHour / int(pause.Seconds()) {
		now = now.Add(pause)
		p.grantLeases(now, p.Tick(now))
	}
	idleHeap := (liveHeap() - before) / float64(n)
	runtime.KeepAlive(p)
	return Measurements{{schedRequestedHeap, n, "adapters", requestedHeap, "B"}, {schedIdleHeap, n, "adapters", idleHeap, "B"}}
}

// measureClaims counts the claims of leases that one host holds.
func measureClaims() Measurement {
	const lasts = 60 * time.Second
	c := newClock()
	p := newHostScheduler(hostName(0), unlimitedBudget{})
	p.grantLeases(c.now, p.Configure(c.now, engines(replicas, zones)))
	p.grantLeases(c.now, p.Members(c.now, []string{hostName(0)}))
	c.every(0, core.TickInterval, func() { p.grantLeases(c.now, p.Tick(c.now)) })
	c.run(settleTime)
	p.claims = 0
	c.run(lasts)
	return Measurement{schedClaims, leases, "leases", float64(p.claims) / leases / lasts.Seconds(), "/s"}
}
