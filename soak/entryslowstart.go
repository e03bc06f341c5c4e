package soak

import (
	"slices"
	"time"
)

const (
	// slowStartTime is the length of a replica's slow start, slowStartRate the number of requests
	// a second that it takes meanwhile.
	slowStartTime = 3 * time.Second
	slowStartRate = 4
	// All hosts together may send the replica at most slowStartRate * slowStartFactor +
	// slowStartSlack requests in any second. These are the operators' bounds.
	slowStartFactor = 1.5
	slowStartSlack  = 5
)

// slowStart is the period of a slow start, in which a replica takes only slowStartRate requests
// a second.
type slowStart struct {
	replica  string
	from, to time.Time
}

func (rec *entryRecorder) recordSlowStart(replica string, from, to time.Time) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	rec.slowStarts = append(rec.slowStarts, slowStart{replica, from, to})
}

// checkSlowStarts checks that no replica was sent too many requests within a second of its slow
// start. Requests from disrupted hosts count as well. rec.mu must be held.
func (s *EntrySummary) checkSlowStarts(rec *entryRecorder, replicas []*entryReplica) {
	for _, start := range rec.slowStarts {
		i := slices.IndexFunc(replicas, func(r *entryReplica) bool { return r.id == start.replica })
		var times []time.Time
		for _, seen := range replicas[i].Requests() {
			if seen.ReceivedAt.After(start.from) && seen.ReceivedAt.Before(start.to) {
				times = append(times, seen.ReceivedAt)
			}
		}
		slices.SortFunc(times, time.Time.Compare)
		for first, from := range times {
			n := 0
			for n+first < len(times) && times[first+n].Sub(from) < time.Second {
				n++
			}
			if float64(n) > slowStartRate*slowStartFactor+slowStartSlack {
				s.addViolation("replica %s was sent %d requests within a second, %s after the begin of its slow start",
					start.replica, n, from.Sub(start.from))
				break
			}
		}
	}
}
