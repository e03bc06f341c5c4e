package watch

import (
	"context"
	"encoding/json"
	"errors"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/jasminelock/jasminelock/catalog"
	"github.com/jasminelock/jasminelock/store"
)

// fakeFeed is a store.Feed that holds two tables in memory.
type fakeFeed struct {
	mu      sync.Mutex
	version int64
	changes []store.Change
	tables  []string
	down    bool
	// downTable is the only table whose reads fail, "" for none.
	downTable string
	// keptAfter is the oldest version after which changes can still be read.
	keptAfter int64
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
	f.changes = append(f.changes, store.Change{Row: store.Row{Key: key, Value: raw, Version: f.version}, Deleted: deleted})
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
	case !whole && after < f.keptAfter:
		return store.Changes{}, nil, store.ErrHistoryLost
	}
	c := store.Changes{Version: f.version}
	last := map[string]store.Change{}
	var order []string
	for i, row := range f.changes {
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

// fakeDecoder decodes configurations and versions from numbers, and upstreams from the JSON of
// catalog.Upstream.
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
