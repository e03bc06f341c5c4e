package intake

// Reason is why a request was refused or a connection was closed.
type Reason uint8

// The reasons.
const (
	// memoryFull refuses a request since the memory for callers is used up.
	memoryFull Reason = iota
	// overConnectionShare and overKeyShare refuse a request since its connection or its key holds its share.
	overConnectionShare
	overKeyShare
	// noProgress gives up a request that makes little progress while memory is short.
	noProgress
	// connectionsFull closes a connection without a request in favour of a new one.
	connectionsFull
	// noConnection closes a new connection since all others have a request under way.
	noConnection
	reasons
)

// Reasons returns all reasons.
func Reasons() []Reason {
	return []Reason{memoryFull, overConnectionShare, overKeyShare, noProgress, connectionsFull, noConnection}
}

// String returns the reason's name in metrics.
func (r Reason) String() string {
	return [reasons]string{"memory_full", "connection_share", "key_share", "no_progress", "connections_full", "no_connection"}[r]
}

// Connections returns the number of open connections.
func (b *Budget) Connections() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.open
}

// ConnectionsFull reports whether there are as many connections as the limit.
func (b *Budget) ConnectionsFull() bool { return b.Connections() >= b.limits.Connections }

// Held returns the bytes that are held of a kind.
func (b *Budget) Held(k Kind) int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.held[k]
}

// Refused returns the number of requests and connections that were refused or closed for a reason.
func (b *Budget) Refused(r Reason) int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.refused[r]
}
