package assign

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jasminelock/jasminelock/catalog"
)

// copiesOf returns the number of engines that hold or load an adapter.
func (w *simulation) copiesOf(adapter string) int {
	return len(w.assigner.adapterIndex.slots[catalog.AdapterRef{Model: simModel, Adapter: adapter}])
}

// submitEvery submits requests for an adapter at fixed intervals.
func (w *simulation) submitEvery(number *uint64, adapter string, interval, d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); {
		*number++
		w.submit(*number, adapter)
		w.run(interval)
	}
}

// An adapter becomes hot within a second. Another copy must be there before its only engine has a queue, and not before
// the adapter is hot; in services that are not ranked nothing changes.
func TestCopies_HotAdapter(t *testing.T) {
	for _, scheduling := range []Scheduling{ByUrgency, ByArrival} {
		w := newSimulation(t, 1, 3, 3)
		w.assigner.options.Scheduling, w.assigner.options.LearnPace = scheduling, scheduling == ByUrgency
		w.run(50 * time.Millisecond)
		number := uint64(0)
		w.submitEvery(&number, "a", time.Second, 3*time.Second)
		require.Equal(t, 1, w.copiesOf("a"))
		w.waits = nil
		w.submitEvery(&number, "a", 120*time.Millisecond, 1500*time.Millisecond)
		require.Equal(t, scheduling == ByUrgency, w.copiesOf("a") > 1)
		for _, wait := range w.waits {
			require.Less(t, wait, 20*time.Millisecond)
		}
	}
}

// A hot adapter takes the slots of idle ones, and an adapter with little demand takes none.
func TestCopies_ReclaimIdleSlots(t *testing.T) {
	w := newSimulation(t, 1, 2, 2)
	w.assigner.options.Scheduling, w.assigner.options.LearnPace = ByUrgency, true
	w.run(50 * time.Millisecond)
	number := uint64(0)
	for _, adapter := range []string{"idle1", "idle2", "idle3", "a"} {
		w.submitEvery(&number, adapter, time.Second, time.Second)
	}
	require.Equal(t, 1, w.copiesOf("a"))
	w.submitEvery(&number, "a", 120*time.Millisecond, 2*time.Second)
	require.Equal(t, 2, w.copiesOf("a"))
	w.submitEvery(&number, "idle1", 500*time.Millisecond, time.Second)
	w.submitEvery(&number, "idle2", 500*time.Millisecond, time.Second)
	require.Empty(t, w.refused)
}
