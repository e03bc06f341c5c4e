package soak

import (
	"slices"
	"time"
)

const (
	// slowTime is for how long a replica takes few requests after a start, slowPerSecond
	// how many it takes in a second.
	slowTime      = 3 * time.Second
	slowPerSecond = 4
	// slowFactor and slowSlack bound what all hosts together may send it in a second. They
	// are the operators' bounds.
	slowFactor = 1.5
	slowSlack  = 5
)

// slowStart is a time in which a replica took few requests.
type slowStart struct {
	replica  string
	from, to time.Time
}

func (j *judge) slow(replica string, from, to time.Time) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.slowStarts = append(j.slowStarts, slowStart{replica, from, to})
}

// checkSlowStarts looks for seconds in which replicas that started slowly were sent too
// many requests, by hosts that were disturbed or not. The judge is locked.
func (s *EntrySummary) checkSlowStarts(j *judge, replicas []*entryReplica) {
	for _, slow := range j.slowStarts {
		i := slices.IndexFunc(replicas, func(r *entryReplica) bool { return r.id == slow.replica })
		var times []time.Time
		for _, seen := range replicas[i].Requests() {
			if seen.ReceivedAt.After(slow.from) && seen.ReceivedAt.Before(slow.to) {
				times = append(times, seen.ReceivedAt)
			}
		}
		slices.SortFunc(times, time.Time.Compare)
		for first, from := range times {
			n := 0
			for n+first < len(times) && times[first+n].Sub(from) < time.Second {
				n++
			}
			if float64(n) > slowPerSecond*slowFactor+slowSlack {
				s.find("%s was sent %d requests in a second, %s after a slow start", slow.replica, n, from.Sub(slow.from))
				break
			}
		}
	}
}
