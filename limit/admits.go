package limit

// Admits reports whether this host counts rates together with the others. Until
// it does, it refuses all that has a rate.
func (l *LeaderLimiter) Admits() bool { return l.isMember() }
