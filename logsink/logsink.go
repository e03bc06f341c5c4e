// Package logsink writes log lines in the background, so that logging never blocks, and bounds their
// volume.
package logsink

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"sync"
	"time"
)

// Limits of the sink.
const (
	// bufferBytes is the maximum size of the lines that are buffered for a slow reader. Lines that do
	// not fit are dropped and counted.
	bufferBytes = 256 << 10
	// routineBufferBytes is the part of the buffer that routine lines may fill. The rest is left for
	// warnings and errors.
	routineBufferBytes = bufferBytes / 2
	// routineBytesPerSecond and routineBurstBytes limit routine lines. The rate is enough to log about
	// 130 requests per second one by one, twenty times the mean at the design scale. Lines beyond the
	// limit are counted by their message.
	routineBytesPerSecond = 64 << 10
	routineBurstBytes     = 128 << 10
	// flushInterval is the interval at which the buffered lines are written.
	flushInterval = 200 * time.Millisecond
	// summaryInterval is the minimum time between two lines that report the counts of other lines.
	summaryInterval = time.Second
)

// Sink is an io.Writer that buffers lines and writes them to another io.Writer in the background.
type Sink struct {
	host string
	out  io.Writer

	// mu guards the fields below. It is not held while out is written to.
	mu       sync.Mutex
	buffered []byte
	// spare is the buffer of the last flush, reused for the next one. It is nil during a flush.
	spare []byte
	// allowance is the number of bytes of routine lines that may be accepted, as of refilledAt.
	allowance  float64
	refilledAt time.Time
	// counted counts, by message, the routine lines beyond the allowance since countedSince.
	counted      map[string]int64
	countedSince time.Time
	// dropped counts the lines that did not fit into the buffer since the last flush. unwritten
	// counts all lines that were not written since the start, both dropped and counted ones.
	dropped   int64
	unwritten int64
}

// New returns a sink that writes a host's lines to out. Nothing is written before Run.
func New(host string, out io.Writer) *Sink {
	now := time.Now()
	return &Sink{host: host, out: out, allowance: routineBurstBytes, refilledAt: now, countedSince: now, counted: map[string]int64{}}
}

// Write buffers a line. It drops the line if the buffer is full, and only counts a routine line beyond
// the rate. It neither blocks on out nor fails: it always returns len(line) and nil. Lines in JSON whose
// level is below "warn" are routine.
func (s *Sink) Write(line []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	message, routine := classify(line)
	capacity := bufferBytes
	if routine {
		capacity = routineBufferBytes
	}
	switch {
	case len(s.buffered)+len(line) > capacity:
		s.dropped++
		s.unwritten++
	case routine && !s.allow(len(line)):
		s.counted[message]++
		s.unwritten++
	default:
		s.buffered = append(s.buffered, line...)
	}
	return len(line), nil
}

// allow reports whether a routine line of n bytes is within the rate, and if so takes n from the allowance.
// It is called with mu held.
func (s *Sink) allow(n int) bool {
	now := time.Now()
	s.allowance = min(s.allowance+now.Sub(s.refilledAt).Seconds()*routineBytesPerSecond, routineBurstBytes)
	s.refilledAt = now
	if s.allowance < float64(n) {
		return false
	}
	s.allowance -= float64(n)
	return true
}

// The beginning of a JSON line as hclog writes it: its fields are in this order.
var (
	levelPrefix   = []byte(`{"@level":"`)
	messagePrefix = []byte(`","@message":"`)
	routineLevels = map[string]bool{"info": true, "debug": true, "trace": true}
)

// classify reports whether the line is routine, and returns its message if it is.
func classify(line []byte) (string, bool) {
	rest, ok := bytes.CutPrefix(line, levelPrefix)
	if !ok {
		return "", false
	}
	level, rest, ok := bytes.Cut(rest, messagePrefix)
	if !ok || !routineLevels[string(level)] {
		return "", false
	}
	message, _, ok := bytes.Cut(rest, []byte{'"'})
	return string(message), ok
}

// UnwrittenLines returns the number of lines that were not written since the start: those that were dropped and
// those that were only counted.
func (s *Sink) UnwrittenLines() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.unwritten
}

// Run writes the buffered lines at each interval until the context ends, and once more at the end.
func (s *Sink) Run(ctx context.Context) {
	t := time.NewTicker(flushInterval)
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

// notice is a line that the sink itself writes.
type notice struct {
	Level   string    `json:"@level"`
	Message string    `json:"@message"`
	Module  string    `json:"@module"`
	At      time.Time `json:"@timestamp"`
	// Lines is the number of lines that were not written.
	Lines int64 `json:"lines"`
	// Messages is the number of those lines by message. It is empty for dropped lines.
	Messages map[string]int64 `json:"messages,omitempty"`
}

// flush writes the buffered lines, a notice of dropped lines and, if summaryInterval has passed or last is
// set, a notice of the counted ones.
func (s *Sink) flush(last bool) {
	now := time.Now()
	s.mu.Lock()
	lines, dropped := s.buffered, s.dropped
	s.buffered, s.spare, s.dropped = s.spare[:0], nil, 0
	var counted map[string]int64
	if len(s.counted) > 0 && (last || now.Sub(s.countedSince) >= summaryInterval) {
		counted, s.counted, s.countedSince = s.counted, map[string]int64{}, now
	}
	s.mu.Unlock()
	if dropped > 0 {
		lines = s.appendNotice(lines, notice{Level: "warn", Message: "log lines dropped", At: now, Lines: dropped})
	}
	if counted != nil {
		n := notice{Level: "info", Message: "log lines summed up", At: now, Messages: counted}
		for _, count := range counted {
			n.Lines += count
		}
		lines = s.appendNotice(lines, n)
	}
	if len(lines) > 0 {
		_, _ = s.out.Write(lines) // a failure to write the log cannot be reported anywhere
	}
	s.mu.Lock()
	s.spare = lines
	s.mu.Unlock()
}

// appendNotice appends n as a JSON line of this host.
func (s *Sink) appendNotice(lines []byte, n notice) []byte {
	n.Module = s.host
	raw, err := json.Marshal(n)
	if err != nil {
		return lines // cannot happen: strings, times and counts can always be encoded
	}
	return append(append(lines, raw...), '\n')
}
