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

// ErrEventTooLarge is returned for an event larger than maxEventBytes.
var ErrEventTooLarge = errors.New("sse: event exceeds the size limit")

// Reader reads a stream event by event. All events share one buffer.
type Reader struct {
	input *bufio.Reader
	event []byte
}

// NewReader returns a Reader of the event stream input.
func NewReader(input io.Reader) *Reader {
	return &Reader{input: bufio.NewReaderSize(input, bufferBytes)}
}

// Next returns the next event, including the blank line that ends it and without blank
// lines before it. The event is valid until the next call. If the stream ends, Next returns
// io.EOF between events and io.ErrUnexpectedEOF inside an event.
func (r *Reader) Next() ([]byte, error) {
	r.event = r.event[:0]
	lineStart, skippedBytes := 0, 0
	for {
		chunk, err := r.input.ReadSlice('\n')
		r.event = append(r.event, chunk...)
		switch {
		case len(r.event)+skippedBytes > maxEventBytes:
			return nil, ErrEventTooLarge
		case errors.Is(err, bufio.ErrBufferFull):
			continue
		case errors.Is(err, io.EOF) && len(r.event) > 0:
			return nil, io.ErrUnexpectedEOF
		case err != nil:
			return nil, err
		}
		blank := len(bytes.TrimRight(r.event[lineStart:], "\r\n")) == 0
		if blank && lineStart > 0 {
			return r.event, nil
		}
		lineStart = len(r.event)
		if blank {
			skippedBytes += len(r.event)
			r.event, lineStart = r.event[:0], 0 // a blank line before an event
		}
	}
}

// HasBufferedEvent reports whether the end of a further event is already in the read buffer.
func (r *Reader) HasBufferedEvent() bool {
	buffered, err := r.input.Peek(r.input.Buffered())
	return err == nil && (bytes.Contains(buffered, []byte("\n\n")) || bytes.Contains(buffered, []byte("\n\r\n")))
}

// Field returns the value of an event's first field with the given name, such as "data",
// without surrounding white space. It returns nil if the event has no such field.
func Field(event []byte, name string) []byte {
	for line := range bytes.Lines(event) {
		afterName, ok := bytes.CutPrefix(line, []byte(name))
		if ok && len(afterName) > 0 && afterName[0] == ':' {
			return bytes.TrimSpace(afterName[1:])
		}
	}
	return nil
}
