package spread

import (
	"github.com/jasminelock/jasminelock/record"
	"github.com/jasminelock/jasminelock/store"
	"github.com/jasminelock/jasminelock/wire"
)

// rebuild collects all changes of the table service, from the first, after a restore of the store. It replaces the
// configuration in force once it has reached the head.
type rebuild struct {
	// era is the era in which all of the changes were read. A further restore starts another rebuild.
	era      int64
	config   *record.Config
	archive  archive
	changes  changeLog
	problems []error
}

// readBase returns the revision after which changes are read from the table service.
func (m *Machine) readBase() store.Position {
	if m.rebuild != nil {
		return m.rebuild.config.Revision
	}
	return m.config.Revision
}

// needsRebuild reports whether the head was written in a newer era than the configuration in force. A head of an older era,
// read from a restored store, leaves the configuration as it is.
func (m *Machine) needsRebuild(a StoreAnswer) bool {
	return store.EraOf(a.Head) > store.EraOf(m.config.Revision)
}

// addToRebuild adds the changes of an answer, and puts the result in force when it has reached the head.
func (m *Machine) addToRebuild(a StoreAnswer) {
	if m.rebuild == nil || m.rebuild.era != a.Era {
		m.rebuild = &rebuild{era: a.Era, config: record.NewConfig()}
	}
	r := m.rebuild
	r.add(a.Changes)
	if r.config.Revision < a.Head {
		return
	}
	m.archive, m.changes, m.fetch = r.archive, r.changes, nil
	m.activate(r.config, r.problems)
}

// add applies the changes that follow. Within one read, numbers are consecutive also where the era rises.
func (r *rebuild) add(changes []Change) {
	next := r.config.Revision
	var records []wire.ConfigRecord
	for _, c := range changes {
		if c.Revision < next || store.VersionOf(c.Revision) != store.VersionOf(next)+1 {
			continue
		}
		next = c.Revision
		records = append(records, c.Records...)
		r.changes.add(c)
	}
	if next == r.config.Revision {
		return
	}
	config, problems := r.config.Apply(next, envelopes(records))
	r.config, r.problems = config, append(r.problems, problems...)
	if err := r.archive.put(records); err != nil {
		r.problems = append(r.problems, err)
	}
}
