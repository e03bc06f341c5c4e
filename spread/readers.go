package spread

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// readersPerZone is the number of hosts of each zone that read the table service
// often. Readers need no lease, since an additional reader does no harm.
const readersPerZone = 2

// isReader reports whether self is among the first readersPerZone hosts of its zone.
// Hosts are ranked by hash, so that all hosts with the same member list agree.
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

// Tick handles expired timeouts and starts a read of the table service if one is
// due. It must be called several times in each read interval.
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
		m.decisions = append(m.decisions, ReadStore{ID: m.readID, After: m.readBase()})
	}
	return m.takeDecisions()
}

// readDue reports whether the head must be read now. If so, it schedules the next
// read.
func (m *Machine) readDue(now time.Time) bool {
	interval := m.currentReadInterval(now)
	if m.nextRead.Sub(now) > interval {
		// The interval became shorter, usually on many hosts at once: a random delay
		// spreads their reads.
		m.nextRead = now.Add(time.Duration(m.rand.Int64N(int64(interval))))
	}
	if now.Before(m.nextRead) {
		return false
	}
	// Jitter keeps hosts that started at the same time from reading at the same time.
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

// HandleStoreAnswer handles the table service's answer to a ReadStore. It ignores an answer
// to a read that has timed out, since the answer may be outdated.
func (m *Machine) HandleStoreAnswer(now time.Time, a StoreAnswer) []Decision {
	if a.ID != m.readID || m.readSentAt.IsZero() {
		return nil
	}
	sentAt := m.readSentAt
	m.readSentAt = time.Time{}
	if a.Err != nil {
		m.freshness.recordFailedRead(sentAt)
		return m.takeDecisions()
	}
	if m.needsRebuild(a) {
		m.addToRebuild(a)
	} else {
		m.install(a.Changes)
	}
	switch {
	case m.config.Revision < a.Head:
		m.nextRead = now // the answer did not hold all changes
	default:
		m.recordConfirmation(now, sentAt)
	}
	return m.takeDecisions()
}
