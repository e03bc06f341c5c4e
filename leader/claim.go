package leader

import (
	"context"
	"crypto/rand"
	"errors"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/jasminelock/jasminelock/store"
	"github.com/jasminelock/jasminelock/wire"
)

// readLease reads the lease's row and, in the same call, the row of shared suspects.
func (b *Broker) readLease(ctx context.Context) (leaseView, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	sentAt := b.options.Clock()
	rows, stamp, err := b.options.Tables.RangeStamped(ctx, leaseTable, leaseKey, leaseTableRows)
	if err != nil {
		b.log.Debug("lease not read", "error", err)
		return leaseView{}, err
	}
	view := leaseView{sentAt: sentAt, storeTime: stamp.Clock, era: store.EraOf(stamp.Version)}
	for _, row := range rows {
		switch row.Key {
		case leaseKey:
			b.decodeLease(&view, row)
		case suspectsKey:
			view.sharedVersion = row.Version
			if err := cbor.Unmarshal(row.Value, &view.shared); err != nil {
				b.log.Error("shared suspects cannot be decoded; the next write replaces them", "error", err)
			}
		}
	}
	return view, nil
}

// decodeLease fills a view from the lease's row. A row that cannot be decoded counts as released.
func (b *Broker) decodeLease(v *leaseView, row store.Row) {
	v.version = row.Version
	var l lease
	if err := cbor.Unmarshal(row.Value, &l); err != nil {
		b.log.Error("lease cannot be decoded; taking it over", "error", err)
		v.released = true
		return
	}
	v.host, v.url, v.secret, v.released = l.Host, l.URL, l.Secret, l.Released
	v.usage, v.renewedAt, v.maxCores, v.claimID, v.suspects = l.Usage, milliseconds(l.RenewedMS), l.Strongest, l.Claim, l.Suspects
	v.rateLimits, v.writtenIn = l.RateLimits, l.Era
}

// tryClaim claims the lease, unless it has changed since it was seen. It reports true if the store rejected the
// claim because of such a change, and false otherwise, also if this host knows of a change and sends no claim.
func (b *Broker) tryClaim(ctx context.Context, seen leaseView) bool {
	b.mu.Lock()
	stale := (b.leader.row.host != seen.host && !seen.outdated()) || b.leading != nil || seen.era < b.era.number ||
		(b.leader.host != "" && !b.leader.renewalOverdue && !b.leader.yielding)
	b.mu.Unlock()
	if stale {
		return false
	}
	secret := seen.secret
	if secret == "" {
		secret = rand.Text()
	}
	l := lease{
		Host: b.options.Host, URL: b.options.PeerURL, Secret: secret, Strongest: seen.maxCores, Claim: b.newClaimID(&seen), Era: seen.era,
	}
	b.mu.Lock()
	fleetStarts := seen.version == 0 && !b.leader.hasLostLeader
	l.Suspects, l.RateLimits = b.newSuspectRecord(time.Now()), b.recordedRateLimits(time.Now())
	b.mu.Unlock()
	sentAt := b.options.Clock()
	if seen.storeTime > 0 {
		l.Usage, l.RenewedMS = seen.usage, seen.storeTimeAt(sentAt).Milliseconds()
	}
	if fleetStarts {
		l.Usage.Era = seen.era // nothing has been used before
	}
	stamp, err := b.writeLease(ctx, l, seen.version)
	version := stamp.Version
	b.update(func(now time.Time) {
		switch {
		case err != nil:
			b.log.Debug("lease not claimed", "error", err)
			return
		case b.mayHaveExpired(sentAt):
			b.log.Warn("lease claim answered too late; the lease may have expired, not leading", "fence", version)
			return
		case b.inOtherEra(&seen, version):
			b.log.Warn("lease claim answered in another era of the store; not leading", "fence", version, "era_read", seen.era)
			return
		}
		if b.leader.host != "" {
			b.sendToLeader(&wire.Successor{Host: l.Host, URL: l.URL, Fence: version})
			b.loseLeader(now, "replaced by this host")
		}
		b.leader.row = leaseView{
			host: l.Host, url: l.URL, secret: secret, version: version,
			firstSeenAt: now, sentAt: sentAt, storeTime: stamp.Clock, maxCores: seen.maxCores,
			claimID: l.Claim, era: seen.era, writtenIn: seen.era,
		}
		b.leader.renewalSentAt = sentAt
		b.startLeading(now, version, &seen)
	})
	return errors.Is(err, store.ErrConflict)
}

// claimedWithoutAnswer reports whether this host holds the lease by a claim that the store carried out without an
// answer. It is always false where engines check no fencing tokens: by now they could have received orders of two
// leaders, so the lease is claimed again.
func (b *Broker) claimedWithoutAnswer(seen *leaseView) bool {
	return b.options.Fenced && b.lastClaimID != 0 && !seen.outdated() && seen.host == b.options.Host && seen.claimID == b.lastClaimID && !seen.released
}

// newClaimID draws the ID of a claim on the given lease and records both.
func (b *Broker) newClaimID(seen *leaseView) uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.lastClaimID, b.claimedLease = b.options.Random.Uint64(), seen
	return b.lastClaimID
}

func (b *Broker) writeLease(ctx context.Context, l lease, expect int64) (store.Stamp, error) {
	raw, err := cbor.Marshal(l)
	if err != nil {
		return store.Stamp{}, err
	}
	timeout := writeTimeout
	if !b.options.Fenced {
		timeout = unfencedWriteTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return b.options.Tables.CommitStamped(ctx, store.Txn{
		Conditions: []store.Condition{{Table: leaseTable, Key: leaseKey, Version: expect}},
		Writes:     []store.Write{{Table: leaseTable, Key: leaseKey, Value: raw}},
	})
}
