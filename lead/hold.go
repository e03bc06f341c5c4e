package lead

import "time"

// holdMargin is how long before the lease may be taken over its holder stops
// giving orders, where engines would not refuse them. It covers an order that is
// on its way: orderTimeout and the way to the engine.
const holdMargin = 200 * time.Millisecond

// leaseTime is how long a lease that is not renewed is left to its holder.
func (b *Broker) leaseTime() time.Duration {
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
func (b *Broker) heldTooLong(sentAt time.Duration) bool {
	return !b.options.Fenced && b.options.Clock()-sentAt > b.leaseTime()-holdMargin
}

// endExpired stops leading once the lease may be another host's, and reports
// whether it has. It is asked before anything is done as the lead: this process
// may have stood still since the lease was renewed.
func (b *Broker) endExpired(now time.Time) bool {
	if b.leading == nil || !b.heldTooLong(b.lead.heldFrom) {
		return false
	}
	b.stopLeading(now, "the lease was not renewed in time")
	return true
}

// mayOrder reports whether an order under the fence may be sent now.
func (b *Broker) mayOrder(fence int64) bool {
	allowed := false
	b.step(func(now time.Time) {
		allowed = !b.endExpired(now) && b.leading != nil && b.lead.fence == fence
	})
	return allowed
}

// tookTurn reports whether this host has led so recently that it must not lead
// again after another one: the orders of two holders in turn, within HolderPause,
// could overtake each other.
func (b *Broker) tookTurn(seen *leaseView) bool {
	led := b.lead.ledUntil > 0 && b.options.Clock()-b.lead.ledUntil < b.options.HolderPause
	return led && seen.host != b.options.Host
}
