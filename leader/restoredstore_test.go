package leader

import (
	"maps"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/jasminelock/jasminelock/assign"
	"github.com/jasminelock/jasminelock/store"
	"github.com/jasminelock/jasminelock/watch"
)

// ObserveEra implements Source.
func (h *testHost) ObserveEra(int64) {}

// LearnTables implements Source.
func (h *testHost) LearnTables(p watch.PriorTables) {
	h.fleet.mu.Lock()
	defer h.fleet.mu.Unlock()
	h.learned = p
}

// Departed implements Source.
func (h *testHost) Departed() []watch.Incarnation {
	return []watch.Incarnation{{ID: "left", StartedAt: 1}}
}

// mutant selects a place in which hosts ignore the era of the store.
type mutant int

const (
	noMutant mutant = iota
	// eraIgnored hides the era from hosts.
	eraIgnored
	// writeEraIgnored makes answers to writes state the era in which the row was read.
	writeEraIgnored
	// rowEraIgnored makes the row of the lease state the present era, whenever it was written.
	rowEraIgnored
	// waitIgnored makes hosts claim the lease in a new era without waiting; see ignoreWaits.
	waitIgnored
)

// position returns a version as hosts see it. f.mu must be held.
func (f *fleet) position(version int64) store.Position {
	if f.mutant == eraIgnored {
		return version
	}
	return store.NewPosition(f.era, version)
}

// read returns a row as hosts see it. f.mu must be held.
func (f *fleet) read(row store.Row) store.Row {
	if f.mutant == rowEraIgnored && row.Key == leaseKey {
		var l lease
		if cbor.Unmarshal(row.Value, &l) == nil {
			l.Era = f.era
			row.Value, _ = cbor.Marshal(l)
		}
	}
	row.Version = f.position(row.Version)
	return row
}

// commitStamp returns the stamp of a write as hosts see it. f.mu must be held.
func (f *fleet) commitStamp(txn store.Txn) store.Stamp {
	s := f.stamp()
	if f.mutant == writeEraIgnored && txn.Conditions[0].Version != 0 {
		s.Version = store.NewPosition(store.EraOf(txn.Conditions[0].Version), f.version)
	}
	return s
}

// storeCopy is a copy of the store.
type storeCopy struct {
	rows    map[string]store.Row
	version int64
}

func (f *fleet) copyStore() storeCopy {
	f.mu.Lock()
	defer f.mu.Unlock()
	return storeCopy{maps.Clone(f.rows), f.version}
}

// restore brings the store back from a copy in a new era.
func (f *fleet) restore(c storeCopy) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.rows, f.version = maps.Clone(c.rows), c.version
	f.era++
}

// ignoreWaits moves the time at which hosts have first seen the present era into the past, for 4 s, so that they do not wait
// before they claim the lease.
func (f *fleet) ignoreWaits() {
	for range 400 {
		time.Sleep(10 * time.Millisecond)
		f.mu.Lock()
		for _, h := range f.hosts {
			h.broker.mu.Lock()
			h.broker.era.seenAt = -time.Hour
			h.broker.mu.Unlock()
		}
		f.mu.Unlock()
	}
}

// state returns the fencing token of a host's term and its assigner, nil if it does not lead.
func (h *testHost) state() (fence int64, leading *assign.Assigner) {
	h.broker.mu.Lock()
	defer h.broker.mu.Unlock()
	return h.broker.leader.fence, h.broker.leading
}
