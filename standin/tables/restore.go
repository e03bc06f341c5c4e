package tables

import (
	"maps"
	"net/http"
	"slices"
	"strconv"
)

// OperatorTable is the table of the operator.
const OperatorTable = "op"

// headerEra is the header with the era.
const headerEra = "Store-Era"

// Copy is the content of the service at one time.
type Copy struct {
	rows     map[string]Row
	log      []Row
	logStart int64
	version  int64
}

// Copy returns a copy of the content.
func (t *Tables) Copy() Copy {
	t.mu.Lock()
	defer t.mu.Unlock()
	return Copy{rows: maps.Clone(t.rows), log: slices.Clone(t.log), logStart: t.logStart, version: t.version}
}

// Restore replaces the content by a copy, as a recovery drill does, and raises the era.
// Versions continue from that of the copy and are issued again. A test makes the service
// unavailable before with SetFaults. It returns the content that was replaced.
func (t *Tables) Restore(c Copy) (replaced Copy) {
	t.mu.Lock()
	defer t.mu.Unlock()
	replaced = Copy{rows: t.rows, log: t.log, logStart: t.logStart, version: t.version}
	t.rows, t.log, t.logStart, t.version = maps.Clone(c.rows), slices.Clone(c.log), c.logStart, c.version
	t.era++
	t.written = map[string]bool{}
	t.notify()
	return replaced
}

// WriteAgain writes the rows of a table as before a restore, as their writers do. replaced is what
// Restore has returned. Rows that were written or removed since the restore stay as they are.
func (t *Tables) WriteAgain(table string, replaced Copy) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, row := range replaced.rows {
		if row.Table == table && !t.written[id] {
			t.version++
			row.Version = t.version
			t.write(row)
		}
	}
	t.notify()
}

// RemoveAgain removes the rows of a table that were removed between the copy c and the restore,
// as their writers do or as entries expire.
func (t *Tables) RemoveAgain(table string, c, replaced Copy) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, row := range c.rows {
		_, listed := replaced.rows[id]
		if row.Table == table && !listed && !t.written[id] {
			t.version++
			row.Version, row.Tombstone, row.Value = t.version, true, nil
			t.write(row)
		}
	}
	t.notify()
}

// SetEra sets the era that responses state. Era 0 is not stated.
func (t *Tables) SetEra(era int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.era = era
}

// Version returns the newest version and the era.
func (t *Tables) Version() (version, era int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.version, t.era
}

// stateEra sets the header with the era. mu must be held.
func (t *Tables) stateEra(w http.ResponseWriter) {
	if t.era > 0 {
		w.Header().Set(headerEra, strconv.FormatInt(t.era, 10))
	}
}
