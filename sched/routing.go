package sched

import (
	"slices"
	"time"
)

// Estimates that are used until an upstream has been measured.
const (
	defaultFirstTokenTime = 60 * time.Millisecond
	defaultServiceTime    = 2 * time.Second
	defaultLoadTime       = 300 * time.Millisecond
)

// crossZoneRoundTrip is the way to another zone and back.
const crossZoneRoundTrip = 3 * time.Millisecond

// prefixSavingDivisor is the part of the time to the first token that a cached prefix
// saves, as one in so many.
const prefixSavingDivisor = 2

// maxAlternatives bounds the alternatives named in a reason.
const maxAlternatives = 4

// best returns the resident upstream with the least expected time to the first
// token that can take the request now, nil where there is none.
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

// serves reports whether a slot may be given the request. Where only the grant
// is missing, it is asked for.
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

// expected returns the expected time to the first token on a resident upstream.
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

// queueWait is how long the requests that wait for a group will wait on its
// residents, and whether it has any that can serve.
func (p *Policy) queueWait(now time.Time, g *requestGroup, r *Request) (time.Duration, bool) {
	perSecond := 0.0
	for _, s := range g.slots {
		if !p.canServe(now, s, r) {
			continue
		}
		v := s.view
		// Other adapters of the engine have a part of its batch.
		share := float64(max(v.record.MaxBatch, 1)) / float64(1+p.waitingAdapters(v))
		perSecond += share / v.serviceTime.orDefault(defaultServiceTime).Seconds()
	}
	if perSecond == 0 {
		return 0, false
	}
	return time.Duration(float64(g.queue.Len()) / perSecond * float64(time.Second)), true
}

// waitingOn counts the adapters of an engine that have requests waiting.
func (p *Policy) waitingAdapters(v *upstreamView) int {
	n := 0
	for _, s := range v.slots {
		if s.group.queue.Len() > 0 {
			n++
		}
	}
	return n
}

// canServe reports whether a slot serves the request now or as soon as there is
// room, its grant being on the way.
func (p *Policy) canServe(now time.Time, s *slot, r *Request) bool {
	if s.state != slotResident || !s.view.usable(now) || slices.Contains(r.Avoid, s.view.record.Name) {
		return false
	}
	return p.mayUse(now, s) || !s.grant.overdue(now)
}

// explain names what was weighed for a request.
func (p *Policy) explain(now time.Time, g *requestGroup, r *Request) Reason {
	why := Reason{Rule: "expected_first_token"}
	if len(g.slots) == 0 {
		why.Rule = "wait_for_load"
		return why
	}
	why.Alternatives = make([]Alternative, 0, min(len(g.slots), maxAlternatives))
	for _, s := range g.slots {
		a := Alternative{Upstream: s.view.record.Name, Expected: p.expectedFirstToken(s, r), Note: p.alternativeNote(now, s, r)}
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

// noteResident is the note of an upstream that can serve at once.
const noteResident = "resident"

// note says what stands against a slot.
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
