package leader

import (
	"time"

	"github.com/jasminelock/jasminelock/catalog"
	"github.com/jasminelock/jasminelock/throttle"
)

// invalidLimitLogInterval is the minimum time between two log lines about invalid limits.
const invalidLimitLogInterval = 5 * time.Second

// RateLimitStated records what a response states about the request rate that its upstream accepts. sentAt is when
// the request was sent.
func (b *Broker) RateLimitStated(u *catalog.Upstream, sentAt time.Time, s throttle.Statement) {
	if s.Err == nil && !s.Stated && !s.Absent {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	key := throttle.Incarnation{ID: u.ID, StartedAt: u.StartedAt}
	switch {
	case s.Err != nil:
		if now.Sub(b.invalidLimitLoggedAt) >= invalidLimitLogInterval {
			b.invalidLimitLoggedAt = now
			b.log.Warn("upstream states an invalid rate limit; ignoring it", "upstream", u.ID, "born", u.StartedAt, "error", s.Err)
		}
	case s.Stated:
		before, known := b.rateLimits.Get(key)
		if b.rateLimits.Set(now, key, s.PerSecond) {
			b.log.Info("upstream states a rate limit", "upstream", u.ID, "born", u.StartedAt, "per_second", s.PerSecond,
				"known", known, "before", before.PerSecond)
		}
	case b.rateLimits.Outdated(key, sentAt):
		b.log.Info("upstream states no rate limit any more", "upstream", u.ID, "born", u.StartedAt)
		b.rateLimits.Remove(key)
	}
}
