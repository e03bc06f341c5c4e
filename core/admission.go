package core

// admitter is a limiter that cannot admit any request before it has joined the other hosts' limiters.
type admitter interface{ Admits() bool }

// Admits reports whether the limiter can admit requests. A host should not be announced to callers
// before that.
func (c *Core) Admits() bool {
	a, ok := c.limiter.(admitter)
	return !ok || a.Admits()
}
