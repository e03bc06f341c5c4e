package core

import (
	"time"

	"github.com/jasminelock/jasminelock/apierr"
)

// staleRetryAfter is the retry delay given to callers while the configuration is stale. Another host
// can serve the caller at once.
const staleRetryAfter = time.Second

// freshness is the period in which the configuration may be used as being in force. It is a time and
// not a flag, so that a host that was paused is stale before it handles any further event.
type freshness struct {
	// confirmed is false until the first ConfigConfirmed. Until then, the configuration is never
	// stale. A ConfigConfirmed whose time has passed makes it stale at once.
	confirmed bool
	until     time.Time
}

func (f *freshness) confirm(until time.Time) {
	f.confirmed = true
	f.until = until
}

// stale reports whether this host may have missed the withdrawal of a key.
func (c *Core) stale(now time.Time) bool {
	return c.freshness.confirmed && !now.Before(c.freshness.until)
}

func errStale() *apierr.Error {
	return apierr.New(apierr.ConfigStale, "").WithRetryAfter(staleRetryAfter)
}
