package leader

import (
	"time"

	"github.com/jasminelock/jasminelock/assign"
)

// leaseEndMargin is how long before the lease expires its holder stops sending orders where engines check no
// fencing tokens. It covers an order in transit: orderTimeout and the way to the engine.
const leaseEndMargin = 200 * time.Millisecond

// leaseDuration is the time after which a lease that is not renewed expires.
func (b *Broker) leaseDuration() time.Duration {
	if b.options.Fenced {
		return leaseTTL
	}
	return unfencedTTL
}

// mayHaveExpired reports whether a lease written by a call sent at the given time may have expired for another host,
// or will within leaseEndMargin. It expires for a host that has seen the row unchanged for leaseDuration, which began
// after the call was sent.
//
// It is always false if engines check fencing tokens: they refuse the orders of a replaced leader, which need not
// stop by itself.
func (b *Broker) mayHaveExpired(sentAt time.Duration) bool {
	return !b.options.Fenced && b.options.Clock()-sentAt > b.leaseDuration()-leaseEndMargin
}

// stopIfExpired stops leading if the lease may have expired, and reports whether it has stopped. It is
// called before every action of the leader, since this process may have been suspended since the last renewal.
func (b *Broker) stopIfExpired(now time.Time) bool {
	if b.leading == nil || !b.mayHaveExpired(b.leader.renewalSentAt) {
		return false
	}
	b.stopLeading(now, "the lease was not renewed in time")
	return true
}

// mayOrder reports whether an order may be sent now, and sets its fencing token to the present one: it may have been issued
// before this leader claimed the lease again. An order that comes while the lease is being claimed again is held back.
func (b *Broker) mayOrder(o *assign.Order) (allowed, held bool) {
	b.update(func(now time.Time) {
		switch {
		case b.stopIfExpired(now) || b.leading == nil || o.Fence < b.leader.termFence || o.Fence > b.leader.fence:
		case b.leader.reclaiming:
			b.heldOrders, held = append(b.heldOrders, *o), true
		default:
			o.Fence, allowed = b.leader.fence, true
		}
	})
	return allowed, held
}

// withinHolderPause reports whether this host has led less than HolderPause ago and another host holds the lease.
// It must not lead again yet: the orders of two alternating holders could overtake each other within that time.
func (b *Broker) withinHolderPause(seen *leaseView) bool {
	ledRecently := b.leader.ledUntil > 0 && b.options.Clock()-b.leader.ledUntil < b.options.HolderPause
	return ledRecently && (seen.host != b.options.Host || seen.outdated())
}
