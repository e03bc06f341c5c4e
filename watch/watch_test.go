package watch

import (
	"context"
	"encoding/json"
	"errors"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/stretchr/testify/require"

	"github.com/jasminelock/jasminelock/catalog"
	"github.com/jasminelock/jasminelock/store"
)

// fakeFeed holds two tables in memory.
type fakeFeed struct {
	mu      sync.Mutex
	version int64
	log     []store.Change
	tables  []string
	down    bool
	// downTable is a table whose reads alone fail, "" for none.
	downTable string
	kept      int64
	reads     int
	// snapshots counts the reads of whole tables.
	snapshots int
	changed   chan struct{}
}

var errDown = errors.New("down")

func newFakeFeed() *fakeFeed { return &fakeFeed{changed: make(chan struct{})} }

func (f *fakeFeed) put(table, key string, value any, deleted bool) {
	raw, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.version++
	f.log = append(f.log, store.Change{Row: store.Row{Key: key, Value: raw, Version: f.version}, Deleted: deleted})
	f.tables = append(f.tables, table)
	close(f.changed)
	f.changed = make(chan struct{})
}

func (f *fakeFeed) set(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
	close(f.changed)
	f.changed = make(chan struct{})
}

func (f *fakeFeed) readCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.reads
}

func (f *fakeFeed) read(table string, after int64, whole bool) (store.Changes, chan struct{}, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.reads++
	switch {
	case f.down || f.downTable == table:
		return store.Changes{}, nil, errDown
	case !whole && after < f.kept:
		return store.Changes{}, nil, store.ErrHistoryLost
	}
	c := store.Changes{Version: f.version}
	last := map[string]store.Change{}
	var order []string
	for i, row := range f.log {
		if f.tables[i] != table || (!whole && row.Version <= after) {
			continue
		}
		if _, ok := last[row.Key]; !ok {
			order = append(order, row.Key)
		}
		last[row.Key] = row
	}
	for _, key := range order {
		if row := last[key]; !whole || !row.Deleted {
			c.Rows = append(c.Rows, row)
		}
	}
	return c, f.changed, nil
}

func (f *fakeFeed) snapshotCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.snapshots
}

func (f *fakeFeed) Snapshot(_ context.Context, table string) (store.Changes, error) {
	f.mu.Lock()
	f.snapshots++
	f.mu.Unlock()
	c, _, err := f.read(table, 0, true)
	return c, err
}

func (f *fakeFeed) Changes(ctx context.Context, table string, after int64, wait time.Duration) (store.Changes, error) {
	end := time.After(wait)
	for {
		c, changed, err := f.read(table, after, false)
		if err != nil || len(c.Rows) > 0 {
			return c, err
		}
		select {
		case <-ctx.Done():
			return c, ctx.Err()
		case <-end:
			return c, nil
		case <-changed:
		}
	}
}

// fakeDecoder reads configurations as numbers, versions as numbers and upstreams
// as JSON of the type itself.
type fakeDecoder struct{}

func (fakeDecoder) Tables() (operator, upstreams string) { return "op", "up" }

func (fakeDecoder) Config(key string, value []byte) (*catalog.Config, bool, error) {
	if key != "config" {
		return nil, false, nil
	}
	n, err := strconv.ParseInt(string(value), 10, 64)
	return catalog.NewConfig(catalog.ConfigParts{Version: n}), true, err
}

func (fakeDecoder) Version(key string, value []byte) (catalog.AdapterRef, int64, bool, error) {
	name, ok := strings.CutPrefix(key, "v/")
	if !ok {
		return catalog.AdapterRef{}, 0, false, nil
	}
	n, err := strconv.ParseInt(string(value), 10, 64)
	return catalog.AdapterRef{Model: "m", Adapter: name}, n, true, err
}

func (fakeDecoder) Evacuated(key string) (string, bool) { return strings.CutPrefix(key, "evacuate/") }

func (fakeDecoder) Upstream(_ string, value []byte) (*catalog.Upstream, error) {
	var u catalog.Upstream
	return &u, json.Unmarshal(value, &u)
}

func upstream(id string) catalog.Upstream { return catalog.Upstream{ID: id, StartedAt: 1, Service: "s"} }

// run runs a watcher in virtual time.
func run(t *testing.T, f func(feed *fakeFeed, w *Watcher)) {
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

func TestChangesAreSeen(t *testing.T) {
	run(t, func(feed *fakeFeed, w *Watcher) {
		feed.put("op", "config", 1, false)
		feed.put("up", "a", upstream("a"), false)
		time.Sleep(time.Second)
		require.Equal(t, int64(1), w.View().Config.Version)
		require.Contains(t, w.View().Upstreams, "a")
		feed.put("op", "config", 3, false)
		feed.put("op", "v/x", 2, false)
		feed.put("up", "a", upstream("a"), true)
		time.Sleep(upstreamPause + time.Millisecond)
		require.Equal(t, int64(3), w.View().Config.Version)
		require.Equal(t, int64(2), w.View().Versions[catalog.AdapterRef{Model: "m", Adapter: "x"}])
		require.Empty(t, w.View().Upstreams)
		require.Less(t, w.StoreAge(), 2*time.Second)
	})
}

func TestAHostNeverGoesBackToAnOlderConfiguration(t *testing.T) {
	run(t, func(feed *fakeFeed, w *Watcher) {
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

func TestWhatCannotBeReadChangesNothingElse(t *testing.T) {
	run(t, func(feed *fakeFeed, w *Watcher) {
		feed.put("op", "config", 5, false)
		feed.put("up", "a", upstream("a"), false)
		feed.put("up", "b", upstream("b"), false)
		time.Sleep(time.Second)
		feed.put("op", "config", "nonsense", false)
		feed.put("up", "b", 17, false)
		time.Sleep(time.Second)
		require.Equal(t, int64(5), w.View().Config.Version)
		require.Contains(t, w.View().Upstreams, "a")
		require.NotContains(t, w.View().Upstreams, "b")
	})
}

func TestALostHistoryIsMadeUpByAWholeRead(t *testing.T) {
	run(t, func(feed *fakeFeed, w *Watcher) {
		feed.put("up", "a", upstream("a"), false)
		feed.put("up", "b", upstream("b"), false)
		time.Sleep(time.Second)
		feed.put("up", "b", upstream("b"), true)
		feed.set(func() { feed.kept = feed.version })
		time.Sleep(2 * time.Second)
		require.Len(t, w.View().Upstreams, 1)
	})
}

// Pattern: the store is away for seconds and entries lapse meanwhile. Those that
// live are back within two seconds of its return; the others are gone then.
func TestLapsedEntriesAreKeptForAWhile(t *testing.T) {
	run(t, func(feed *fakeFeed, w *Watcher) {
		for _, id := range []string{"lives", "gone"} {
			feed.put("up", id, upstream(id), false)
		}
		time.Sleep(time.Second)
		feed.set(func() { feed.down = true })
		time.Sleep(5 * time.Second)
		require.Len(t, w.View().Upstreams, 2, "while the store is away nothing is gone")
		feed.put("up", "lives", upstream("lives"), true)
		feed.put("up", "gone", upstream("gone"), true)
		feed.set(func() { feed.down = false })
		time.Sleep(time.Second)
		require.Len(t, w.View().Upstreams, 2, "they may come back")
		feed.put("up", "lives", upstream("lives"), false)
		time.Sleep(returnGrace)
		require.Contains(t, w.View().Upstreams, "lives")
		require.NotContains(t, w.View().Upstreams, "gone")
	})
}

func TestAnEntryRemovedInPeaceIsGoneAtOnce(t *testing.T) {
	run(t, func(feed *fakeFeed, w *Watcher) {
		feed.put("up", "a", upstream("a"), false)
		time.Sleep(time.Second)
		feed.put("up", "a", upstream("a"), true)
		time.Sleep(upstreamPause + time.Millisecond)
		require.Empty(t, w.View().Upstreams)
	})
}

// later is a version of the store that is newer than what hosts here have read.
const later = 1000

// Guards against an upstream that is used again after it has left, since a lead that is
// cut off the store still tells of it to a host that has read so.
func TestAnOlderListThatIsPassedOnIsNotTaken(t *testing.T) {
	run(t, func(feed *fakeFeed, w *Watcher) {
		leaves, stays := upstream("a"), upstream("b")
		feed.put("up", "a", leaves, false)
		feed.put("up", "b", stays, false)
		time.Sleep(time.Second)
		known := w.View().UpstreamsVersion
		feed.put("up", "a", leaves, true)
		time.Sleep(upstreamPause + 10*time.Millisecond)
		require.NotContains(t, w.View().Upstreams, "a")
		w.ApplyRelayedUpstreams(RelayedUpstreams{StoreVersion: known, Whole: true, Listed: []*catalog.Upstream{&leaves, &stays}})
		require.NotContains(t, w.View().Upstreams, "a")
		w.ApplyRelayedUpstreams(RelayedUpstreams{StoreVersion: known, Listed: []*catalog.Upstream{&leaves}})
		require.NotContains(t, w.View().Upstreams, "a")
		w.ApplyRelayedUpstreams(RelayedUpstreams{StoreVersion: later, Whole: true, Listed: []*catalog.Upstream{&leaves, &stays}})
		require.Contains(t, w.View().Upstreams, "a")
	})
}

// Pattern: seventy hosts would each follow the tables. One that is told of the
// changes reads nothing, and reads all again when it is no longer told.
func TestAWatchRestsWhileChangesArePassedOn(t *testing.T) {
	run(t, func(feed *fakeFeed, w *Watcher) {
		feed.put("op", "config", 1, false)
		feed.put("up", "a", upstream("a"), false)
		time.Sleep(time.Second)
		w.SetRelayed(true)
		time.Sleep(2 * time.Second)
		before := feed.readCount()
		packed, err := PackConfig(store.Row{Key: "config", Value: []byte("2")})
		require.NoError(t, err)
		w.ApplyRelayedConfig(packed, catalog.Versions{{Model: "m", Adapter: "x"}: 4}, Evacuations{})
		b := upstream("b")
		w.ApplyRelayedUpstreams(RelayedUpstreams{StoreVersion: later, Listed: []*catalog.Upstream{&b}, Gone: []string{"a"}})
		time.Sleep(time.Minute)
		require.Equal(t, before, feed.readCount())
		require.Equal(t, int64(2), w.View().Config.Version)
		require.Equal(t, int64(4), w.View().Versions[catalog.AdapterRef{Model: "m", Adapter: "x"}])
		require.Len(t, w.View().Upstreams, 1)
		require.Contains(t, w.View().Upstreams, "b")
		w.ApplyRelayedUpstreams(RelayedUpstreams{StoreVersion: later, Whole: true})
		require.Empty(t, w.View().Upstreams)
		w.SetRelayed(false)
		time.Sleep(time.Second)
		require.Contains(t, w.View().Upstreams, "a")
	})
}

// Guards against an availability zone that is sent requests though it is evacuated, or
// not after that: by the host's own reading, as a whole, and as it is passed on.
func TestAZoneIsEvacuated(t *testing.T) {
	run(t, func(feed *fakeFeed, w *Watcher) {
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
		require.Equal(t, map[string]bool{"z2": true}, evacuated(), "what is passed on is older")
		w.ApplyRelayedConfig(nil, nil, Evacuations{Zones: map[string]bool{"z1": true}, StoreVersion: 1000})
		require.Equal(t, map[string]bool{"z1": true}, evacuated())
		require.NotEqual(t, before, w.View().Checksum)
	})
}

// Guards against an evacuation whose end falls into a time in which the history was lost.
func TestAnEvacuationEndsUnseen(t *testing.T) {
	run(t, func(feed *fakeFeed, w *Watcher) {
		feed.put("op", "config", 1, false)
		feed.put("op", "evacuate/z1", 0, false)
		time.Sleep(time.Second)
		require.True(t, w.View().Evacuated.Zones["z1"])
		feed.set(func() { feed.down = true })
		time.Sleep(2 * time.Second)
		feed.put("op", "evacuate/z1", 0, true)
		feed.set(func() { feed.down, feed.kept = false, feed.version })
		time.Sleep(2 * time.Second)
		require.Empty(t, w.View().Evacuated.Zones)
	})
}

// Pattern: the host that passes changes on is lost. What it is known to have told
// is not read again.
func TestAWatchGoesOnFromWhatItWasTold(t *testing.T) {
	run(t, func(feed *fakeFeed, w *Watcher) {
		feed.put("op", "config", 1, false)
		feed.put("up", "a", upstream("a"), false)
		time.Sleep(time.Second)
		w.SetRelayed(true)
		time.Sleep(2 * time.Second)
		feed.put("up", "b", upstream("b"), false)
		feed.put("up", "a", upstream("a"), true)
		b := upstream("b")
		w.ApplyRelayedUpstreams(RelayedUpstreams{StoreVersion: later, Listed: []*catalog.Upstream{&b}, Gone: []string{"a"}})
		w.SetKnownVersions(4, 4)
		snapshots := feed.snapshotCount()
		feed.put("up", "c", upstream("c"), false)
		w.SetRelayed(false)
		time.Sleep(time.Second)
		require.Equal(t, snapshots, feed.snapshotCount())
		require.Len(t, w.View().Upstreams, 2)
		require.Contains(t, w.View().Upstreams, "b")
		require.Contains(t, w.View().Upstreams, "c")
	})
}

// Pattern: a host that reads the store is told of something older than it has
// read. It reads all again.
func TestOlderNewsDoNotStay(t *testing.T) {
	run(t, func(feed *fakeFeed, w *Watcher) {
		feed.put("op", "config", 1, false)
		feed.put("up", "a", upstream("a"), true)
		time.Sleep(time.Second)
		a := upstream("a")
		w.ApplyRelayedUpstreams(RelayedUpstreams{StoreVersion: later, Whole: true, Listed: []*catalog.Upstream{&a}})
		time.Sleep(changeWait + upstreamPause)
		require.Empty(t, w.View().Upstreams)
	})
}

// Two views that say the same have the same checksum, whatever the store says
// besides, and others do not.
func TestSumsOfViews(t *testing.T) {
	view := func(change func(u *catalog.Upstream)) *View {
		u := upstream("a")
		u.Loaded = []catalog.LoadedModel{{Model: "m", Adapters: []catalog.LoadedAdapter{{Name: "x"}}}}
		change(&u)
		return &View{Versions: catalog.Versions{{Model: "m", Adapter: "x"}: 1}, Upstreams: map[string]*catalog.Upstream{"a": &u}}
	}
	usual := sum(view(func(*catalog.Upstream) {}))
	require.Equal(t, usual, sum(view(func(u *catalog.Upstream) { u.Loaded[0].Adapters = nil })))
	for _, change := range []func(u *catalog.Upstream){
		func(u *catalog.Upstream) { u.Draining = true }, func(u *catalog.Upstream) { u.StartedAt++ }, func(u *catalog.Upstream) { u.Loaded = nil },
		func(u *catalog.Upstream) { u.Address = "x" },
	} {
		require.NotEqual(t, usual, sum(view(change)))
	}
}

// Pattern: the store is away for five seconds, and every host asks whether it is
// back. Each asks a few times, and has all changes within a second of its return.
func TestAStoreThatIsAwayIsAskedRarely(t *testing.T) {
	run(t, func(f *fakeFeed, w *Watcher) {
		f.put("op", "config", 1, false)
		synctest.Wait()
		f.set(func() { f.down = true })
		time.Sleep(10 * time.Millisecond)
		before := f.readCount()
		const outage = 5 * time.Second
		time.Sleep(outage)
		require.Less(t, f.readCount()-before, 16)
		f.put("op", "config", 2, false)
		f.put("up", "e1", upstream("e1"), false)
		f.set(func() { f.down = false })
		time.Sleep(time.Second)
		require.EqualValues(t, 2, w.View().Config.Version)
		require.Contains(t, w.View().Upstreams, "e1")
	})
}

// Pattern: only the reads of one table fail, now and then. It is read again at once.
func TestOneTableThatFailsIsReadAgainSoon(t *testing.T) {
	run(t, func(f *fakeFeed, w *Watcher) {
		f.set(func() { f.downTable = "up" })
		time.Sleep(longestRetry)
		f.put("up", "e1", upstream("e1"), false)
		f.set(func() { f.downTable = "" })
		time.Sleep(longestRetry + upstreamPause)
		require.Contains(t, w.View().Upstreams, "e1")
	})
}

func TestAConfigurationPassedOnThatCannotBeReadIsIgnored(t *testing.T) {
	run(t, func(feed *fakeFeed, w *Watcher) {
		feed.put("op", "config", 1, false)
		time.Sleep(time.Second)
		w.ApplyRelayedConfig([]byte{200, 1}, nil, Evacuations{})
		w.ApplyRelayedConfig([]byte{1, 'c', 0xff, 0xff}, nil, Evacuations{})
		require.Equal(t, int64(1), w.View().Config.Version)
	})
}

// Pattern: hundreds of hosts read the upstreams, which change all the time. A host
// that will not lead reads them as rarely as it may, the others as soon as they change.
func TestOnlyHostsThatMayLeadReadUpstreamsAtOnce(t *testing.T) {
	w := New(Options{Log: hclog.NewNullLogger(), RelaxedReadInterval: time.Second})
	r := &tableReader{watcher: w, index: 1, pause: upstreamPause}
	require.Equal(t, upstreamPause, r.wait())
	w.SetLowLatency(false)
	require.Equal(t, time.Second, r.wait())
	w.patience = -time.Second
	require.Equal(t, upstreamPause, r.wait(), "where the bound leaves no time")
	require.Zero(t, (&tableReader{watcher: w}).wait(), "the operator's table is waited on")
	require.Equal(t, longestRetry, w.retryLimit())
	w.retryPatience = 2 * longestRetry
	require.Equal(t, 2*longestRetry, w.retryLimit())
	w.SetLowLatency(true)
	require.Equal(t, longestRetry, w.retryLimit())
}
