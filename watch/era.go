package watch

import (
	"errors"
	"sync/atomic"

	"github.com/jasminelock/jasminelock/catalog"
	"github.com/jasminelock/jasminelock/store"
)

// errOldEra is the error of a read that was answered in an older era of the store than the highest known one.
var errOldEra = errors.New("watch: the response is of an older era of the store")

// Era returns the highest era of the store that this host knows of.
func (w *Watcher) Era() int64 { return w.era.Load() }

// Drills returns the number of changes of era since the start of this host.
func (w *Watcher) Drills() int64 { return w.drills.Load() }

// OutdatedUpstreams returns the number of entries of upstreams in the restored store that are ignored.
func (w *Watcher) OutdatedUpstreams() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.known.stale)
}

// HeldZones returns the number of zones of which the restored store is outdated.
func (w *Watcher) HeldZones() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.evacuations.held)
}

// ObserveEra records an era of the store that this host has learned of, by its own reads or from another host. Reads that
// are answered in an older era are discarded from then on, and both tables are read whole.
func (w *Watcher) ObserveEra(era int64) {
	before := w.era.Load()
	if raise(&w.era, era) && w.hasRead() {
		w.drills.Add(1)
		w.log.Info("store is in a new era; it was restored from a copy", "era", era, "before", before)
	}
}

// hasRead reports whether any table has been read or relayed.
func (w *Watcher) hasRead() bool {
	v := w.view.Load()
	return v.Config != nil || v.UpstreamsRead
}

// raise sets an atomic number to n if n is higher, and reports whether it has.
func raise(a *atomic.Int64, n int64) bool {
	for {
		before := a.Load()
		if n <= before {
			return false
		}
		if a.CompareAndSwap(before, n) {
			return true
		}
	}
}

// checkEra reports an error if a response must not be applied: it is of an older era, or its changes follow a position
// of another era, so that changes may be missing between them.
func (r *tableReader) checkEra(c store.Changes, whole bool) error {
	era := store.EraOf(c.Version)
	r.watcher.ObserveEra(era)
	switch {
	case era < r.watcher.era.Load():
		return errOldEra
	case !whole && era != store.EraOf(r.after):
		return store.ErrHistoryLost
	}
	return nil
}

// logRestoredUpstreams logs how the list of upstreams read after a restore differs from what this host knew.
func (w *Watcher) logRestoredUpstreams(c store.Changes, before map[string]*catalog.Upstream, seen map[string]bool) {
	missing := 0
	for id := range before {
		if !seen[id] {
			missing++
		}
	}
	w.log.Warn("upstreams read from the restored store", "era", store.EraOf(c.Version), "version", store.VersionOf(c.Version),
		"version_before", store.VersionOf(w.view.Load().UpstreamsVersion), "listed", len(c.Rows), "missing", missing,
		"outdated", len(w.known.stale))
}
