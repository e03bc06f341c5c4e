package soak

import (
	"slices"
	"time"
)

const (
	// slowStartTime is for how long a replica takes few requests after a start, slowStartRate
	// how many it takes in a second.
	slowStartTime = 3 * time.Second
	slowStartRate = 4
	// slowStartFactor and slowStartSlack bound what all hosts together may send it in a second. They
	// are the operators' bounds.
	slowStartFactor = 1.5
	slowStartSlack  = 5
)

// slowStart is a time in which a replica took few requests.
type slowStart struct {
	replica  string
	from, to time.Time
}

func (rec *entryRecorder) recordSlowStart(replica string, from, to time.Time) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	rec.slowStarts = append(rec.slowStarts, slowStart{replica, from, to})
}

// checkSlowStarts looks for seconds in which replicas that started slowly were sent too
// many requests, by hosts that were disturbed or not. The judge is locked.
func (s *EntrySummary) checkSlowStarts(rec *entryRecorder, replicas []*entryReplica) {
	for _, start := range rec.slowStarts {
		i := slices.IndexFunc(replicas, func(r *entryReplica) bool { return r.id == start.replica })
		var times []time.Time
		for _, seen := range replicas[i].Requests() {
			if seen.At.After(start.from) && seen.At.Before(start.to) {
				times = append(times, seen.At)
			}
		}
		slices.SortFunc(times, time.Time.Compare)
		for first, from := range times {
			n := 0
			for n+first < len(times) && times[first+n].Sub(from) < time.Second {
				n++
			}
			if float64(n) > slowStartRate*slowStartFactor+slowStartSlack {
				s.addViolation("%s was sent %d requests in a second, %s after a slow start", start.replica, n, from.Sub(start.from))
				break
			}
		}
	}
}
