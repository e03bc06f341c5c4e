// Package logsink writes log lines without ever holding up whoever logs.
package logsink

import (
	"context"
	"fmt"
	"io"
	"sync"
	"time"
)

// Bounds of the sink.
const (
	// bufferBytes is how much waits for a slow reader. What does not fit is
	// dropped and counted.
	bufferBytes = 256 << 10
	// flushEvery is how often what waits is written.
	flushEvery = 200 * time.Millisecond
)

// Sink is an io.Writer that writes to another one in the background.
type Sink struct {
	out io.Writer

	// mu guards all below.
	mu      sync.Mutex
	waiting []byte
	spare   []byte
	dropped int64
	total   int64
}

// New returns a sink to out. Nothing is written before Run.
func New(out io.Writer) *Sink {
	return &Sink{out: out}
}

// Write takes a line, or drops it where too much waits. It never fails.
func (s *Sink) Write(line []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.waiting)+len(line) > bufferBytes {
		s.dropped++
		s.total++
		return len(line), nil
	}
	s.waiting = append(s.waiting, line...)
	return len(line), nil
}

// Dropped returns how many lines were dropped since the start.
func (s *Sink) Dropped() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.total
}

// Run writes until the context ends, and then what waits.
func (s *Sink) Run(ctx context.Context) {
	t := time.NewTicker(flushEvery)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			s.flush()
			return
		case <-t.C:
			s.flush()
		}
	}
}

func (s *Sink) flush() {
	s.mu.Lock()
	lines, dropped := s.waiting, s.dropped
	s.waiting, s.spare, s.dropped = s.spare[:0], nil, 0
	s.mu.Unlock()
	if dropped > 0 {
		lines = fmt.Appendf(lines, `{"@level":"warn","@message":"log lines dropped","lines":%d}`+"\n", dropped)
	}
	if len(lines) > 0 {
		_, _ = s.out.Write(lines) // there is nowhere to tell of a log that cannot be written
	}
	s.mu.Lock()
	s.spare = lines
	s.mu.Unlock()
}
