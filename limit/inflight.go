package limit

import (
	"github.com/jasminelock/jasminelock/wire"
)

// inFlightBudget is the state of an in-flight budget on its leader. The budget
// has no rate: what has been taken becomes available again only when it is
// released, so the leader tracks the holding of each host.
type inFlightBudget struct {
	burst   int64
	holders map[wire.LimitMember]*memberHolding
	// reportedBy holds the members of the previous view whose holdings are known.
	// It is nil once the leader may grant parts of the budget.
	reportedBy map[wire.LimitMember]bool
}

// memberHolding is the part of a budget held by one host, as known to the
// leader. It is never less than what the host actually holds.
type memberHolding struct {
	held     int64
	resolved uint64
	// grants holds the granted amounts that held does not include yet, by request
	// ID.
	grants map[uint64]int64
}

func newInFlightBudget(burst int64) *inFlightBudget {
	return &inFlightBudget{
		burst:      burst,
		holders:    map[wire.LimitMember]*memberHolding{},
		reportedBy: map[wire.LimitMember]bool{},
	}
}

// heldByOthers returns the total held by all hosts other than this one.
func (b *inFlightBudget) heldByOthers() int64 {
	var sum int64
	for _, h := range b.holders {
		sum += h.held
		for _, n := range h.grants {
			sum += n
		}
	}
	return sum
}

func (b *inFlightBudget) holdingOf(m wire.LimitMember) *memberHolding {
	h, ok := b.holders[m]
	if !ok {
		h = &memberHolding{grants: map[uint64]int64{}}
		b.holders[m] = h
	}
	return h
}

// grant grants n to another host unless that exceeds the budget; own is this
// host's own holding. A repeated request gets the same answer.
func (b *inFlightBudget) grant(m wire.LimitMember, id uint64, n, own int64) bool {
	h := b.holdingOf(m)
	if _, again := h.grants[id]; again {
		return true
	}
	if id <= h.resolved || b.heldByOthers()+own+n > b.burst {
		return false
	}
	h.grants[id] = n
	return true
}

// report applies a host's report of its holding. Reports older than the latest
// are ignored.
func (b *inFlightBudget) report(m wire.LimitMember, r *wire.LimitHeld) {
	h := b.holdingOf(m)
	if r.Resolved < h.resolved {
		return
	}
	h.held, h.resolved = r.Held, r.Resolved
	for id := range h.grants {
		if id <= r.Resolved {
			delete(h.grants, id)
		}
	}
	if b.reportedBy != nil {
		b.reportedBy[m] = true
	}
}
