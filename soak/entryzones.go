package soak

import (
	"strconv"
	"time"
)

const (
	// evacuationTime is how long a zone is evacuated.
	evacuationTime = 8 * time.Second
	// evacuateWithin is when its replicas must be sent nothing any more. It is the
	// operators' bound.
	evacuateWithin = 5 * time.Second
)

func zoneName(n int) string { return "z" + strconv.Itoa(n) }

// evacuation is a time in which a zone's replicas are to be sent nothing.
type evacuation struct {
	zone     string
	from, to time.Time
}

func (j *judge) evacuated(zone string, from, to time.Time) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.emptied = append(j.emptied, evacuation{zone, from, to})
}

// checkEvacuations looks for requests that evacuated replicas were sent by hosts that
// were not disturbed. The judge is locked.
func (s *EntrySummary) checkEvacuations(j *judge, replicas []*entryReplica) {
	hosts := map[string]string{}
	for _, c := range j.calls {
		hosts[c.id] = c.host
	}
	for _, r := range replicas {
		for _, seen := range r.Requests() {
			for _, e := range j.emptied {
				late := r.zone == e.zone && seen.ReceivedAt.After(e.from.Add(evacuateWithin)) && seen.ReceivedAt.Before(e.to)
				if late && j.inTouch(hosts[seen.AttemptID()], seen.ReceivedAt) {
					s.find("%s was sent %s %s after its zone was evacuated", r.id, seen.URI, seen.ReceivedAt.Sub(e.from))
				}
			}
		}
	}
}
