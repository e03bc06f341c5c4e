package core

// admitter is a limiter that can admit nothing before it has joined the others.
type admitter interface{ Admits() bool }

// Admits reports whether the limiter can admit requests. A host should not be
// told to callers before.
func (c *Core) Admits() bool {
	a, ok := c.limiter.(admitter)
	return !ok || a.Admits()
}
