package membership

import (
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/jasminelock/jasminelock/wire"
)

// digestBuckets is the number of parts that a roster is compared in.
const digestBuckets = 16

func bucketOf(name string) int {
	return int(xxhash.Sum64String(name) % digestBuckets)
}

// entryHash covers what makes an entry newer than another.
func entryHash(e wire.HostEntry) uint64 {
	raw := make([]byte, 0, len(e.Name)+9)
	raw = append(raw, e.Name...)
	raw = binary.BigEndian.AppendUint64(raw, e.Incarnation)
	raw = append(raw, byte(e.State))
	return xxhash.Sum64(raw)
}

// buckets returns the hash of each part of the roster, not to be changed. Hosts that are gone do
// not count, since each host forgets them at its own time.
func (m *Machine) buckets() []uint64 {
	if m.hashes == nil {
		m.hashes = make([]uint64, digestBuckets)
		for name, e := range m.entries {
			if e.State != wire.HostGone {
				m.hashes[bucketOf(name)] ^= entryHash(e.HostEntry)
			}
		}
	}
	return m.hashes
}

// hash covers the whole roster.
func (m *Machine) hash() uint64 {
	var all uint64
	for i, h := range m.buckets() {
		all ^= h * uint64(2*i+1)
	}
	return all
}

// onDigest sends the entries of the buckets that differ.
func (m *Machine) onDigest(from string, d *wire.MemberListDigest) {
	if len(d.Buckets) != digestBuckets {
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

// sendEntries sends entries in frames of bounded size, ordered by name.
func (m *Machine) sendEntries(to string, entries []wire.HostEntry) {
	slices.SortFunc(entries, func(a, b wire.HostEntry) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	for chunk := range slices.Chunk(entries, entriesPerFrame) {
		m.send(to, &wire.MemberListUpdate{Entries: chunk})
	}
}
