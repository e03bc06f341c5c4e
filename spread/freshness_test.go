package spread

import (
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/jasminelock/jasminelock/store"
)

// Guards against a short revision of a newer era that is not above those of older ones: a host that has missed a change
// would count the table service as down and stay fresh.
func TestShortRevision_Order(t *testing.T) {
	revisions := []store.Position{0, 1, 7, 1 << 20}
	for _, era := range []int64{1, 2, 900} {
		for _, version := range []int64{1, 7, 1 << 20} {
			revisions = append(revisions, store.NewPosition(era, version))
		}
	}
	require.True(t, slices.IsSorted(revisions))
	for i, r := range revisions[1:] {
		require.Greater(t, shortRevision(r), shortRevision(revisions[i]), "revision %d", r)
	}
	require.Equal(t, uint32(12), shortRevision(12), "as in builds that know no era")
	require.GreaterOrEqual(t, shortRevision(store.NewPosition(store.MaxEra, 1<<40-1)), shortRevision(revisions[len(revisions)-1]))
}
