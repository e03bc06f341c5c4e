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

func testUpstream(id string) catalog.Upstream {
	return catalog.Upstream{ID: id, StartedAt: 1, Service: "s"}
}

// runWatcher calls f with a running Watcher and its feed, in virtual time.
func runWatcher(t *testing.T, f func(feed *fakeFeed, w *Watcher)) {
	synctest.Test(t, func(t *testing.T) {
		feed := newFakeFeed()
		w := New(Options{Log: hclog.NewNullLogger(), Feed: feed, Decoder: fakeDecoder{}, OnChange: func(*View) {}})
		ctx, cancel := context.WithCancel(t.Context())
		var group sync.WaitGroup
		group.Go(func() { w.Run(ctx) })
		f(feed, w)
		cancel()
		group.Wait()
	})
}

func TestWatcher_AppliesChanges(t *testing.T) {
	runWatcher(t, func(feed *fakeFeed, w *Watcher) {
		feed.put("op", "config", 1, false)
		feed.put("up", "a", testUpstream("a"), false)
		time.Sleep(time.Second)
		require.Equal(t, int64(1), w.View().Config.Version)
		require.Contains(t, w.View().Upstreams, "a")
		feed.put("op", "config", 3, false)
		feed.put("op", "v/x", 2, false)
		feed.put("up", "a", testUpstream("a"), true)
		time.Sleep(upstreamReadInterval + time.Millisecond)
		require.Equal(t, int64(3), w.View().Config.Version)
		require.Equal(t, int64(2), w.View().Versions[catalog.AdapterRef{Model: "m", Adapter: "x"}])
		require.Empty(t, w.View().Upstreams)
		require.Less(t, w.StoreAge(), 2*time.Second)
	})
}

func TestWatcher_IgnoresOlderConfig(t *testing.T) {
	runWatcher(t, func(feed *fakeFeed, w *Watcher) {
		feed.put("op", "config", 5, false)
		time.Sleep(time.Second)
		feed.put("op", "config", 4, false)
		feed.put("op", "v/x", 7, false)
		time.Sleep(time.Second)
		feed.put("op", "v/x", 6, false)
		time.Sleep(time.Second)
		require.Equal(t, int64(5), w.View().Config.Version)
		require.Equal(t, int64(7), w.View().Versions[catalog.AdapterRef{Model: "m", Adapter: "x"}])
	})
}

func TestWatcher_IgnoresUndecodableRows(t *testing.T) {
	runWatcher(t, func(feed *fakeFeed, w *Watcher) {
		feed.put("op", "config", 5, false)
		feed.put("up", "a", testUpstream("a"), false)
		feed.put("up", "b", testUpstream("b"), false)
		time.Sleep(time.Second)
		feed.put("op", "config", "nonsense", false)
		feed.put("up", "b", 17, false)
		time.Sleep(time.Second)
		require.Equal(t, int64(5), w.View().Config.Version)
		require.Contains(t, w.View().Upstreams, "a")
		require.NotContains(t, w.View().Upstreams, "b")
	})
}

func TestWatcher_ReadsWholeTableAfterLostHistory(t *testing.T) {
	runWatcher(t, func(feed *fakeFeed, w *Watcher) {
		feed.put("up", "a", testUpstream("a"), false)
		feed.put("up", "b", testUpstream("b"), false)
		time.Sleep(time.Second)
		feed.put("up", "b", testUpstream("b"), true)
		feed.set(func() { feed.keptAfter = feed.version })
		time.Sleep(2 * time.Second)
		require.Len(t, w.View().Upstreams, 1)
	})
}

// Guards against dropping live upstreams after an outage of the store in which their entries
// expired. Live upstreams register again within 2 s of its return; the others are dropped then.
func TestWatcher_KeepsExpiredEntriesAfterOutage(t *testing.T) {
	runWatcher(t, func(feed *fakeFeed, w *Watcher) {
		for _, id := range []string{"lives", "gone"} {
			feed.put("up", id, testUpstream(id), false)
		}
		time.Sleep(time.Second)
		feed.set(func() { feed.down = true })
		time.Sleep(5 * time.Second)
		require.Len(t, w.View().Upstreams, 2, "no upstream is dropped during the outage")
		feed.put("up", "lives", testUpstream("lives"), true)
		feed.put("up", "gone", testUpstream("gone"), true)
		feed.set(func() { feed.down = false })
		time.Sleep(time.Second)
		require.Len(t, w.View().Upstreams, 2, "both are kept for expiredEntryGrace")
		feed.put("up", "lives", testUpstream("lives"), false)
		time.Sleep(expiredEntryGrace)
		require.Contains(t, w.View().Upstreams, "lives")
		require.NotContains(t, w.View().Upstreams, "gone")
	})
}

func TestWatcher_DropsRemovedUpstreamAtOnce(t *testing.T) {
	runWatcher(t, func(feed *fakeFeed, w *Watcher) {
		feed.put("up", "a", testUpstream("a"), false)
		time.Sleep(time.Second)
		feed.put("up", "a", testUpstream("a"), true)
		time.Sleep(upstreamReadInterval + time.Millisecond)
		require.Empty(t, w.View().Upstreams)
	})
}

// futureVersion is a version of the store newer than any that the tests read.
const futureVersion = 1000

// Guards against using an upstream again after it has left: a leader that is disconnected from
// the store may still relay it to a host that has already read of its removal.
func TestWatcher_IgnoresOlderRelayedList(t *testing.T) {
	runWatcher(t, func(feed *fakeFeed, w *Watcher) {
		leaves, stays := testUpstream("a"), testUpstream("b")
		feed.put("up", "a", leaves, false)
		feed.put("up", "b", stays, false)
		time.Sleep(time.Second)
		known := w.View().UpstreamsVersion
		feed.put("up", "a", leaves, true)
		time.Sleep(upstreamReadInterval + 10*time.Millisecond)
		require.NotContains(t, w.View().Upstreams, "a")
		w.ApplyRelayedUpstreams(RelayedUpstreams{StoreVersion: known, Whole: true, Listed: []*catalog.Upstream{&leaves, &stays}})
		require.NotContains(t, w.View().Upstreams, "a")
		w.ApplyRelayedUpstreams(RelayedUpstreams{StoreVersion: known, Listed: []*catalog.Upstream{&leaves}})
		require.NotContains(t, w.View().Upstreams, "a")
		w.ApplyRelayedUpstreams(RelayedUpstreams{StoreVersion: futureVersion, Whole: true, Listed: []*catalog.Upstream{&leaves, &stays}})
		require.Contains(t, w.View().Upstreams, "a")
	})
}

// Guards against load on the store from every host of a large fleet (seventy hosts) following
// the tables. A host to which changes are relayed reads nothing, and reads the upstreams whole
// when relaying ends.
func TestWatcher_ReadsNothingWhileRelayed(t *testing.T) {
	runWatcher(t, func(feed *fakeFeed, w *Watcher) {
		feed.put("op", "config", 1, false)
		feed.put("up", "a", testUpstream("a"), false)
		time.Sleep(time.Second)
		w.SetRelayed(true)
		time.Sleep(2 * time.Second)
		before := feed.readCount()
		packed, err := PackConfig(store.Row{Key: "config", Value: []byte("2")})
		require.NoError(t, err)
		w.ApplyRelayedConfig(packed, catalog.Versions{{Model: "m", Adapter: "x"}: 4}, Evacuations{})
		b := testUpstream("b")
		w.ApplyRelayedUpstreams(RelayedUpstreams{StoreVersion: futureVersion, Listed: []*catalog.Upstream{&b}, Gone: []string{"a"}})
		time.Sleep(time.Minute)
		require.Equal(t, before, feed.readCount())
		require.Equal(t, int64(2), w.View().Config.Version)
		require.Equal(t, int64(4), w.View().Versions[catalog.AdapterRef{Model: "m", Adapter: "x"}])
		require.Len(t, w.View().Upstreams, 1)
		require.Contains(t, w.View().Upstreams, "b")
		w.ApplyRelayedUpstreams(RelayedUpstreams{StoreVersion: futureVersion, Whole: true})
		require.Empty(t, w.View().Upstreams)
		w.SetRelayed(false)
		time.Sleep(time.Second)
		require.Contains(t, w.View().Upstreams, "a")
	})
}

// Guards against an availability zone that is used though it is evacuated, or not used though
// its evacuation is over, where the host reads the table itself and where zones are relayed.
func TestWatcher_EvacuatedZones(t *testing.T) {
	runWatcher(t, func(feed *fakeFeed, w *Watcher) {
		evacuated := func() map[string]bool { return w.View().Evacuated.Zones }
		feed.put("op", "config", 1, false)
		time.Sleep(time.Second)
		feed.put("op", "evacuate/z1", 0, false)
		feed.put("op", "evacuate/z2", 0, false)
		time.Sleep(10 * time.Millisecond)
		require.Equal(t, map[string]bool{"z1": true, "z2": true}, evacuated())
		feed.put("op", "evacuate/z1", 0, true)
		time.Sleep(10 * time.Millisecond)
		require.Equal(t, map[string]bool{"z2": true}, evacuated())
		before := w.View().Checksum

		w.ApplyRelayedConfig(nil, nil, Evacuations{StoreVersion: 1})
		require.Equal(t, map[string]bool{"z2": true}, evacuated(), "the relayed zones are older")
		w.ApplyRelayedConfig(nil, nil, Evacuations{Zones: map[string]bool{"z1": true}, StoreVersion: 1000})
		require.Equal(t, map[string]bool{"z1": true}, evacuated())
		require.NotEqual(t, before, w.View().Checksum)
	})
}

// Guards against an evacuation that never ends because its end falls into changes that the store
// no longer keeps.
func TestWatcher_EvacuationEndsInLostHistory(t *testing.T) {
	runWatcher(t, func(feed *fakeFeed, w *Watcher) {
		feed.put("op", "config", 1, false)
		feed.put("op", "evacuate/z1", 0, false)
		time.Sleep(time.Second)
		require.True(t, w.View().Evacuated.Zones["z1"])
		feed.set(func() { feed.down = true })
		time.Sleep(2 * time.Second)
		feed.put("op", "evacuate/z1", 0, true)
		feed.set(func() { feed.down, feed.keptAfter = false, feed.version })
		time.Sleep(2 * time.Second)
		require.Empty(t, w.View().Evacuated.Zones)
	})
}

// Guards against reading whole tables again after the relaying host is lost: changes that it is
// known to have relayed are not read again.
func TestWatcher_ContinuesFromKnownVersions(t *testing.T) {
	runWatcher(t, func(feed *fakeFeed, w *Watcher) {
		feed.put("op", "config", 1, false)
		feed.put("up", "a", testUpstream("a"), false)
		time.Sleep(time.Second)
		w.SetRelayed(true)
		time.Sleep(2 * time.Second)
		feed.put("up", "b", testUpstream("b"), false)
		feed.put("up", "a", testUpstream("a"), true)
		b := testUpstream("b")
		w.ApplyRelayedUpstreams(RelayedUpstreams{StoreVersion: futureVersion, Listed: []*catalog.Upstream{&b}, Gone: []string{"a"}})
		w.SetKnownVersions(4, 4)
		snapshots := feed.snapshotCount()
		feed.put("up", "c", testUpstream("c"), false)
		w.SetRelayed(false)
		time.Sleep(time.Second)
		require.Equal(t, snapshots, feed.snapshotCount())
		require.Len(t, w.View().Upstreams, 2)
		require.Contains(t, w.View().Upstreams, "b")
		require.Contains(t, w.View().Upstreams, "c")
	})
}

// Guards against outdated relayed upstreams that stay in force on a host that reads the store
// itself: the host reads the whole table again.
func TestWatcher_RereadsAfterOutdatedRelay(t *testing.T) {
	runWatcher(t, func(feed *fakeFeed, w *Watcher) {
		feed.put("op", "config", 1, false)
		feed.put("up", "a", testUpstream("a"), true)
		time.Sleep(time.Second)
		a := testUpstream("a")
		w.ApplyRelayedUpstreams(RelayedUpstreams{StoreVersion: futureVersion, Whole: true, Listed: []*catalog.Upstream{&a}})
		time.Sleep(longPollTimeout + upstreamReadInterval)
		require.Empty(t, w.View().Upstreams)
	})
}

// Guards against hosts that take equal views for different ones, or different views for equal
// ones: the checksum covers all that is relayed and leaves out the rest, such as adapters held.
func TestChecksum(t *testing.T) {
	view := func(change func(u *catalog.Upstream)) *View {
		u := testUpstream("a")
		u.Loaded = []catalog.LoadedModel{{Model: "m", Adapters: []catalog.LoadedAdapter{{Name: "x"}}}}
		change(&u)
		return &View{Versions: catalog.Versions{{Model: "m", Adapter: "x"}: 1}, Upstreams: map[string]*catalog.Upstream{"a": &u}}
	}
	original := checksum(view(func(*catalog.Upstream) {}))
	require.Equal(t, original, checksum(view(func(u *catalog.Upstream) { u.Loaded[0].Adapters = nil })))
	for _, change := range []func(u *catalog.Upstream){
		func(u *catalog.Upstream) { u.Draining = true }, func(u *catalog.Upstream) { u.StartedAt++ }, func(u *catalog.Upstream) { u.Loaded = nil },
		func(u *catalog.Upstream) { u.Address = "x" },
	} {
		require.NotEqual(t, original, checksum(view(change)))
	}
}

// Guards against load on the store during an outage (5 s) from all hosts retrying. Each host
// retries a few times, and has all changes within 1 s of the store's return.
func TestWatcher_RetriesRarelyDuringOutage(t *testing.T) {
	runWatcher(t, func(f *fakeFeed, w *Watcher) {
		f.put("op", "config", 1, false)
		synctest.Wait()
		f.set(func() { f.down = true })
		time.Sleep(10 * time.Millisecond)
		before := f.readCount()
		const outage = 5 * time.Second
		time.Sleep(outage)
		require.Less(t, f.readCount()-before, 16)
		f.put("op", "config", 2, false)
		f.put("up", "e1", testUpstream("e1"), false)
		f.set(func() { f.down = false })
		time.Sleep(time.Second)
		require.EqualValues(t, 2, w.View().Config.Version)
		require.Contains(t, w.View().Upstreams, "e1")
	})
}

// Guards against a long wait after occasional failures of one table alone: its reads are retried
// within maxRetryDelay.
func TestWatcher_RetriesSingleTableSoon(t *testing.T) {
	runWatcher(t, func(f *fakeFeed, w *Watcher) {
		f.set(func() { f.downTable = "up" })
		time.Sleep(maxRetryDelay)
		f.put("up", "e1", testUpstream("e1"), false)
		f.set(func() { f.downTable = "" })
		time.Sleep(maxRetryDelay + upstreamReadInterval)
		require.Contains(t, w.View().Upstreams, "e1")
	})
}

func TestWatcher_IgnoresUndecodableRelayedConfig(t *testing.T) {
	runWatcher(t, func(feed *fakeFeed, w *Watcher) {
		feed.put("op", "config", 1, false)
		time.Sleep(time.Second)
		w.ApplyRelayedConfig([]byte{200, 1}, nil, Evacuations{})
		w.ApplyRelayedConfig([]byte{1, 'c', 0xff, 0xff}, nil, Evacuations{})
		require.Equal(t, int64(1), w.View().Config.Version)
	})
}

// Guards against load on the store from hundreds of hosts reading the upstreams, which change
// constantly. A host that will not lead reads them at the longest interval allowed, the others
// as soon as they change.
func TestWatcher_LowLatencyOnlyOnCandidates(t *testing.T) {
	w := New(Options{Log: hclog.NewNullLogger(), RelaxedReadInterval: time.Second})
	r := &tableReader{watcher: w, index: 1, readInterval: upstreamReadInterval}
	require.Equal(t, upstreamReadInterval, r.nextReadDelay())
	w.SetLowLatency(false)
	require.Equal(t, time.Second, r.nextReadDelay())
	w.relaxedReadInterval = -time.Second
	require.Equal(t, upstreamReadInterval, r.nextReadDelay(), "an interval below the default has no effect")
	require.Zero(t, (&tableReader{watcher: w}).nextReadDelay(), "the operator's table is long-polled")
	require.Equal(t, maxRetryDelay, w.retryLimit())
	w.relaxedMaxRetryDelay = 2 * maxRetryDelay
	require.Equal(t, 2*maxRetryDelay, w.retryLimit())
	w.SetLowLatency(true)
	require.Equal(t, maxRetryDelay, w.retryLimit())
}
