package entry

import (
	"context"
	"sync"
	"time"

	"github.com/jasminelock/jasminelock/catalog"
)

const (
	// listenerCheckDelay is the time from an interrupted attempt to the check of its upstream. The kernel closes the
	// connections and the listener of a process that has ended one after the other.
	listenerCheckDelay = 50 * time.Millisecond
	// listenerCheckInterval is the minimum time between two checks of an upstream. It bounds the connections that an
	// upstream which loses answers gets for nothing.
	listenerCheckInterval = time.Second
	// listenerCheckTimeout is the time allowed for one check.
	listenerCheckTimeout = time.Second
	// maxListenerChecks limits the upstreams whose last check is remembered.
	maxListenerChecks = 4096
)

// listenerChecks holds when the listeners of upstreams were last checked.
type listenerChecks struct {
	mu        sync.Mutex
	checkedAt map[string]time.Time
}

// due reports whether an upstream may be checked now, and records the check.
func (c *listenerChecks) due(now time.Time, upstream string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if now.Sub(c.checkedAt[upstream]) < listenerCheckInterval {
		return false
	}
	if len(c.checkedAt) >= maxListenerChecks {
		clear(c.checkedAt)
	}
	c.checkedAt[upstream] = now
	return true
}

// checkListener finds out whether an upstream that has interrupted an attempt has ended, and tells the broker. The list
// of upstreams shows it seconds later.
func (s *Server) checkListener(u *catalog.Upstream) {
	if !s.listeners.due(time.Now(), u.ID) {
		return
	}
	time.AfterFunc(listenerCheckDelay, func() {
		ctx, cancel := context.WithTimeout(context.Background(), listenerCheckTimeout)
		defer cancel()
		if s.Pool.Refuses(ctx, u.Address) {
			s.Broker.UpstreamRefuses(u.ID, u.StartedAt)
		}
	})
}
