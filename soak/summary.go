package soak

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"os"
	"regexp"
	"slices"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// maxCrashes is how many upstreams one poison request may take down, whatever
// its caller repeats.
const maxCrashes = 2

// Condition is what was found of one of the users' conditions.
type Condition struct {
	Name string `json:"name"`
	// Checked counts what was looked at.
	Checked int `json:"checked"`
	// Violations lists what broke the condition.
	Violations []string `json:"broken,omitempty"`
}

// Summary is what a soak found.
type Summary struct {
	Deployment string         `json:"deployment"`
	Seed       uint64         `json:"seed"`
	Seconds    float64        `json:"seconds"`
	Requests   int            `json:"requests"`
	Complete      int            `json:"whole"`
	Skipped    int            `json:"skipped"`
	Refused    map[string]int `json:"refused"`
	BrokenConnections     int            `json:"broken_connections"`
	Faults     map[string]int `json:"faults"`
	// Times to the first token of streamed completions, in seconds.
	FirstTokenP50   float64     `json:"first_token_p50"`
	FirstTokenP95   float64     `json:"first_token_p95"`
	FirstTokenP99   float64     `json:"first_token_p99"`
	Conditions []Condition `json:"conditions"`
}

// OK reports whether every condition held.
func (s *Summary) OK() bool {
	return !slices.ContainsFunc(s.Conditions, func(c Condition) bool { return len(c.Violations) > 0 })
}

// shownBreaks is how many breaks of a condition are printed.
const shownBreaks = 5

// Write prints the summary, with a line for each condition.
func (s *Summary) Write(w io.Writer) {
	fmt.Fprintf(w, "%s, seed %d, %.0f s: %d requests, %d whole, %d connections broken, %d skipped\n",
		s.Deployment, s.Seed, s.Seconds, s.Requests, s.Complete, s.BrokenConnections, s.Skipped)
	fmt.Fprintf(w, "first token p50 %.3f s, p95 %.3f s, p99 %.3f s\n", s.FirstTokenP50, s.FirstTokenP95, s.FirstTokenP99)
	for _, code := range slices.Sorted(maps.Keys(s.Refused)) {
		fmt.Fprintf(w, "refused %s: %d\n", code, s.Refused[code])
	}
	for _, name := range slices.Sorted(maps.Keys(s.Faults)) {
		fmt.Fprintf(w, "fault %s: %d\n", name, s.Faults[name])
	}
	for _, c := range s.Conditions {
		verdict := "held"
		if len(c.Violations) > 0 {
			verdict = fmt.Sprintf("BROKEN %d times", len(c.Violations))
		}
		fmt.Fprintf(w, "%-52s %s (%d checked)\n", c.Name, verdict, c.Checked)
		for _, b := range c.Violations[:min(len(c.Violations), shownBreaks)] {
			fmt.Fprintf(w, "    %s\n", b)
		}
	}
}

// execution is what a stand-in says of one call.
type execution struct {
	upstream string
	At       time.Time `json:"at"`
	Model    string    `json:"model"`
	URL      string    `json:"url"`
	Body     string    `json:"body"`
	raw      string
}

// findings is everything that the conditions are judged by.
type findings struct {
	s          *soak
	outcomes   []*outcome
	executions []execution
	byMarker   map[string][]execution
	byCaller   map[string][]*outcome
}

var markerPattern = regexp.MustCompile(`mk-\d+-`)

func (s *soak) summary() (*Summary, error) {
	f := &findings{s: s, outcomes: s.load.outcomes, byMarker: map[string][]execution{}, byCaller: map[string][]*outcome{}}
	if err := f.readExecutions(); err != nil {
		return nil, err
	}
	for _, o := range f.outcomes {
		f.byCaller[o.marker] = append(f.byCaller[o.marker], o)
	}
	sum := &Summary{
		Deployment: s.d.shape.Name, Seed: s.o.Seed, Seconds: s.o.Duration.Seconds(), Requests: len(f.outcomes),
		Skipped: s.load.skipped, Refused: map[string]int{}, Faults: s.ran,
	}
	first := hdrhistogram.New(1, int64(5*time.Minute/time.Microsecond), 3)
	for _, o := range f.outcomes {
		sum.count(o)
		if o.kind == completion && o.whole {
			_ = first.RecordValue(max(o.first.Sub(o.sent).Microseconds(), 1))
		}
	}
	seconds := func(q float64) float64 {
		return float64(first.ValueAtQuantile(q)) / float64(time.Second/time.Microsecond)
	}
	sum.FirstTokenP50, sum.FirstTokenP95, sum.FirstTokenP99 = seconds(50), seconds(95), seconds(99)
	sum.Conditions = f.conditions()
	return sum, nil
}

func (s *Summary) count(o *outcome) {
	switch {
	case o.whole:
		s.Complete++
	case o.code != "":
		s.Refused[o.code+"/"+o.ran]++
	default:
		s.BrokenConnections++
	}
}

func (f *findings) readExecutions() error {
	for _, u := range f.s.d.upstreams {
		var raw []json.RawMessage
		if !f.s.get(u.url+"/executions", &raw) {
			return fmt.Errorf("soak: executions of %s cannot be read", u.name)
		}
		for _, r := range raw {
			e := execution{upstream: u.name, raw: string(r)}
			if err := json.Unmarshal(r, &e); err != nil {
				return err
			}
			f.executions = append(f.executions, e)
			if marker := markerPattern.FindString(e.URL + e.Body); marker != "" {
				f.byMarker[marker] = append(f.byMarker[marker], e)
			}
		}
	}
	return nil
}

// servingUnloads sums what the engines counted.
func (f *findings) servingUnloads() (total int) {
	for _, u := range f.s.d.upstreams[:f.s.d.shape.Engines] {
		var c engineCounts
		f.s.get(u.url+"/counts", &c)
		total += c.ServingUnloads
	}
	return total
}

// secretsInLogs lists the logs that hold a caller's key.
func (f *findings) secretsInLogs() (broken []string, checked int) {
	paths, err := f.s.logs()
	if err != nil {
		return []string{err.Error()}, 0
	}
	for _, path := range paths {
		raw, err := os.ReadFile(path)
		if err != nil {
			return []string{err.Error()}, checked
		}
		checked++
		for _, secret := range f.s.secrets {
			if strings.Contains(string(raw), secret) {
				broken = append(broken, "a key stands in "+path)
			}
		}
	}
	return broken, checked
}
