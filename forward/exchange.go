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

	"github.com/jasminelock/jasminelock/httpcheck"
)

// maxInlineBodyBytes is the largest request body, in bytes, that is written before the
// response is read. A larger body is written concurrently, since an upstream may
// respond before it has read the body and then stop reading.
const maxInlineBodyBytes = 16 << 10

// Limits of what an upstream may send besides the body of the response. Exceeding
// one fails the attempt and closes the connection.
const (
	// maxHeaderBytes limits the header of a response together with the interim (1xx)
	// responses before it.
	maxHeaderBytes = 64 << 10
	// maxStaleBodyBytes limits the body of a response to an earlier request.
	maxStaleBodyBytes = 1 << 20
)

// errSizeLimit reports that an upstream exceeded maxHeaderBytes or maxStaleBodyBytes.
var errSizeLimit = errors.New("forward: response size limit exceeded")

// roundTrip writes a request and reads the header of its response. It skips up to
// o.MaxStaleResponses responses to earlier requests.
func (c *conn) roundTrip(r *Request, o Options) (*Response, error) {
	if err := c.write(r); err != nil {
		return nil, err
	}
	id := r.Header.Get(o.RequestIDHeader)
	used := len(c.ids) > 0
	c.ids = append(c.ids, hashID(id))
	for skipped := 0; ; skipped++ {
		resp, err := c.readHeader(r.Method) //nolint:bodyclose // Response.Close handles unread bodies
		if err != nil {
			return nil, err
		}
		if used && isAmbiguous(resp, o.RequestIDHeader, id) {
			return nil, fmt.Errorf("%w: status %d without an id on a connection that has carried other requests", ErrMalformed, resp.StatusCode)
		}
		if echoesID(resp, o.RequestIDHeader, id) {
			return &Response{
				Status: resp.StatusCode, Header: resp.Header, ContentLength: resp.ContentLength, response: resp, conn: c,
			}, nil
		}
		if skipped >= o.MaxStaleResponses {
			return nil, fmt.Errorf("%w: response to another request", ErrMalformed)
		}
		if omitsBody(resp) {
			return nil, fmt.Errorf("%w: response to another request omits the body that it states", ErrMalformed)
		}
		switch n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxStaleBodyBytes)); {
		case err != nil:
			return nil, connectionError(err)
		case n == maxStaleBodyBytes:
			return nil, fmt.Errorf("%w: body of a response to another request: %w", ErrMalformed, errSizeLimit)
		}
		if err := httpcheck.CheckFields(resp.Trailer); err != nil {
			return nil, fmt.Errorf("%w: %w", ErrMalformed, err)
		}
	}
}

// echoesID reports whether a response belongs to the request with the id. A successful
// response must echo the id; a status of 300 or above may omit it.
func echoesID(resp *http.Response, header, id string) bool {
	if header == "" || id == "" {
		return true
	}
	got := resp.Header.Get(header)
	return got == id || (got == "" && resp.StatusCode >= http.StatusMultipleChoices)
}

// isAmbiguous reports whether a response to a request with an id carries none, so that it may be a
// repeated response to an earlier request of the connection.
func isAmbiguous(resp *http.Response, header, id string) bool {
	return header != "" && id != "" && resp.Header.Get(header) == "" && resp.StatusCode >= http.StatusMultipleChoices
}

// omitsBody reports whether a response states a body that it does not have: one with status 304, or
// one to a HEAD request. An upstream that sends the body nevertheless would have it read as the next
// response of the connection.
func omitsBody(resp *http.Response) bool {
	return (resp.StatusCode == http.StatusNotModified || resp.Request.Method == http.MethodHead) && httpcheck.StatesBody(resp)
}

// write sends the request. It returns ErrNotSent if the write failed before the
// kernel accepted any byte, and ErrInterrupted if it failed later.
func (c *conn) write(r *Request) error {
	var b bytes.Buffer
	b.Grow(1024 + min(len(r.Body), maxInlineBodyBytes))
	writeHeader(&b, r)
	c.bodyWritten = nil
	c.BeginRequest()
	if len(r.Body) <= maxInlineBodyBytes {
		defer c.EndRequest()
		b.Write(r.Body)
		return c.writeAll(b.Bytes())
	}
	if err := c.writeAll(b.Bytes()); err != nil {
		c.EndRequest()
		return err
	}
	bodyWritten := make(chan error, 1)
	c.bodyWritten = bodyWritten
	go func() {
		_, err := c.Write(r.Body)
		c.EndRequest()
		bodyWritten <- err
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
	return connectionError(err)
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
	c.limited.setLimit(maxHeaderBytes)
	defer c.limited.removeLimit()
	for {
		line, err := c.checkStatusLine()
		if err != nil {
			return nil, err
		}
		if line.IsHTTP10() {
			c.recordHead()
		}
		resp, err := http.ReadResponse(c.reader, &http.Request{Method: method})
		if err == nil && line.IsHTTP10() {
			err = httpcheck.CheckFieldsHTTP10(c.limited.stopRecording())
		}
		if err == nil {
			err = httpcheck.CheckHead(resp)
		}
		if err != nil {
			return nil, fmt.Errorf("%w: %w", ErrMalformed, err)
		}
		if httpcheck.IsFinal(resp.StatusCode) {
			return resp, nil
		}
	}
}

// checkStatusLine checks the beginning of the next status line without reading it. Each byte is
// checked as it arrives, since an upstream in trouble may send no more.
func (c *conn) checkStatusLine() (*httpcheck.Line, error) {
	line := &httpcheck.Line{}
	for n := 1; ; n++ {
		b, err := c.reader.Peek(n)
		if err != nil {
			return nil, connectionError(err)
		}
		complete, err := line.Add(b[n-1])
		if err != nil {
			return nil, fmt.Errorf("%w: %w", ErrMalformed, err)
		}
		if complete {
			return line, nil
		}
	}
}

// recordHead has the bytes recorded that http.ReadResponse reads next.
func (c *conn) recordHead() {
	buffered, _ := c.reader.Peek(c.reader.Buffered()) // peeking at what is buffered cannot fail
	c.limited.record(buffered)
}

// reusable reports whether nothing is left to read or write after a response, so that
// the connection can be reused.
func (c *conn) reusable() bool {
	if c.bodyWritten != nil {
		select {
		case err := <-c.bodyWritten:
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

// applyKeepAlive sets the connection's idle timeout from the Keep-Alive header of a response.
// It changes nothing if the header has no timeout.
func (c *conn) applyKeepAlive(h http.Header) {
	for _, field := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if seconds, err := strconv.Atoi(value); err == nil && strings.EqualFold(name, "timeout") {
			stated := time.Duration(seconds) * time.Second
			c.idleTimeout = max(stated-keepAliveMargin, stated/2)
		}
	}
}

// readBufferBytes is the read buffer of a connection in bytes. An event of a stream is
// smaller.
const readBufferBytes = 4 << 10

// limitedReader is a reader with an optional limit, beyond which it returns errSizeLimit.
type limitedReader struct {
	in        io.Reader
	hasLimit  bool
	remaining int
	// recorded holds what was read since record was called, and recording is set. The limit must be set meanwhile.
	recorded  []byte
	recording bool
}

// record has what is read recorded after the given bytes.
func (l *limitedReader) record(before []byte) {
	l.recorded, l.recording = append([]byte(nil), before...), true
}

// stopRecording returns what was recorded.
func (l *limitedReader) stopRecording() []byte {
	recorded := l.recorded
	l.recorded, l.recording = nil, false
	return recorded
}

// setLimit limits the reader to n more bytes.
func (l *limitedReader) setLimit(n int) { l.hasLimit, l.remaining = true, n }

// removeLimit removes the limit.
func (l *limitedReader) removeLimit() { l.hasLimit = false }

// Read implements io.Reader.
func (l *limitedReader) Read(b []byte) (int, error) {
	if !l.hasLimit {
		return l.in.Read(b)
	}
	if l.remaining == 0 {
		return 0, errSizeLimit
	}
	n, err := l.in.Read(b[:min(len(b), l.remaining)])
	l.remaining -= n
	if l.recording {
		l.recorded = append(l.recorded, b[:n]...)
	}
	return n, err
}
