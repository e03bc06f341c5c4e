package assign

import (
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// claimedSlots counts the claims on adapter slots of all engines.
func (w *simulation) claimedSlots() int {
	n := 0
	for _, u := range w.assigner.upstreams {
		for _, s := range u.slots {
			n += s.claims
		}
	}
	return n
}

// Requests that are refused on arrival, because too many wait, claim no adapter slot any more. Such claims were never
// released: the slots counted as used for good, no other adapter could be loaded there, and a fleet served less after
// each overload.
func TestClaims_ReleasedOnRefusal(t *testing.T) {
	w := newSimulation(t, 1, 4, 3)
	w.run(50 * time.Millisecond)
	number := uint64(1)
	for range 6 {
		for i := range 60 {
			w.submit(number, "a"+strconv.Itoa(i%9))
			number++
		}
		w.run(100 * time.Millisecond)
	}
	require.NotEmpty(t, w.refused)
	w.run(8 * time.Second)
	require.Zero(t, w.assigner.InFlight())
	require.Zero(t, w.assigner.Waiting())
	require.Zero(t, w.claimedSlots())
}
