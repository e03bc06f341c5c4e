package membership

import (
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/jasminelock/jasminelock/wire"
)

// bucketCount is the number of buckets by which member lists are compared.
const bucketCount = 16

func bucketOf(name string) int {
	return int(xxhash.Sum64String(name) % bucketCount)
}

// entryHash returns a hash of the fields that order two entries of a host.
func entryHash(e wire.HostEntry) uint64 {
	raw := make([]byte, 0, len(e.Name)+9)
	raw = append(raw, e.Name...)
	raw = binary.BigEndian.AppendUint64(raw, e.Incarnation)
	raw = append(raw, byte(e.State))
	return xxhash.Sum64(raw)
}

// buckets returns the hash of each bucket. The caller must not modify the slice. Gone
// hosts are left out, because each host drops their entries at a different time.
func (m *Machine) buckets() []uint64 {
	if m.bucketHashes == nil {
		m.bucketHashes = make([]uint64, bucketCount)
		for name, e := range m.entries {
			if e.State != wire.HostGone {
				m.bucketHashes[bucketOf(name)] ^= entryHash(e.HostEntry)
			}
		}
	}
	return m.bucketHashes
}

// memberListHash returns a hash of the whole member list.
func (m *Machine) memberListHash() uint64 {
	var combined uint64
	for i, h := range m.buckets() {
		combined ^= h * uint64(2*i+1)
	}
	return combined
}

// onDigest sends the entries of the buckets whose hashes differ, and this host's own
// digest if requested. A digest with a different number of buckets is ignored.
func (m *Machine) onDigest(from string, d *wire.MemberListDigest) {
	if len(d.Buckets) != bucketCount {
		return
	}
	var differing []wire.HostEntry
	own := m.buckets()
	for name, e := range m.entries {
		if b := bucketOf(name); own[b] != d.Buckets[b] {
			differing = append(differing, e.HostEntry)
		}
	}
	m.sendEntries(from, differing)
	if d.WantDigest {
		m.send(from, &wire.MemberListDigest{Buckets: own})
	}
}

// sendEntries sends the entries, ordered by name, in messages of at most
// maxEntriesPerFrame.
func (m *Machine) sendEntries(to string, entries []wire.HostEntry) {
	slices.SortFunc(entries, func(a, b wire.HostEntry) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	for chunk := range slices.Chunk(entries, maxEntriesPerFrame) {
		m.send(to, &wire.MemberListUpdate{Entries: chunk})
	}
}
