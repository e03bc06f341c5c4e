package tables

import (
	"maps"
	"net/http"
	"slices"
	"strconv"
)

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
// unavailable before with SetFaults.
func (t *Tables) Restore(c Copy) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.rows, t.log, t.logStart, t.version = maps.Clone(c.rows), slices.Clone(c.log), c.logStart, c.version
	t.era++
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
