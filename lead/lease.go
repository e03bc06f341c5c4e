package lead

import "time"

// lease is the row by which the lead is agreed.
type lease struct {
	Host string `cbor:"1,keyasint"`
	// URL is where hosts link to the lead.
	URL string `cbor:"2,keyasint"`
	// Secret is what hosts present on their links.
	Secret string `cbor:"3,keyasint"`
	// Released says that the holder has given the lease back.
	Released bool `cbor:"5,keyasint"`
	// Usage is what organisations had used of late, for the next lead.
	Usage usageRecord `cbor:"6,keyasint"`
	// RenewedMS is the store's clock at the last renewal, as its holder reckons,
	// in milliseconds; 0 where the holder does not know it.
	RenewedMS int64 `cbor:"7,keyasint"`
	// Strongest is the most processor time of a host, in cores.
	Strongest float64 `cbor:"8,keyasint"`
	// Claim tells claims of one host apart.
	Claim uint64 `cbor:"9,keyasint"`
	// Suspects are the requests that crash upstreams, for every host that reads the row.
	Suspects suspectRecord `cbor:"10,keyasint"`
}

// leaseView is the lease's row as last seen.
type leaseView struct {
	host     string
	url      string
	secret   string
	version  int64
	released bool
	// since is when the version was first seen.
	firstSeenAt time.Time
	// usage is what the last lead recorded.
	usage usageRecord
	// clock is the store's clock as it answered the last call about the row, which
	// this host sent when its own clock said sentAt. 0 says that there was none.
	storeTime time.Duration
	sentAt    time.Duration
	// renewed is the store's clock at the last renewal, 0 where it is not known.
	renewedAt time.Duration
	// strongest is the most processor time of a host, in cores.
	maxCores float64
	// claim is the number of the holder's claim.
	claimID uint64
	// suspects is what the holder has recorded.
	suspects suspectRecord
	// shared is what hosts without a lead have told one another, in a row of its own.
	shared        suspectRecord
	sharedVersion int64
}

// lapsed reports whether the lease may be taken over: it was seen unchanged for
// its whole time, or is older than that by the store's own clock. The clock tells
// nothing to a host that has not seen a lead go: the store may have been away, so
// that a lead which lives could not renew.
func (v *leaseView) expired(now time.Time, lost bool, ttl time.Duration) bool {
	if lost && v.renewedAt > 0 && v.storeTime-v.renewedAt >= ttl+clockMargin {
		return true
	}
	return now.Sub(v.firstSeenAt) >= ttl
}

// storeClock returns the store's clock when this host's own says now, or somewhat
// more: the store read its clock after sentAt. It must not be less, or a lease
// would look older to others than it is.
func (v *leaseView) storeTimeAt(now time.Duration) time.Duration { return v.storeTime + now - v.sentAt }
