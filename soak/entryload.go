package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/jasminelock/jasminelock/standin/caller"
	"github.com/jasminelock/jasminelock/standin/replica"
)

// callerPatience is how long callers wait.
const callerPatience = 5 * time.Second

// keyTime is how long a withdrawn key may still be answered: the bound of a
// configuration, and what an unreachable store adds.
const keyTime = 10 * time.Second

// call is one request of a caller and what came of it.
type call struct {
	id   string
	kind string
	key  string
	path string
	at   time.Time
	// status is 0 where no answer came.
	status int
	body   string
	whole  bool
	// host is the one that was asked.
	host string
}

// judge collects what callers saw.
type judge struct {
	// mu guards all below.
	mu       sync.Mutex
	calls    []call
	findings []string
	faults   map[string]int
	dropped  map[string]time.Time
	markedAt time.Time
	// disturbed holds the times in which a host was killed, frozen or cut off, or the
	// store was away, which is everyHost's.
	disturbed []unrest
	// emptied holds the evacuations of zones, slowStarts the times in which replicas took
	// few requests.
	emptied    []evacuation
	slowStarts []slowStart
}

func newJudge() *judge { return &judge{faults: map[string]int{}, dropped: map[string]time.Time{}} }

func (j *judge) add(c call) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.calls = append(j.calls, c)
}

func (j *judge) broken(format string, args ...any) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.findings = append(j.findings, fmt.Sprintf(format, args...))
}

func (j *judge) fault(name string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.faults[name]++
}

func (j *judge) withdrawn(key string, at time.Time) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.dropped[key] = at
}

// mark begins the time in which requests must be served.
func (j *judge) mark() {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.markedAt = time.Now()
}

// EntrySummary is what a soak of entry hosts found.
type EntrySummary struct {
	Requests int            `json:"requests"`
	Statuses map[int]int    `json:"statuses"`
	Faults   map[string]int `json:"faults"`
	// ServedAfterFaults is the part of the requests served after the faults.
	ServedAfterFaults float64 `json:"served_after"`
	// Violations are the conditions that were broken.
	Violations []string `json:"findings"`
	// Crashes is how many replicas the crashing requests have reached.
	Crashes int `json:"crashes"`
}

// summary judges what callers saw by what replicas did.
func (j *judge) summary(replicas []*entryReplica) *EntrySummary {
	j.mu.Lock()
	defer j.mu.Unlock()
	s := &EntrySummary{Requests: len(j.calls), Statuses: map[int]int{}, Faults: j.faults, Violations: j.findings}
	runs := map[string]int{}
	s.checkCrashing(j, replicas)
	s.checkEvacuations(j, replicas)
	s.checkSlowStarts(j, replicas)
	for _, r := range replicas {
		for _, seen := range r.Requests() {
			if seen.Executed {
				runs[seen.AttemptID()]++
			}
			s.checkSeen(&seen)
		}
	}
	after, served := 0, 0
	for i := range j.calls {
		c := &j.calls[i]
		if c.kind == crashing {
			continue
		}
		s.Statuses[c.status]++
		s.checkCall(c, runs[c.id], j.dropped)
		_, withdrawn := j.dropped[c.key]
		if !j.markedAt.IsZero() && c.at.After(j.markedAt) && !withdrawn {
			after++
			if c.status == http.StatusOK {
				served++
			}
		}
	}
	s.ServedAfterFaults = float64(served) / float64(max(after, 1))
	if s.ServedAfterFaults < servedAfter {
		s.find("%.2f of %d requests were served after the faults, want %.2f", s.ServedAfterFaults, after, servedAfter)
	}
	slices.Sort(s.Violations)
	return s
}

func (s *EntrySummary) find(format string, args ...any) {
	s.Violations = append(s.Violations, fmt.Sprintf(format, args...))
}

// checkSeen checks what a replica was sent.
func (s *EntrySummary) checkSeen(seen *replica.Request) {
	if seen.HasKey() {
		s.find("a replica was shown a key")
	}
	if seen.Organisation() != "org" {
		s.find("a replica was told the organisation %q", seen.Organisation())
	}
}

// checkCall checks one request's answer.
func (s *EntrySummary) checkCall(c *call, ran int, dropped map[string]time.Time) {
	once := c.kind == "book" || c.kind == "chat"
	if once && ran > 1 {
		s.find("%s %s ran %d times", c.kind, c.id, ran)
	}
	promise := c.status == http.StatusServiceUnavailable || c.status == http.StatusTooManyRequests
	if once && promise && ran > 0 {
		s.find("%s %s was answered %d and ran", c.kind, c.id, c.status)
	}
	if c.status != http.StatusOK {
		return
	}
	if at, gone := dropped[c.key]; gone && c.at.After(at.Add(keyTime)) {
		s.find("%s %s was served with a key that was withdrawn %s before", c.kind, c.id, c.at.Sub(at))
	}
	if c.whole {
		s.checkBody(c)
	}
}

// checkBody checks an answer that looks whole.
func (s *EntrySummary) checkBody(c *call) {
	if c.kind == "book" || c.kind == "status" {
		if !strings.HasSuffix(c.body, " to "+c.path) {
			s.find("%s %s got %q", c.kind, c.id, c.body)
		}
		return
	}
	var want strings.Builder
	for i := 1; i <= streamEvents; i++ {
		fmt.Fprintf(&want, "id: %d\ndata: event %d\n\n", i, i)
	}
	if c.body != want.String() {
		s.find("%s %s got the stream %q", c.kind, c.id, c.body)
	}
}

// load sends requests at a mean rate until the context ends.
func (s *entrySoak) load(ctx context.Context) {
	r := rand.New(rand.NewPCG(s.options.Seed, 3))
	var group sync.WaitGroup
	for n := 0; ctx.Err() == nil; n++ {
		sleep(ctx, time.Duration(r.ExpFloat64()/s.options.RequestsPerSecond*float64(time.Second)))
		c, host := s.draw(r, n)
		group.Go(func() { s.send(host, c) })
	}
	group.Wait()
}

// draw makes a request. One in ten has a key that was withdrawn.
func (s *entrySoak) draw(r *rand.Rand, n int) (call, *entryHost) {
	kind := []string{"chat", "resume", "book", "status"}[r.IntN(4)]
	s.mu.Lock()
	key := s.key
	s.mu.Unlock()
	if r.IntN(10) == 0 {
		s.judge.mu.Lock()
		for old := range s.judge.dropped {
			key = old
			break
		}
		s.judge.mu.Unlock()
	}
	id := "r" + strconv.Itoa(n)
	return call{id: id, kind: kind, key: key, path: "/" + kind + "/" + id}, s.hosts[r.IntN(len(s.hosts))]
}

// send sends a request and notes what came of it. Callers go on using a
// connection until it ends.
func (s *entrySoak) send(h *entryHost, c call) {
	ctx, cancel := context.WithTimeout(context.Background(), callerPatience)
	defer cancel()
	out := caller.Call{Method: http.MethodPost, Path: c.path, Body: "body", ID: c.id, Key: c.key, Timeout: callerPatience}
	switch c.kind {
	case "status":
		out.Method = http.MethodGet
	case crashing:
		out.Body = replica.CrashBody
	}
	if c.kind == "chat" || c.kind == "resume" || c.path == crashingPaths[0] {
		out.Model, out.Adapter = "m", "a"+strconv.Itoa(len(c.id)*7%adapterCount)
		out.PromptTokens, out.OutputTokens = 500, 50
	}
	req, err := out.Request(ctx, h.callers)
	if err != nil {
		s.judge.broken("request: %s", err)
		return
	}
	c.at = time.Now()
	resp, err := s.client.Do(req)
	if err == nil {
		raw, readErr := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		c.status, c.body, c.whole = resp.StatusCode, string(raw), readErr == nil
	}
	c.host = h.name
	s.judge.add(c)
}
