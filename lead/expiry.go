package lead

import "time"

// leaseEndMargin is how long before the lease may be taken over its holder stops
// giving orders, where engines would not refuse them. It covers an order that is
// on its way: orderTimeout and the way to the engine.
const leaseEndMargin = 200 * time.Millisecond

// leaseTime is how long a lease that is not renewed is left to its holder.
func (b *Broker) leaseDuration() time.Duration {
	if b.options.Fenced {
		return leaseTTL
	}
	return unfencedTTL
}

// heldTooLong reports whether a lease that was written by a call sent at the given
// time may be another host's by now. Whoever takes it over has seen the row
// unchanged for leaseTime, which began after the call was sent.
//
// Engines that check fencing tokens refuse the orders of a lead that was replaced,
// so that it need not stop by itself.
func (b *Broker) mayHaveExpired(sentAt time.Duration) bool {
	return !b.options.Fenced && b.options.Clock()-sentAt > b.leaseDuration()-leaseEndMargin
}

// endExpired stops leading once the lease may be another host's, and reports
// whether it has. It is asked before anything is done as the lead: this process
// may have stood still since the lease was renewed.
func (b *Broker) stopIfExpired(now time.Time) bool {
	if b.leading == nil || !b.mayHaveExpired(b.leader.renewalSentAt) {
		return false
	}
	b.stopLeading(now, "the lease was not renewed in time")
	return true
}

// mayOrder reports whether an order under the fence may be sent now.
func (b *Broker) mayOrder(fence int64) bool {
	allowed := false
	b.update(func(now time.Time) {
		allowed = !b.stopIfExpired(now) && b.leading != nil && b.leader.fence == fence
	})
	return allowed
}

// tookTurn reports whether this host has led so recently that it must not lead
// again after another one: the orders of two holders in turn, within HolderPause,
// could overtake each other.
func (b *Broker) withinHolderPause(seen *leaseView) bool {
	ledRecently := b.leader.ledUntil > 0 && b.options.Clock()-b.leader.ledUntil < b.options.HolderPause
	return ledRecently && seen.host != b.options.Host
}
