// Package callers connects the account of package intake with the connections and requests of net/http servers.
package callers

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"runtime"
	"sync"
	"time"

	"github.com/jasminelock/jasminelock/intake"
)

// ErrRefused reports that there is no memory for what a caller sends, or that its request was given up in favour of others.
// The request has not run.
var ErrRefused = errors.New("callers: no memory for the request")

// Gate admits callers' connections and requests to a process.
type Gate struct{ budget *intake.Budget }

// NewGate returns a gate that keeps to the limits.
func NewGate(l intake.Limits) *Gate { return &Gate{budget: intake.New(l)} }

// Budget returns the account.
func (g *Gate) Budget() *intake.Budget { return g.budget }

// sendBufferBytes is the size of the kernel's buffer for what a caller has not read. The kernel would let it grow to megabytes
// for each connection.
const sendBufferBytes = 64 << 10

// Listen returns a listener whose connections are admitted by the gate. Attach must be called for its server as well.
func (g *Gate) Listen(l net.Listener) net.Listener { return &listener{l, g} }

// Attach sets the hooks of a server that serves a listener of the gate.
func (g *Gate) Attach(s *http.Server) {
	s.ConnState = func(raw net.Conn, state http.ConnState) {
		c, ok := raw.(*conn)
		if !ok {
			return
		}
		switch state {
		case http.StateActive:
			g.budget.HeadComplete(time.Now(), &c.account)
		case http.StateIdle:
			g.budget.End(time.Now(), &c.account)
			// A connection with requests in a pipeline has the next one at once. Without this it serves them for a whole time slice,
			// and with hundreds of such connections a new one waits for seconds.
			runtime.Gosched()
		}
	}
	s.ConnContext = func(ctx context.Context, raw net.Conn) context.Context { return context.WithValue(ctx, connKey{}, raw) }
}

type connKey struct{}

type listener struct {
	net.Listener
	gate *Gate
}

// Accept implements net.Listener. A connection for which there is no room is closed.
func (l *listener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &conn{Conn: raw, gate: l.gate}
		c.account.Owner = c
		victim, admitted := l.gate.budget.Open(time.Now(), &c.account)
		if victim != nil {
			l.gate.evict(victim)
		}
		if !admitted {
			_ = raw.Close() // nothing was read from it
			continue
		}
		if tcp, ok := raw.(*net.TCPConn); ok {
			_ = tcp.SetWriteBuffer(sendBufferBytes) // a larger buffer is no fault
		}
		return c, nil
	}
}

const (
	// pendingTries is how often a reservation is tried that waits for connections which are being closed, and pendingWait the
	// time between two tries. Their goroutines need only be scheduled.
	pendingTries = 20
	pendingWait  = 5 * time.Millisecond
)

// granted carries out a reservation and reports whether it was granted.
func (g *Gate) granted(reserve func(now time.Time) ([]*intake.Conn, intake.Verdict)) bool {
	for range pendingTries {
		victims, verdict := reserve(time.Now())
		g.evict(victims...)
		if verdict != intake.Pending {
			return verdict == intake.Granted
		}
		time.Sleep(pendingWait)
	}
	return false
}

// evict ends the connections. A request whose body is being read is answered by its handler.
func (g *Gate) evict(victims ...*intake.Conn) {
	for _, v := range victims {
		if c, ok := v.Owner.(*conn); ok {
			c.evict()
		}
	}
}

// conn is the connection of a caller.
type conn struct {
	net.Conn
	gate    *Gate
	account intake.Conn
	// lineBytes is the length of the last line of the head so far.
	lineBytes int

	// mu guards the fields below.
	mu sync.Mutex
	// readingBody is set while a handler reads the body of a request.
	readingBody bool
	evicted     bool
}

// Read implements net.Conn. Memory is reserved for the head of a request as it arrives.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 && c.account.Waiting() {
		head := b[:c.headLength(b[:n])] // a body may follow, whose lines are not parsed
		size := intake.HeadBytes(len(head), bytes.Count(head, lineEnd))
		if !c.gate.granted(func(now time.Time) ([]*intake.Conn, intake.Verdict) {
			return c.gate.budget.HeadArrived(now, &c.account, size)
		}) {
			_ = c.Close()
			return 0, io.EOF // net/http answers other errors
		}
	}
	return n, err
}

var lineEnd = []byte("\n")

// headLength returns how many of the bytes belong to a head, which ends with its first empty line.
func (c *conn) headLength(b []byte) int {
	for i, x := range b {
		switch x {
		case '\n':
			if c.lineBytes == 0 {
				return i + 1
			}
			c.lineBytes = 0
		case '\r':
		default:
			c.lineBytes++
		}
	}
	return len(b)
}

// writeBytes is how much is written at once, so that a slow caller that reads is told from one that does not.
const writeBytes = 16 << 10

// Write implements net.Conn.
func (c *conn) Write(b []byte) (int, error) {
	defer c.account.Written()
	written := 0
	for {
		c.account.Writing(time.Now())
		n, err := c.Conn.Write(b[written:min(len(b), written+writeBytes)])
		written += n
		if err != nil || written == len(b) {
			return written, err
		}
	}
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.gate.budget.Close(&c.account)
	return c.Conn.Close()
}

// CloseWrite shuts down the sending side, which net/http does before it closes a connection with an unread body.
func (c *conn) CloseWrite() error {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		return tcp.CloseWrite()
	}
	return nil
}

// setResetOnClose sets whether the connection is reset when it is closed, also by the end of the process.
func (c *conn) setResetOnClose(reset bool) {
	tcp, ok := c.Conn.(*net.TCPConn)
	if !ok {
		return
	}
	linger := -1 // the default: what was written is sent first
	if reset {
		linger = 0
	}
	_ = tcp.SetLinger(linger) // fails only on a closed connection
}

// SetReadDeadline implements net.Conn. A request that was given up reads no more.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.evicted {
		t = past
	}
	return c.Conn.SetReadDeadline(t)
}

// past is a deadline that has passed.
var past = time.Unix(1, 0)

func (c *conn) evict() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.evicted = true
	if c.readingBody {
		_ = c.Conn.SetReadDeadline(past) // fails only on a closed connection
		return
	}
	c.gate.budget.Close(&c.account)
	_ = c.Conn.Close() // its goroutine closes it again
}

func (c *conn) setReadingBody(reading bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readingBody = reading
}
