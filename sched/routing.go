package sched

import (
	"slices"
	"time"
)

// Estimates for upstreams without measurements.
const (
	defaultFirstTokenTime = 60 * time.Millisecond
	defaultServiceTime    = 2 * time.Second
	defaultLoadTime       = 300 * time.Millisecond
)

// crossZoneRoundTrip is the network time to another zone and back.
const crossZoneRoundTrip = 3 * time.Millisecond

// prefixSavingDivisor is the inverse of the fraction of the time to the first token that a
// cached prefix saves.
const prefixSavingDivisor = 2

// maxAlternatives is the largest number of alternatives in a reason.
const maxAlternatives = 4

// bestSlot returns the slot with the least expected time to the first token that can take the
// request now, nil if there is none.
func (p *Policy) bestSlot(now time.Time, g *requestGroup, r *Request) *slot {
	var best *slot
	var least time.Duration
	for _, s := range g.slots {
		if s.view.freeCapacity() <= 0 || !p.mayDispatch(now, s, r) {
			continue
		}
		expected := p.expectedFirstToken(s, r)
		if best == nil || expected < least || (expected == least && s.view.record.Name < best.view.record.Name) {
			best, least = s, expected
		}
	}
	return best
}

// mayDispatch reports whether the request may be dispatched to a slot. If only the grant is
// missing, it requests the grant.
func (p *Policy) mayDispatch(now time.Time, s *slot, r *Request) bool {
	if s.state != slotResident || !s.view.usable(now) || slices.Contains(r.Avoid, s.view.record.Name) {
		return false
	}
	if p.mayUse(now, s) {
		return true
	}
	p.requestGrant(now, s)
	return false
}

// expectedFirstToken returns the expected time to the first token on the upstream of a
// resident slot.
func (p *Policy) expectedFirstToken(s *slot, r *Request) time.Duration {
	v := s.view
	first := v.firstTokenTime.orDefault(defaultFirstTokenTime)
	load := v.inFlight + v.othersInFlight
	batch := max(v.record.MaxBatch, 1)
	expected := first + first*time.Duration(load)/time.Duration(batch)
	if over := load - batch + 1; over > 0 {
		expected += v.serviceTime.orDefault(defaultServiceTime) * time.Duration(over) / time.Duration(batch)
	}
	if v.prefixes.has(r.Prefix) {
		expected -= first / prefixSavingDivisor
	}
	if v.record.Zone != p.zone {
		expected += crossZoneRoundTrip
	}
	return expected
}

// queueWait returns the expected time to serve a group's waiting requests on the slots that
// can serve it, and whether there is any such slot.
func (p *Policy) queueWait(now time.Time, g *requestGroup, r *Request) (time.Duration, bool) {
	perSecond := 0.0
	for _, s := range g.slots {
		if !p.canServe(now, s, r) {
			continue
		}
		v := s.view
		// The engine's batch is shared with its other adapters that have requests waiting.
		share := float64(max(v.record.MaxBatch, 1)) / float64(1+p.waitingAdapters(v))
		perSecond += share / v.serviceTime.orDefault(defaultServiceTime).Seconds()
	}
	if perSecond == 0 {
		return 0, false
	}
	return time.Duration(float64(g.queue.Len()) / perSecond * float64(time.Second)), true
}

// waitingAdapters returns how many adapters of an engine have requests waiting.
func (p *Policy) waitingAdapters(v *upstreamView) int {
	n := 0
	for _, s := range v.slots {
		if s.group.queue.Len() > 0 {
			n++
		}
	}
	return n
}

// canServe reports whether a slot can serve the request now or as soon as it has free
// capacity. A grant that has been requested and is not overdue counts as given.
func (p *Policy) canServe(now time.Time, s *slot, r *Request) bool {
	if s.state != slotResident || !s.view.usable(now) || slices.Contains(r.Avoid, s.view.record.Name) {
		return false
	}
	return p.mayUse(now, s) || !s.grant.overdue(now)
}

// explain returns the alternatives considered for a request.
func (p *Policy) explain(now time.Time, g *requestGroup, r *Request) Reason {
	why := Reason{Rule: "expected_first_token"}
	if len(g.slots) == 0 {
		why.Rule = "wait_for_load"
		return why
	}
	why.Alternatives = make([]Alternative, 0, min(len(g.slots), maxAlternatives))
	for _, s := range g.slots {
		a := Alternative{
			Upstream: s.view.record.Name, Expected: p.expectedFirstToken(s, r), Note: p.alternativeNote(now, s, r),
		}
		at, _ := slices.BinarySearchFunc(why.Alternatives, a, compareAlternatives)
		if len(why.Alternatives) == maxAlternatives {
			if at == maxAlternatives {
				continue
			}
			why.Alternatives = why.Alternatives[:maxAlternatives-1]
		}
		why.Alternatives = slices.Insert(why.Alternatives, at, a)
	}
	return why
}

func compareAlternatives(a, b Alternative) int {
	if (a.Note == noteResident) != (b.Note == noteResident) {
		if a.Note == noteResident {
			return -1
		}
		return 1
	}
	return int(a.Expected - b.Expected)
}

// noteResident is the note of an upstream that can serve the request at once.
const noteResident = "resident"

// alternativeNote returns what prevents a slot from serving the request, or noteResident if
// nothing does.
func (p *Policy) alternativeNote(now time.Time, s *slot, r *Request) string {
	v := s.view
	switch {
	case v.record.Leaving:
		return "leaving"
	case v.unreachable:
		return "unreachable"
	case !v.usable(now):
		return "silent"
	case slices.Contains(r.Avoid, v.record.Name):
		return "failed the request"
	case s.state == slotLoading:
		return "loading"
	case s.state == slotEvicting:
		return "retiring"
	case !p.mayUse(now, s):
		return "no use grant"
	case v.freeCapacity() <= 0:
		return "full"
	}
	return noteResident
}

// Explain implements Scheduler.
func (p *Policy) Explain(now time.Time, r Request) Reason {
	g := p.pools[r.Pool]
	if r.Pool == "" {
		g = p.adapters[r.Adapter]
	}
	if g == nil {
		return Reason{Rule: "wait_for_load"}
	}
	why := p.explain(now, g, &r)
	if len(why.Alternatives) > 0 && why.Alternatives[0].Note != noteResident {
		why.Rule = "wait"
	}
	return why
}
