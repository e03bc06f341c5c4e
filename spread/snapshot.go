package spread

import (
	"math"
	"time"

	"github.com/jasminelock/jasminelock/record"
	"github.com/jasminelock/jasminelock/store"
	"github.com/jasminelock/jasminelock/wire"
)

// bucketPullBatch is the number of buckets that are requested at a time.
const bucketPullBatch = 16

// fetch is the state of a snapshot transfer from another host. If changes are
// accepted during the transfer, the buckets have different revisions. They are put
// in force when the changes between the lowest and the highest of these revisions
// have arrived too.
type fetch struct {
	from           string
	lastActivityAt time.Time
	buckets        [archiveBuckets]*bucket
	missing        int
	// requestedBuckets is the number of buckets requested so far.
	requestedBuckets int
	parts            map[int]*bucketParts
}

type bucket struct {
	revision store.Position
	packed   []byte
	records  []wire.ConfigRecord
}

type bucketParts struct {
	revision store.Position
	parts    [][]byte
	missing  int
}

func newFetch(from string, now time.Time) *fetch {
	return &fetch{from: from, lastActivityAt: now, missing: archiveBuckets, parts: map[int]*bucketParts{}}
}

func (f *fetch) complete() bool { return f.missing == 0 }

// lowestRevision returns the lowest revision of the buckets. Every change after it
// is needed.
func (f *fetch) lowestRevision() store.Position {
	lowest := store.Position(math.MaxInt64)
	for _, b := range f.buckets {
		lowest = min(lowest, b.revision)
	}
	return lowest
}

// highestRevision returns the highest revision of the buckets. The buckets form a
// consistent state only when all of them have been brought to it.
func (f *fetch) highestRevision() store.Position {
	highest := store.Position(0)
	for _, b := range f.buckets {
		highest = max(highest, b.revision)
	}
	return highest
}

func (m *Machine) onSnapshotOffer(now time.Time, from string, o *wire.SnapshotOffer) {
	if o.Revision <= m.config.Revision || o.Buckets != archiveBuckets {
		return
	}
	if m.fetch != nil && now.Sub(m.fetch.lastActivityAt) < snapshotTimeout {
		return
	}
	m.fetch = newFetch(from, now)
	m.requestBuckets()
}

// requestBuckets requests the next bucketPullBatch buckets.
func (m *Machine) requestBuckets() {
	f := m.fetch
	for range bucketPullBatch {
		if f.requestedBuckets == archiveBuckets {
			return
		}
		m.send(f.from, &wire.SnapshotPull{Bucket: f.requestedBuckets})
		f.requestedBuckets++
	}
}

func (m *Machine) onSnapshotPull(from string, p *wire.SnapshotPull) {
	if p.Bucket < 0 || p.Bucket >= archiveBuckets {
		return
	}
	packed := m.archive.buckets[p.Bucket]
	parts := max(1, (len(packed)+maxPartBytes-1)/maxPartBytes)
	for i := range parts {
		end := min(len(packed), (i+1)*maxPartBytes)
		m.send(from, &wire.SnapshotPart{
			Revision: m.config.Revision, Bucket: p.Bucket, Part: i, Parts: parts, Data: packed[i*maxPartBytes : end],
		})
	}
}

func (m *Machine) onSnapshotPart(now time.Time, from string, p *wire.SnapshotPart) {
	f := m.fetch
	if f == nil || f.from != from || p.Bucket < 0 || p.Bucket >= archiveBuckets || f.buckets[p.Bucket] != nil {
		return
	}
	f.lastActivityAt = now
	packed, bucketComplete := f.add(p)
	if !bucketComplete {
		return
	}
	records, err := unpack(packed)
	if err != nil {
		m.fetch = nil // the next heartbeat starts a new pull
		return
	}
	f.buckets[p.Bucket] = &bucket{revision: p.Revision, packed: packed, records: records}
	f.missing--
	if (archiveBuckets-f.missing)%bucketPullBatch == 0 {
		m.requestBuckets()
	}
	if f.complete() {
		m.advance()
		if m.fetch != nil {
			delete(m.lastPullAt, from)
			m.pull(now, from)
		}
	}
}

// add records a part. It returns the compressed bucket and true when no part of the
// bucket is missing.
func (f *fetch) add(p *wire.SnapshotPart) ([]byte, bool) {
	if p.Parts < 1 || p.Parts > maxParts || p.Part < 0 || p.Part >= p.Parts {
		return nil, false
	}
	b, ok := f.parts[p.Bucket]
	if !ok || b.revision != p.Revision || len(b.parts) != p.Parts {
		b = &bucketParts{revision: p.Revision, parts: make([][]byte, p.Parts), missing: p.Parts}
		f.parts[p.Bucket] = b
	}
	if b.parts[p.Part] == nil {
		b.parts[p.Part] = append([]byte{}, p.Data...)
		b.missing--
	}
	if b.missing > 0 {
		return nil, false
	}
	delete(f.parts, p.Bucket)
	var packed []byte
	for _, part := range b.parts {
		packed = append(packed, part...)
	}
	return packed, true
}

// advanceFetched puts the fetched snapshot in force if all buckets are complete and
// every change between their lowest and highest revision has arrived.
func (m *Machine) advanceFetched() {
	f := m.fetch
	if f == nil || !f.complete() {
		return
	}
	if f.highestRevision() <= m.config.Revision || store.EraOf(f.lowestRevision()) != store.EraOf(f.highestRevision()) {
		m.fetch = nil // buckets of two eras are not of one history; the next heartbeat starts a new pull
		return
	}
	records, between, ok := m.fetchedRecords()
	if !ok {
		return
	}
	m.fetch = nil
	m.replaceConfig(f, records, between)
}

// fetchedRecords returns the records of all buckets and the changes to apply to
// them. It returns false if one of these changes has not arrived.
func (m *Machine) fetchedRecords() ([]wire.ConfigRecord, []Change, bool) {
	var between []Change
	for r := m.fetch.lowestRevision() + 1; r <= m.fetch.highestRevision(); r++ {
		c, ok := m.pendingChanges[r]
		if !ok {
			return nil, nil, false
		}
		between = append(between, c)
	}
	var records []wire.ConfigRecord
	for _, b := range m.fetch.buckets {
		records = append(records, b.records...)
	}
	return records, between, true
}

// replaceConfig replaces the configuration, the archive and the change log by a
// fetched snapshot with the changes applied to it.
func (m *Machine) replaceConfig(f *fetch, records []wire.ConfigRecord, between []Change) {
	var next archive
	for i, b := range f.buckets {
		next.buckets[i] = b.packed
	}
	m.archive = next
	m.changes.clear()
	for _, c := range between {
		records = append(records, c.Records...)
		m.changes.add(c)
	}
	config, problems := record.NewConfig().Apply(f.highestRevision(), envelopes(records))
	for _, c := range between {
		if err := m.archive.put(c.Records); err != nil {
			problems = append(problems, err)
		}
	}
	m.activate(config, problems)
}
