package watch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jasminelock/jasminelock/catalog"
	"github.com/jasminelock/jasminelock/store"
)

// Guards against a response of an older era that is applied, against changes that are applied after a position of another
// era, and against a response of the present era that is discarded.
func TestCheckEra(t *testing.T) {
	runRestorable(t, false, func(_ *restorableFeed, w *Watcher) {
		w.ObserveEra(2)
		older, present := store.NewPosition(1, 9), store.NewPosition(2, 1)
		for _, c := range []struct {
			after, version store.Position
			whole          bool
			want           error
		}{
			{0, older, true, errOldEra},
			{older, older + 1, false, errOldEra},
			{present, older, false, errOldEra},
			{older, present, false, store.ErrHistoryLost},
			{older, present, true, nil},
			{present, present + 1, false, nil},
		} {
			r := &tableReader{watcher: w, after: c.after}
			require.Equal(t, c.want, r.checkEra(store.Changes{Version: c.version}, c.whole), "%+v", c)
		}
		require.Equal(t, int64(2), w.Era())
	})
}

// Another host relays tables of a newer era while this host's read, of the older one, is on its way. Guards against a read that
// replaces what was relayed: it passes checkEra, since a relayed list does not raise the era of the reads.
func TestRestore_ReadOlderThanRelayed(t *testing.T) {
	runRestorable(t, false, func(feed *restorableFeed, w *Watcher) {
		feed.put("op", "v/x", 1, false)
		feed.put("up", "a", testUpstream("a"), false)
		time.Sleep(settle)
		w.SetRelayed(true)
		time.Sleep(settle)
		relayed, b := store.NewPosition(1, 3), testUpstream("b")
		w.ApplyRelayedUpstreams(RelayedUpstreams{StoreVersion: relayed, Whole: true, Listed: []*catalog.Upstream{&b}})
		w.ApplyRelayedConfig(nil, nil, Evacuations{Zones: map[string]bool{"z": true}, StoreVersion: relayed, Continuous: true})
		for _, whole := range []bool{true, false} {
			w.applyUpstreams(store.Changes{Version: 1000, Rows: []store.Change{
				{Row: store.Row{Key: "a", Value: []byte(`{"ID":"a","StartedAt":1}`), Version: 1000}},
				{Row: store.Row{Key: "b", Version: 1000}, Deleted: true},
			}}, whole, 0)
			w.applyOperator(store.Changes{Version: 1000, Rows: []store.Change{
				{Row: store.Row{Key: "evacuate/y", Value: []byte("1"), Version: 1000}},
				{Row: store.Row{Key: "v/x", Value: []byte("7"), Version: 1000}},
			}}, whole, 0)
			v := w.View()
			require.Nil(t, v.Upstreams["a"])
			require.NotNil(t, v.Upstreams["b"])
			require.Equal(t, relayed, v.UpstreamsVersion)
			require.Equal(t, map[string]bool{"z": true}, v.Evacuated.Zones)
			require.Equal(t, relayed, v.Evacuated.StoreVersion)
			require.Equal(t, int64(1), v.Versions[catalog.AdapterRef{Model: "m", Adapter: "x"}], "the version waits for a read of the new era")
		}
	})
}

// Guards against a position of a newer era that is ignored since its version is lower, after which the host would read the
// operator's table from a position that the store has issued again, and against one of an older era that replaces it.
func TestRestore_KnownVersions(t *testing.T) {
	runRestorable(t, false, func(feed *restorableFeed, w *Watcher) {
		for n := range 20 {
			feed.put("op", "v/x", n+1, false)
		}
		time.Sleep(settle)
		w.SetRelayed(true)
		time.Sleep(settle)
		operator, _ := w.KnownVersions()
		require.Equal(t, store.Position(20), operator)
		newer := store.NewPosition(1, 3)
		for _, p := range []store.Position{newer, 1000} {
			w.SetKnownVersions(p, p)
			operator, upstreams := w.KnownVersions()
			require.Equal(t, newer, operator)
			require.Equal(t, p, upstreams, "that of the relayed list, which may be older")
		}
	})
}
