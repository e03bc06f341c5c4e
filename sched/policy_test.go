package sched

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/jasminelock/jasminelock/apierr"
	"github.com/jasminelock/jasminelock/record"
	"github.com/jasminelock/jasminelock/upstream"
	"github.com/jasminelock/jasminelock/wire"
)

// unloadedAdapter is an adapter that no upstream of newLargePolicy holds.
var unloadedAdapter = record.AdapterRef{Name: "unloaded", Version: "1"}

func TestMakeRoom_DropsFromLargestQueue(t *testing.T) {
	p := newLargePolicy(t, fleetSizes[0])
	r := Request{Model: "m", Adapter: unloadedAdapter, Tokens: 1, Deadline: simStart.Add(time.Minute)}
	for i := range queueLimit {
		r.ID, r.Organisation = RequestID(i+1), "greedy"
		p.Enqueue(simStart, r)
	}
	drops := func(org string, id RequestID) []Drop {
		r.ID, r.Organisation = id, org
		var out []Drop
		for _, d := range p.Enqueue(simStart, r) {
			if drop, ok := d.(Drop); ok {
				out = append(out, drop)
			}
		}
		return out
	}
	other := drops("small", queueLimit+1)
	require.Len(t, other, 1)
	assert.EqualValues(t, queueLimit, other[0].ID,
		"the youngest request of the organisation with the most waiting requests is dropped")
	own := drops("greedy", queueLimit+2)
	require.Len(t, own, 1)
	assert.EqualValues(t, queueLimit+2, own[0].ID)
	assert.Equal(t, apierr.QueueFull, own[0].Err.Kind)
	assert.Positive(t, own[0].Err.RetryAfter)
}

func TestExplain_Notes(t *testing.T) {
	cases := map[string]struct {
		change func(*Policy, *upstreamView)
		at     time.Duration
		note   string
	}{
		"nothing":     {func(*Policy, *upstreamView) {}, 0, noteResident},
		"silent":      {func(*Policy, *upstreamView) {}, reportMaxAge + time.Second, "silent"},
		"unreachable": {func(p *Policy, v *upstreamView) { p.Unreachable(simStart, v.record.Name) }, 0, "unreachable"},
		"full":        {func(_ *Policy, v *upstreamView) { v.othersInFlight = v.record.MaxBatch }, 0, "full"},
		"no grant":    {func(_ *Policy, v *upstreamView) { v.lease.lose() }, 0, "no use grant"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			size := fleetSizes[0]
			p := newLargePolicy(t, size)
			r := benchRequest(size, 0)
			c.change(p, p.adapters[r.Adapter].slots[0].view)
			why := p.Explain(simStart.Add(c.at), r)
			require.NotEmpty(t, why.Alternatives)
			assert.Equal(t, c.note, why.Alternatives[0].Note)
			assert.Equal(t, c.note == noteResident, why.Rule == "expected_first_token")
		})
	}
}

func TestBestSlot_LeastExpectedFirstToken(t *testing.T) {
	p := newLargePolicy(t, fleetSize{replicas: 2, adapters: benchSlots})
	r := benchRequest(fleetSize{replicas: 2, adapters: benchSlots}, 0)
	a, b := p.upstreams["e0"], p.upstreams["e1"]
	a.othersInFlight = 20
	s := p.bestSlot(simStart, p.adapters[r.Adapter], &r)
	assert.Equal(t, b, s.view, "the less loaded upstream")
	a.othersInFlight = 0
	s = p.bestSlot(simStart, p.adapters[r.Adapter], &r)
	assert.Equal(t, a, s.view, "the upstream in the host's zone")
	p.CacheUpdated(simStart, "e1", []upstream.CacheEvent{{Sequence: 1, Prefix: r.Prefix, Stored: true}})
	s = p.bestSlot(simStart, p.adapters[r.Adapter], &r)
	assert.Equal(t, b, s.view, "the upstream that has cached the prompt's prefix")
}

func TestSweep_RemovesIdleGroups(t *testing.T) {
	size := fleetSizes[0]
	p := newLargePolicy(t, size)
	require.Len(t, p.adapters, size.adapters)
	p.Tick(simStart.Add(idleGroupTTL + time.Second))
	assert.Len(t, p.adapters, size.replicas*benchSlots, "groups with a slot on an engine are kept")
	assert.Len(t, p.names, len(p.adapters))
}

func TestRequestGrant_AbandonedNotOverdue(t *testing.T) {
	size := fleetSizes[0]
	p := newLargePolicy(t, size)
	s := p.adapters[benchAdapter(0)].slots[0]
	s.view.lease.lose()
	s.view.lease.owner = "h1"
	p.requestGrant(simStart, s)
	later := simStart.Add(time.Hour)
	p.requestGrant(later, s)
	assert.False(t, s.grant.overdue(later))
}

func TestOwnerUnresponsive_NoFurtherLoads(t *testing.T) {
	p := newLargePolicy(t, fleetSizes[0])
	first := p.adapters[benchAdapter(0)]
	v := first.slots[0].view
	v.lease.lose()
	v.lease.owner = "h1"
	other := p.groupNamed("elsewhere@1", first.model)
	require.True(t, p.loadable(simStart, other, v))
	p.requestLoad(simStart, first, v, "acme")
	require.True(t, p.loadable(simStart, other, v), "the owner still has time to answer")
	require.False(t, p.loadable(simStart.Add(ownerAnswerTimeout), other, v))
	p.followRemoteLoads(simStart.Add(2 * loadRequestTimeout))
	require.Nil(t, first.remote)
	require.False(t, p.loadable(simStart.Add(2*loadRequestTimeout), other, v), "the load request is abandoned")
	p.Receive(simStart.Add(2*loadRequestTimeout), "h1", &wire.OwnerAck{})
	require.True(t, p.loadable(simStart.Add(2*loadRequestTimeout), other, v), "a message from the owner has arrived")
}
