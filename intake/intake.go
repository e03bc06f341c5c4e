// Package intake keeps account of what callers hold of a process: memory for request bodies, heads, responses and requests
// under way, and connections. It decides which request is refused and which connection is closed if the limits are reached.
//
// It uses no network and no clock: the time is an argument, and the connections to close are returned to the caller.
// Package callers connects it with net/http.
package intake

import (
	"math"
	"sync"
	"sync/atomic"
	"time"
)

// Kind is what memory is held for.
type Kind uint8

// The kinds.
const (
	// Head is a request's head, complete or not.
	Head Kind = iota
	// Body is a request's body, kept until no attempt can need it any more.
	Body
	// Response is the part of a response that was read from the upstream and not yet passed on.
	Response
	// Replaceable is the part of a response that is kept so that another upstream's can replace it. Without memory for it, the
	// response is passed on as it arrives, so that it takes no memory that anything else needs.
	Replaceable
	// Request is the state of a request under way, with its connection to an upstream.
	Request
	kinds
)

// Kinds returns all kinds.
func Kinds() []Kind { return []Kind{Head, Body, Response, Replaceable, Request} }

// String returns the kind's name in metrics.
func (k Kind) String() string {
	return [kinds]string{"head", "body", "response", "replaceable", "request"}[k]
}

// What a connection and a request take besides the bytes of the caller. TestProcess_MemoryPerConnection measured 22 to 26 KB for
// an idle connection that has carried a request, and 56 KB with a stream under way.
const (
	// ConnectionBytes is the memory of an open connection: its goroutine, the two buffers of net/http and its last request.
	ConnectionBytes = 28 << 10
	// RequestBytes is the memory of a request under way: the goroutine that watches the connection, the request's state and
	// the connection to the upstream with its buffer.
	RequestBytes = 32 << 10
	// headFactor is the memory of a byte of a head: as read, as parsed, and in the request to the upstream.
	headFactor = 3
	// headLineBytes is the memory of a header line besides its bytes: entries in two maps, which grow by doubling.
	headLineBytes = 256
)

// HeadBytes returns the memory that a part of a head takes, given its bytes and its lines.
func HeadBytes(bytes, lines int) int64 { return headFactor*int64(bytes) + headLineBytes*int64(lines) }

// Limits bound what callers hold.
type Limits struct {
	// Bytes is the memory for all kinds together. Connections have their own, which Connections bounds.
	Bytes int64
	// Connections is the number of open connections.
	Connections int
	// IdleUpstreamConnections is the number of connections to upstreams that may be kept for reuse. Package forward enforces it.
	IdleUpstreamConnections int
	// PerConnection and PerKey are the memory that one connection and the requests with one key may hold.
	PerConnection, PerKey int64
}

// Shares are the shares from which Limits are derived, each above 0 and at most 1.
type Shares struct {
	// Memory is the share of the process's memory for callers. Half of it is for connections.
	Memory float64
	// Connection and Key are the shares that one connection and one key may have of the memory besides connections.
	Connection, Key float64
	// Descriptors is the share of the descriptors that callers' connections may take, after ReservedDescriptors. Each may have a
	// request under way, with a connection to an upstream. Idle connections to upstreams take half of the remaining share, or
	// what these leave if that is less.
	Descriptors float64
}

// DefaultShares returns the shares of a process whose settings name none. On the smallest host of the users' deployments, with
// 144 MB and 3,075 descriptors, they allow 658 connections and 18 MB besides.
func DefaultShares() Shares {
	return Shares{Memory: 0.25, Connection: 0.5, Key: 0.75, Descriptors: 0.4}
}

// ReservedDescriptors is the number of descriptors that are not for connections: files, listeners and the runtime's own.
const ReservedDescriptors = 200

// minConnections is the least number of connections that callers may open, whatever the settings say.
const minConnections = 8

// NewLimits returns the limits for a process with the given memory in bytes and number of descriptors.
func NewLimits(memory int64, descriptors int, s Shares) Limits {
	half := s.Memory * float64(memory) / 2
	free := float64(descriptors - ReservedDescriptors)
	connections := max(minConnections, min(int(half/ConnectionBytes), int(s.Descriptors*free)))
	return Limits{
		Bytes: int64(half), Connections: connections,
		IdleUpstreamConnections: max(minConnections, min(int((1-s.Descriptors)/2*free), int(free)-2*connections)),
		PerConnection:           int64(s.Connection * half), PerKey: int64(s.Key * half),
	}
}

// Fitting returns the limits, raised where a single request that takes the given bytes would be refused although nothing else is
// held.
func (l Limits) Fitting(request int64) Limits {
	l.PerConnection, l.PerKey = max(l.PerConnection, request), max(l.PerKey, request)
	l.Bytes = max(l.Bytes, int64(math.Ceil(float64(request)/shortShare)))
	return l
}

// state is what a connection is doing.
type state uint8

const (
	// unused is a connection on which nothing has arrived yet.
	unused state = iota
	// readingHead is a connection with an incomplete head.
	readingHead
	// idle is a connection that has carried a request and waits for the next.
	idle
	// underWay is a connection with a request whose head is complete.
	underWay
	states
)

// Conn is the account of one connection. Its methods are called by the goroutine that serves the connection.
type Conn struct {
	// Owner is the connection to which the account belongs.
	Owner any

	// evicted and waiting are read without the lock. Waiting is set while no request is under way.
	evicted, waiting atomic.Bool
	// writingSince is the time in Unix nanoseconds since which a write to the caller has made no progress, 0 for no write.
	writingSince atomic.Int64
	// received is the number of bytes of the body that have arrived, receivedAt the time of the last ones in Unix nanoseconds.
	received, receivedAt atomic.Int64

	// The fields below are guarded by Budget.mu.

	state state
	// since is when the connection got into its state.
	since time.Time
	open  bool
	key   string
	held  [kinds]int64
	total int64
	body  progress
	// finished is set when the handler of the request under way has ended.
	finished bool
	// previous and next are the neighbours in the list of the state, in the order in which connections entered it.
	previous, next *Conn
}

// Evicted reports whether the connection is to be closed.
func (c *Conn) Evicted() bool { return c.evicted.Load() }

// Waiting reports whether no request is under way, so that the bytes which arrive belong to a head.
func (c *Conn) Waiting() bool { return c.waiting.Load() }

// Received adds bytes of the body that have arrived.
func (c *Conn) Received(now time.Time, n int) {
	c.received.Add(int64(n))
	c.receivedAt.Store(now.UnixNano())
}

// Writing marks the begin of a write to the caller, or its progress.
func (c *Conn) Writing(now time.Time) { c.writingSince.Store(now.UnixNano()) }

// Written marks the end of a write to the caller.
func (c *Conn) Written() { c.writingSince.Store(0) }

// Budget is the account of a process. It is safe for concurrent use.
type Budget struct {
	limits Limits

	mu sync.Mutex
	// conns are the open connections that hold memory or have a request under way. The others are only listed in waiting.
	conns map[*Conn]struct{}
	// waiting lists the connections without a request under way, by their state.
	waiting [states]list
	open    int
	held    [kinds]int64
	total   int64
	// leaving is what evicted connections still hold.
	leaving int64
	keys    map[string]int64
	refused [reasons]int64
}

// New returns an account with nothing held.
func New(l Limits) *Budget {
	return &Budget{limits: l, conns: map[*Conn]struct{}{}, keys: map[string]int64{}}
}

// Limits returns the limits.
func (b *Budget) Limits() Limits { return b.limits }
