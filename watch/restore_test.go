package watch

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/stretchr/testify/require"

	"github.com/jasminelock/jasminelock/catalog"
	"github.com/jasminelock/jasminelock/store"
)

// restorableFeed is a fakeFeed that can be restored from a copy.
type restorableFeed struct {
	*fakeFeed
	era int64
	// hideEra hides the era from the watcher, as a mutant that ignores eras.
	hideEra bool
}

// copyNow returns the number of changes so far, the argument of restore.
func (f *restorableFeed) copyNow() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.changes)
}

// lastVersion returns the version of the last change.
func (f *restorableFeed) lastVersion() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.changes[len(f.changes)-1].Version
}

// restore drops all changes after the first ones and raises the era.
func (f *restorableFeed) restore(copied int) {
	f.set(func() {
		f.changes, f.tables, f.version = f.changes[:copied:copied], f.tables[:copied:copied], 0
		if copied > 0 {
			f.version = f.changes[copied-1].Version
		}
		f.era++
	})
}

// stated returns the era that responses state.
func (f *restorableFeed) stated() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.hideEra {
		return 0
	}
	return f.era
}

func (f *restorableFeed) inEra(c store.Changes, era int64) store.Changes {
	c.Version = store.NewPosition(era, c.Version)
	rows := c.Rows
	c.Rows = nil
	for _, row := range rows {
		row.Version = store.NewPosition(era, row.Version)
		c.Rows = append(c.Rows, row)
	}
	return c
}

// Snapshot implements store.Feed.
func (f *restorableFeed) Snapshot(ctx context.Context, table string) (store.Changes, error) {
	era := f.stated()
	c, err := f.fakeFeed.Snapshot(ctx, table)
	return f.inEra(c, era), err
}

// Changes implements store.Feed.
func (f *restorableFeed) Changes(ctx context.Context, table string, after store.Position, wait time.Duration) (store.Changes, error) {
	era := f.stated()
	f.mu.Lock()
	has := store.VersionOf(after) <= f.version
	f.mu.Unlock()
	if era != store.EraOf(after) || !has {
		return store.Changes{}, store.ErrHistoryLost
	}
	c, err := f.fakeFeed.Changes(ctx, table, store.VersionOf(after), wait)
	if err == nil && f.stated() != era {
		return store.Changes{}, store.ErrHistoryLost
	}
	return f.inEra(c, era), err
}

// runRestorable calls f with a running Watcher and a feed that can be restored, in virtual time.
func runRestorable(t *testing.T, hideEra bool, f func(feed *restorableFeed, w *Watcher)) {
	synctest.Test(t, func(t *testing.T) {
		feed := &restorableFeed{fakeFeed: newFakeFeed(), hideEra: hideEra}
		w := New(Options{Log: hclog.NewNullLogger(), Feed: feed, Decoder: fakeDecoder{}, OnChange: func(*View) {}})
		ctx, cancel := context.WithCancel(t.Context())
		var group sync.WaitGroup
		group.Go(func() { w.Run(ctx) })
		f(feed, w)
		cancel()
		group.Wait()
	})
}

// settle is the time after which a watcher is expected to have read all changes.
const settle = 3 * time.Second

// changesAfterRestore reports whether an evacuation and the end of an upstream that follow a restore are in force. The
// store issues versions again beyond the watcher's position before the watcher reads it.
func changesAfterRestore(t *testing.T, hideEra bool) (inForce bool) {
	runRestorable(t, hideEra, func(feed *restorableFeed, w *Watcher) {
		feed.put("up", "a", testUpstream("a"), false)
		copied := feed.copyNow()
		feed.put("op", "v/x", 1, false)
		time.Sleep(settle)
		feed.set(func() { feed.down = true })
		time.Sleep(time.Second)
		feed.restore(copied)
		feed.put("op", "evacuate/z", 1, false)
		feed.put("up", "a", testUpstream("a"), true)
		feed.put("op", "v/y", 1, false)
		feed.set(func() { feed.down = false })
		time.Sleep(settle + expiredEntryGrace)
		v := w.View()
		inForce = v.Evacuated.Zones["z"] && v.Upstreams["a"] == nil
	})
	return inForce
}

// Guards against changes after a restore that are missed because their versions were issued again.
func TestRestore_ChangesInForce(t *testing.T) {
	require.True(t, changesAfterRestore(t, false))
}

// Checks that changesAfterRestore detects a watcher that ignores eras.
func TestRestore_IgnoredEraDetected(t *testing.T) {
	require.False(t, changesAfterRestore(t, true))
}

// Guards against a zone that gets requests again since the order of its evacuation was lost, against one that is evacuated
// again since the copy holds an order that was lifted, and against hosts that keep what they knew for ever.
func TestRestore_EvacuationsHeld(t *testing.T) {
	runRestorable(t, false, func(feed *restorableFeed, w *Watcher) {
		feed.put("op", "evacuate/lifted", 1, false)
		feed.put("op", "evacuate/rewritten", 1, false)
		time.Sleep(settle)
		copied := feed.copyNow()
		feed.put("op", "evacuate/lifted", 1, true)
		feed.put("op", "evacuate/lost", 1, false)
		feed.put("op", "evacuate/again", 1, false)
		feed.put("op", "evacuate/rewritten", 1, true)
		time.Sleep(settle)
		want := map[string]bool{"lost": true, "again": true}
		require.Equal(t, want, w.View().Evacuated.Zones)
		feed.restore(copied)
		time.Sleep(settle)
		require.Equal(t, want, w.View().Evacuated.Zones)
		require.True(t, w.View().Evacuated.Continuous)
		feed.put("op", "evacuate/again", 1, false)
		feed.put("op", "evacuate/rewritten", 2, false)
		time.Sleep(settle)
		want["rewritten"] = true
		require.Equal(t, want, w.View().Evacuated.Zones)
		feed.put("op", "evacuate/again", 1, true)
		time.Sleep(settle)
		delete(want, "again")
		require.Equal(t, want, w.View().Evacuated.Zones)
		time.Sleep(evacuationHold)
		require.Equal(t, map[string]bool{"lifted": true, "rewritten": true}, w.View().Evacuated.Zones, "what the store lists")
	})
}

// Guards against a configuration or an adapter version that reverts to that of the copy.
func TestRestore_ConfigKept(t *testing.T) {
	runRestorable(t, false, func(feed *restorableFeed, w *Watcher) {
		feed.put("op", "config", 1, false)
		feed.put("op", "v/x", 1, false)
		copied := feed.copyNow()
		feed.put("op", "config", 2, false)
		feed.put("op", "v/x", 2, false)
		time.Sleep(settle)
		feed.restore(copied)
		time.Sleep(settle)
		require.Equal(t, int64(2), w.View().Config.Version)
		require.Equal(t, int64(2), w.View().Versions[catalog.AdapterRef{Model: "m", Adapter: "x"}])
		feed.put("op", "config", 3, false)
		time.Sleep(settle)
		require.Equal(t, int64(3), w.View().Config.Version)
	})
}

// Guards against entries of the copy that name upstreams that have left or drain, against live upstreams that are dropped
// before they can register again, and against ones that stay ignored after they have written their entry again.
func TestRestore_OutdatedUpstreams(t *testing.T) {
	runRestorable(t, false, func(feed *restorableFeed, w *Watcher) {
		draining, later := testUpstream("drains"), testUpstream("restarted")
		draining.Draining, later.StartedAt = true, 2
		for _, id := range []string{"gone", "drains", "restarted"} {
			feed.put("up", id, testUpstream(id), false)
		}
		time.Sleep(settle)
		copied := feed.copyNow()
		feed.put("up", "gone", testUpstream("gone"), true)
		feed.put("up", "drains", draining, false)
		feed.put("up", "restarted", later, false)
		feed.put("up", "missing", testUpstream("missing"), false)
		feed.put("up", "back", testUpstream("back"), false)
		time.Sleep(settle)
		feed.restore(copied)
		time.Sleep(time.Second)
		up := w.View().Upstreams
		require.Nil(t, up["gone"])
		require.True(t, up["drains"].Draining)
		require.Equal(t, int64(2), up["restarted"].StartedAt)
		require.NotNil(t, up["missing"])
		feed.put("up", "back", testUpstream("back"), false)
		time.Sleep(settle)
		up = w.View().Upstreams
		require.NotNil(t, up["back"])
		require.Nil(t, up["missing"])
		require.Nil(t, up["restarted"], "the entry of its earlier start identifies no upstream")
		feed.put("up", "gone", testUpstream("gone"), false)
		feed.put("up", "drains", testUpstream("drains"), false)
		time.Sleep(settle)
		up = w.View().Upstreams
		require.NotNil(t, up["gone"])
		require.False(t, up["drains"].Draining)
	})
}

// Two drills follow each other, the second with a copy that is older than the first. Guards against an upstream that has
// left and comes back with the second one.
func TestRestore_Twice(t *testing.T) {
	runRestorable(t, false, func(feed *restorableFeed, w *Watcher) {
		feed.put("up", "gone", testUpstream("gone"), false)
		first := feed.copyNow()
		feed.put("op", "config", 1, false)
		second := feed.copyNow()
		time.Sleep(settle)
		feed.put("up", "gone", testUpstream("gone"), true)
		feed.put("op", "evacuate/z", 1, false)
		time.Sleep(settle)
		feed.restore(second)
		time.Sleep(time.Second)
		feed.restore(first)
		time.Sleep(settle)
		require.Nil(t, w.View().Upstreams["gone"])
		require.True(t, w.View().Evacuated.Zones["z"])
		require.Equal(t, int64(2), w.Era())
		require.Equal(t, int64(2), w.Drills())
		feed.put("op", "evacuate/y", 1, false)
		time.Sleep(settle)
		require.True(t, w.View().Evacuated.Zones["y"])
	})
}

// Guards against relayed lists of an older era that replace newer ones, and against newer ones that are ignored since
// their version is lower.
func TestRestore_RelayedLists(t *testing.T) {
	runRestorable(t, false, func(feed *restorableFeed, w *Watcher) {
		for n := range 20 {
			feed.put("op", "v/x", n+1, false)
		}
		feed.put("up", "a", testUpstream("a"), false)
		time.Sleep(settle)
		w.SetRelayed(true)
		time.Sleep(settle)
		b := testUpstream("b")
		newer := store.NewPosition(1, 3)
		w.ApplyRelayedUpstreams(RelayedUpstreams{StoreVersion: newer, Whole: true, Listed: []*catalog.Upstream{&b}})
		w.ApplyRelayedConfig(nil, nil, Evacuations{Zones: map[string]bool{"z": true}, StoreVersion: newer, Continuous: true})
		require.NotNil(t, w.View().Upstreams["b"])
		require.True(t, w.View().Evacuated.Zones["z"])
		w.ApplyRelayedUpstreams(RelayedUpstreams{StoreVersion: 1000, Whole: true})
		w.ApplyRelayedConfig(nil, nil, Evacuations{StoreVersion: 1000})
		require.NotNil(t, w.View().Upstreams["b"])
		require.True(t, w.View().Evacuated.Zones["z"])
		w.ApplyRelayedConfig(nil, nil, Evacuations{StoreVersion: store.NewPosition(2, 1)})
		require.True(t, w.View().Evacuated.Zones["z"], "the relaying host does not know the time before the restore")
		w.ApplyRelayedConfig(nil, nil, Evacuations{StoreVersion: store.NewPosition(2, 2), Continuous: true})
		require.False(t, w.View().Evacuated.Zones["z"])
	})
}

// Guards against a response of the old era that arrives after another host has told of the new one.
func TestRestore_LateResponse(t *testing.T) {
	runRestorable(t, false, func(feed *restorableFeed, w *Watcher) {
		feed.put("op", "config", 1, false)
		time.Sleep(settle)
		copied := feed.copyNow()
		w.ObserveEra(1)
		feed.put("op", "config", 2, false)
		time.Sleep(settle)
		require.Equal(t, int64(1), w.View().Config.Version)
		feed.restore(copied)
		feed.put("op", "config", 3, false)
		time.Sleep(settle)
		require.Equal(t, int64(3), w.View().Config.Version)
	})
}

// A host that has started after the restore hears what another one knows. Guards against an upstream that has left and gets
// requests again, and against one that stays ignored after it has written its entry again.
func TestRestore_LearnsDeparted(t *testing.T) {
	var departed []Incarnation
	runRestorable(t, false, func(feed *restorableFeed, w *Watcher) {
		feed.put("up", "left", testUpstream("left"), false)
		time.Sleep(settle)
		feed.put("up", "left", testUpstream("left"), true)
		drains := testUpstream("drains")
		drains.Draining = true
		feed.put("up", "drains", drains, false)
		time.Sleep(settle)
		departed = w.Departed()
		require.ElementsMatch(t, []Incarnation{{"left", 1}, {"drains", 1}}, departed)
	})
	runRestorable(t, false, func(feed *restorableFeed, w *Watcher) {
		feed.era = 1
		for _, id := range []string{"left", "drains", "stays"} {
			feed.put("up", id, testUpstream(id), false)
		}
		time.Sleep(settle)
		require.Len(t, w.View().Upstreams, 3)
		w.LearnTables(PriorTables{Departed: departed, EvacuatedZones: []string{"z"}})
		require.Len(t, w.View().Upstreams, 1)
		require.True(t, w.View().Evacuated.Zones["z"])
		require.True(t, w.View().Evacuated.Continuous)
		feed.set(func() { feed.version, feed.keptAfter = feed.version+5, feed.version+5 })
		time.Sleep(settle)
		require.Len(t, w.View().Upstreams, 1, "the whole table is read again")
		feed.put("up", "left", testUpstream("left"), false)
		time.Sleep(settle)
		require.NotNil(t, w.View().Upstreams["left"])
	})
}

// A host that has read the copy follows a leader that has learned of the end of an upstream. Guards against an upstream that
// comes back when the host reads the tables again, and against one that stays ignored after it has written its entry again.
func TestRestore_RelayedEndKept(t *testing.T) {
	runRestorable(t, false, func(feed *restorableFeed, w *Watcher) {
		feed.era = 1
		feed.put("up", "left", testUpstream("left"), false)
		feed.put("up", "stays", testUpstream("stays"), false)
		time.Sleep(settle)
		w.SetRelayed(true)
		w.ApplyRelayedUpstreams(RelayedUpstreams{StoreVersion: w.View().UpstreamsVersion, Gone: []string{"left"}})
		require.Nil(t, w.View().Upstreams["left"])
		w.SetRelayed(false)
		time.Sleep(settle)
		require.Nil(t, w.View().Upstreams["left"], "the whole table is read again")
		require.NotNil(t, w.View().Upstreams["stays"])
		require.Equal(t, 1, w.OutdatedUpstreams())
		feed.put("up", "left", testUpstream("left"), false)
		time.Sleep(settle)
		require.NotNil(t, w.View().Upstreams["left"])
		require.Zero(t, w.OutdatedUpstreams())
	})
}
