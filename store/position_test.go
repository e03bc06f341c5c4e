package store_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/jasminelock/jasminelock/store"
)

// Guards against positions of a newer era that are below those of an older one, and against positions of era 0 that
// differ from versions.
func TestPosition_Order(t *testing.T) {
	const lastVersion = 1<<40 - 1
	require.Equal(t, store.Position(42), store.NewPosition(0, 42))
	require.Less(t, store.NewPosition(1, lastVersion), store.NewPosition(2, 0))
	require.Less(t, store.NewPosition(2, 4), store.NewPosition(2, 5))
	p := store.NewPosition(store.MaxEra, lastVersion)
	require.Positive(t, p)
	require.Equal(t, int64(store.MaxEra), store.EraOf(p))
	require.Equal(t, int64(lastVersion), store.VersionOf(p))
	require.Equal(t, int64(3)<<40+7, store.NewPosition(3, 7), "engines see this number as the fencing token")
}
