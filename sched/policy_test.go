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

// unloaded is an adapter that no upstream of largePolicy holds.
var unloaded = record.AdapterRef{Name: "unloaded", Version: "1"}

func TestQueueFullShedsTheLargestQueue(t *testing.T) {
	p := largePolicy(t, fleetSizes[0])
	r := Request{Model: "m", Adapter: unloaded, Tokens: 1, Deadline: worldStart.Add(time.Minute)}
	for i := range queueLimit {
		r.ID, r.Organisation = RequestID(i+1), "greedy"
		p.Enqueue(worldStart, r)
	}
	drops := func(org string, id RequestID) []Drop {
		r.ID, r.Organisation = id, org
		var out []Drop
		for _, d := range p.Enqueue(worldStart, r) {
			if drop, ok := d.(Drop); ok {
				out = append(out, drop)
			}
		}
		return out
	}
	other := drops("small", queueLimit+1)
	require.Len(t, other, 1)
	assert.EqualValues(t, queueLimit, other[0].ID, "the youngest of the largest queue goes")
	own := drops("greedy", queueLimit+2)
	require.Len(t, own, 1)
	assert.EqualValues(t, queueLimit+2, own[0].ID)
	assert.Equal(t, apierr.QueueFull, own[0].Err.Kind)
	assert.Positive(t, own[0].Err.RetryAfter)
}

func TestExplainNamesWhatStandsAgainst(t *testing.T) {
	cases := map[string]struct {
		change func(*Policy, *upstreamView)
		at     time.Duration
		note   string
	}{
		"nothing":     {func(*Policy, *upstreamView) {}, 0, noteResident},
		"silent":      {func(*Policy, *upstreamView) {}, reportMaxAge + time.Second, "silent"},
		"unreachable": {func(p *Policy, v *upstreamView) { p.Unreachable(worldStart, v.record.Name) }, 0, "unreachable"},
		"full":        {func(_ *Policy, v *upstreamView) { v.others = v.record.MaxBatch }, 0, "full"},
		"no grant":    {func(_ *Policy, v *upstreamView) { v.lease.lose() }, 0, "no use grant"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			size := fleetSizes[0]
			p := largePolicy(t, size)
			r := costRequest(size, 0)
			c.change(p, p.adapters[r.Adapter].slots[0].view)
			why := p.Explain(worldStart.Add(c.at), r)
			require.NotEmpty(t, why.Alternatives)
			assert.Equal(t, c.note, why.Alternatives[0].Note)
			assert.Equal(t, c.note == noteResident, why.Rule == "expected_first_token")
		})
	}
}

func TestRoutePrefersTheLeastExpectedTime(t *testing.T) {
	p := largePolicy(t, fleetSize{replicas: 2, adapters: costSlots})
	r := costRequest(fleetSize{replicas: 2, adapters: costSlots}, 0)
	a, b := p.upstreams["e0"], p.upstreams["e1"]
	a.others = 20
	s := p.best(worldStart, p.adapters[r.Adapter], &r)
	assert.Equal(t, b, s.view, "the less loaded one")
	a.others = 0
	s = p.best(worldStart, p.adapters[r.Adapter], &r)
	assert.Equal(t, a, s.view, "the one in the host's zone")
	p.CacheUpdated(worldStart, "e1", []upstream.CacheEvent{{Sequence: 1, Prefix: r.Prefix, Stored: true}})
	s = p.best(worldStart, p.adapters[r.Adapter], &r)
	assert.Equal(t, b, s.view, "the one that has the prompt's start in its cache")
}

func TestIdleAdaptersAreForgotten(t *testing.T) {
	size := fleetSizes[0]
	p := largePolicy(t, size)
	require.Len(t, p.adapters, size.adapters)
	p.Tick(worldStart.Add(idleForgotten + time.Second))
	assert.Len(t, p.adapters, size.replicas*costSlots, "those that engines hold stay")
	assert.Len(t, p.names, len(p.adapters))
}

func TestAskThatNobodyRepeatedIsOver(t *testing.T) {
	size := fleetSizes[0]
	p := largePolicy(t, size)
	s := p.adapters[costAdapter(0)].slots[0]
	s.view.lease.lose()
	s.view.lease.owner = "h1"
	p.askUse(worldStart, s)
	later := worldStart.Add(time.Hour)
	p.askUse(later, s)
	assert.False(t, s.use.overdue(later))
}

func TestSilentOwnerIsAskedForNoFurtherLoads(t *testing.T) {
	p := largePolicy(t, fleetSizes[0])
	first := p.adapters[costAdapter(0)]
	v := first.slots[0].view
	v.lease.lose()
	v.lease.owner = "h1"
	other := p.groupNamed("elsewhere@1", first.model)
	require.True(t, p.loadable(worldStart, other, v))
	p.askLoad(worldStart, first, v, "acme")
	require.True(t, p.loadable(worldStart, other, v), "an answer may still come")
	require.False(t, p.loadable(worldStart.Add(answerBound), other, v))
	p.followRemotes(worldStart.Add(2 * loadAskAge))
	require.Nil(t, first.remote)
	require.False(t, p.loadable(worldStart.Add(2*loadAskAge), other, v), "given up")
	p.Receive(worldStart.Add(2*loadAskAge), "h1", &wire.OwnerAck{})
	require.True(t, p.loadable(worldStart.Add(2*loadAskAge), other, v), "heard of again")
}
