// Package sse reads the events of a text/event-stream.
package sse

import (
	"bufio"
	"bytes"
	"errors"
	"io"
)

// Bounds of a stream.
const (
	// bufferBytes is the size of a stream's read buffer. Most events are smaller.
	bufferBytes = 4 << 10
	// maxEventBytes is the maximum size of one event, including the blank lines before it.
	maxEventBytes = 256 << 10
)

// ErrTooLarge is returned for an event larger than maxEventBytes.
var ErrTooLarge = errors.New("sse: event exceeds the size limit")

// Reader reads a stream event by event. All events share one buffer.
type Reader struct {
	in  *bufio.Reader
	buf []byte
}

// NewReader returns a Reader of the event stream in.
func NewReader(in io.Reader) *Reader {
	return &Reader{in: bufio.NewReaderSize(in, bufferBytes)}
}

// Next returns the next event, including the blank line that ends it and without blank
// lines before it. The event is valid until the next call. If the stream ends, Next returns
// io.EOF between events and io.ErrUnexpectedEOF inside an event.
func (r *Reader) Next() ([]byte, error) {
	r.buf = r.buf[:0]
	lineStart, skipped := 0, 0
	for {
		part, err := r.in.ReadSlice('\n')
		r.buf = append(r.buf, part...)
		switch {
		case len(r.buf)+skipped > maxEventBytes:
			return nil, ErrTooLarge
		case errors.Is(err, bufio.ErrBufferFull):
			continue
		case errors.Is(err, io.EOF) && len(r.buf) > 0:
			return nil, io.ErrUnexpectedEOF
		case err != nil:
			return nil, err
		}
		blank := len(bytes.TrimRight(r.buf[lineStart:], "\r\n")) == 0
		if blank && lineStart > 0 {
			return r.buf, nil
		}
		lineStart = len(r.buf)
		if blank {
			skipped += len(r.buf)
			r.buf, lineStart = r.buf[:0], 0 // a blank line before an event
		}
	}
}

// More reports whether the end of a further event is already in the read buffer.
func (r *Reader) More() bool {
	ahead, err := r.in.Peek(r.in.Buffered())
	return err == nil && (bytes.Contains(ahead, []byte("\n\n")) || bytes.Contains(ahead, []byte("\n\r\n")))
}

// Field returns the value of an event's first field with the given name, such as "data",
// without surrounding white space. It returns nil if the event has no such field.
func Field(event []byte, name string) []byte {
	for line := range bytes.Lines(event) {
		rest, ok := bytes.CutPrefix(line, []byte(name))
		if ok && len(rest) > 0 && rest[0] == ':' {
			return bytes.TrimSpace(rest[1:])
		}
	}
	return nil
}
