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

// maxCrashes is how many upstreams one poison request may crash, however often its caller
// repeats it.
const maxCrashes = 2

// Condition is the result of the check of one of the users' conditions.
type Condition struct {
	Name string `json:"name"`
	// Checked is the number of items that were checked.
	Checked int `json:"checked"`
	// Violations describes each violation of the condition.
	Violations []string `json:"broken,omitempty"`
}

// Summary is the result of a soak.
type Summary struct {
	Deployment string  `json:"deployment"`
	Seed       uint64  `json:"seed"`
	Seconds    float64 `json:"seconds"`
	// Requests counts all attempts. Each of them is counted in Summary.Complete, in
	// Summary.Refused under "CODE/RAN", or in Summary.BrokenConnections. Summary.Skipped counts
	// requests that were not sent.
	Requests          int            `json:"requests"`
	Complete          int            `json:"whole"`
	Skipped           int            `json:"skipped"`
	Refused           map[string]int `json:"refused"`
	BrokenConnections int            `json:"broken_connections"`
	Faults            map[string]int `json:"faults"`
	// Times to the first token of complete streamed completions, in seconds.
	FirstTokenP50 float64     `json:"first_token_p50"`
	FirstTokenP95 float64     `json:"first_token_p95"`
	FirstTokenP99 float64     `json:"first_token_p99"`
	Conditions    []Condition `json:"conditions"`
}

// OK reports whether every condition held.
func (s *Summary) OK() bool {
	return !slices.ContainsFunc(s.Conditions, func(c Condition) bool { return len(c.Violations) > 0 })
}

// maxShownViolations is the number of violations of a condition that Write prints.
const maxShownViolations = 5

// Write prints the summary as text, with a line for each condition.
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
		for _, b := range c.Violations[:min(len(c.Violations), maxShownViolations)] {
			fmt.Fprintf(w, "    %s\n", b)
		}
	}
}

// execution is one call that a stand-in upstream executed.
type execution struct {
	upstream string
	At       time.Time `json:"at"`
	Model    string    `json:"model"`
	URL      string    `json:"url"`
	Body     string    `json:"body"`
	raw      string
}

// findings holds the data that the conditions are checked against.
type findings struct {
	soak               *soakRun
	outcomes           []*outcome
	executions         []execution
	executionsByMarker map[string][]execution
	outcomesByMarker   map[string][]*outcome
}

var markerPattern = regexp.MustCompile(`mk-\d+-`)

// summary reads the executions from the stand-ins, counts the outcomes and checks the conditions.
func (s *soakRun) summary() (*Summary, error) {
	f := &findings{
		soak: s, outcomes: s.load.outcomes,
		executionsByMarker: map[string][]execution{}, outcomesByMarker: map[string][]*outcome{},
	}
	if err := f.readExecutions(); err != nil {
		return nil, err
	}
	for _, o := range f.outcomes {
		f.outcomesByMarker[o.marker] = append(f.outcomesByMarker[o.marker], o)
	}
	sum := &Summary{
		Deployment: s.deployment.shape.Name, Seed: s.options.Seed, Seconds: s.options.Duration.Seconds(),
		Requests: len(f.outcomes), Skipped: s.load.skipped, Refused: map[string]int{}, Faults: s.faultCounts,
	}
	firstToken := hdrhistogram.New(1, int64(5*time.Minute/time.Microsecond), 3)
	for _, o := range f.outcomes {
		sum.countOutcome(o)
		if o.kind == completion && o.complete {
			_ = firstToken.RecordValue(max(o.firstByteAt.Sub(o.sentAt).Microseconds(), 1))
		}
	}
	seconds := func(q float64) float64 {
		return float64(firstToken.ValueAtQuantile(q)) / float64(time.Second/time.Microsecond)
	}
	sum.FirstTokenP50, sum.FirstTokenP95, sum.FirstTokenP99 = seconds(50), seconds(95), seconds(99)
	sum.Conditions = f.conditions()
	return sum, nil
}

func (s *Summary) countOutcome(o *outcome) {
	switch {
	case o.complete:
		s.Complete++
	case o.code != "":
		s.Refused[o.code+"/"+o.ran]++
	default:
		s.BrokenConnections++
	}
}

func (f *findings) readExecutions() error {
	for _, u := range f.soak.deployment.upstreams {
		var raw []json.RawMessage
		if !f.soak.getJSON(u.url+"/executions", &raw) {
			return fmt.Errorf("soak: the executions of upstream %s could not be read", u.name)
		}
		for _, r := range raw {
			e := execution{upstream: u.name, raw: string(r)}
			if err := json.Unmarshal(r, &e); err != nil {
				return err
			}
			f.executions = append(f.executions, e)
			if marker := markerPattern.FindString(e.URL + e.Body); marker != "" {
				f.executionsByMarker[marker] = append(f.executionsByMarker[marker], e)
			}
		}
	}
	return nil
}

// servingUnloads returns how often any engine was ordered to unload an adapter that was serving.
func (f *findings) servingUnloads() (total int) {
	for _, u := range f.soak.deployment.upstreams[:f.soak.deployment.shape.Engines] {
		var c engineCounts
		f.soak.getJSON(u.url+"/counts", &c)
		total += c.ServingUnloads
	}
	return total
}

// secretsInLogs lists the log files that contain a caller's key, and returns the number of files
// read.
func (f *findings) secretsInLogs() (violations []string, checked int) {
	paths, err := f.soak.logPaths()
	if err != nil {
		return []string{err.Error()}, 0
	}
	for _, path := range paths {
		raw, err := os.ReadFile(path)
		if err != nil {
			return []string{err.Error()}, checked
		}
		checked++
		for _, secret := range f.soak.issuedSecrets {
			if strings.Contains(string(raw), secret) {
				violations = append(violations, "a caller's key was written to log "+path)
			}
		}
	}
	return violations, checked
}
