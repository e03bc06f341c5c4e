package leader

import (
	"time"

	"github.com/jasminelock/jasminelock/store"
	"github.com/jasminelock/jasminelock/wire"
)

// lease is the value of the lease's row, through which the leader is elected.
type lease struct {
	Host string `cbor:"1,keyasint"`
	// URL is where hosts open links to the leader.
	URL string `cbor:"2,keyasint"`
	// Secret is what hosts present on their links.
	Secret string `cbor:"3,keyasint"`
	// Released is set if the holder has released the lease.
	Released bool `cbor:"5,keyasint"`
	// Usage is the recent usage of organisations, for the next leader.
	Usage usageRecord `cbor:"6,keyasint"`
	// RenewedMS is the store's clock at the last renewal, in milliseconds, as estimated by the holder; 0 if
	// unknown.
	RenewedMS int64 `cbor:"7,keyasint"`
	// Strongest is the highest processor time of any host, in cores.
	Strongest float64 `cbor:"8,keyasint"`
	// Claim distinguishes the claims of one host.
	Claim uint64 `cbor:"9,keyasint"`
	// Suspects are the requests that crash upstreams, for every host that reads the row.
	Suspects suspectRecord `cbor:"10,keyasint"`
	// RateLimits are the rate limits of upstreams, for every host that reads the row.
	RateLimits []wire.RateLimit `cbor:"11,keyasint,omitempty"`
	// Era is the era of the store in which the holder has written the row.
	Era int64 `cbor:"12,keyasint,omitempty"`
}

// leaseView is the lease's row as last seen.
type leaseView struct {
	host     string
	url      string
	secret   string
	version  store.Position
	released bool
	// era is the era of the store in which the row was read, and writtenIn the one in which it was written. They differ
	// if the store was restored from a copy since.
	era       int64
	writtenIn int64
	// firstSeenAt is when this host first saw the version.
	firstSeenAt time.Time
	// usage is the usage recorded by the last leader.
	usage usageRecord
	// storeTime is the store's clock in its answer to the last call about the row, which this host sent at sentAt
	// by its own clock. It is 0 if there was no such call.
	storeTime time.Duration
	sentAt    time.Duration
	// renewedAt is the store's clock at the last renewal, 0 if unknown.
	renewedAt time.Duration
	// maxCores is the highest processor time of any host, in cores.
	maxCores float64
	// claimID identifies the holder's claim.
	claimID uint64
	// suspects are the suspects recorded by the holder.
	suspects suspectRecord
	// rateLimits are the rate limits recorded by the holder.
	rateLimits []wire.RateLimit
	// shared are the suspects shared by hosts without a leader, from a row of their own.
	shared        suspectRecord
	sharedVersion int64
}

// expired reports whether the lease has expired for this host, which has either seen the lease unchanged for ttl, or
// lost a leader while the lease is older than ttl plus clockMargin by the store's clock. The store's clock is ignored on
// a host that has not lost a leader: after an outage of the store the lease is old although its holder is running.
func (v *leaseView) expired(now time.Time, lost bool, ttl time.Duration) bool {
	if lost && v.renewedAt > 0 && v.storeTime-v.renewedAt >= ttl+clockMargin {
		return true
	}
	return now.Sub(v.firstSeenAt) >= ttl
}

// storeTimeAt returns an upper bound of the store's clock at the time now of this host's own clock: the store read
// its clock after sentAt. A lower value would make a lease look older to other hosts than it is.
func (v *leaseView) storeTimeAt(now time.Duration) time.Duration { return v.storeTime + now - v.sentAt }

// releasing reports whether this host, if it leads, is to release the lease.
func (b *Broker) releasing() bool {
	return !b.leader.reclaiming && (b.draining || b.leader.steppingAside || (b.leader.yielding && !b.options.Fenced))
}

// recordLease records the lease's row as read and returns the record.
func (b *Broker) recordLease(now time.Time, row *leaseView) *leaseView {
	seen := &b.leader.row
	if row.outdated() && seen.secret != "" {
		row.secret = seen.secret // the copy may be older than the secret
	}
	if row.version != seen.version || row.host != seen.host {
		row.firstSeenAt = now
		*seen = *row
		return seen
	}
	seen.url, seen.secret, seen.released = row.url, row.secret, seen.released || row.released
	seen.usage, seen.sentAt, seen.storeTime, seen.renewedAt = row.usage, row.sentAt, row.storeTime, row.renewedAt
	seen.maxCores, seen.suspects, seen.era, seen.writtenIn = row.maxCores, row.suspects, row.era, row.writtenIn
	return seen
}
