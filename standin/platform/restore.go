package platform

import (
	"bytes"
	"maps"
	"net/http"
	"strconv"

	api "github.com/jasminelock/jasminelock/store"
)

// Copy is a copy of the platform's data.
type Copy struct {
	tables  map[string]map[string]api.Row
	objects map[string][]byte
	hosts   map[string]hostEntry
}

// Copy returns a copy of the tables, the objects and the host list as they are now.
func (p *Platform) Copy() *Copy {
	p.mu.Lock()
	defer p.mu.Unlock()
	return &Copy{tables: cloneTables(p.tables), objects: cloneObjects(p.objects), hosts: maps.Clone(p.hosts)}
}

// Restore replaces the tables and the host list by those of a copy and raises the era by one, which all answers state
// from then on. Versions of rows go back to those of the copy and are issued again.
//
// The objects stay: rows and objects may be of different times. RestoreObjects restores them. Weights are not restored.
func (p *Platform) Restore(c *Copy) {
	p.restoring.Lock()
	defer p.restoring.Unlock()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.tables = cloneTables(c.tables)
	p.hosts = maps.Clone(c.hosts)
	p.recordHosts()
	p.era++
}

// RestoreObjects replaces the objects by those of a copy. It does not raise the era.
func (p *Platform) RestoreObjects(c *Copy) {
	p.restoring.Lock()
	defer p.restoring.Unlock()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.objects = cloneObjects(c.objects)
}

// stateEra sets the header of the era, unless the platform has never been restored.
func (p *Platform) stateEra(w http.ResponseWriter) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.era > 0 {
		w.Header().Set(api.HeaderEra, strconv.FormatInt(p.era, 10))
	}
}

// cloneTables copies the maps. Values of rows are replaced, never modified.
func cloneTables(tables map[string]map[string]api.Row) map[string]map[string]api.Row {
	clone := make(map[string]map[string]api.Row, len(tables))
	for name, rows := range tables {
		clone[name] = maps.Clone(rows)
	}
	return clone
}

func cloneObjects(objects map[string][]byte) map[string][]byte {
	clone := make(map[string][]byte, len(objects))
	for name, data := range objects {
		clone[name] = bytes.Clone(data)
	}
	return clone
}
