package leader

import (
	"context"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/jasminelock/jasminelock/catalog"
	"github.com/jasminelock/jasminelock/store"
	"github.com/jasminelock/jasminelock/watch"
)

// watchedTables are the platform's tables of a fleet whose hosts follow them with watchers. f.mu guards all fields.
type watchedTables struct {
	fleet *fleet
	// rows holds the values by table and key.
	rows map[string]map[string]tableRow
	// version is the version of the last change.
	version int64
}

type tableRow struct {
	value   string
	version int64
}

// tablesCopy is a copy of the tables.
type tablesCopy struct {
	rows    map[string]map[string]tableRow
	version int64
}

// watchTables makes the hosts that are added from now on follow tables of their own. The tables list the upstreams "e" and
// "left".
func (f *fleet) watchTables() *watchedTables {
	f.tables = &watchedTables{fleet: f, rows: map[string]map[string]tableRow{"op": {}, "up": {}}}
	f.tables.put("op", "config", "1")
	f.tables.put("up", "e", "1")
	f.tables.put("up", "left", "1")
	return f.tables
}

// put writes a row, or removes it if the value is empty.
func (w *watchedTables) put(table, key, value string) {
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	w.version++
	if w.rows[table][key] = (tableRow{value, w.version}); value == "" {
		delete(w.rows[table], key)
	}
}

func (w *watchedTables) copyNow() tablesCopy {
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	c := tablesCopy{map[string]map[string]tableRow{}, w.version}
	for table, rows := range w.rows {
		c.rows[table] = maps.Clone(rows)
	}
	return c
}

// restore brings the tables back from a copy in a new era, and the lease's table from another one.
func (w *watchedTables) restore(c tablesCopy, lease storeCopy) {
	f := w.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	for table, rows := range c.rows {
		w.rows[table] = maps.Clone(rows)
	}
	w.version = c.version
	f.rows, f.version = maps.Clone(lease.rows), lease.version
	f.era++
}

// watcherOf returns a watcher that passes its views to a host's broker.
func (w *watchedTables) watcherOf(h *testHost) *watch.Watcher {
	return watch.New(watch.Options{
		Log: hclog.NewNullLogger(), Feed: tablesFeed{w, h}, Decoder: tablesDecoder{w.fleet.view}, OnChange: func(v *watch.View) { h.broker.UpdateView(v) },
	})
}

// tablesFeed is the feed of one host.
type tablesFeed struct {
	tables *watchedTables
	host   *testHost
}

// Snapshot implements store.Feed.
func (s tablesFeed) Snapshot(_ context.Context, table string) (store.Changes, error) {
	time.Sleep(4 * time.Millisecond)
	f := s.tables.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.storeCut.isCut(s.host.name) {
		return store.Changes{}, store.ErrUnavailable
	}
	c := store.Changes{Version: f.position(s.tables.version)}
	for _, key := range slices.Sorted(maps.Keys(s.tables.rows[table])) {
		row := s.tables.rows[table][key]
		c.Rows = append(c.Rows, store.Change{Row: store.Row{Key: key, Value: []byte(row.value), Version: f.position(row.version)}})
	}
	return c, nil
}

// Changes implements store.Feed. It keeps no history: after a change, hosts read the whole table.
func (s tablesFeed) Changes(ctx context.Context, _ string, after store.Position, wait time.Duration) (store.Changes, error) {
	f := s.tables.fleet
	for end := time.Now().Add(wait); ; {
		select {
		case <-ctx.Done():
			return store.Changes{}, ctx.Err()
		case <-time.After(20 * time.Millisecond):
		}
		f.mu.Lock()
		cut, now := f.storeCut.isCut(s.host.name), f.position(s.tables.version)
		f.mu.Unlock()
		switch {
		case cut:
			return store.Changes{}, store.ErrUnavailable
		case now != after:
			return store.Changes{}, store.ErrHistoryLost
		case !time.Now().Before(end):
			return store.Changes{Version: now}, nil
		}
	}
}

// tablesDecoder decodes configurations from their version and upstreams from their start time. Everything else is that of
// the fleet's view.
type tablesDecoder struct{ view *watch.View }

// Tables implements watch.Decoder.
func (tablesDecoder) Tables() (operator, upstreams string) { return "op", "up" }

// Config implements watch.Decoder.
func (d tablesDecoder) Config(key string, value []byte) (*catalog.Config, bool, error) {
	if key != "config" {
		return nil, false, nil
	}
	n, err := strconv.ParseInt(string(value), 10, 64)
	return catalog.NewConfig(catalog.ConfigParts{Version: n, Services: []catalog.Service{*d.view.Config.Service("s")}}), true, err
}

// Version implements watch.Decoder.
func (tablesDecoder) Version(key string, value []byte) (catalog.AdapterRef, int64, bool, error) {
	name, ok := strings.CutPrefix(key, "version/")
	if !ok {
		return catalog.AdapterRef{}, 0, false, nil
	}
	n, err := strconv.ParseInt(string(value), 10, 64)
	return catalog.AdapterRef{Model: "m", Adapter: name}, n, true, err
}

// Evacuated implements watch.Decoder.
func (tablesDecoder) Evacuated(key string) (zone string, ok bool) {
	return strings.CutPrefix(key, "evacuate/")
}

// Upstream implements watch.Decoder.
func (d tablesDecoder) Upstream(key string, value []byte) (*catalog.Upstream, error) {
	u := *d.view.Upstreams["e"]
	n, err := strconv.ParseInt(string(value), 10, 64)
	u.ID, u.StartedAt = key, n
	return &u, err
}
