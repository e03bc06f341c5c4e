package soak

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptrace"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jasminelock/jasminelock/standin/caller"
	"github.com/jasminelock/jasminelock/standin/replica"
)

// callerTimeout is how long most callers wait for an answer.
const callerTimeout = 5 * time.Second

// withdrawnKeyGrace is how long requests with a withdrawn key may still be served: the time in
// which a configuration must be in force, and the time that an unreachable store adds.
const withdrawnKeyGrace = 10 * time.Second

// longKind is the kind of sound requests whose streams take seconds, so that they run on replicas that crash.
const longKind = "long"

// call is one request of a caller, with its answer.
type call struct {
	id     string
	kind   string
	key    string
	path   string
	sentAt time.Time
	// status is the HTTP status, or 0 if there was no answer.
	status   int
	body     string
	complete bool // whether the body was read to its end
	// host is the name of the host that the request was sent to.
	host string
	// timeout is how long the caller waits, callerTimeout if it is 0.
	timeout time.Duration
	// unanswered is set if the connection ended after the whole request was written and before an answer arrived.
	unanswered bool
	endedAt    time.Time
}

// entryRecorder collects the calls, the faults and the violations of one soak of entry hosts.
type entryRecorder struct {
	// mu guards the fields below.
	mu           sync.Mutex
	calls        []call
	violations   []string
	faultCounts  map[string]int
	withdrawnAt  map[string]time.Time
	faultsOverAt time.Time
	// disruptions holds the periods in which a host was killed, frozen or disconnected. Those in
	// which the store was down have allHosts as their host.
	disruptions []hostDisruption
	// evacuations holds the evacuations of zones, slowStarts the slow starts of replicas.
	evacuations []evacuation
	slowStarts  []slowStart
	// rateLimits holds the periods in which replicas stated rate limits.
	rateLimits []rateLimitPeriod
	stops      []plannedStop
}

func newEntryRecorder() *entryRecorder {
	return &entryRecorder{faultCounts: map[string]int{}, withdrawnAt: map[string]time.Time{}}
}

func (rec *entryRecorder) addCall(c call) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	rec.calls = append(rec.calls, c)
}

func (rec *entryRecorder) recordViolation(format string, args ...any) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	rec.violations = append(rec.violations, fmt.Sprintf(format, args...))
}

func (rec *entryRecorder) recordFault(name string) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	rec.faultCounts[name]++
}

func (rec *entryRecorder) recordWithdrawal(key string, at time.Time) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	rec.withdrawnAt[key] = at
}

// markFaultsOver records that requests sent from now on count towards EntrySummary.ServedAfterFaults.
func (rec *entryRecorder) markFaultsOver() {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	rec.faultsOverAt = time.Now()
}

// EntrySummary is the result of a soak of entry hosts.
type EntrySummary struct {
	// Requests counts all requests, with the crashing ones. Statuses counts the others by their
	// HTTP status, and Faults the faults by their name.
	Requests int            `json:"requests"`
	Statuses map[int]int    `json:"statuses"`
	Faults   map[string]int `json:"faults"`
	// ServedAfterFaults is the share of the requests with a valid key that were answered with 200 after
	// the faults.
	ServedAfterFaults float64 `json:"served_after"`
	// Violations describes each violation of a condition, in sorted order.
	Violations []string `json:"findings"`
	// Crashes counts how often a replica started to run a crashing request.
	Crashes int `json:"crashes"`
	// PartCrashes counts how often a replica started to run a request with crashPart.
	PartCrashes int `json:"part_crashes"`
	// LimitedReplicas counts the periods in which a replica stated a rate limit for so long that the
	// hosts had to keep to it.
	LimitedReplicas int `json:"limited"`
}

// summary checks the answers that callers received against the requests that replicas ran.
func (rec *entryRecorder) summary(replicas []*entryReplica) *EntrySummary {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	s := &EntrySummary{Requests: len(rec.calls), Statuses: map[int]int{}, Faults: rec.faultCounts, Violations: rec.violations}
	runs := map[string]int{}
	s.checkCrashing(rec, replicas)
	s.checkEvacuations(rec, replicas)
	s.checkSlowStarts(rec, replicas)
	s.checkRateLimits(rec, replicas)
	for _, r := range replicas {
		for _, seen := range r.Requests() {
			if seen.Executed {
				runs[seen.AttemptID()]++
			}
			s.checkReceived(&seen)
		}
	}
	afterFaults, served := 0, 0
	for i := range rec.calls {
		c := &rec.calls[i]
		if !c.isSound() {
			continue
		}
		s.checkSoundNotRefused(c)
		s.Statuses[c.status]++
		s.checkCall(c, runs[c.id], rec.withdrawnAt)
		s.checkStops(rec, c, runs[c.id])
		_, withdrawn := rec.withdrawnAt[c.key]
		if !rec.faultsOverAt.IsZero() && c.sentAt.After(rec.faultsOverAt) && !withdrawn {
			afterFaults++
			if c.status == http.StatusOK {
				served++
			}
		}
	}
	s.ServedAfterFaults = float64(served) / float64(max(afterFaults, 1))
	if s.ServedAfterFaults < minServedAfterFaults {
		s.addViolation("share %.2f of %d requests was served after the faults, want at least %.2f",
			s.ServedAfterFaults, afterFaults, minServedAfterFaults)
	}
	slices.Sort(s.Violations)
	return s
}

func (s *EntrySummary) addViolation(format string, args ...any) {
	s.Violations = append(s.Violations, fmt.Sprintf(format, args...))
}

// checkReceived checks one request that a replica received.
func (s *EntrySummary) checkReceived(seen *replica.Request) {
	if seen.HasKey() {
		s.addViolation("a replica received a caller's key")
	}
	if seen.Organisation() != "org" {
		s.addViolation("a replica received a request for organisation %q", seen.Organisation())
	}
}

// checkCall checks the answer of one request that replicas ran the given number of times.
func (s *EntrySummary) checkCall(c *call, runs int, withdrawnAt map[string]time.Time) {
	nonRepeatable := c.kind == "book" || c.kind == "chat" || c.kind == holdKind
	if nonRepeatable && runs > 1 {
		s.addViolation("%s %s may run at most once but ran %d times", c.kind, c.id, runs)
	}
	if nonRepeatable && slices.Contains(refusalStatuses, c.status) && runs > 0 {
		s.addViolation("%s %s was refused with status %d but ran", c.kind, c.id, c.status)
	}
	if c.status != http.StatusOK {
		return
	}
	if at, withdrawn := withdrawnAt[c.key]; withdrawn && c.sentAt.After(at.Add(withdrawnKeyGrace)) {
		s.addViolation("%s %s was served with a key that was withdrawn %s before it was sent", c.kind, c.id, c.sentAt.Sub(at))
	}
	if c.complete {
		s.checkBody(c)
	}
}

// refusalStatuses are the statuses that promise that the request has not run.
var refusalStatuses = []int{
	http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable,
}

// isPlain reports whether the request is one to a plain service.
func (c *call) isPlain() bool {
	return slices.Contains([]string{"book", "status", holdKind, holdSafeKind}, c.kind)
}

// checkBody checks the body of an answer that was read to its end.
func (s *EntrySummary) checkBody(c *call) {
	if c.isPlain() {
		if !strings.HasSuffix(c.body, " to "+c.path) {
			s.addViolation("%s %s got the wrong answer %q", c.kind, c.id, c.body)
		}
		return
	}
	var want strings.Builder
	for i := 1; i <= streamEvents; i++ {
		fmt.Fprintf(&want, "id: %d\ndata: event %d\n\n", i, i)
	}
	if c.body != want.String() {
		s.addViolation("%s %s got the wrong stream %q", c.kind, c.id, c.body)
	}
}

// sendLoad sends requests at the mean rate of EntryOptions.RequestsPerSecond until the context ends, and then
// waits for the last answers.
func (s *entrySoak) sendLoad(ctx context.Context) {
	r := rand.New(rand.NewPCG(s.options.Seed, 3))
	var group sync.WaitGroup
	for n := 0; ctx.Err() == nil; n++ {
		sleep(ctx, time.Duration(r.ExpFloat64()/s.options.RequestsPerSecond*float64(time.Second)))
		c, host := s.drawCall(r, n)
		group.Go(func() { s.send(host, c) })
	}
	group.Wait()
}

// drawCall returns a random request and the host to send it to. One in ten requests has a
// withdrawn key, once there is one.
func (s *entrySoak) drawCall(r *rand.Rand, n int) (call, *entryHost) {
	kind := []string{"chat", "resume", "book", "status", longKind}[r.IntN(5)]
	s.mu.Lock()
	key := s.key
	s.mu.Unlock()
	if r.IntN(10) == 0 {
		s.recorder.mu.Lock()
		for old := range s.recorder.withdrawnAt {
			key = old
			break
		}
		s.recorder.mu.Unlock()
	}
	id := "r" + strconv.Itoa(n)
	path := "/" + kind + "/" + id
	if kind == longKind {
		path = "/resume" + replica.LongPath + "/" + id
	}
	return call{id: id, kind: kind, key: key, path: path}, s.hosts[r.IntN(len(s.hosts))]
}

// send sends a request and records its answer. Callers reuse their connections until these end.
func (s *entrySoak) send(h *entryHost, c call) {
	c.timeout = cmp.Or(c.timeout, callerTimeout)
	ctx, cancel := context.WithTimeout(context.Background(), c.timeout)
	defer cancel()
	var written atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		WroteRequest: func(info httptrace.WroteRequestInfo) { written.Store(info.Err == nil) },
	})
	out := caller.Call{Method: http.MethodPost, Path: c.path, Body: "body", ID: c.id, Key: c.key, Timeout: c.timeout}
	switch c.kind {
	case "status", holdSafeKind:
		out.Method = http.MethodGet
	case crashKind:
		out.Body = replica.CrashBody
	}
	if !c.isPlain() && c.path != crashPaths[1] {
		out.Model, out.Adapter = "m", "a"+strconv.Itoa(len(c.id)*7%adapterCount)
		out.PromptTokens, out.OutputTokens = 500, 50
		out.Parts = []string{sharedPart, "topic-" + strconv.Itoa(len(c.id)%3), c.id}
		if c.kind == partKind {
			out.Parts[1] = crashPart
		}
	}
	req, err := out.Request(ctx, h.callerAddress)
	if err != nil {
		s.recorder.recordViolation("request could not be built: %s", err)
		return
	}
	c.sentAt = time.Now()
	resp, err := s.client.Do(req)
	if err == nil {
		raw, readErr := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		c.status, c.body, c.complete = resp.StatusCode, string(raw), readErr == nil
	}
	c.host, c.endedAt = h.name, time.Now()
	c.unanswered = err != nil && written.Load() && ctx.Err() == nil
	s.recorder.addCall(c)
}
