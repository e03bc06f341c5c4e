// Package logtrace finds in the logs of several hosts what became of one request,
// and the facts that decided it.
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

// ErrNotFound says that no line tells of the request.
var ErrNotFound = errors.New("logtrace: no line tells of the request")

// Bounds of what is read and told.
const (
	// maxLineBytes bounds a line of a log.
	maxLineBytes = 1 << 20
	// ordersBefore is how long before the request's end orders of its adapter are
	// told, and dropped lines looked for.
	ordersBefore = 15 * time.Second
)

// Line is one line of a log.
type Line struct {
	At      time.Time
	Host    string
	Message string
	// Fields are the line's own, without those of every line.
	Fields map[string]any
}

// Read reads the lines of a log. Lines that are not JSON are passed over.
func Read(in io.Reader) ([]Line, error) {
	scanner := bufio.NewScanner(in)
	scanner.Buffer(nil, maxLineBytes)
	var lines []Line
	for scanner.Scan() {
		if l, ok := parse(scanner.Bytes()); ok {
			lines = append(lines, l)
		}
	}
	return lines, scanner.Err()
}

// parse reads a line, which may begin with other text, as a collector adds it.
func parse(raw []byte) (Line, bool) {
	_, text, found := strings.Cut(string(raw), "{")
	if !found {
		return Line{}, false
	}
	var all map[string]any
	decoder := json.NewDecoder(strings.NewReader("{" + text))
	decoder.UseNumber() // large numbers are told as they were written
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

// RequestTrace is one request's life.
type RequestTrace struct {
	// Lines are the request's own, in order.
	Lines []Line
	// Facts are what was known before its end, in order.
	Facts []Line
	// UnwrittenLines counts lines that were dropped or summed up around that time.
	UnwrittenLines int
}

// Trace finds a request by its id in the lines of all logs.
func Trace(lines []Line, id string) (*RequestTrace, error) {
	slices.SortStableFunc(lines, func(a, b Line) int { return a.At.Compare(b.At) })
	life := &RequestTrace{}
	for _, l := range lines {
		if l.Fields["request"] == id {
			life.Lines = append(life.Lines, l)
		}
	}
	if len(life.Lines) == 0 {
		return nil, fmt.Errorf("%w: %s", ErrNotFound, id)
	}
	end := life.Lines[len(life.Lines)-1]
	latest := map[string]Line{}
	for _, l := range lines {
		if l.At.After(end.At) {
			break
		}
		life.consider(l, &end, latest)
	}
	for _, l := range latest {
		life.Facts = append(life.Facts, l)
	}
	slices.SortStableFunc(life.Facts, func(a, b Line) int { return a.At.Compare(b.At) })
	return life, nil
}

// consider keeps a line that may have decided the request.
func (f *RequestTrace) consider(l Line, end *Line, latest map[string]Line) {
	near := end.At.Sub(l.At) <= ordersBefore
	switch l.Message {
	case "log lines dropped", "log lines summed up":
		n, ok := l.Fields["lines"].(json.Number)
		if count, err := n.Int64(); ok && err == nil && near {
			f.UnwrittenLines += int(count)
		}
	case "order":
		if near && l.Fields["adapter"] != "" && sameField(l, *end, "adapter") {
			f.Facts = append(f.Facts, l)
		}
	default:
		if key := factKey(l, end); key != "" {
			latest[key] = l
		}
	}
}

// factKey names the fact that a line tells, of which the latest counts, "" where
// it has nothing to do with the request.
func factKey(l Line, end *Line) string {
	concerns := false
	switch l.Message {
	case "this host leads", "assignments":
		concerns = true
	case "lead lost", "lead found", "lease not renewed", "configuration in force":
		concerns = l.Host == end.Host
	case "store does not answer; what was read last stays in force", "store answers again":
		concerns = l.Host == end.Host
	case "organisation's rate":
		concerns = l.Host == end.Host && sameField(l, *end, "organisation")
	case "upstream listed", "upstream gone":
		concerns = sameField(l, *end, "upstream")
	case "adapter version announced":
		concerns = sameField(l, *end, "adapter")
	}
	if !concerns {
		return ""
	}
	return l.Message + fmt.Sprint(l.Fields["table"])
}

func sameField(a, b Line, name string) bool { return a.Fields[name] == b.Fields[name] }

// Write prints the life: what was known with its age, then the request itself.
func (f *RequestTrace) Write(w io.Writer) {
	end := f.Lines[len(f.Lines)-1]
	for _, l := range f.Facts {
		_, _ = fmt.Fprintf(w, "%9.3f s before  %-16s %s%s\n", end.At.Sub(l.At).Seconds(), l.Host, l.Message, fields(l.Fields))
	}
	for _, l := range f.Lines {
		_, _ = fmt.Fprintf(w, "%s  %-16s %s%s\n", l.At.Format("15:04:05.000000"), l.Host, l.Message, fields(l.Fields))
	}
	if f.UnwrittenLines > 0 {
		_, _ = fmt.Fprintf(w, "%d lines of the %s before were dropped or summed up: facts may be missing\n", f.UnwrittenLines, ordersBefore)
	}
}

// fields writes a line's fields in the order of their names.
func fields(all map[string]any) string {
	names := make([]string, 0, len(all))
	for name := range all {
		names = append(names, name)
	}
	slices.Sort(names)
	var b strings.Builder
	for _, name := range names {
		fmt.Fprintf(&b, " %s=%v", name, all[name])
	}
	return b.String()
}
