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
	if m.fetch != nil && now.Sub(m.fetch.lastActivityAt) >= snapshotTimeout {
		m.fetch = nil
	}
	if !m.readSentAt.IsZero() && now.Sub(m.readSentAt) >= readTimeout {
		m.freshness.recordFailedRead(m.readSentAt)
		m.readSentAt = time.Time{}
	}
	if m.readSentAt.IsZero() && m.readDue(now) {
		m.readSentAt = now
		m.readID++
		m.decisions = append(m.decisions, ReadStore{ID: m.readID, After: m.config.Revision})
	}
	return m.takeDecisions()
}

// readDue reports whether the head is to be read, and sets when to read it next.
func (m *Machine) readDue(now time.Time) bool {
	interval := m.currentReadInterval(now)
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

func (m *Machine) currentReadInterval(now time.Time) time.Duration {
	switch {
	case m.reader, m.config.Revision == 0:
		return m.readInterval
	case now.Sub(m.freshness.confirmedAt) > unconfirmedAfter:
		return unconfirmedReadInterval
	}
	return slowReadInterval
}

// StoreRead takes the table service's answer. An answer to a read that was
// given up is of no use, since it may be old.
func (m *Machine) StoreRead(now time.Time, a StoreAnswer) []Decision {
	if a.ID != m.readID || m.readSentAt.IsZero() {
		return nil
	}
	sentAt := m.readSentAt
	m.readSentAt = time.Time{}
	if a.Err != nil {
		m.freshness.recordFailedRead(sentAt)
		return m.takeDecisions()
	}
	m.install(a.Changes)
	switch {
	case m.config.Revision < a.Head:
		m.nextRead = now // there is more than one answer holds
	default:
		m.recordConfirmation(now, sentAt)
	}
	return m.takeDecisions()
}
