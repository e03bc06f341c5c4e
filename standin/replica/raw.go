package replica

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
)

// Raw is a stand-in for a replica whose answers a test writes byte by byte, so that they can be cut, or be no answers at all.
type Raw struct {
	listener net.Listener
	answer   func(c *net.TCPConn, r *http.Request) bool
	// early reports whether answer is called before the body of the request has been read.
	early bool
	// open is the number of open connections, received that of the requests.
	open, received atomic.Int64
}

// ServeRaw starts a replica on loopback. It calls answer with each request, whose body has been read. Answer writes to the
// connection and reports whether more requests may follow on it; otherwise the connection is closed.
func ServeRaw(answer func(c *net.TCPConn, r *http.Request) bool) (*Raw, error) {
	return serveRaw(answer, false)
}

// ServeEarly starts a replica like that of ServeRaw, but answer is called with a request as soon as its head has been read. Answer
// may read the body. No other request may follow on the connection unless it has.
func ServeEarly(answer func(c *net.TCPConn, r *http.Request) bool) (*Raw, error) {
	return serveRaw(answer, true)
}

func serveRaw(answer func(c *net.TCPConn, r *http.Request) bool, early bool) (*Raw, error) {
	var listen net.ListenConfig
	listener, err := listen.Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	raw := &Raw{listener: listener, answer: answer, early: early}
	go raw.accept()
	return raw, nil
}

// Address returns the address that the replica listens on.
func (r *Raw) Address() string { return r.listener.Addr().String() }

// Close closes the listener. Open connections stay in use.
func (r *Raw) Close() { _ = r.listener.Close() }

// OpenConnections returns the number of connections that neither side has closed.
func (r *Raw) OpenConnections() int64 { return r.open.Load() }

// Received returns the number of requests that were received.
func (r *Raw) Received() int64 { return r.received.Load() }

func (r *Raw) accept() {
	for {
		c, err := r.listener.Accept()
		if err != nil {
			return
		}
		r.open.Add(1)
		go r.serve(c.(*net.TCPConn)) //nolint:forcetypeassert // the listener is one for TCP
	}
}

func (r *Raw) serve(c *net.TCPConn) {
	defer r.open.Add(-1)
	defer func() { _ = c.Close() }()
	for reader := bufio.NewReader(c); ; {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if !r.early {
			body, err := io.ReadAll(req.Body)
			if err != nil {
				return
			}
			req.Body = io.NopCloser(bytes.NewReader(body))
		}
		r.received.Add(1)
		if !r.answer(c, req) {
			return
		}
	}
}

// IsControl reports whether a request is an order or the question for a report.
func IsControl(r *http.Request) bool { return strings.HasPrefix(r.URL.Path, "/v1/") }

// ExpectedInstance returns the ID of the replica that a request is meant for.
func ExpectedInstance(r *http.Request) string { return r.Header.Get("Jasminelock-Expect-Instance") }

// Control writes the answer of a replica to a control request.
func (r *Replica) Control(c net.Conn, req *http.Request) error {
	recorder := httptest.NewRecorder()
	r.ServeHTTP(recorder, req)
	resp := recorder.Result()
	defer func() { _ = resp.Body.Close() }()
	resp.ContentLength = int64(recorder.Body.Len())
	return resp.Write(c)
}

// SignedHead returns the status line and the header of a signed answer with status 200, without the lines that frame the body
// and the blank line.
func SignedHead(req *http.Request, contentType string) string {
	const attempt = "Jasminelock-Attempt-Id"
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\nJasminelock-Response-Signature: s\r\nContent-Type: %s\r\n", attempt, req.Header.Get(attempt), contentType)
}
