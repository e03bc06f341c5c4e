package limit

import (
	"github.com/jasminelock/jasminelock/wire"
)

// slots is the state of an in-flight budget on its leader. The budget has no
// rate: what has been taken becomes available again only when it is released, so
// the leader tracks the holding of each host.
type slots struct {
	burst   int64
	holders map[wire.LimitMember]*holding
	// reported holds the members of the previous view whose holdings are known.
	// It is nil once the leader may grant parts of the budget.
	reported map[wire.LimitMember]bool
}

// holding is the part of a budget held by one host, as known to the leader. It is
// never less than what the host actually holds.
type holding struct {
	held     int64
	resolved uint64
	// grants holds the granted amounts that held does not include yet, by request
	// ID.
	grants map[uint64]int64
}

func newSlots(burst int64) *slots {
	return &slots{
		burst:    burst,
		holders:  map[wire.LimitMember]*holding{},
		reported: map[wire.LimitMember]bool{},
	}
}

// others returns the total held by all hosts other than this one.
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

// grant grants n to another host unless that exceeds the budget; own is this
// host's own holding. A repeated request gets the same answer.
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

// report applies a host's report of its holding. Reports older than the latest
// are ignored.
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
