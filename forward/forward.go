// Package forward sends requests to upstreams over HTTP/1.1 connections that it
// keeps itself.
//
// The standard library's client may send a request again by itself, hides
// whether bytes were written, and takes bytes that belong to no request for the
// next answer. Here a request is written once at the most; whoever called is
// told whether any byte of it may have left; and a connection on which anything
// unexpected was read is closed.
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

// Errors of an exchange. ErrNotSent is the only one after which the upstream
// has certainly not run the request.
var (
	// ErrNotSent says that no byte of the request has left this host.
	ErrNotSent = errors.New("forward: the request was not sent")
	// ErrInterrupted says that the connection broke after bytes were written.
	ErrInterrupted = errors.New("forward: the connection broke")
	// ErrMalformed says that what the upstream sent is no answer to the request.
	ErrMalformed = errors.New("forward: malformed answer")
)

// Request is what is sent to an upstream.
type Request struct {
	Method string
	// URI is the path and the query as the caller sent them.
	URI    string
	Host   string
	Header http.Header
	Body   []byte
}

// Response is an upstream's answer. Body must be read to its end, or the answer
// closed; both must happen from one goroutine.
type Response struct {
	Status int
	Header http.Header
	// ContentLength is the body's length, -1 where it is not stated.
	ContentLength int64
	body   *http.Response
	conn   *conn
	pool   *Pool
	whole  bool
	done   bool
	unwind func() bool
}

// Options are what a Pool is made of.
type Options struct {
	// DialTimeout bounds opening a connection.
	DialTimeout time.Duration
	// TCPUserTimeout is how long sent bytes may go unacknowledged.
	TCPUserTimeout time.Duration
	// IdleTimeout is how long a connection may stay idle where the upstream does not
	// say.
	IdleTimeout time.Duration
	// MaxIdlePerUpstream is how many idle connections are kept to one upstream.
	MaxIdlePerUpstream int
	// RequestIDHeader names the header by which an answer repeats the request's id. Answers
	// with another id belong to an earlier request and are passed over.
	RequestIDHeader string
	// MaxStaleResponses is how many answers that belong to earlier requests are passed
	// over before the connection is given up.
	MaxStaleResponses int
}

// Do sends a request to the upstream that key names, at address, and returns
// when the header of its answer has arrived. fresh asks for a connection that
// was not idle for longer than it allows; 0 asks for a new one. The answer ends
// with the context.
func (p *Pool) Do(ctx context.Context, key, address string, r *Request, fresh time.Duration) (*Response, error) {
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
			return nil, fmt.Errorf("%w: %w", ErrInterrupted, context.Cause(ctx))
		}
		return nil, err
	}
	a.pool, a.unwind = p, unwind
	return a, nil
}

// Read reads the body. io.EOF says that it is whole.
func (a *Response) Read(b []byte) (int, error) {
	n, err := a.body.Body.Read(b)
	if errors.Is(err, io.EOF) {
		a.whole = true
	}
	return n, err
}

// Close ends the answer. The connection is kept only where the whole body was
// read and nothing came after it.
func (a *Response) Close() {
	if a.done {
		return
	}
	a.done = true
	stopped := a.unwind()
	if !a.whole || !stopped || a.body.Close || a.ContentLength == -1 && len(a.body.TransferEncoding) == 0 || !a.conn.clean() {
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
	// in is what reader reads from.
	in     *meter
	reader *bufio.Reader
	// idleSince is when the connection was put back, idleUntil when it must no
	// longer be used.
	idleSince time.Time
	idleUntil time.Time
	maxIdle   time.Duration
	// writing is closed when the last request's body was written, with its error.
	written chan error
}

// newConn returns an open connection to an upstream.
func newConn(raw net.Conn, key, address string, maxIdle time.Duration) *conn {
	in := &meter{in: raw}
	return &conn{Conn: raw, key: key, address: address, in: in, reader: bufio.NewReaderSize(in, readerSize), maxIdle: maxIdle}
}

// abort ends whatever reads or writes. The connection is closed by its user. What
// has not reached the upstream is dropped, so that it does not arrive late.
func (c *conn) abort() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // a connection that is closed sends nothing any more
	}
	_ = c.SetDeadline(time.Unix(1, 0)) // a closed connection has no deadline to set
}

func (c *conn) close() {
	_ = c.Close() // closing twice is harmless
}

// broken wraps the error of a connection that was written to.
func broken(err error) error {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return fmt.Errorf("%w: timed out", ErrInterrupted)
	}
	return fmt.Errorf("%w: %w", ErrInterrupted, err)
}
