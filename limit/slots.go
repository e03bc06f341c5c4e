package limit

import (
	"github.com/jasminelock/jasminelock/wire"
)

// slots is, on its lead, a budget without a rate: what was taken comes back
// only when it is given back, so the lead knows who holds what.
type slots struct {
	burst   int64
	holders map[wire.LimitMember]*holding
	// reported are the members of the previous view whose holdings are known.
	// It is nil once the budget may be given out.
	reported map[wire.LimitMember]bool
}

// holding is what one host holds, as far as the lead knows. It is never less
// than what the host really holds.
type holding struct {
	held     int64
	resolved uint64
	// grants are the asks granted that held does not include yet.
	grants map[uint64]int64
}

func newSlots(burst int64) *slots {
	return &slots{
		burst:    burst,
		holders:  map[wire.LimitMember]*holding{},
		reported: map[wire.LimitMember]bool{},
	}
}

// others is what all holders but this host hold.
func (s *slots) others() int64 {
	var sum int64
	for _, h := range s.holders {
		sum += h.held
		for _, n := range h.grants {
			sum += n
		}
	}
	return sum
}

func (s *slots) holding(m wire.LimitMember) *holding {
	h, ok := s.holders[m]
	if !ok {
		h = &holding{grants: map[uint64]int64{}}
		s.holders[m] = h
	}
	return h
}

// grant gives n to another host unless that exceeds the budget, own being what
// this host holds itself. The answer to a repeated ask is the same.
func (s *slots) grant(m wire.LimitMember, id uint64, n, own int64) bool {
	h := s.holding(m)
	if _, again := h.grants[id]; again {
		return true
	}
	if id <= h.resolved || s.others()+own+n > s.burst {
		return false
	}
	h.grants[id] = n
	return true
}

// report takes what a host says that it holds. An older report is ignored.
func (s *slots) report(m wire.LimitMember, r *wire.LimitHeld) {
	h := s.holding(m)
	if r.Resolved < h.resolved {
		return
	}
	h.held, h.resolved = r.Held, r.Resolved
	for id := range h.grants {
		if id <= r.Resolved {
			delete(h.grants, id)
		}
	}
	if s.reported != nil {
		s.reported[m] = true
	}
}
