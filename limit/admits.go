package limit

// Admits reports whether this host is a member of the view, that is, enforces
// rates together with the other hosts. Until then, it refuses all requests that
// have a rate.
func (l *LeaderLimiter) Admits() bool { return l.isMember() }
