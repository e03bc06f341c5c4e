package watch

import (
	"context"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/jasminelock/jasminelock/catalog"
	"github.com/jasminelock/jasminelock/store"
)

// evacuationHold is how long a host keeps what it knew of a zone after the store was restored from a copy that says
// otherwise. The operator writes lost orders again. An order that was lifted, and whose row the copy lacks, is not written
// again, so that the hold must end by itself. 30 s give the operator time to notice the drill.
const evacuationHold = 30 * time.Second

// maxZoneOrders is the number of orders of one zone whose versions are remembered.
const maxZoneOrders = 16

// evacuationMemory is what a host remembers of evacuations to recognise outdated orders after the store was restored from a
// copy.
type evacuationMemory struct {
	// stored holds the evacuated zones as read or relayed.
	stored map[string]bool
	// orders holds each zone's latest orders.
	orders map[string][]orderVersion
	// held holds the zones of which the store's content is outdated.
	held map[string]heldZone
}

// orderVersion is the version, without its era, of an evacuation order or of its removal.
type orderVersion struct {
	version int64
	removed bool
}

// heldZone is a zone of which the store's content is outdated.
type heldZone struct {
	evacuated bool
	until     time.Time
	// listed is the position of the outdated order in the store, 0 if there is none.
	listed store.Position
}

func newEvacuationMemory() evacuationMemory {
	return evacuationMemory{stored: map[string]bool{}, orders: map[string][]orderVersion{}, held: map[string]heldZone{}}
}

// applyEvacuations sets the evacuated zones of a new view from rows of the operator's table.
func (w *Watcher) applyEvacuations(next *View, c store.Changes, whole bool) {
	if c.Version < next.Evacuated.StoreVersion {
		return
	}
	e := Evacuations{
		Zones: w.evacuatedZones(w.evacuations.stored, c.Rows, whole), StoreVersion: c.Version, Continuous: next.Evacuated.Continuous,
	}
	if whole && store.EraOf(c.Version) > w.tableEras[0].Load() {
		e.Continuous = next.Evacuated.StoreVersion > 0 // false on a host that has just started
		w.holdEvacuations(next, e.Zones, c)
	} else {
		w.releaseWritten(c.Rows, whole)
	}
	w.recordOrders(c.Rows)
	w.setEvacuated(next, e)
}

// evacuatedZones returns the evacuated zones after some rows were read: the earlier zones updated by
// the rows, or the zones of the rows alone if the rows are the whole table.
func (w *Watcher) evacuatedZones(before map[string]bool, rows []store.Change, whole bool) map[string]bool {
	zones := map[string]bool{}
	if !whole {
		maps.Copy(zones, before)
	}
	for _, row := range rows {
		zone, ok := w.decoder.Evacuated(row.Key)
		switch {
		case !ok:
		case row.Deleted:
			delete(zones, zone)
		default:
			zones[zone] = true
		}
	}
	return zones
}

// addLiftedOrders adds to a snapshot of the restored operator's table the removals of evacuation orders that this host
// knows and the snapshot lacks, so that an order that was lifted after the restore is told from one that was lost. If the
// store no longer has these changes, the orders count as lost.
func (r *tableReader) addLiftedOrders(ctx context.Context, c *store.Changes) {
	from, missing := r.watcher.missingOrders(c)
	if !missing {
		return
	}
	later, err := r.watcher.feed.Changes(ctx, r.table, from, 0)
	if err != nil || store.EraOf(later.Version) != store.EraOf(c.Version) {
		return
	}
	listed := map[string]bool{}
	for _, row := range c.Rows {
		listed[row.Key] = true
	}
	for _, row := range later.Rows {
		if row.Deleted && !listed[row.Key] && !r.watcher.knowsOrder(row) {
			c.Rows = append(c.Rows, row)
		}
	}
}

// maxWritesSinceRestore is the number of writes, by whomever, that the search for lifted orders reaches back. Hosts read the
// tables within a second of the store's return; at the design scale it issues some hundred versions per second.
const maxWritesSinceRestore = 4096

// knowsOrder reports whether this host has read an evacuation order, or its removal, with the row's version.
func (w *Watcher) knowsOrder(row store.Change) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	zone, ok := w.decoder.Evacuated(row.Key)
	return ok && slices.Contains(w.evacuations.orders[zone], orderVersion{store.VersionOf(row.Version), row.Deleted})
}

// missingOrders reports whether a snapshot that was read for the first time in its era lacks orders of zones that this host
// knows to be evacuated, and returns the position from which a removal of these orders is to be looked for.
func (w *Watcher) missingOrders(c *store.Changes) (from store.Position, missing bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if store.EraOf(c.Version) <= w.tableEras[0].Load() {
		return 0, false
	}
	listed := w.evacuatedZones(nil, c.Rows, true)
	first := int64(math.MaxInt64)
	for zone := range w.view.Load().Evacuated.Zones {
		if listed[zone] {
			continue
		}
		missing = true
		if orders := w.evacuations.orders[zone]; len(orders) > 0 {
			first = min(first, orders[len(orders)-1].version)
		}
	}
	from = store.NewPosition(store.EraOf(c.Version), max(0, min(first-1, store.VersionOf(c.Version)-maxWritesSinceRestore)))
	return from, missing
}

// holdEvacuations compares the zones that a restored store lists with those known before. A zone whose order was lost stays
// evacuated; one whose order is known to have been lifted stays in use. An order that this host has never read was written
// after the restore and is in force.
func (w *Watcher) holdEvacuations(next *View, listed map[string]bool, c store.Changes) {
	m := &w.evacuations
	before, until := next.Evacuated.Zones, time.Now().Add(evacuationHold)
	clear(m.held)
	lifted := map[string]bool{}
	for _, row := range c.Rows {
		if zone, ok := w.decoder.Evacuated(row.Key); ok && row.Deleted {
			lifted[zone] = true
		}
	}
	for zone := range before {
		if !listed[zone] && !lifted[zone] {
			m.held[zone] = heldZone{evacuated: true, until: until}
		}
	}
	for _, row := range c.Rows {
		zone, ok := w.decoder.Evacuated(row.Key)
		if ok && !row.Deleted && !before[zone] && slices.Contains(m.orders[zone], orderVersion{store.VersionOf(row.Version), false}) {
			m.held[zone] = heldZone{until: until, listed: row.Version}
		}
	}
	w.awaitHoldEnd()
	if next.Evacuated.StoreVersion > 0 {
		w.log.Warn("operator's table read from the restored store", "era", store.EraOf(c.Version), "version", store.VersionOf(c.Version),
			"version_before", store.VersionOf(next.Evacuated.StoreVersion), "outdated_zones", slices.Sorted(maps.Keys(m.held)),
			"config_in_force", w.configVersion(next), "config_listed", w.listedConfig(c.Rows))
	}
}

// configVersion returns the version of the configuration in force, 0 for none.
func (w *Watcher) configVersion(v *View) int64 {
	if v.Config == nil {
		return 0
	}
	return v.Config.Version
}

// listedConfig returns the version of the configuration that rows hold, 0 for none.
func (w *Watcher) listedConfig(rows []store.Change) int64 {
	for _, row := range rows {
		if config, ok, err := w.decoder.Config(row.Key, row.Value); ok && err == nil {
			return config.Version
		}
	}
	return 0
}

// releaseWritten ends the hold of zones whose orders were written or lifted since the restore.
func (w *Watcher) releaseWritten(rows []store.Change, whole bool) {
	m := &w.evacuations
	written := map[string]store.Position{}
	for _, row := range rows {
		if zone, ok := w.decoder.Evacuated(row.Key); ok {
			written[zone] = row.Version
		}
	}
	for zone, h := range m.held {
		at, found := written[zone]
		lifted := whole && !found && h.listed != 0
		if lifted || (found && at != h.listed) {
			delete(m.held, zone)
		}
	}
}

// recordOrders remembers the versions of evacuation orders and of their removals.
func (w *Watcher) recordOrders(rows []store.Change) {
	m := &w.evacuations
	for _, row := range rows {
		zone, ok := w.decoder.Evacuated(row.Key)
		order := orderVersion{store.VersionOf(row.Version), row.Deleted}
		if ok && !slices.Contains(m.orders[zone], order) {
			known := m.orders[zone]
			m.orders[zone] = append(known[max(0, len(known)-maxZoneOrders+1):], order)
		}
	}
}

// setEvacuated sets the evacuated zones of a new view, unless newer ones are known, and logs the
// differences.
func (w *Watcher) setEvacuated(next *View, e Evacuations) {
	if e.StoreVersion < next.Evacuated.StoreVersion {
		return
	}
	w.evacuations.stored = e.Zones
	w.setZones(next, e)
}

// setZones sets the evacuated zones of a new view: those of e, except for zones of which they are outdated.
func (w *Watcher) setZones(next *View, e Evacuations) {
	if len(w.evacuations.held) > 0 {
		e.Zones = maps.Clone(e.Zones)
		if e.Zones == nil {
			e.Zones = map[string]bool{}
		}
		for zone, h := range w.evacuations.held {
			if delete(e.Zones, zone); h.evacuated {
				e.Zones[zone] = true
			}
		}
	}
	for zone := range e.Zones {
		if !next.Evacuated.Zones[zone] {
			w.log.Info("availability zone evacuated", "zone", zone, "as_of", e.StoreVersion)
		}
	}
	for zone := range next.Evacuated.Zones {
		if !e.Zones[zone] {
			w.log.Info("availability zone no longer evacuated", "zone", zone, "as_of", e.StoreVersion)
		}
	}
	next.Evacuated = e
}

// setRelayedEvacuations sets the evacuated zones that another host has relayed. If that host does not know the time before
// the restore, zones that it lacks stay evacuated here for evacuationHold.
func (w *Watcher) setRelayedEvacuations(next *View, e Evacuations) {
	if e.StoreVersion < next.Evacuated.StoreVersion {
		return
	}
	m := &w.evacuations
	switch {
	case e.Continuous:
		clear(m.held)
	case raise(&w.tableEras[0], store.EraOf(e.StoreVersion)):
		for zone := range next.Evacuated.Zones {
			if !e.Zones[zone] {
				m.held[zone] = heldZone{evacuated: true, until: time.Now().Add(evacuationHold)}
			}
		}
		w.awaitHoldEnd()
		e.Continuous = next.Evacuated.StoreVersion > 0
	default:
		e.Continuous = next.Evacuated.Continuous
	}
	w.setEvacuated(next, e)
}

// PriorTables is what a host knows of the tables from before the store was restored from a copy.
type PriorTables struct {
	// Config is the result of PackConfig, or empty.
	Config   []byte
	Versions catalog.Versions
	// EvacuatedZones are the evacuated zones, Departed the upstreams that are gone or draining.
	EvacuatedZones []string
	Departed       []Incarnation
}

// LearnTables adds what another host knows of the time before the store was restored to what this host has read from the
// restored store: the configuration and adapter versions if they are newer, evacuated zones, and upstreams that have left.
func (w *Watcher) LearnTables(p PriorTables) {
	w.mu.Lock()
	next := *w.view.Load()
	w.applyPacked(&next, p.Config, p.Versions)
	w.applyDeparted(&next, p.Departed)
	for _, zone := range p.EvacuatedZones {
		if !next.Evacuated.Zones[zone] {
			w.evacuations.held[zone] = heldZone{evacuated: true, until: time.Now().Add(evacuationHold)}
		}
	}
	w.awaitHoldEnd()
	e := next.Evacuated
	e.Zones, e.Continuous = w.evacuations.stored, true
	w.setZones(&next, e)
	w.publish(&next)
}

// awaitHoldEnd sets the timer that ends the holds.
func (w *Watcher) awaitHoldEnd() {
	if len(w.evacuations.held) > 0 {
		time.AfterFunc(evacuationHold, w.endHolds)
	}
}

// endHolds ends the holds whose time is over: what the store lists is then in force.
func (w *Watcher) endHolds() {
	w.mu.Lock()
	m, now := &w.evacuations, time.Now()
	before := len(m.held)
	maps.DeleteFunc(m.held, func(_ string, h heldZone) bool { return !now.Before(h.until) })
	if len(m.held) == before {
		w.mu.Unlock()
		return
	}
	next := *w.view.Load()
	e := next.Evacuated
	e.Zones = m.stored
	w.setZones(&next, e)
	w.publish(&next)
}
