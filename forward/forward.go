// Package forward sends requests to upstreams over its own pool of HTTP/1.1
// connections.
//
// The client of net/http may retry a request on its own, does not report whether
// bytes were written, and treats bytes that belong to no request as the next
// response. This package writes a request at most once, reports by its errors
// whether any byte of the request may have left the host, and closes a connection
// on which unexpected bytes were read.
package forward

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"time"
)

// Errors of Pool.Do. Only after ErrNotSent is it certain that the upstream has not
// run the request.
var (
	// ErrNotSent reports that no byte of the request has left this host.
	ErrNotSent = errors.New("forward: request not sent")
	// ErrBroken reports that the connection failed after bytes may have been
	// written.
	ErrBroken = errors.New("forward: connection interrupted; the request may have run")
	// ErrMalformed reports that the upstream sent something other than a valid
	// response to the request.
	ErrMalformed = errors.New("forward: malformed response")
)

// Request is an HTTP request to an upstream.
type Request struct {
	Method string
	// URI is the path and the query, written exactly as given.
	URI    string
	Host   string
	Header http.Header
	Body   []byte
}

// Answer is the response of an upstream. Its body is read with Read, and Close must
// be called after use. Read and Close must be called from the same goroutine.
type Answer struct {
	Status int
	Header http.Header
	// Length is the length of the body in bytes, -1 if the header does not state it.
	Length int64
	body   *http.Response
	conn   *conn
	pool   *Pool
	// whole reports whether the body was read to its end.
	whole bool
	// done reports whether Close was called.
	done bool
	// unwind stops the abort on cancellation of the context. It returns false if the
	// abort has started.
	unwind func() bool
}

// Options configure a Pool.
type Options struct {
	// DialTimeout is the timeout for opening a connection.
	DialTimeout time.Duration
	// UserTimeout is how long sent bytes may stay unacknowledged (TCP_USER_TIMEOUT).
	UserTimeout time.Duration
	// MaxIdle is how long a connection may stay idle unless the upstream's
	// Keep-Alive header states a timeout.
	MaxIdle time.Duration
	// MaxIdlePerUpstream is the maximum number of idle connections per upstream.
	MaxIdlePerUpstream int
	// Echo is the name of the header that carries the request's id and is echoed by
	// responses. A response with another id belongs to an earlier request and is
	// skipped.
	Echo string
	// Interim is how many responses to earlier requests are skipped before the
	// attempt fails and the connection is closed.
	Interim int
}

// Do sends a request to the upstream key at address and returns once the header of
// the response has arrived. A pooled connection is used only if it was idle for at
// most fresh; 0 opens a new one. Cancelling the context aborts the response. Errors
// wrap ErrNotSent, ErrBroken or ErrMalformed.
func (p *Pool) Do(ctx context.Context, key, address string, r *Request, fresh time.Duration) (*Answer, error) {
	c, err := p.take(ctx, key, address, fresh)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	unwind := context.AfterFunc(ctx, func() { c.abort() })
	a, err := c.exchange(r, p.options)
	if err != nil {
		unwind()
		c.close()
		if ctx.Err() != nil {
			return nil, fmt.Errorf("%w: %w", ErrBroken, context.Cause(ctx))
		}
		return nil, err
	}
	a.pool, a.unwind = p, unwind
	return a, nil
}

// Read reads the body. It returns io.EOF only after a complete body.
func (a *Answer) Read(b []byte) (int, error) {
	n, err := a.body.Body.Read(b)
	if errors.Is(err, io.EOF) {
		a.whole = true
	}
	return n, err
}

// Close releases the connection. The connection is reused only if the whole body was
// read, no bytes followed it and the context was not cancelled; otherwise it is closed.
func (a *Answer) Close() {
	if a.done {
		return
	}
	a.done = true
	stopped := a.unwind()
	if !a.whole || !stopped || a.body.Close || a.Length == -1 && len(a.body.TransferEncoding) == 0 || !a.conn.clean() {
		a.conn.close()
		return
	}
	a.conn.keepFor(a.Header)
	a.pool.put(a.conn)
}

// conn is one connection to an upstream.
type conn struct {
	net.Conn
	key     string
	address string
	// in limits what reader reads from the connection.
	in     *meter
	reader *bufio.Reader
	// idleSince is when the connection was returned to the pool. It must not be used
	// after idleUntil.
	idleSince time.Time
	idleUntil time.Time
	maxIdle   time.Duration
	// written receives the result of writing the last request's body, if that body is
	// written concurrently; else it is nil.
	written chan error
}

// newConn wraps an open connection to an upstream.
func newConn(raw net.Conn, key, address string, maxIdle time.Duration) *conn {
	in := &meter{in: raw}
	return &conn{
		Conn: raw, key: key, address: address, in: in, reader: bufio.NewReaderSize(in, readerSize), maxIdle: maxIdle,
	}
}

// abort interrupts pending reads and writes. The user of the connection closes it,
// which then drops bytes that have not reached the upstream, so that they do not
// arrive late.
func (c *conn) abort() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // fails only on a closed connection, which sends nothing more
	}
	_ = c.SetDeadline(time.Unix(1, 0)) // fails only on a closed connection
}

func (c *conn) close() {
	_ = c.Close() // closing twice is harmless
}

// broken wraps an error of a connection after a write as ErrBroken.
func broken(err error) error {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return fmt.Errorf("%w: timed out", ErrBroken)
	}
	return fmt.Errorf("%w: %w", ErrBroken, err)
}
