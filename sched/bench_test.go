package sched

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/jasminelock/jasminelock/record"
	"github.com/jasminelock/jasminelock/request"
	"github.com/jasminelock/jasminelock/upstream"
)

// fleetSize is a fleet size at which the cost of a decision is measured.
type fleetSize struct {
	replicas int
	adapters int
}

var fleetSizes = []fleetSize{{12, 3000}, {120, 3000}, {120, 110_000}, {1900, 3000}, {1900, 110_000}}

const benchSlots = 8

// newLargePolicy returns a Policy that owns all its upstreams. Each upstream holds benchSlots
// adapters.
func newLargePolicy(tb testing.TB, size fleetSize) *Policy {
	tb.Helper()
	var all []record.Envelope
	for i := range size.replicas {
		spec := fmt.Sprintf(
			`{"class":"engine","url":"http://10.0.0.1:1","zone":"z%d","model":"m","adapter_slots":%d,"max_batch":32}`,
			i%17, benchSlots)
		all = append(all, record.Envelope{
			Schema: record.SchemaV2, Kind: record.KindUpstream, Name: fmt.Sprintf("e%d", i), Spec: []byte(spec),
		})
	}
	c, problems := record.NewConfig().Apply(1, all)
	require.Empty(tb, problems)
	p := New(Options{Host: "h0", Zone: "z0", Random: rand.New(rand.NewPCG(1, 1))})
	p.SetBudget(unlimitedBudget{})
	p.Configure(simStart, c)
	for _, l := range p.sortedLeases {
		p.LeaseUpdated(simStart, LeaseResult{
			Resource: l.resource, Granted: true, Fence: 1, SentAt: simStart, TTL: leaseTTL, Holder: "h0",
		})
	}
	for i := range size.adapters {
		p.adapterGroup(benchAdapter(i), "m")
	}
	for i := range size.replicas {
		r := upstream.Report{Incarnation: "1"}
		for k := range benchSlots {
			r.Adapters = append(r.Adapters, upstream.AdapterState{Name: benchAdapter((i*benchSlots + k) % size.adapters).String()})
		}
		p.LoadReported(simStart, fmt.Sprintf("e%d", i), r)
	}
	return p
}

func benchAdapter(i int) record.AdapterRef {
	return record.AdapterRef{Name: fmt.Sprintf("adapter-%d", i), Version: "1"}
}

// route enqueues, dispatches and ends one request.
func route(p *Policy, now time.Time, r Request) []Decision {
	out := p.Enqueue(now, r)
	p.AttemptEnded(now, AttemptEnd{ID: r.ID, Outcome: request.Completed, FirstToken: time.Millisecond})
	return out
}

func benchRequest(size fleetSize, i int) Request {
	resident := min(size.replicas*benchSlots, size.adapters)
	return Request{
		ID: RequestID(i + 1), Organisation: "org", Model: "m", Adapter: benchAdapter(i % resident),
		Tokens: 100, Prefix: 7, Deadline: simStart.Add(time.Minute),
	}
}

func BenchmarkRoute(b *testing.B) {
	for _, size := range fleetSizes {
		b.Run(fmt.Sprintf("replicas=%d/adapters=%d", size.replicas, size.adapters), func(b *testing.B) {
			p := newLargePolicy(b, size)
			requests := make([]Request, 1024)
			for i := range requests {
				requests[i] = benchRequest(size, i)
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				route(p, simStart, requests[i%len(requests)])
			}
		})
	}
}

// maxRouteAllocations limits the allocations for one request, from Enqueue to AttemptEnded:
// the queued request, the decision, and the reason for its log line.
const maxRouteAllocations = 12

func TestRoute_AllocationsIndependentOfFleetSize(t *testing.T) {
	small, large := fleetSizes[0], fleetSizes[len(fleetSizes)-1]
	var allocations [2]float64
	for i, size := range []fleetSize{small, large} {
		p := newLargePolicy(t, size)
		r := benchRequest(size, 3)
		require.Len(t, route(p, simStart, r), 1)
		allocations[i] = testing.AllocsPerRun(200, func() { route(p, simStart, r) })
		assert.LessOrEqual(t, len(p.adapters[r.Adapter].slots), 1+size.replicas*benchSlots/size.adapters,
			"upstreams considered")
	}
	assert.LessOrEqual(t, allocations[0], float64(maxRouteAllocations))
	assert.InDelta(t, allocations[0], allocations[1], 1, "allocations must not grow with the fleet size")
}

// TestBestSlot_NoAllocations checks that the choice of a slot allocates no memory, at the
// largest fleet size.
func TestBestSlot_NoAllocations(t *testing.T) {
	size := fleetSizes[len(fleetSizes)-1]
	p := newLargePolicy(t, size)
	r := benchRequest(size, 5)
	g := p.adapters[r.Adapter]
	require.NotNil(t, g)
	assert.Zero(t, testing.AllocsPerRun(200, func() { p.bestSlot(simStart, g, &r) }))
}
