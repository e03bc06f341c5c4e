package watch

import (
	"maps"
	"math"

	"github.com/jasminelock/jasminelock/catalog"
	"github.com/jasminelock/jasminelock/store"
)

// maxGone is the maximum number of incarnations that are remembered as gone. At the design scale, a few hundred upstreams
// leave per hour, and a copy is some seconds old.
const maxGone = 4096

// Incarnation is one start of an upstream under its ID.
type Incarnation struct {
	ID        string
	StartedAt int64
}

func incarnationOf(u *catalog.Upstream) Incarnation { return Incarnation{u.ID, u.StartedAt} }

// entryPosition is the position of the last entry of an incarnation. After a restore, an entry is outdated if it reappears
// with the version of this position or a lower one, whatever the era.
type entryPosition struct {
	startedAt int64
	at        store.Position
}

// unknownPosition is the position of an entry that another host has relayed: every entry of that incarnation that a
// restored store lists is outdated.
const unknownPosition store.Position = math.MaxInt64

// upstreamMemory is what a host remembers of upstreams to recognise outdated entries after the store was restored from a
// copy.
type upstreamMemory struct {
	// entries holds the positions of the present entries, by ID. It lacks relayed ones.
	entries map[string]entryPosition
	// gone holds the last positions of incarnations that are gone; goneOrder is the order in which they were added.
	gone      map[Incarnation]store.Position
	goneOrder []Incarnation
	// stale holds, by ID, the positions of outdated entries that the store lists.
	stale map[string]store.Position
}

func newUpstreamMemory() upstreamMemory {
	return upstreamMemory{entries: map[string]entryPosition{}, gone: map[Incarnation]store.Position{}, stale: map[string]store.Position{}}
}

// positionOf returns the position of the last entry of an upstream's incarnation.
func (m *upstreamMemory) positionOf(u *catalog.Upstream) store.Position {
	if e, ok := m.entries[u.ID]; ok && e.startedAt == u.StartedAt {
		return e.at
	}
	return unknownPosition
}

// versionOf returns the version, without its era, of the last entry of an upstream's incarnation.
func (m *upstreamMemory) versionOf(u *catalog.Upstream) int64 {
	return store.VersionOf(m.positionOf(u))
}

// record records that the entry of an upstream was read at a position. old is the upstream known before, or nil.
func (m *upstreamMemory) record(old, u *catalog.Upstream, at store.Position) {
	if old != nil && old.StartedAt != u.StartedAt {
		m.recordGone(old)
	}
	delete(m.gone, incarnationOf(u))
	delete(m.stale, u.ID)
	m.entries[u.ID] = entryPosition{u.StartedAt, at}
}

// recordRelayed records that another host has relayed an upstream. old is the upstream known before, or nil.
func (m *upstreamMemory) recordRelayed(old, u *catalog.Upstream) {
	if old != nil && old.StartedAt != u.StartedAt {
		m.recordGone(old)
	}
	delete(m.gone, incarnationOf(u))
	if old == nil || old.StartedAt != u.StartedAt || old.Draining != u.Draining {
		delete(m.entries, u.ID)
	}
}

// recordGone records that an incarnation of an upstream is gone.
func (m *upstreamMemory) recordGone(u *catalog.Upstream) {
	if u == nil {
		return
	}
	key := incarnationOf(u)
	if _, known := m.gone[key]; !known {
		m.goneOrder = append(m.goneOrder, key)
	}
	m.gone[key] = m.positionOf(u)
	if m.entries[u.ID].startedAt == u.StartedAt {
		delete(m.entries, u.ID)
	}
	if len(m.goneOrder) > maxGone {
		delete(m.gone, m.goneOrder[0])
		m.goneOrder = m.goneOrder[1:]
	}
}

// isStale reports whether the entry of an upstream is outdated: the store lists it since it was restored from a copy,
// the incarnation is known to be gone or draining, and the entry has not been written since. old is the upstream known
// before, or nil. restored means that the entry was read for the first time in its era. Later, an entry is outdated if this
// host has read it in this era before, and another host has told of the end of its upstream since.
func (m *upstreamMemory) isStale(old, u *catalog.Upstream, at store.Position, restored bool) bool {
	position, gone := m.gone[incarnationOf(u)]
	if !restored {
		if gone && position == at && store.EraOf(at) > 0 {
			m.stale[u.ID] = at
		}
		listed, found := m.stale[u.ID]
		return found && listed == at
	}
	last := store.VersionOf(position)
	if old != nil && old.StartedAt == u.StartedAt {
		gone = false
		if old.Draining && !u.Draining {
			last, gone = m.versionOf(old), true
		}
	}
	if !gone || store.VersionOf(at) > last {
		return false
	}
	m.stale[u.ID] = at
	return true
}

// Departed returns the incarnations of upstreams that this host knows to be gone or draining.
func (w *Watcher) Departed() []Incarnation {
	w.mu.Lock()
	defer w.mu.Unlock()
	var out []Incarnation
	for key := range w.known.gone {
		out = append(out, key)
	}
	for _, u := range w.view.Load().Upstreams {
		if u.Draining {
			out = append(out, incarnationOf(u))
		}
	}
	return out
}

// applyDeparted removes from a new view the upstreams that another host knows to be gone or draining. Their entries, as read
// from the restored store, identify no upstream until they are written again.
func (w *Watcher) applyDeparted(next *View, departed []Incarnation) {
	next.Upstreams = maps.Clone(next.Upstreams)
	era := store.EraOf(next.UpstreamsVersion)
	for _, key := range departed {
		u := next.Upstreams[key.ID]
		if u == nil || u.StartedAt != key.StartedAt || u.Draining {
			continue
		}
		if w.known.positionOf(u) != unknownPosition {
			w.known.stale[key.ID] = store.NewPosition(era, w.known.versionOf(u))
		}
		w.known.recordGone(u)
		delete(next.Upstreams, key.ID)
		w.log.Info("upstream gone, as another host knows", "upstream", key.ID, "service", u.Service)
	}
}
