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
	"hash/maphash"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"time"

	"github.com/jasminelock/jasminelock/httpcheck"
)

// Errors of Pool.Do. Only after ErrNotSent is it certain that the upstream has not
// run the request.
var (
	// ErrNotSent reports that no byte of the request has left this host.
	ErrNotSent = errors.New("forward: request not sent")
	// ErrInterrupted reports that the connection failed after bytes may have been
	// written.
	ErrInterrupted = errors.New("forward: connection interrupted; the request may have run")
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

// Response is the response of an upstream. Its body is read with Read, and Close must
// be called after use. Read and Close must be called from the same goroutine.
type Response struct {
	Status int
	Header http.Header
	// ContentLength is the length of the body in bytes, -1 if the header does not state it.
	ContentLength int64
	response      *http.Response
	conn          *conn
	pool          *Pool
	// complete reports whether the body was read to its end.
	complete bool
	// closed reports whether Close was called.
	closed bool
	// stopAbort stops the abort on cancellation of the context. It returns false if the
	// abort has started.
	stopAbort func() bool
}

// Options configure a Pool.
type Options struct {
	// DialTimeout is the timeout for opening a connection.
	DialTimeout time.Duration
	// TCPUserTimeout is how long sent bytes may stay unacknowledged (TCP_USER_TIMEOUT).
	TCPUserTimeout time.Duration
	// IdleTimeout is how long a connection may stay idle unless the upstream's
	// Keep-Alive header states a timeout.
	IdleTimeout time.Duration
	// MaxIdlePerUpstream is the maximum number of idle connections per upstream.
	MaxIdlePerUpstream int
	// MaxIdle is the maximum number of idle connections to all upstreams, 0 for no limit.
	MaxIdle int
	// RequestIDHeader is the name of the header that carries the request's id and is echoed by
	// responses. A response with another id belongs to an earlier request and is
	// skipped.
	RequestIDHeader string
	// MaxStaleResponses is how many responses to earlier requests are skipped before the
	// attempt fails and the connection is closed.
	MaxStaleResponses int
}

// Do sends a request to the upstream key at address and returns once the header of
// the response has arrived. A pooled connection is used only if it was idle for at
// most maxIdle; 0 opens a new one. Cancelling the context aborts the response. Errors
// wrap ErrNotSent, ErrInterrupted or ErrMalformed.
func (p *Pool) Do(ctx context.Context, key, address string, r *Request, maxIdle time.Duration) (*Response, error) {
	c, err := p.acquire(ctx, key, address, r.Header.Get(p.options.RequestIDHeader), maxIdle)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	stopAbort := context.AfterFunc(ctx, func() { c.abort() })
	resp, err := c.roundTrip(r, p.options)
	if err != nil {
		stopAbort()
		c.close()
		if ctx.Err() != nil {
			return nil, fmt.Errorf("%w: %w", ErrInterrupted, context.Cause(ctx))
		}
		return nil, err
	}
	resp.pool, resp.stopAbort = p, stopAbort
	return resp, nil
}

// Read reads the body. It returns io.EOF only after a complete body with a valid trailer, if it has one.
func (r *Response) Read(b []byte) (int, error) {
	n, err := r.response.Body.Read(b)
	if errors.Is(err, io.EOF) {
		if invalid := httpcheck.CheckFields(r.response.Trailer); invalid != nil {
			return n, fmt.Errorf("%w: %w", ErrMalformed, invalid)
		}
		r.complete = true
	}
	return n, err
}

// Discard reads the rest of the body, so that Close can reuse the connection. It gives up after limit bytes, or after timeout.
func (r *Response) Discard(limit int64, timeout time.Duration) {
	giveUp := time.AfterFunc(timeout, r.conn.abort)
	_, _ = io.Copy(io.Discard, io.LimitReader(r, limit)) // Close closes a connection whose body was not read to its end
	if !giveUp.Stop() {
		r.complete = false // the connection has been aborted
	}
}

// Unframed reports whether only the end of the connection marks the end of the body.
func (r *Response) Unframed() bool {
	return r.ContentLength == -1 && len(r.response.TransferEncoding) == 0
}

// Close releases the connection. The connection is reused only if the whole body was
// read, no bytes followed it, no body was stated that the response cannot have, and the
// context was not cancelled; otherwise it is closed.
func (r *Response) Close() {
	if r.closed {
		return
	}
	r.closed = true
	stopped := r.stopAbort()
	if !r.complete || !stopped || r.response.Close || r.Unframed() || omitsBody(r.response) || len(r.conn.ids) >= maxRequestsPerConnection || !r.conn.reusable() {
		r.conn.close()
		return
	}
	r.conn.applyKeepAlive(r.Header)
	r.pool.putIdle(r.conn)
}

// conn is one connection to an upstream.
type conn struct {
	*httpcheck.Conn
	// raw is the connection under Conn.
	raw     net.Conn
	key     string
	address string
	// limited limits what reader reads from the connection.
	limited *limitedReader
	reader  *bufio.Reader
	// idleSince is when the connection was returned to the pool. It must not be used
	// after idleUntil.
	idleSince   time.Time
	idleUntil   time.Time
	idleTimeout time.Duration
	// bodyWritten receives the result of writing the last request's body, if that body is
	// written concurrently; else it is nil.
	bodyWritten chan error
	// ids are the hashes of the ids of the requests that the connection has carried, 0 for none. An
	// upstream may write a response once more later; if it is one to the same id, it cannot be told
	// from the response to the present request.
	ids []uint64
}

// maxRequestsPerConnection is the number of requests after which a connection is closed, since it
// would have to remember more ids.
const maxRequestsPerConnection = 512

// idSeed seeds the hashes of ids.
var idSeed = maphash.MakeSeed()

// hashID returns the hash of an id, 0 for a request without one.
func hashID(id string) uint64 {
	if id == "" {
		return 0
	}
	return maphash.String(idSeed, id)
}

// hasCarried reports whether the connection may have carried a request with the id. Requests without
// an id are no reason not to use it: they are sent on connections of their own.
func (c *conn) hasCarried(id string) bool { return id != "" && slices.Contains(c.ids, hashID(id)) }

// newConn wraps an open connection to an upstream.
func newConn(raw net.Conn, key, address string, idleTimeout time.Duration) *conn {
	checked := httpcheck.WithTrueEOF(raw)
	limited := &limitedReader{in: checked}
	return &conn{
		Conn: checked, raw: raw, key: key, address: address, limited: limited, reader: bufio.NewReaderSize(limited, readBufferBytes),
		idleTimeout: idleTimeout,
	}
}

// abort interrupts pending reads and writes. The user of the connection then closes it.
// Closing drops the bytes that have not reached the upstream, so that they do not arrive
// late.
func (c *conn) abort() {
	if tcp, ok := c.raw.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // fails only on a closed connection, which sends nothing more
	}
	_ = c.SetDeadline(time.Unix(1, 0)) // fails only on a closed connection
}

func (c *conn) close() {
	_ = c.Close() // closing twice is harmless
}

// connectionError wraps an error of a connection after a write as ErrInterrupted.
func connectionError(err error) error {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return fmt.Errorf("%w: timed out", ErrInterrupted)
	}
	return fmt.Errorf("%w: %w", ErrInterrupted, err)
}
