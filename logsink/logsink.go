// Package logsink writes log lines without ever holding up whoever logs, and
// keeps their volume bounded.
package logsink

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"sync"
	"time"
)

// Bounds of the sink.
const (
	// bufferBytes is how much waits for a slow reader. What does not fit is
	// dropped and counted.
	bufferBytes = 256 << 10
	// routineBuffer is the part of the buffer that routine lines may fill, so that
	// lines on what went wrong have room.
	routineBuffer = bufferBytes / 2
	// routineRate and routineBurst bound routine lines, in bytes a second and in
	// bytes: about 130 requests a second are told one by one, twenty times the
	// mean of the size to design for. Those beyond are counted by their message.
	routineRate  = 64 << 10
	routineBurst = 128 << 10
	// flushEvery is how often what waits is written.
	flushEvery = 200 * time.Millisecond
	// summaryEvery is the least time between two lines that count others.
	summaryEvery = time.Second
)

// Sink is an io.Writer that writes to another one in the background.
type Sink struct {
	host string
	out  io.Writer

	// mu guards all below.
	mu      sync.Mutex
	waiting []byte
	spare   []byte
	// allowance is how many bytes of routine lines may be taken, as of filledAt.
	allowance float64
	filledAt  time.Time
	// summed counts the routine lines beyond the allowance by message, since
	// summedAt.
	summed   map[string]int64
	summedAt time.Time
	// dropped counts the lines that did not fit since the last flush, total all
	// that were not written.
	dropped int64
	total   int64
}

// New returns a sink to out for a host's lines. Nothing is written before Run.
func New(host string, out io.Writer) *Sink {
	now := time.Now()
	return &Sink{host: host, out: out, allowance: routineBurst, filledAt: now, summedAt: now, summed: map[string]int64{}}
}

// Write takes a line, counts it, or drops it where too much waits. It never
// fails. Lines in JSON whose level is below "warn" are routine.
func (s *Sink) Write(line []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	message, routine := classify(line)
	room := bufferBytes
	if routine {
		room = routineBuffer
	}
	switch {
	case len(s.waiting)+len(line) > room:
		s.dropped++
		s.total++
	case routine && !s.allow(len(line)):
		s.summed[message]++
		s.total++
	default:
		s.waiting = append(s.waiting, line...)
	}
	return len(line), nil
}

// allow takes a routine line's bytes from the allowance.
func (s *Sink) allow(n int) bool {
	now := time.Now()
	s.allowance = min(s.allowance+now.Sub(s.filledAt).Seconds()*routineRate, routineBurst)
	s.filledAt = now
	if s.allowance < float64(n) {
		return false
	}
	s.allowance -= float64(n)
	return true
}

// Beginnings of a line as hclog writes it, with its names in order.
var (
	levelField   = []byte(`{"@level":"`)
	messageField = []byte(`","@message":"`)
	routineLevel = map[string]bool{"info": true, "debug": true, "trace": true}
)

// classify returns a line's message, and whether the line is routine.
func classify(line []byte) (string, bool) {
	rest, ok := bytes.CutPrefix(line, levelField)
	if !ok {
		return "", false
	}
	level, rest, ok := bytes.Cut(rest, messageField)
	if !ok || !routineLevel[string(level)] {
		return "", false
	}
	message, _, ok := bytes.Cut(rest, []byte{'"'})
	return string(message), ok
}

// UnwrittenLines returns how many lines were not written since the start.
func (s *Sink) UnwrittenLines() int64 {
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
			s.flush(true)
			return
		case <-t.C:
			s.flush(false)
		}
	}
}

// notice is a line of the sink's own.
type notice struct {
	Level   string    `json:"@level"`
	Message string    `json:"@message"`
	Module  string    `json:"@module"`
	At      time.Time `json:"@timestamp"`
	// Lines is how many lines were not written.
	Lines int64 `json:"lines"`
	// Messages counts them by message.
	Messages map[string]int64 `json:"messages,omitempty"`
}

func (s *Sink) flush(last bool) {
	now := time.Now()
	s.mu.Lock()
	lines, dropped := s.waiting, s.dropped
	s.waiting, s.spare, s.dropped = s.spare[:0], nil, 0
	var summed map[string]int64
	if len(s.summed) > 0 && (last || now.Sub(s.summedAt) >= summaryEvery) {
		summed, s.summed, s.summedAt = s.summed, map[string]int64{}, now
	}
	s.mu.Unlock()
	if dropped > 0 {
		lines = s.appendNotice(lines, notice{Level: "warn", Message: "log lines dropped", At: now, Lines: dropped})
	}
	if summed != nil {
		n := notice{Level: "info", Message: "log lines summed up", At: now, Messages: summed}
		for _, count := range summed {
			n.Lines += count
		}
		lines = s.appendNotice(lines, n)
	}
	if len(lines) > 0 {
		_, _ = s.out.Write(lines) // there is nowhere to tell of a log that cannot be written
	}
	s.mu.Lock()
	s.spare = lines
	s.mu.Unlock()
}

func (s *Sink) appendNotice(lines []byte, n notice) []byte {
	n.Module = s.host
	raw, err := json.Marshal(n)
	if err != nil {
		return lines // strings and counts can always be written
	}
	return append(append(lines, raw...), '\n')
}
