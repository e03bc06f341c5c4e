package store_test

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jasminelock/jasminelock/store"
)

// Guards against hosts that stay missing from the list because the copy was made before they were announced, and against
// a host that has left and is listed for longer than the rest of its announcement in the copy.
func TestHostList_AfterRestore(t *testing.T) {
	const ttl, short = time.Hour, 300 * time.Millisecond
	p, c := startPlatform(t)
	require.NoError(t, c.Announce(t.Context(), store.Host{Name: "old"}, ttl))
	require.NoError(t, c.Announce(t.Context(), store.Host{Name: "left"}, short))
	copied := p.Copy()
	require.NoError(t, c.Announce(t.Context(), store.Host{Name: "new", Zone: "z"}, ttl))
	require.NoError(t, c.Withdraw(t.Context(), "left"))
	p.Restore(copied)
	names := func() []string {
		hosts, err := c.Hosts(t.Context())
		require.NoError(t, err)
		var all []string
		for _, h := range hosts {
			all = append(all, h.Name)
		}
		return all
	}
	require.NotContains(t, names(), "new")
	require.NoError(t, c.Announce(t.Context(), store.Host{Name: "new", Zone: "z"}, ttl))
	require.Contains(t, names(), "new")
	require.Eventually(t, func() bool { return !slices.Contains(names(), "left") }, timeout, short/10)
	require.Equal(t, []string{"new", "old"}, names())
}
