package lead

import (
	"time"
)

// usageRecord is what organisations have used of late, as it lies in the
// lease's row. It outlives every host.
type usageRecord struct {
	// ClockMS is the store's clock when the record was made.
	ClockMS int64           `cbor:"1,keyasint"`
	Used    []recordedUsage `cbor:"2,keyasint"`
}

// recordedUsage is what one organisation used at one time.
type recordedUsage struct {
	Organisation string  `cbor:"1,keyasint"`
	AgeMS        int64   `cbor:"2,keyasint"`
	Tokens       float32 `cbor:"3,keyasint"`
}

// recordedPart is the part of its limit that an organisation must have used to
// be recorded. One that is below cannot exceed the limit's slack by what is
// forgotten.
const recordedPart = 0.15

// recordUsage returns what organisations have used, to be kept with the lease.
// It is called with the lock held.
func (b *Broker) recordUsage(now time.Time) usageRecord {
	r := usageRecord{ClockMS: b.lead.row.storeClock(b.options.Clock()).Milliseconds()}
	if b.leading == nil {
		return r
	}
	b.leading.EachUsage(now, recordedPart, func(organisation string, at time.Time, tokens float64) {
		r.Used = append(r.Used, recordedUsage{Organisation: organisation, AgeMS: now.Sub(at).Milliseconds(), Tokens: float32(tokens)})
	})
	return r
}

// recallUsage takes up what the last lead recorded. What was used after that is
// not known: each organisation is taken to have gone on at its rate until the
// record would have been renewed.
func (b *Broker) recallUsage(now time.Time, row *leaseView) {
	if row.clock == 0 || row.usage.ClockMS == 0 {
		return
	}
	age := row.storeClock(b.options.Clock()) - milliseconds(row.usage.ClockMS)
	recordedAt := now.Add(-age)
	seen := map[string]bool{}
	for _, u := range row.usage.Used {
		b.leading.RestoreUsage(now, recordedAt.Add(-milliseconds(u.AgeMS)), u.Organisation, float64(u.Tokens))
		seen[u.Organisation] = true
	}
	for organisation := range seen {
		b.leading.RestoreEstimatedUsage(now, recordedAt, min(age, renewEvery), organisation)
	}
}
