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

// leaseTTL is the lifetime of a lease, as in the daemon's lease keeper.
const leaseTTL = 10 * time.Second

// model is the base model of all simulated engines.
const model = "model-0"

// unlimitedBudget is a load budget that allows every load.
type unlimitedBudget struct{}

func (unlimitedBudget) TakeLoad(time.Time, string) sched.BudgetAnswer { return sched.BudgetTaken }
func (unlimitedBudget) LoadEnded(time.Time, string)                   {}

// refusingBudget is a load budget that refuses every load.
type refusingBudget struct{}

func (refusingBudget) TakeLoad(time.Time, string) sched.BudgetAnswer { return sched.BudgetRefused }
func (refusingBudget) LoadEnded(time.Time, string)                   {}

func engineName(i int) string { return fmt.Sprintf("engine-%04d", i) }

// engines returns a configuration of n engines that are spread over zoneCount
// zones.
func engines(n, zoneCount int) *record.Config {
	var all []record.Envelope
	for i := range n {
		spec := fmt.Appendf(nil, `{"class":"engine","url":"http://10.1.%d.%d:8000","zone":%q,"model":%q,"adapter_slots":%d,"max_batch":32}`,
			i/250, i%250, zoneName(i%zoneCount), model, slotsPerReplica)
		all = append(all, record.Envelope{Schema: record.SchemaV2, Kind: record.KindUpstream, Name: engineName(i), Spec: spec})
	}
	config, problems := record.NewConfig().Apply(1, all)
	if len(problems) > 0 {
		panic(problems[0]) // cannot happen: the records are valid
	}
	return config
}

// hostScheduler is the scheduler of one host. It counts the lease claims and
// answers them.
type hostScheduler struct {
	*sched.Policy
	name   string
	claims int
	// isGranted reports whether a lease is granted. nil grants all leases.
	isGranted func(resource string) bool
}

func newHostScheduler(name string, b sched.Budget) *hostScheduler {
	p := sched.New(sched.Options{Host: name, Zone: zoneName(0), Random: rand.New(rand.NewPCG(1, 1))})
	p.SetBudget(b)
	return &hostScheduler{Policy: p, name: name}
}

// grantLeases answers the lease claims among the decisions, and returns the other
// decisions, including those that follow from the answers.
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

// reportAll reports the load of n engines. Each holds slotsPerReplica adapters of
// its own, with the given number of running requests per engine and per adapter.
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

// measureScheduler measures the heap per upstream and the allocations per request
// of a scheduler that holds the leases of all upstreams, and the costs of idle
// adapters and of leases.
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

// measureRequestedAdapters measures the heap per adapter that was requested but is
// loaded on no engine, immediately after the request and an hour later.
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

// measureClaims measures the rate of lease claims per lease, for a host that holds
// all leases.
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
