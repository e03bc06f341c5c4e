package watch

import (
	"maps"
	"time"

	"github.com/jasminelock/jasminelock/catalog"
	"github.com/jasminelock/jasminelock/store"
)

// applyUpstreams publishes a view with the rows read from the upstreams' table.
func (w *Watcher) applyUpstreams(c store.Changes, whole bool, outage time.Duration) {
	w.mu.Lock()
	next := *w.view.Load()
	era := store.EraOf(c.Version)
	if era < store.EraOf(next.UpstreamsVersion) {
		w.mu.Unlock()
		return // newer ones were relayed meanwhile
	}
	restored := whole && era > w.tableEras[1].Load()
	if restored {
		clear(w.known.stale)
	}
	before := next.Upstreams
	next.Upstreams = maps.Clone(before)
	seen := map[string]bool{}
	for _, row := range c.Rows {
		if w.applyUpstream(&next, row, restored) {
			seen[row.Key] = true
		}
	}
	if whole {
		for id := range before {
			if !seen[id] {
				delete(next.Upstreams, id)
			}
		}
	}
	next.UpstreamsRead = next.UpstreamsRead || whole
	next.UpstreamsVersion = max(next.UpstreamsVersion, readVersion(c, whole))
	w.keepExpired(&next, before, outage, restored)
	if restored && len(before) > 0 {
		w.logRestoredUpstreams(c, before, seen)
	}
	if whole {
		raise(&w.tableEras[1], era)
	}
	w.publish(&next)
}

// readVersion returns the position of the store up to which a table is known after a read: that of
// the whole table, or else of the newest changed row, which is the same on every host that has
// read it.
func readVersion(c store.Changes, whole bool) store.Position {
	if whole {
		return c.Version
	}
	at := store.Position(0)
	for _, row := range c.Rows {
		at = max(at, row.Version)
	}
	return at
}

// applyUpstream sets or removes one upstream of a new view. restored means that the row was
// read for the first time in its era. It reports false for an entry that identifies no upstream,
// since it is known to be outdated.
func (w *Watcher) applyUpstream(next *View, row store.Change, restored bool) bool {
	if row.Deleted {
		delete(next.Upstreams, row.Key)
		return true
	}
	u, err := w.decoder.Upstream(row.Key, row.Value)
	if err != nil {
		w.log.Warn("upstream entry cannot be decoded; treated as removed", "key", row.Key, "error", err)
		delete(next.Upstreams, row.Key)
		return true
	}
	old := next.Upstreams[row.Key]
	if w.known.isStale(old, u, row.Version, restored) {
		return old != nil && old.StartedAt == u.StartedAt
	}
	delete(w.expired, row.Key)
	if old == nil || old.Draining != u.Draining || old.StartedAt != u.StartedAt {
		w.log.Info("upstream listed", "upstream", u.ID, "service", u.Service, "address", u.Address,
			"born", u.StartedAt, "draining", u.Draining)
	}
	w.known.record(old, u, row.Version)
	next.Upstreams[row.Key] = u
	return true
}

// keepExpired keeps upstreams whose entries expired during an outage, or are missing after the store
// was restored from a copy, for expiredEntryGrace, within which live upstreams register again.
func (w *Watcher) keepExpired(next *View, before map[string]*catalog.Upstream, outage time.Duration, restored bool) {
	now := time.Now()
	for id, u := range before {
		if _, listed := next.Upstreams[id]; listed {
			continue
		}
		until, isExpired := w.expired[id]
		if ((!isExpired && outage >= minExpiryOutage) || restored) && !u.Draining {
			until, isExpired = now.Add(expiredEntryGrace), true
			w.expired[id] = until
			time.AfterFunc(expiredEntryGrace, w.dropExpired)
		}
		if isExpired && now.Before(until) {
			next.Upstreams[id] = u
			continue
		}
		delete(w.expired, id)
		w.known.recordGone(u)
		w.log.Info("upstream gone", "upstream", id, "service", u.Service)
	}
}

// dropExpired drops the upstreams that have not registered again within expiredEntryGrace.
func (w *Watcher) dropExpired() {
	w.mu.Lock()
	next := *w.view.Load()
	before := next.Upstreams
	next.Upstreams = maps.Clone(before)
	now := time.Now()
	changed := false
	for id, until := range w.expired {
		if !now.Before(until) {
			w.known.recordGone(next.Upstreams[id])
			delete(next.Upstreams, id)
			delete(w.expired, id)
			changed = true
			w.log.Info("upstream did not register again after the store outage; removed", "upstream", id)
		}
	}
	if !changed {
		w.mu.Unlock()
		return
	}
	w.publish(&next)
}
