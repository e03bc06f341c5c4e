package fleet

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestHostsFindOneAnotherAndTheConfiguration(t *testing.T) {
	w := newWorld(1, 7, 3)
	require.NoError(t, w.run(10*time.Second))
	for _, h := range w.hosts {
		require.Len(t, h.node.Members(), 7, h.name)
		require.EqualValues(t, 1, h.node.Revision(), h.name)
		require.True(t, w.now.Before(h.node.FreshUntil()), h.name)
	}
	w.write("organisation", "b", `{}`)
	require.NoError(t, w.run(3*time.Second))
	for _, h := range w.hosts {
		require.EqualValues(t, 2, h.node.Revision(), h.name)
	}
}

func TestBlankHostIsGivenTheConfigurationWhileTheStoreIsDown(t *testing.T) {
	w := newWorld(2, 7, 3)
	for range 700 { // more than are kept as single changes
		w.write("organisation", "b", `{}`)
	}
	require.NoError(t, w.run(10*time.Second))
	w.storeDown = true
	require.NoError(t, w.run(time.Hour))
	h := w.hosts[3]
	w.startHost(h)
	require.NoError(t, w.run(30*time.Second))
	require.EqualValues(t, 701, h.node.Revision())
	for _, h := range w.hosts {
		require.True(t, w.now.Before(h.node.FreshUntil()), "%s goes on while the store is down", h.name)
	}
}

func TestCutOffHostKnowsThatItIsStale(t *testing.T) {
	w := newWorld(3, 7, 3)
	require.NoError(t, w.run(10*time.Second))
	h := w.hosts[2]
	h.isolated, h.noStore = true, true
	require.NoError(t, w.run(11*time.Second))
	require.False(t, w.now.Before(h.node.FreshUntil()))
	require.NoError(t, w.run(time.Minute))
	require.False(t, w.now.Before(h.node.FreshUntil()))
	require.True(t, w.now.Before(w.hosts[0].node.FreshUntil()))
	for _, m := range w.hosts[0].node.Members() {
		require.NotEqual(t, h.name, m.Name, "the cut-off host is left out")
	}
	h.isolated, h.noStore = false, false
	require.NoError(t, w.run(15*time.Second))
	require.True(t, w.now.Before(h.node.FreshUntil()))
	require.Len(t, w.hosts[0].node.Members(), 7)
	require.Len(t, h.node.Members(), 7)
}
