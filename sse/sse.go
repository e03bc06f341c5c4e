// Package sse splits a text/event-stream into its events.
package sse

import (
	"bufio"
	"bytes"
	"errors"
	"io"
)

// Bounds of a stream.
const (
	// bufferBytes is the buffer of a stream; usual events are smaller.
	bufferBytes = 4 << 10
	// maxEventBytes bounds one event with the blank lines before it.
	maxEventBytes = 256 << 10
)

// ErrEventTooLarge says that an event is over the bound.
var ErrEventTooLarge = errors.New("sse: event too large")

// Reader splits a stream into events. It keeps one buffer for all of them.
type Reader struct {
	in  *bufio.Reader
	buf []byte
}

// NewReader returns a reader of a stream.
func NewReader(in io.Reader) *Reader {
	return &Reader{in: bufio.NewReaderSize(in, bufferBytes)}
}

// Next reads up to and including the blank line that ends an event. The event is
// valid until the next call. io.EOF comes only between events; a stream that
// ends inside one gives io.ErrUnexpectedEOF.
func (r *Reader) Next() ([]byte, error) {
	r.buf = r.buf[:0]
	lineStart, skipped := 0, 0
	for {
		part, err := r.in.ReadSlice('\n')
		r.buf = append(r.buf, part...)
		switch {
		case len(r.buf)+skipped > maxEventBytes:
			return nil, ErrEventTooLarge
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

// HasBufferedEvent reports whether a whole event has been read ahead.
func (r *Reader) HasBufferedEvent() bool {
	ahead, err := r.in.Peek(r.in.Buffered())
	return err == nil && (bytes.Contains(ahead, []byte("\n\n")) || bytes.Contains(ahead, []byte("\n\r\n")))
}

// Field returns the value of an event's first field of the name, such as "data",
// nil where it has none.
func Field(event []byte, name string) []byte {
	for line := range bytes.Lines(event) {
		rest, ok := bytes.CutPrefix(line, []byte(name))
		if ok && len(rest) > 0 && rest[0] == ':' {
			return bytes.TrimSpace(rest[1:])
		}
	}
	return nil
}
