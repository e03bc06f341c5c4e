package spread

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// readersPerZone is how many hosts of each zone read the table service often.
// One more than is needed does no harm, so that no lease is taken for it.
const readersPerZone = 2

// isReader ranks the hosts of a zone by hash, the same on every host with the
// same roster.
func isReader(self Host, hosts []Host) bool {
	var zone []Host
	for _, h := range hosts {
		if h.Zone == self.Zone && (!h.Suspected || h.Name == self.Name) {
			zone = append(zone, h)
		}
	}
	slices.SortFunc(zone, func(a, b Host) int {
		return cmp.Or(cmp.Compare(readerRank(a), readerRank(b)), cmp.Compare(a.Name, b.Name))
	})
	for _, h := range zone[:min(len(zone), readersPerZone)] {
		if h.Name == self.Name {
			return true
		}
	}
	return false
}

func readerRank(h Host) uint64 {
	return xxhash.Sum64String("reader\x00" + h.Name)
}

// Tick lets time pass. It must be called several times in a read interval.
func (m *Machine) Tick(now time.Time) []Decision {
	if m.fetch != nil && now.Sub(m.fetch.heardAt) >= snapshotTimeout {
		m.fetch = nil
	}
	if !m.readAt.IsZero() && now.Sub(m.readAt) >= readTimeout {
		m.fresh.readFailed(m.readAt)
		m.readAt = time.Time{}
	}
	if m.readAt.IsZero() && m.readDue(now) {
		m.readAt = now
		m.readID++
		m.out = append(m.out, ReadStore{ID: m.readID, After: m.config.Revision})
	}
	return m.take()
}

// readDue reports whether the head is to be read, and sets when to read it next.
func (m *Machine) readDue(now time.Time) bool {
	interval := m.interval(now)
	if m.nextRead.Sub(now) > interval {
		// The interval has become shorter, mostly on many hosts at once.
		m.nextRead = now.Add(time.Duration(m.rand.Int64N(int64(interval))))
	}
	if now.Before(m.nextRead) {
		return false
	}
	// The jitter keeps hosts that started together from reading together.
	jitter := time.Duration(m.rand.Int64N(int64(interval)/4 + 1))
	m.nextRead = now.Add(interval - jitter)
	return true
}

func (m *Machine) interval(now time.Time) time.Duration {
	switch {
	case m.reader, m.config.Revision == 0:
		return m.readInterval
	case now.Sub(m.fresh.confirmedAt) > searchAfter:
		return searchInterval
	}
	return slowReadInterval
}

// HandleStoreAnswer takes the table service's answer. An answer to a read that was
// given up is of no use, since it may be old.
func (m *Machine) HandleStoreAnswer(now time.Time, a StoreAnswer) []Decision {
	if a.ID != m.readID || m.readAt.IsZero() {
		return nil
	}
	sentAt := m.readAt
	m.readAt = time.Time{}
	if a.Err != nil {
		m.fresh.readFailed(sentAt)
		return m.take()
	}
	m.install(a.Changes)
	switch {
	case m.config.Revision < a.Head:
		m.nextRead = now // there is more than one answer holds
	default:
		m.confirmed(now, sentAt)
	}
	return m.take()
}
