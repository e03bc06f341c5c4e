// Package logtrace extracts from the logs of several hosts the lines of one request and the lines on the
// state on which its outcome depended.
package logtrace

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"
)

// ErrNotFound is returned by Trace if no line has the request's id.
var ErrNotFound = errors.New("logtrace: no log line has the request's id")

// Limits of what is read and reported.
const (
	// maxLineBytes is the maximum length of a line of a log. A longer line is an error of Read.
	maxLineBytes = 1 << 20
	// lookback is the time before the request's last line within which orders of its adapter are
	// reported and lines that were not written are counted.
	lookback = 15 * time.Second
)

// Line is one line of a log.
type Line struct {
	At time.Time
	// Host is the host that logged the line, from the first part of the logger's name.
	Host    string
	Message string
	// Fields holds the line's key-value pairs without those that every line has: time, level, message
	// and logger name.
	Fields map[string]any
}

// Read parses the lines of a log. Lines without a JSON object, a message or a valid time are skipped. It
// returns the lines read so far and an error if in cannot be read or a line is longer than 1 MiB.
func Read(in io.Reader) ([]Line, error) {
	scanner := bufio.NewScanner(in)
	scanner.Buffer(nil, maxLineBytes)
	var lines []Line
	for scanner.Scan() {
		if l, ok := parseLine(scanner.Bytes()); ok {
			lines = append(lines, l)
		}
	}
	return lines, scanner.Err()
}

// parseLine parses a line. Text before the JSON object, as log collectors add it, is ignored.
func parseLine(raw []byte) (Line, bool) {
	_, text, found := strings.Cut(string(raw), "{")
	if !found {
		return Line{}, false
	}
	var all map[string]any
	decoder := json.NewDecoder(strings.NewReader("{" + text))
	decoder.UseNumber() // large numbers are reported as they were written
	if decoder.Decode(&all) != nil {
		return Line{}, false
	}
	l := Line{Fields: map[string]any{}}
	for name, value := range all {
		s, _ := value.(string)
		switch name {
		case "@timestamp":
			at, err := time.Parse(time.RFC3339Nano, s)
			if err != nil {
				return Line{}, false
			}
			l.At = at
		case "@message":
			l.Message = s
		case "@module":
			l.Host, _, _ = strings.Cut(s, ".")
		case "@level":
		default:
			l.Fields[name] = value
		}
	}
	return l, l.Message != ""
}

// RequestTrace is what the logs show of one request.
type RequestTrace struct {
	// Lines are the lines with the request's id, in order of time.
	Lines []Line
	// Facts are the lines up to the request's last line that describe the state on which its outcome
	// depended, in order of time.
	Facts []Line
	// UnwrittenLines is the number of lines that were dropped or summed up shortly before the request's last
	// line, on any host.
	UnwrittenLines int
}

// Trace finds a request by its id in the lines of all logs. It sorts lines by time, in place. The error is
// ErrNotFound if no line has the id.
func Trace(lines []Line, id string) (*RequestTrace, error) {
	slices.SortStableFunc(lines, func(a, b Line) int { return a.At.Compare(b.At) })
	trace := &RequestTrace{}
	for _, l := range lines {
		if l.Fields["request"] == id {
			trace.Lines = append(trace.Lines, l)
		}
	}
	if len(trace.Lines) == 0 {
		return nil, fmt.Errorf("%w: %s", ErrNotFound, id)
	}
	end := trace.Lines[len(trace.Lines)-1]
	latest := map[string]Line{}
	for _, l := range lines {
		if l.At.After(end.At) {
			break
		}
		trace.addIfRelevant(l, &end, latest)
	}
	for _, l := range latest {
		trace.Facts = append(trace.Facts, l)
	}
	slices.SortStableFunc(trace.Facts, func(a, b Line) int { return a.At.Compare(b.At) })
	return trace, nil
}

// addIfRelevant adds a line to the facts if the request's outcome may have depended on it. Of the facts with
// the same key only the latest counts, so these are collected in latest.
func (t *RequestTrace) addIfRelevant(l Line, end *Line, latest map[string]Line) {
	recent := end.At.Sub(l.At) <= lookback
	switch l.Message {
	case "log lines dropped", "log lines summed up":
		n, ok := l.Fields["lines"].(json.Number)
		if count, err := n.Int64(); ok && err == nil && recent {
			t.UnwrittenLines += int(count)
		}
	case "order":
		if recent && l.Fields["adapter"] != "" && sameField(l, *end, "adapter") {
			t.Facts = append(t.Facts, l)
		}
	default:
		if key := factKey(l, end); key != "" {
			latest[key] = l
		}
	}
}

// factKey returns the key under which a line's fact replaces earlier ones, "" if the line is not relevant
// to the request whose last line is end.
func factKey(l Line, end *Line) string {
	relevant := false
	switch l.Message {
	case "this host leads", "assignments":
		relevant = true
	case "lead lost", "lead found", "lease not renewed", "configuration in force":
		relevant = l.Host == end.Host
	case "store does not answer; what was read last stays in force", "store answers again":
		relevant = l.Host == end.Host
	case "organisation's rate":
		relevant = l.Host == end.Host && sameField(l, *end, "organisation")
	case "upstream listed", "upstream gone":
		relevant = sameField(l, *end, "upstream")
	case "adapter version announced":
		relevant = sameField(l, *end, "adapter")
	}
	if !relevant {
		return ""
	}
	return l.Message + fmt.Sprint(l.Fields["table"])
}

// sameField reports whether two lines have the same value of a field, or both lack it.
func sameField(a, b Line, name string) bool { return a.Fields[name] == b.Fields[name] }

// Write prints the facts, each with its age at the request's last line, and then the request's lines.
func (t *RequestTrace) Write(w io.Writer) {
	end := t.Lines[len(t.Lines)-1]
	for _, l := range t.Facts {
		_, _ = fmt.Fprintf(w, "%9.3f s before  %-16s %s%s\n", end.At.Sub(l.At).Seconds(), l.Host, l.Message, formatFields(l.Fields))
	}
	for _, l := range t.Lines {
		_, _ = fmt.Fprintf(w, "%s  %-16s %s%s\n", l.At.Format("15:04:05.000000"), l.Host, l.Message, formatFields(l.Fields))
	}
	if t.UnwrittenLines > 0 {
		_, _ = fmt.Fprintf(w, "%d log lines of the preceding %s were dropped or summed up; facts may be missing\n", t.UnwrittenLines, lookback)
	}
}

// formatFields formats a line's fields as " name=value", sorted by name.
func formatFields(fields map[string]any) string {
	names := make([]string, 0, len(fields))
	for name := range fields {
		names = append(names, name)
	}
	slices.Sort(names)
	var b strings.Builder
	for _, name := range names {
		fmt.Fprintf(&b, " %s=%v", name, fields[name])
	}
	return b.String()
}
