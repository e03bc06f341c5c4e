package limit

import "time"

// maxSlacks bounds a slackLog.
const maxSlacks = 16

// slackLog remembers how close a bucket came to being full, and when. Entries
// grow in time and in slack: a later entry with less slack replaces the earlier.
type slackLog struct {
	since   time.Time
	entries []slack
}

type slack struct {
	at     time.Time
	tokens float64
}

// note takes the present slack.
func (s *slackLog) note(now time.Time, tokens float64) {
	n := len(s.entries)
	for n > 0 && s.entries[n-1].tokens >= tokens {
		n--
	}
	s.entries = append(s.entries[:n], slack{at: now, tokens: tokens})
	if len(s.entries) > maxSlacks {
		// The two oldest become one that is true of both.
		s.entries[1].tokens = s.entries[0].tokens
		s.entries = append(s.entries[:0], s.entries[1:]...)
	}
}

// least returns a lower bound of the slack since a time. It is 0 for a time
// before the log began.
func (s *slackLog) least(since time.Time) float64 {
	if since.Before(s.since) {
		return 0
	}
	for _, e := range s.entries {
		if !e.at.Before(since) {
			return max(0, e.tokens)
		}
	}
	return 0
}
