package daemon

import (
	"math/rand/v2"

	"github.com/jasminelock/jasminelock/core"
	"github.com/jasminelock/jasminelock/limit"
	"github.com/jasminelock/jasminelock/settings"
)

// newLimiter returns the host's limiter. Without peer links no host can ask
// another, so each gets a fixed share.
func newLimiter(s *settings.Settings) limit.Limiter {
	if s.Listen.Peers == "" {
		return limit.NewStatic(s.Fleet.Hosts)
	}
	return limit.NewLead(limit.Options{
		Host:        s.Host,
		Incarnation: rand.Uint64(),
		Rand:        rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	})
}

// ready reports whether the host can serve callers at once: it has a
// configuration that is in force, and its limiter is a member of the others.
func (d *Daemon) ready() bool {
	if !d.available() {
		return false
	}
	lead, ok := d.limiter.(*limit.Lead)
	if !ok {
		return true
	}
	member := false
	d.runtime.View(func(*core.Core) { member = lead.Member() })
	return member
}
