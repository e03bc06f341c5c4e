package leader

import (
	"time"

	"github.com/jasminelock/jasminelock/catalog"
)

// usageRecord is the recent usage of organisations as stored in the lease's row. It survives the loss of all
// hosts.
type usageRecord struct {
	// ClockMS is the store's clock at the time of the record, in milliseconds.
	ClockMS int64           `cbor:"1,keyasint"`
	Used    []recordedUsage `cbor:"2,keyasint"`
	// Era is the era of the store in which a holder of the lease has recorded the usage. A claim writes the earlier record
	// again as it was found.
	Era int64 `cbor:"3,keyasint,omitempty"`
}

// recordedUsage is the usage of one organisation at one time.
type recordedUsage struct {
	Organisation string  `cbor:"1,keyasint"`
	AgeMS        int64   `cbor:"2,keyasint"`
	Tokens       float32 `cbor:"3,keyasint"`
}

// minRecordedUsage is the fraction of its limit that an organisation must have used to be recorded. The loss of a
// lower usage stays within the limit's slack.
const minRecordedUsage = 0.15

// newUsageRecord returns the usage of organisations, to be stored with the lease. The caller must hold the lock.
func (b *Broker) newUsageRecord(now time.Time) usageRecord {
	r := usageRecord{ClockMS: b.leader.row.storeTimeAt(b.options.Clock()).Milliseconds(), Era: b.leader.row.era}
	if b.leading == nil {
		return r
	}
	b.leading.EachUsage(now, minRecordedUsage, func(organisation string, at time.Time, tokens float64) {
		r.Used = append(r.Used, recordedUsage{Organisation: organisation, AgeMS: now.Sub(at).Milliseconds(), Tokens: float32(tokens)})
	})
	return r
}

// restoreOutdatedUsage restores the usage from a row that is older than the last holder's, as after the store was restored
// from a copy: every organisation is assumed to have used its full rate since the record, for one window at most, so that
// no allowance is granted twice. What hosts report replaces the assumption where it is higher.
func (b *Broker) restoreOutdatedUsage(now time.Time, row *leaseView) {
	window := b.options.Limits.RateWindow
	if b.view.Config == nil || window <= 0 || (row.version == 0 && !b.leader.hasLostLeader) {
		return // without a row and an earlier leader, the fleet has just started
	}
	age := row.storeTimeAt(b.options.Clock()) - milliseconds(row.usage.ClockMS)
	if row.usage.ClockMS == 0 || age < 0 {
		age = window // unknown, or the store's clock was set back
	}
	recordedAt := now.Add(-age)
	for _, u := range row.usage.Used {
		b.leading.RestoreUsage(now, recordedAt.Add(-milliseconds(u.AgeMS)), u.Organisation, float64(u.Tokens))
	}
	age = min(age, window)
	b.view.Config.Organisations(func(o *catalog.Organisation) {
		for since := time.Duration(0); since < age; since += renewInterval {
			b.leading.RestoreEstimatedUsage(now, now.Add(since-age), min(renewInterval, age-since), o.Name)
		}
	})
	b.log.Warn("usage of organisations since the copy is lost; full use is assumed", "since", age)
}

// usageOutdated reports whether the store was restored from a copy since the usage in the row was recorded. It may be, though a
// claim has written the row since.
func (v *leaseView) usageOutdated() bool {
	return v.era > 0 && (v.version == 0 || v.usage.Era != v.era)
}

// restoreUsage restores the usage recorded by the last leader. Later usage is unknown: each organisation is
// assumed to have used its full rate from the record until its next renewal was due.
func (b *Broker) restoreUsage(now time.Time, row *leaseView) {
	if row.usageOutdated() {
		b.restoreOutdatedUsage(now, row)
		return
	}
	if row.storeTime == 0 || row.usage.ClockMS == 0 {
		return
	}
	age := row.storeTimeAt(b.options.Clock()) - milliseconds(row.usage.ClockMS)
	recordedAt := now.Add(-age)
	seen := map[string]bool{}
	for _, u := range row.usage.Used {
		b.leading.RestoreUsage(now, recordedAt.Add(-milliseconds(u.AgeMS)), u.Organisation, float64(u.Tokens))
		seen[u.Organisation] = true
	}
	for organisation := range seen {
		b.leading.RestoreEstimatedUsage(now, recordedAt, min(age, renewInterval), organisation)
	}
}
