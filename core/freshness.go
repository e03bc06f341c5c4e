package core

import (
	"time"

	"github.com/jasminelock/jasminelock/apierr"
)

// staleRetryAfter is when a caller may find the host confirmed again. Another
// host can serve it at once.
const staleRetryAfter = time.Second

// freshness says until when the configuration may be taken to be in force. It
// is a time, not a switch, so that a host which was paused finds itself stale
// before it learns anything new.
type freshness struct {
	// confirmed is false until the first confirmation or refusal of one: a core
	// that is never told takes its configuration as it is.
	confirmed bool
	until     time.Time
}

func (f *freshness) confirm(until time.Time) {
	f.confirmed = true
	f.until = until
}

// stale reports whether a withdrawal of a key may have passed this host by.
func (c *Core) stale(now time.Time) bool {
	return c.freshness.confirmed && !now.Before(c.freshness.until)
}

func errStale() *apierr.Error {
	return apierr.New(apierr.ConfigStale, "").WithRetryAfter(staleRetryAfter)
}
