package soak

import (
	"strconv"
	"time"
)

const (
	// evacuationTime is how long a zone is evacuated.
	evacuationTime = 8 * time.Second
	// evacuationDeadline is how long after the start of an evacuation requests may still be sent
	// to the zone. It is the operators' bound.
	evacuationDeadline = 5 * time.Second
)

func zoneName(n int) string { return "z" + strconv.Itoa(n) }

// evacuation is a period in which the replicas of a zone must get no requests.
type evacuation struct {
	zone     string
	from, to time.Time
}

func (rec *entryRecorder) recordEvacuation(zone string, from, to time.Time) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	rec.evacuations = append(rec.evacuations, evacuation{zone, from, to})
}

// checkEvacuations checks that hosts that were not disrupted sent no request to an evacuated
// zone after evacuationDeadline. rec.mu must be held.
func (s *EntrySummary) checkEvacuations(rec *entryRecorder, replicas []*entryReplica) {
	hostByCall := map[string]string{}
	for _, c := range rec.calls {
		hostByCall[c.id] = c.host
	}
	for _, r := range replicas {
		for _, seen := range r.Requests() {
			for _, e := range rec.evacuations {
				late := r.zone == e.zone && seen.ReceivedAt.After(e.from.Add(evacuationDeadline)) && seen.ReceivedAt.Before(e.to)
				if late && rec.wasUndisrupted(hostByCall[seen.AttemptID()], seen.ReceivedAt) {
					s.addViolation("replica %s was sent request %s %s after the evacuation of its zone began",
						r.id, seen.URI, seen.ReceivedAt.Sub(e.from))
				}
			}
		}
	}
}
