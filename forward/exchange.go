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

// inlineBody is the largest request body, in bytes, that is written before the
// response is read. A larger body is written concurrently, since an upstream may
// respond before it has read the body and then stop reading.
const inlineBody = 16 << 10

// Limits of what an upstream may send besides the body of the response. Exceeding
// one fails the attempt and closes the connection.
const (
	// maxHeadBytes limits the header of a response together with the interim (1xx)
	// responses before it.
	maxHeadBytes = 64 << 10
	// maxForeignBytes limits the body of a response to an earlier request.
	maxForeignBytes = 1 << 20
)

// errTooLong reports that an upstream exceeded maxHeadBytes or maxForeignBytes.
var errTooLong = errors.New("forward: response size limit exceeded")

// exchange writes a request and reads the header of its response. It skips up to
// o.Interim responses to earlier requests.
func (c *conn) exchange(r *Request, o Options) (*Answer, error) {
	if err := c.write(r); err != nil {
		return nil, err
	}
	id := r.Header.Get(o.Echo)
	for passed := 0; ; passed++ {
		resp, err := c.readHeader(r.Method) //nolint:bodyclose // Answer.Close handles unread bodies
		if err != nil {
			return nil, err
		}
		if own(resp, o.Echo, id) {
			return &Answer{Status: resp.StatusCode, Header: resp.Header, Length: resp.ContentLength, body: resp, conn: c}, nil
		}
		if passed >= o.Interim {
			return nil, fmt.Errorf("%w: response to another request", ErrMalformed)
		}
		switch n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxForeignBytes)); {
		case err != nil:
			return nil, broken(err)
		case n == maxForeignBytes:
			return nil, fmt.Errorf("%w: body of a response to another request: %w", ErrMalformed, errTooLong)
		}
	}
}

// own reports whether a response belongs to the request with the id. A successful
// response must echo the id; a status of 300 or above may omit it.
func own(resp *http.Response, echo, id string) bool {
	if echo == "" || id == "" {
		return true
	}
	got := resp.Header.Get(echo)
	return got == id || (got == "" && resp.StatusCode >= http.StatusMultipleChoices)
}

// write sends the request. It returns ErrNotSent if the write failed before the
// kernel accepted any byte, and ErrBroken if it failed later.
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

// readHeader reads the header of the next final response, skipping interim ones.
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

// clean reports whether nothing is left to read or write after a response, so that
// the connection can be reused.
func (c *conn) clean() bool {
	if c.written != nil {
		select {
		case err := <-c.written:
			if err != nil {
				return false
			}
		default:
			return false // the request body is still being written
		}
	}
	return c.reader.Buffered() == 0
}

// keepAliveMargin is subtracted from the idle timeout that an upstream states in
// its Keep-Alive header.
const keepAliveMargin = time.Second

// keepFor sets the connection's idle time from the Keep-Alive header of a response.
// It changes nothing if the header has no timeout.
func (c *conn) keepFor(h http.Header) {
	for _, field := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if seconds, err := strconv.Atoi(value); err == nil && strings.EqualFold(name, "timeout") {
			stated := time.Duration(seconds) * time.Second
			c.maxIdle = max(stated-keepAliveMargin, stated/2)
		}
	}
}

// readerSize is the read buffer of a connection in bytes. An event of a stream is
// smaller.
const readerSize = 4 << 10

// meter is a reader with an optional limit, beyond which it returns errTooLong.
type meter struct {
	in      io.Reader
	bounded bool
	left    int
}

// allow limits the reader to n more bytes.
func (m *meter) allow(n int) { m.bounded, m.left = true, n }

// allowAll removes the limit.
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
