package quarantine

import (
	"slices"
	"time"
)

// weigh sets the rank of a candidate, and whether it can be blamed for what is not explained yet.
func (j *judgement) weigh(c *candidate) {
	var interrupted []InterruptedAttempt
	c.ended = nil
	for _, a := range c.attempts {
		if j.explained[a.Incarnation] || c.proven && j.suspected[a.Incarnation] {
			continue
		}
		interrupted = append(interrupted, a)
		if a.UpstreamEnded {
			c.ended = append(c.ended, a)
		}
	}
	fresh := freshOf(c.ended)
	counted := fresh
	c.weight = 2 * len(fresh)
	if len(fresh) == 0 {
		// Attempts that crash upstreams do so after a similar time.
		counted, c.weight = c.ended, len(c.ended)
	}
	c.ran = 0
	for _, a := range counted {
		c.ran += a.Ran
	}
	c.suffices, c.outdated = false, false
	switch {
	case c.kind == kindRequest:
		c.suffices = len(c.ended) >= MaxInterruptions || len(interrupted) >= MaxInterruptions || len(c.freshOn) >= overlappingRequestCrashes ||
			(len(c.ended) >= MaxCrashes || len(fresh) >= SoleSuspectCrashes) && !j.hasRival(c)
	case c.kind == kindPart || j.severalOrganisations(c):
		c.decidedAt, c.suffices = j.weighPart(c, interrupted, c.ended)
	}
}

// hasRival reports whether another suspect may explain the same ends as a request: a request whose attempts there were
// fresh too, or a part of several requests, which needs one crash more to be blamed.
func (j *judgement) hasRival(request *candidate) bool {
	return slices.ContainsFunc(j.byIncarnation[request.ended[0].Incarnation], func(c *candidate) bool {
		switch {
		case c.blamed || c == request:
			return false
		case c.kind == kindRequest:
			return covers(c.freshOn, request.ended) && !sameRequest(c, request)
		}
		return c.kind == kindPart && c.requests >= 2 && covers(c.endedOn, request.ended)
	})
}

// sameRequest reports whether two candidates stand for the same attempts, as a request and all requests with its path
// and body do.
func sameRequest(x, y *candidate) bool {
	return slices.EqualFunc(x.attempts, y.attempts, func(a, b InterruptedAttempt) bool {
		return a.Incarnation == b.Incarnation && a.Request == b.Request && a.Request != 0
	})
}

// freshOf returns the attempts that had not run for longer than FreshTime.
func freshOf(attempts []InterruptedAttempt) []InterruptedAttempt {
	return slices.DeleteFunc(slices.Clone(attempts), func(a InterruptedAttempt) bool { return a.Ran > FreshTime })
}

// endedOf returns the attempts whose upstream ended.
func endedOf(attempts []InterruptedAttempt) []InterruptedAttempt {
	return slices.DeleteFunc(slices.Clone(attempts), func(a InterruptedAttempt) bool { return !a.UpstreamEnded })
}

// severalOrganisations reports whether upstreams ended under the part in requests of at least two organisations where
// no other organisation ran the part.
func (j *judgement) severalOrganisations(c *candidate) bool {
	organisations := map[Incarnation]int{}
	for i, attempts := range c.byOrganisation {
		for _, a := range attempts {
			if _, shared := organisations[a.Incarnation]; shared {
				organisations[a.Incarnation] = -1
			} else if _, ended := j.endedAt[a.Incarnation]; ended && !j.explained[a.Incarnation] {
				organisations[a.Incarnation] = i
			}
		}
	}
	first := -1
	for _, i := range organisations {
		switch {
		case i < 0:
		case first >= 0 && i != first:
			return true
		default:
			first = i
		}
	}
	return false
}

// weighPart reports whether the crashes suffice to blame a part, and the time of the one by which they did.
func (j *judgement) weighPart(c *candidate, interrupted, ended []InterruptedAttempt) (time.Time, bool) {
	crashes := separateCrashes(ended)
	if len(crashes) >= partCrashes && requests(crashes) >= partCrashes && j.explainsMost(ended) && !c.proven {
		return crashes[partCrashes-1].At, true
	}
	if len(crashes) >= maxPartCrashes && requests(crashes) >= 2 {
		return crashes[maxPartCrashes-1].At, true
	}
	if all := separateCrashes(freshOf(endedOf(c.attempts))); !c.proven && len(all) >= overlappingPartCrashes && requests(all) >= overlappingPartCrashes && !j.explainedByPart(c, all) {
		return all[overlappingPartCrashes-1].At, true
	}
	if unconfirmed := separateCrashes(interrupted); !c.proven && len(unconfirmed) >= unconfirmedPartCrashes && requests(unconfirmed) >= partCrashes {
		return unconfirmed[unconfirmedPartCrashes-1].At, true
	}
	return time.Time{}, false
}

// explainedByPart reports whether one part that is blamed explains the ends of all attempts.
func (j *judgement) explainedByPart(part *candidate, attempts []InterruptedAttempt) bool {
	return slices.ContainsFunc(j.byIncarnation[attempts[0].Incarnation], func(c *candidate) bool {
		return c.blamed && c.kind != kindRequest && c != part && covers(c.endedOn, attempts)
	})
}

// separateCrashes returns the attempts, which are ordered by time, without those that may have been interrupted by the
// cause that interrupted the one before.
func separateCrashes(attempts []InterruptedAttempt) []InterruptedAttempt {
	var out []InterruptedAttempt
	for _, a := range attempts {
		if n := len(out); n > 0 && a.At.Sub(out[n-1].At) < sameCauseWindow && (a.Request == 0 || a.Request != out[n-1].Request) {
			continue
		}
		out = append(out, a)
	}
	return out
}

// explainsMost reports whether the ends are at least half of those that are not explained in the same time.
func (j *judgement) explainsMost(ended []InterruptedAttempt) bool {
	from, to, total := ended[0].At, ended[len(ended)-1].At, 0
	first, _ := slices.BinarySearchFunc(j.ends, from, func(a InterruptedAttempt, at time.Time) int { return a.At.Compare(at) })
	for _, a := range j.ends[first:] {
		if a.At.After(to) {
			break
		}
		if !j.explained[a.Incarnation] {
			total++
		}
	}
	return 2*len(ended) >= total
}

// requests returns the number of different requests in the attempts. Unknown ones count as different.
func requests(attempts []InterruptedAttempt) int {
	known, n := map[uint64]bool{}, 0
	for _, a := range attempts {
		if a.Request == 0 || !known[a.Request] {
			known[a.Request] = true
			n++
		}
	}
	return n
}
