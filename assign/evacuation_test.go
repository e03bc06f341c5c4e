package assign

import (
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// newZonedSimulation returns a simulation whose engines alternate between two availability zones.
func newZonedSimulation(t *testing.T, engines int) *simulation {
	w := newSimulation(t, 1, engines, 3)
	for id, r := range w.records {
		n, err := strconv.Atoi(id[1:])
		require.NoError(t, err)
		moved := *r
		moved.Zone = zoneOf(n)
		w.records[id] = &moved
	}
	w.startLeader()
	w.run(50 * time.Millisecond)
	return w
}

func zoneOf(n int) string { return "z" + strconv.Itoa(n%2) }

func (w *simulation) evacuate(zones ...string) {
	evacuated := map[string]bool{}
	for _, z := range zones {
		evacuated[z] = true
	}
	w.handle(EvacuationsUpdated{evacuated})
}

// A zone is evacuated under load. It receives no new requests, not even those that wait for an adapter being
// loaded there, and adapters with copies only there are loaded elsewhere. After the evacuation its engines are
// used again.
func TestEvacuation_NoNewRequests(t *testing.T) {
	w := newZonedSimulation(t, 6)
	number := uint64(0)
	submitNext := func(adapter string) RequestID {
		number++
		return w.submit(number, adapter)
	}
	for i := range 12 {
		submitNext("a" + strconv.Itoa(i%6))
		w.run(60 * time.Millisecond)
	}
	var waiting []RequestID
	for i := range 6 {
		waiting = append(waiting, submitNext("b"+strconv.Itoa(i)))
	}
	before := number
	w.evacuate("z1")
	for i := range 60 {
		submitNext("a" + strconv.Itoa(i%6))
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
		id := submitNext("a" + strconv.Itoa(i%6))
		w.run(30 * time.Millisecond)
		used[w.records[w.granted[id].Upstream].Zone] = true
	}
	require.True(t, used["z1"])
}

// All zones are evacuated, or an engine restarts in an evacuated zone. Requests without a usable upstream are
// refused immediately instead of waiting until their deadline.
func TestEvacuation_AllZonesRefusesImmediately(t *testing.T) {
	w := newZonedSimulation(t, 2)
	w.evacuate("z0", "z1")
	r, refused := w.refused[w.submit(1, "a")]
	require.True(t, refused)
	require.Equal(t, "no_upstream", r.Rule)
	require.Positive(t, r.RetryAfter)
	w.evacuate("z0")
	id := w.submit(2, "a")
	w.run(time.Second)
	require.Equal(t, "e1", w.granted[id].Upstream)
	again := *w.records["e0"]
	again.StartedAt++
	w.records["e0"] = &again
	w.handle(UpstreamsUpdated{w.records})
	w.run(time.Second)
	for n := range uint64(10) {
		id := w.submit(n+3, "a")
		w.run(100 * time.Millisecond)
		require.Equal(t, "e1", w.granted[id].Upstream)
	}
}
