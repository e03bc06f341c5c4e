package assign

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jasminelock/jasminelock/catalog"
)

var hotAdapter = catalog.AdapterRef{Model: simModel, Adapter: "all"}

// newZonedHotSimulation returns a simulation of engines in a number of zones that all hold hotAdapter.
func newZonedHotSimulation(t *testing.T, engines, zones int) *simulation {
	w := newSimulation(t, 1, engines, 6)
	for i := range engines {
		id := fmt.Sprintf("e%d", i)
		w.engines[id].held["all"] = 1
		moved := *w.records[id]
		moved.Zone = fmt.Sprintf("z%d", i%zones)
		w.records[id] = &moved
	}
	w.startLeader()
	w.run(5 * time.Millisecond)
	return w
}

// evaluated returns the upstreams that are evaluated for a request for hotAdapter.
func (w *simulation) evaluated(zone string) []*upstream {
	e := &requestState{request: Request{Service: "s", Adapter: hotAdapter, Zone: zone}}
	return w.assigner.candidates(w.assigner.service("s"), e)
}

// Guards against a choice among fewer holders than before where the number of engines does not require it.
func TestCandidates_AllHoldersOfFewEngines(t *testing.T) {
	for _, engines := range []int{30, 60, 130, maxEvaluatedHolders} {
		w := newZonedHotSimulation(t, engines, 3)
		got := w.evaluated("z1")
		for _, u := range w.assigner.upstreams {
			require.Contains(t, got, u)
		}
		require.Len(t, got, engines+sampledCandidates)
	}
}

// Guards against a sample of the holders without engines of the request's zone: all of a small zone, and sampledHolders of a
// large one.
func TestCandidates_HoldersOfZone(t *testing.T) {
	for _, zones := range []int{1, 3, 17, 100} {
		w := newZonedHotSimulation(t, 1900, zones)
		for range 20 {
			inZone := 0
			for _, u := range w.evaluated("z0") {
				if u.record.Zone == "z0" {
					inZone++
				}
			}
			require.GreaterOrEqual(t, inZone, min(1900/zones, sampledHolders))
		}
		require.GreaterOrEqual(t, len(w.evaluated("elsewhere")), sampledHolders)
	}
}

// An idle engine of the request's zone is used although most holders are in others.
func TestCandidates_RequestStaysInZone(t *testing.T) {
	w := newZonedHotSimulation(t, 1900, 100)
	for n := range uint64(15) {
		id := w.submit(n+1, "all", func(r *Request) { r.Zone = "z7" })
		require.Equal(t, "z7", w.records[w.granted[id].Upstream].Zone)
	}
}

// Guards against requests that leave the engine whose cache holds their prefix, which a random sample rarely includes.
func TestCandidates_CachedPrefix(t *testing.T) {
	w := newZonedHotSimulation(t, 1900, 3)
	number := uint64(0)
	next := func(blocks ...PrefixBlock) string {
		number++
		id := w.submit(number, "all", func(r *Request) { r.Zone, r.PrefixBlocks = "z1", blocks })
		for range 10 { // the first byte comes after 80 ms, the end 300 ms later
			w.now = w.now.Add(39 * time.Millisecond)
			w.run(time.Millisecond)
		}
		return w.granted[id].Upstream
	}
	// The rest of the prompt is shorter than minMeasuredTokens: the simulated engine takes as long as without its cache, which
	// must not be learned.
	shared, own := PrefixBlock{ID: "shared", Tokens: 200}, PrefixBlock{ID: "own", Tokens: 1700}
	first := next(shared, own)
	for range 10 {
		next(shared, PrefixBlock{ID: fmt.Sprintf("other%d", number), Tokens: 1700})
		require.Equal(t, first, next(shared, own))
	}
	w.records = map[string]*catalog.Upstream{"e0": w.records["e0"], "e1": w.records["e1"], "e2": w.records["e2"]}
	delete(w.records, first)
	w.handle(UpstreamsUpdated{w.records})
	require.NotEqual(t, first, next(shared, own), "the engine is gone")
}

// Guards against entries of prefixes that grow with the number of requests.
func TestRecentPrefixes_Bounded(t *testing.T) {
	var p recentPrefixes
	u := &upstream{}
	block := func(i int) *Request {
		return &Request{Adapter: hotAdapter, PrefixBlocks: []PrefixBlock{{ID: fmt.Sprint(i)}}}
	}
	for i := range 4 * maxPrefixes {
		p.record(block(i), u)
	}
	require.LessOrEqual(t, len(p.current)+len(p.previous), 2*maxPrefixes)
	require.Equal(t, u, p.last(block(4*maxPrefixes-1)))
	require.Equal(t, u, p.last(block(3*maxPrefixes)))
	require.Nil(t, p.last(block(0)))
}

// checkWideAdapters checks the index of widely held adapters against the slots of the upstreams.
func (w *simulation) checkWideAdapters() {
	holders := map[serviceAdapter][]*slot{}
	for _, u := range w.assigner.upstreams {
		for _, s := range u.slots {
			key := serviceAdapter{u.service, s.ref}
			holders[key] = append(holders[key], s)
		}
	}
	for key, slots := range holders {
		wide, ok := w.assigner.adapterIndex.wide[key]
		require.Equal(w.t, len(slots) > maxEvaluatedHolders, ok)
		if !ok {
			continue
		}
		require.ElementsMatch(w.t, slots, wide.slots)
		listed := 0
		for zone, inZone := range wide.byZone {
			require.NotEmpty(w.t, inZone)
			for _, s := range inZone {
				require.Equal(w.t, zone, s.upstream.record.Zone)
				require.Contains(w.t, slots, s)
			}
			listed += len(inZone)
		}
		require.Len(w.t, slots, listed)
		require.True(w.t, wide.lastAdded == nil || slices.Contains(slots, wide.lastAdded))
	}
	for key := range w.assigner.adapterIndex.wide {
		require.Contains(w.t, holders, key)
	}
}

// Guards against an index of widely held adapters that differs from what the engines hold, as engines leave, return, change
// their zone, and load and evict the adapter.
func TestWideAdapters_MatchSlots(t *testing.T) {
	w := newZonedHotSimulation(t, maxEvaluatedHolders+20, 3)
	all := w.records
	require.NotEmpty(t, w.assigner.adapterIndex.wide)
	for step := range 60 {
		w.records = map[string]*catalog.Upstream{}
		for id, r := range all {
			if w.random.IntN(100) < 10*(step%3) {
				continue
			}
			moved := *r
			moved.Zone = fmt.Sprintf("z%d", w.random.IntN(3))
			w.records[id] = &moved
		}
		w.handle(UpstreamsUpdated{w.records})
		w.checkWideAdapters()
		for range 20 {
			u := w.assigner.upstreams[fmt.Sprintf("e%d", w.random.IntN(len(all)))]
			if u == nil {
				continue
			}
			if s, ok := u.slots["all"]; ok {
				u.removeSlot(w.now, s)
			} else {
				u.addSlot(w.now, hotAdapter, slotResident)
			}
		}
		w.checkWideAdapters()
	}
}
