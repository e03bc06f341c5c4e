package forward

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// inlineBody is the largest body that is written before the answer is read. A
// larger one is written meanwhile, since an upstream may answer before it has
// read the body and not read on.
const inlineBody = 16 << 10

// Bounds of what an upstream may send that is not the body of the answer. What is
// beyond is no answer, and ends its connection.
const (
	// maxHeadBytes bounds the head of an answer together with the interim answers
	// before it.
	maxHeadBytes = 64 << 10
	// maxForeignBytes bounds the body of an answer to an earlier request.
	maxForeignBytes = 1 << 20
)

// errTooLong says that an upstream sent more than it may.
var errTooLong = errors.New("forward: more bytes than allowed")

// exchange writes a request and reads the header of its answer.
func (c *conn) exchange(r *Request, o Options) (*Response, error) {
	if err := c.write(r); err != nil {
		return nil, err
	}
	id := r.Header.Get(o.RequestIDHeader)
	for passed := 0; ; passed++ {
		resp, err := c.readHeader(r.Method) //nolint:bodyclose // the answer's Close ends the connection or empties it
		if err != nil {
			return nil, err
		}
		if own(resp, o.RequestIDHeader, id) {
			return &Response{Status: resp.StatusCode, Header: resp.Header, ContentLength: resp.ContentLength, body: resp, conn: c}, nil
		}
		if passed >= o.MaxStaleResponses {
			return nil, fmt.Errorf("%w: the answer belongs to another request", ErrMalformed)
		}
		switch n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxForeignBytes)); {
		case err != nil:
			return nil, broken(err)
		case n == maxForeignBytes:
			return nil, fmt.Errorf("%w: an answer to another request: %w", ErrMalformed, errTooLong)
		}
	}
}

// own reports whether an answer belongs to the request with the id. A refusal
// need not repeat the id; a success must.
func own(resp *http.Response, echo, id string) bool {
	if echo == "" || id == "" {
		return true
	}
	got := resp.Header.Get(echo)
	return got == id || (got == "" && resp.StatusCode >= http.StatusMultipleChoices)
}

// write sends the request. An error before any byte was taken by the kernel is
// ErrNotSent.
func (c *conn) write(r *Request) error {
	var b bytes.Buffer
	b.Grow(1024 + min(len(r.Body), inlineBody))
	writeHeader(&b, r)
	c.written = nil
	if len(r.Body) <= inlineBody {
		b.Write(r.Body)
		return c.writeAll(b.Bytes())
	}
	if err := c.writeAll(b.Bytes()); err != nil {
		return err
	}
	written := make(chan error, 1)
	c.written = written
	go func() {
		_, err := c.Write(r.Body)
		written <- err
	}()
	return nil
}

func (c *conn) writeAll(raw []byte) error {
	n, err := c.Write(raw)
	switch {
	case err == nil:
		return nil
	case n == 0:
		return fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	return broken(err)
}

func writeHeader(b *bytes.Buffer, r *Request) {
	b.WriteString(r.Method)
	b.WriteByte(' ')
	b.WriteString(r.URI)
	b.WriteString(" HTTP/1.1\r\nHost: ")
	b.WriteString(r.Host)
	b.WriteString("\r\n")
	for name, values := range r.Header {
		for _, v := range values {
			b.WriteString(name)
			b.WriteString(": ")
			b.WriteString(v)
			b.WriteString("\r\n")
		}
	}
	if len(r.Body) > 0 || (r.Method != http.MethodGet && r.Method != http.MethodHead) {
		b.WriteString("Content-Length: ")
		b.WriteString(strconv.Itoa(len(r.Body)))
		b.WriteString("\r\n")
	}
	b.WriteString("\r\n")
}

// readHeader reads the header of the next final answer.
func (c *conn) readHeader(method string) (*http.Response, error) {
	c.in.allow(maxHeadBytes)
	defer c.in.allowAll()
	for {
		if _, err := c.reader.Peek(1); err != nil {
			return nil, broken(err)
		}
		resp, err := http.ReadResponse(c.reader, &http.Request{Method: method})
		if err != nil {
			return nil, fmt.Errorf("%w: %w", ErrMalformed, err)
		}
		if resp.StatusCode >= http.StatusOK {
			return resp, nil
		}
	}
}

// clean reports whether nothing is left to be read or written after an answer.
func (c *conn) clean() bool {
	if c.written != nil {
		select {
		case err := <-c.written:
			if err != nil {
				return false
			}
		default:
			return false // the upstream has not taken the whole body
		}
	}
	return c.reader.Buffered() == 0
}

// keepAliveMargin is what is taken off the time for which an upstream says that
// it keeps an idle connection.
const keepAliveMargin = time.Second

// keepFor notes how long the connection may stay idle.
func (c *conn) keepFor(h http.Header) {
	for _, field := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if seconds, err := strconv.Atoi(value); err == nil && strings.EqualFold(name, "timeout") {
			stated := time.Duration(seconds) * time.Second
			c.maxIdle = max(stated-keepAliveMargin, stated/2)
		}
	}
}

// readerSize is the buffer of a connection; an event of a stream is smaller.
const readerSize = 4 << 10

// meter is a reader that gives no more bytes than were allowed.
type meter struct {
	in      io.Reader
	bounded bool
	left    int
}

func (m *meter) allow(n int) { m.bounded, m.left = true, n }

func (m *meter) allowAll() { m.bounded = false }

// Read implements io.Reader.
func (m *meter) Read(b []byte) (int, error) {
	if !m.bounded {
		return m.in.Read(b)
	}
	if m.left == 0 {
		return 0, errTooLong
	}
	n, err := m.in.Read(b[:min(len(b), m.left)])
	m.left -= n
	return n, err
}
