package assign

import (
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// zonedWorld returns a world with engines in two availability zones, every other one in
// each.
func zonedWorld(t *testing.T, engines int) *world {
	w := newWorld(t, 1, engines, 3)
	for id, r := range w.records {
		n, err := strconv.Atoi(id[1:])
		require.NoError(t, err)
		moved := *r
		moved.Zone = zoneOf(n)
		w.records[id] = &moved
	}
	w.lead()
	w.run(50 * time.Millisecond)
	return w
}

func zoneOf(n int) string { return "z" + strconv.Itoa(n%2) }

func (w *world) evacuate(zones ...string) {
	held := map[string]bool{}
	for _, z := range zones {
		held[z] = true
	}
	w.handle(EvacuationsUpdated{held})
}

// Pattern: a zone is evacuated under load. Nothing new goes there, also what waits for
// an adapter on its way there; adapters whose copies are there are loaded elsewhere.
// When it is over, the engines are used again, with what they hold.
func TestAnEvacuatedZoneGetsNothingNew(t *testing.T) {
	w := zonedWorld(t, 6)
	number := uint64(0)
	ask := func(adapter string) RequestID {
		number++
		return w.ask(number, adapter)
	}
	for i := range 12 {
		ask("a" + strconv.Itoa(i%6))
		w.run(60 * time.Millisecond)
	}
	var waiting []RequestID
	for i := range 6 {
		waiting = append(waiting, ask("b"+strconv.Itoa(i)))
	}
	before := number
	w.evacuate("z1")
	for i := range 60 {
		ask("a" + strconv.Itoa(i%6))
		w.run(30 * time.Millisecond)
	}
	w.run(2 * time.Second)
	for n := before + 1; n <= number; n++ {
		g, ok := w.granted[RequestID{"h", n}]
		require.True(t, ok, "request %d", n)
		require.Equal(t, "z0", w.records[g.Upstream].Zone)
	}
	for _, id := range waiting {
		require.Equal(t, "z0", w.records[w.granted[id].Upstream].Zone)
	}
	w.evacuate()
	used := map[string]bool{}
	for i := range 40 {
		id := ask("a" + strconv.Itoa(i%6))
		w.run(30 * time.Millisecond)
		used[w.records[w.granted[id].Upstream].Zone] = true
	}
	require.True(t, used["z1"])
}

// Pattern: the last zone is evacuated, or an engine is listed in an evacuated one.
// Requests are refused at once, not held until their time is over.
func TestWhenAllZonesAreEvacuatedRequestsAreRefusedAtOnce(t *testing.T) {
	w := zonedWorld(t, 2)
	w.evacuate("z0", "z1")
	r, refused := w.refused[w.ask(1, "a")]
	require.True(t, refused)
	require.Equal(t, "no_upstream", r.Rule)
	require.Positive(t, r.RetryAfter)
	w.evacuate("z0")
	id := w.ask(2, "a")
	w.run(time.Second)
	require.Equal(t, "e1", w.granted[id].Upstream)
	again := *w.records["e0"]
	again.StartedAt++
	w.records["e0"] = &again
	w.handle(UpstreamsUpdated{w.records})
	w.run(time.Second)
	for n := range uint64(10) {
		id := w.ask(n+3, "a")
		w.run(100 * time.Millisecond)
		require.Equal(t, "e1", w.granted[id].Upstream)
	}
}
