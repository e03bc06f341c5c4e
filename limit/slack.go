package limit

import "time"

// maxSlacks is the most entries of a slackLog.
const maxSlacks = 16

// slackLog records how close a bucket came to its capacity, and when. The entries
// are in increasing order of both time and slack: an entry with less slack
// replaces earlier entries with more.
type slackLog struct {
	since   time.Time
	entries []slack
}

type slack struct {
	at   time.Time
	free float64
}

// record adds the present slack to the log.
func (s *slackLog) record(now time.Time, free float64) {
	n := len(s.entries)
	for n > 0 && s.entries[n-1].free >= free {
		n--
	}
	s.entries = append(s.entries[:n], slack{at: now, free: free})
	if len(s.entries) > maxSlacks {
		// Merge the two oldest entries into one that is a lower bound for both.
		s.entries[1].free = s.entries[0].free
		s.entries = append(s.entries[:0], s.entries[1:]...)
	}
}

// minSince returns a lower bound of the slack since a time. It is 0 for a time
// before the start of the log.
func (s *slackLog) minSince(since time.Time) float64 {
	if since.Before(s.since) {
		return 0
	}
	for _, e := range s.entries {
		if !e.at.Before(since) {
			return max(0, e.free)
		}
	}
	return 0
}
