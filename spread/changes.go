package spread

import (
	"github.com/jasminelock/jasminelock/record"
	"github.com/jasminelock/jasminelock/store"
	"github.com/jasminelock/jasminelock/wire"
)

// Bounds of the change log and of the frames in which changes are sent.
const (
	maxKeptChanges     = 512
	maxKeptChangeBytes = 1 << 20
	// maxPartBytes bounds the size of the records of one frame, unless a single record
	// is larger.
	maxPartBytes = 256 << 10
	// maxParts bounds the frames of one change or bucket.
	maxParts = 4096
)

// Change is one accepted configuration change: the records written at a revision.
type Change struct {
	Revision store.Position
	Records  []wire.ConfigRecord
}

// FromEnvelopes returns the change that consists of the given records.
func FromEnvelopes(revision store.Position, envelopes []record.Envelope) Change {
	c := Change{Revision: revision, Records: make([]wire.ConfigRecord, 0, len(envelopes))}
	for _, e := range envelopes {
		c.Records = append(c.Records, wire.ConfigRecord{
			Schema: e.Schema, Kind: string(e.Kind), Name: e.Name, Revision: revision, Deleted: e.Deleted, Spec: e.Spec,
		})
	}
	return c
}

func envelopes(records []wire.ConfigRecord) []record.Envelope {
	all := make([]record.Envelope, 0, len(records))
	for _, r := range records {
		all = append(all, record.Envelope{
			Schema: r.Schema, Kind: record.Kind(r.Kind), Name: r.Name, Revision: r.Revision, Deleted: r.Deleted, Spec: r.Spec,
		})
	}
	return all
}

// recordOverhead is an estimate, in bytes, of a record's encoded size without its
// kind, name and spec.
const recordOverhead = 32

func recordBytes(r wire.ConfigRecord) int {
	return len(r.Kind) + len(r.Name) + len(r.Spec) + recordOverhead
}

func (c Change) bytes() int {
	n := 0
	for _, r := range c.Records {
		n += recordBytes(r)
	}
	return n
}

// frames splits the change into messages of at most maxPartBytes of records each.
// A larger record has a message of its own.
func (c Change) frames() []*wire.ConfigChange {
	var parts [][]wire.ConfigRecord
	size := maxPartBytes
	for _, r := range c.Records {
		if size+recordBytes(r) > maxPartBytes {
			parts = append(parts, nil)
			size = 0
		}
		parts[len(parts)-1] = append(parts[len(parts)-1], r)
		size += recordBytes(r)
	}
	if len(parts) == 0 {
		parts = append(parts, nil)
	}
	messages := make([]*wire.ConfigChange, 0, len(parts))
	for i, records := range parts {
		messages = append(messages, &wire.ConfigChange{Revision: c.Revision, Part: i, Parts: len(parts), Records: records})
	}
	return messages
}

// changeLog retains the newest changes of one era, without gaps, for hosts that missed some.
type changeLog struct {
	changes []Change
	bytes   int
}

func (l *changeLog) add(c Change) {
	if len(l.changes) > 0 && store.EraOf(l.changes[0].Revision) != store.EraOf(c.Revision) {
		l.clear()
	}
	l.changes = append(l.changes, c)
	l.bytes += c.bytes()
	for len(l.changes) > 1 && (len(l.changes) > maxKeptChanges || l.bytes > maxKeptChangeBytes) {
		l.bytes -= l.changes[0].bytes()
		l.changes[0] = Change{}
		l.changes = l.changes[1:]
	}
}

func (l *changeLog) clear() {
	l.changes, l.bytes = nil, 0
}

// after returns the changes that follow a revision. It returns false if the first of
// them is no longer retained.
func (l *changeLog) after(revision store.Position) ([]Change, bool) {
	if len(l.changes) == 0 || l.changes[0].Revision > revision+1 {
		return nil, false
	}
	from := int(revision + 1 - l.changes[0].Revision)
	if from >= len(l.changes) {
		return nil, true
	}
	return l.changes[from:], true
}

// assembly collects the parts of one change.
type assembly struct {
	revision store.Position
	parts    [][]wire.ConfigRecord
	missing  int
}

// add records a part. It returns the records of the change and true when no part is
// missing.
func (a *assembly) add(c *wire.ConfigChange) ([]wire.ConfigRecord, bool) {
	if c.Parts < 1 || c.Parts > maxParts || c.Part < 0 || c.Part >= c.Parts {
		return nil, false
	}
	if a.revision != c.Revision || len(a.parts) != c.Parts {
		*a = assembly{revision: c.Revision, parts: make([][]wire.ConfigRecord, c.Parts), missing: c.Parts}
	}
	if a.parts[c.Part] == nil {
		a.parts[c.Part] = append([]wire.ConfigRecord{}, c.Records...)
		a.missing--
	}
	if a.missing > 0 {
		return nil, false
	}
	var all []wire.ConfigRecord
	for _, part := range a.parts {
		all = append(all, part...)
	}
	*a = assembly{}
	return all, true
}
