package daemon

import (
	"math/rand/v2"

	"github.com/jasminelock/jasminelock/limit"
	"github.com/jasminelock/jasminelock/settings"
)

// newLimiter returns the host's limiter. Without peer links no host can ask
// another, so each gets a fixed share.
func newLimiter(s *settings.Settings) limit.Limiter {
	if s.Listen.Peers == "" {
		return limit.NewStatic(s.Fleet.Hosts)
	}
	return limit.NewLeaderLimiter(limit.LeaderOptions{
		Host:        s.Host,
		Incarnation: rand.Uint64(),
		Rand:        rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	})
}
