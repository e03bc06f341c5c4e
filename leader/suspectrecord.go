package leader

import (
	"context"
	"errors"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/jasminelock/jasminelock/quarantine"
	"github.com/jasminelock/jasminelock/store"
	"github.com/jasminelock/jasminelock/wire"
)

// suspectRecord is a list of suspects as stored in the lease's row or the row of shared suspects.
type suspectRecord struct {
	// ClockMS is the store's clock at the time of the record, in milliseconds; 0 if it was not known.
	ClockMS  int64          `cbor:"1,keyasint"`
	Suspects []wire.Suspect `cbor:"2,keyasint,omitempty"`
}

// recordedEntries returns the ledger's entries that are to be stored.
func (b *Broker) recordedEntries(now time.Time) []quarantine.Entry {
	entries := b.ledger.Entries(now, maxRecordedSuspects, func(e *quarantine.Entry) bool {
		return len(e.Interrupted) >= minSuspectIncarnations || now.Sub(e.ChangedAt()) < unconfirmedRetention
	})
	for i := range entries {
		entries[i].Interrupted = latestAttempts(entries[i].Interrupted, maxRecordedAttempts)
	}
	return entries
}

// newSuspectRecord returns the suspects to be stored with the lease.
func (b *Broker) newSuspectRecord(now time.Time) suspectRecord {
	entries := b.recordedEntries(now)
	r := suspectRecord{}
	refusals := b.ledger.Refusals(now)
	for i := range refusals[:min(len(refusals), maxRecordedSuspects)] {
		r.Suspects = append(r.Suspects, b.refusedSuspect(now, &refusals[i]))
	}
	r.Suspects = append(r.Suspects, wireSuspects(now, entries)...)
	if b.leader.row.storeTime > 0 {
		r.ClockMS = b.leader.row.storeTimeAt(b.options.Clock()).Milliseconds()
	}
	return r
}

// restoreSuspects merges the suspects that were read with the lease, and those shared by hosts without a leader.
func (b *Broker) restoreSuspects(now time.Time, row *leaseView) {
	for _, record := range []*suspectRecord{&row.suspects, &row.shared} {
		b.mergeAged(now, "store", record.Suspects, b.recordAge(row, record))
	}
}

// recordAge returns the age of a record, 0 if it is not known.
func (b *Broker) recordAge(row *leaseView, record *suspectRecord) time.Duration {
	if row.storeTime == 0 || record.ClockMS == 0 {
		return 0
	}
	return max(row.storeTimeAt(b.options.Clock())-milliseconds(record.ClockMS), 0)
}

// shareSuspectsAfter is how long a host has no leader before it shares its suspects with other hosts through the
// store. A lost leader is usually replaced sooner.
const shareSuspectsAfter = 1500 * time.Millisecond

// shareSuspects writes this host's suspects to the store if it has no leader to report them to, and the shared
// row, as just read, does not hold them.
func (b *Broker) shareSuspects(ctx context.Context, row *leaseView) {
	b.mu.Lock()
	now := time.Now()
	leaderless := b.leading == nil && b.leader.host == "" && now.Sub(b.leaderlessSince) > shareSuspectsAfter
	var record suspectRecord
	if leaderless && b.hasUnshared(now, row) {
		record = b.newSuspectRecord(now)
	}
	b.mu.Unlock()
	if len(record.Suspects) == 0 {
		return
	}
	raw, err := cbor.Marshal(record)
	if err != nil {
		b.log.Error("suspects cannot be encoded; not shared with other hosts", "error", err)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	_, err = b.options.Tables.CommitStamped(ctx, store.Txn{
		Conditions: []store.Condition{{Table: leaseTable, Key: suspectsKey, Version: row.sharedVersion}},
		Writes:     []store.Write{{Table: leaseTable, Key: suspectsKey, Value: raw}},
	})
	if err != nil { // retried after the next read of the lease
		b.log.Debug("suspects not written to the store; retrying after the next read of the lease", "error", err)
		return
	}
	b.log.Info("suspects shared with other hosts through the store", "suspects", len(record.Suspects))
}

// hasUnshared reports whether this host knows of an interrupted attempt, or of an upstream's end, that the shared
// row does not hold.
func (b *Broker) hasUnshared(now time.Time, row *leaseView) bool {
	known := quarantine.NewLedger()
	recordedAt := now.Add(-b.recordAge(row, &row.shared))
	for i := range row.shared.Suspects {
		if e, err := decodeSuspect(recordedAt, &row.shared.Suspects[i]); err == nil {
			known.Learn(now, e)
		}
	}
	changed := false
	for _, e := range b.recordedEntries(now) {
		e.ClearedAt = time.Time{}
		changed = known.Learn(now, e) || changed
	}
	return changed
}

// wireSuspects encodes entries of the ledger of crashing requests.
func wireSuspects(now time.Time, entries []quarantine.Entry) []wire.Suspect {
	var out []wire.Suspect
	for i := range entries {
		out = append(out, wireSuspect(now, &entries[i]))
	}
	return out
}

func wireSuspect(now time.Time, e *quarantine.Entry) wire.Suspect {
	s := wire.Suspect{Key: e.Key[:], Name: e.Name, Depth: e.Depth}
	for _, b := range e.Interrupted {
		s.Interrupted = append(s.Interrupted, wire.InterruptedAttempt{
			Incarnation: uint64(b.Incarnation), IncarnationEnded: b.UpstreamEnded, AgeMillis: now.Sub(b.At).Milliseconds(),
			RanMillis: b.Ran.Milliseconds(), Request: b.Request,
		})
	}
	if !e.ClearedAt.IsZero() {
		s.Cleared, s.ClearedAgeMillis = true, now.Sub(e.ClearedAt).Milliseconds()
	}
	return s
}

// errInvalidSuspect is returned for a reported suspect that is malformed.
var errInvalidSuspect = errors.New("leader: reported suspect has a key of the wrong length, a negative age or a refusal of more than a day")

// maxReportedRefusal is the longest refusal that is accepted from another host.
const maxReportedRefusal = 24 * time.Hour

// decodeSuspect decodes a suspect reported by another host. It returns errInvalidSuspect if the key has a wrong
// length or a duration is out of range.
func decodeSuspect(now time.Time, s *wire.Suspect) (quarantine.Entry, error) {
	e := quarantine.Entry{}
	if len(s.Key) != len(e.Key) || s.ClearedAgeMillis < 0 || s.RefusedMillis < 0 || s.RefusedMillis > maxReportedRefusal.Milliseconds() {
		return e, errInvalidSuspect
	}
	e.Key, e.Name, e.Depth, e.Released = quarantine.Key(s.Key), s.Name[:min(len(s.Name), maxPartName)], s.Depth, s.Released
	for _, b := range s.Interrupted {
		if b.AgeMillis < 0 || b.RanMillis < 0 {
			return e, errInvalidSuspect
		}
		e.Interrupted = append(e.Interrupted, quarantine.InterruptedAttempt{
			Incarnation: quarantine.Incarnation(b.Incarnation), UpstreamEnded: b.IncarnationEnded, At: now.Add(-milliseconds(b.AgeMillis)),
			Ran: milliseconds(b.RanMillis), Request: b.Request,
		})
	}
	if s.Cleared {
		e.ClearedAt = now.Add(-milliseconds(s.ClearedAgeMillis))
	}
	if s.RefusedMillis > 0 {
		e.RefusedUntil = now.Add(milliseconds(s.RefusedMillis))
	}
	return e, nil
}
