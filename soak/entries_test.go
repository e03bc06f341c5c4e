package soak

import (
	"context"
	"io"
	"net/http"
	"os/exec"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jasminelock/jasminelock/standin/caller"
	"github.com/jasminelock/jasminelock/standin/replica"
)

// buildEntry builds jasminelock-entry and returns the directory of the binary.
func buildEntry(t *testing.T) string {
	t.Helper()
	dir := t.TempDir()
	out, err := exec.CommandContext(t.Context(), "go", "build", "-o", dir+"/", "../cmd/jasminelock-entry").CombinedOutput()
	require.NoError(t, err, string(out))
	return dir
}

// A short soak of real processes must break no condition. Seeds that failed once belong in the
// list of seeds.
func TestEntryHosts_FaultsBreakNoCondition(t *testing.T) {
	bin := buildEntry(t)
	for _, seed := range []uint64{1} {
		s, err := RunEntryHosts(context.Background(), EntryOptions{
			BinDir: bin, WorkDir: t.TempDir(), Duration: 8 * time.Second, Hosts: 4, Engines: 3, RequestsPerSecond: 40,
			MeanFaultInterval: time.Second, Seed: seed, Log: io.Discard,
		})
		require.NoError(t, err)
		require.Empty(t, s.Violations, "seed %d: %+v", seed, s)
		require.NotZero(t, s.Statuses[200])
	}
}

// Each broken condition of a call must give one violation, and a request without the right
// organisation and with a key must give two.
func TestEntrySummary_BrokenConditions(t *testing.T) {
	now := time.Now()
	var s EntrySummary
	stream := ""
	for _, c := range []struct {
		call call
		ran  int
	}{
		{call{kind: "book", status: 200, body: "answer of p0 to /book/1", path: "/book/1", complete: true}, 2},
		{call{kind: "chat", status: 503}, 1},
		{call{kind: "book", status: 408}, 1},
		{call{kind: "book", status: 200, body: "answer of p0 to /book/2", path: "/book/1", complete: true}, 1},
		{call{kind: "resume", status: 200, body: stream, complete: true}, 1},
		{call{kind: "status", status: 200, body: "x to /s", path: "/s", key: "old", sentAt: now, complete: true}, 1},
	} {
		before := len(s.Violations)
		s.checkCall(&c.call, c.ran, map[string]time.Time{"old": now.Add(-2 * withdrawnKeyGrace)})
		require.Len(t, s.Violations, before+1, "%+v", c.call)
	}
	s.checkReceived(&replica.Request{Header: http.Header{caller.HeaderKey: {"x"}}})
	require.Len(t, s.Violations, 8)
}

// Crashing requests that are sent on after the hosts must know of them are a violation, except
// from hosts that were disrupted.
func TestEntrySummary_LateCrashes(t *testing.T) {
	start := time.Now()
	late := func(n int) time.Time { return start.Add(propagationTime + time.Duration(n)*time.Second) }
	summarise := func(disruptions ...hostDisruption) *EntrySummary {
		rec, s := newEntryRecorder(), &EntrySummary{}
		rec.disruptions = disruptions
		r := &entryReplica{Replica: replica.New(replica.Options{ID: "p"})}
		for n, at := range []time.Time{start, start, start, late(1), late(2), late(3), late(4)} {
			id := strconv.Itoa(n)
			rec.addCall(call{id: id, kind: crashKind, host: "h"})
			r.AddRequest(replica.Request{URI: "/x", Header: http.Header{caller.HeaderAttempt: {id}}, Body: replica.CrashBody, Executed: true, ReceivedAt: at})
		}
		s.checkCrashing(rec, []*entryReplica{r})
		return s
	}
	require.Len(t, summarise().Violations, 1)
	require.Len(t, summarise(hostDisruption{host: "other", from: start, to: late(9)}).Violations, 1)
	require.Empty(t, summarise(hostDisruption{host: "h", from: start, to: start.Add(2 * time.Second)}).Violations)
	require.Empty(t, summarise(hostDisruption{host: allHosts, from: late(0)}).Violations)
	require.Equal(t, 7, summarise().Crashes)
}

// A request that is sent to an evacuated zone after the deadline is a violation.
func TestEntrySummary_EvacuatedZone(t *testing.T) {
	start := time.Now()
	for after, want := range map[time.Duration]int{0: 0, evacuationDeadline + time.Second: 1, 2 * evacuationTime: 0} {
		rec, s := newEntryRecorder(), &EntrySummary{}
		rec.addCall(call{id: "1", host: "h"})
		rec.recordEvacuation("z1", start, start.Add(evacuationTime))
		for _, zone := range []string{"z0", "z1"} {
			r := &entryReplica{Replica: replica.New(replica.Options{ID: "p"}), zone: zone}
			r.AddRequest(replica.Request{Header: http.Header{caller.HeaderAttempt: {"1"}}, ReceivedAt: start.Add(after)})
			s.checkEvacuations(rec, []*entryReplica{r})
		}
		require.Len(t, s.Violations, want)
	}
}

// A request that loses its connection while its host is stopped is a violation, unless it crossed the close, or the host was
// disrupted otherwise.
func TestEntrySummary_PlannedStop(t *testing.T) {
	start := time.Now()
	at := func(seconds int) time.Time { return start.Add(time.Duration(seconds) * time.Second) }
	stop := plannedStop{host: "h", from: at(10), to: at(18)}
	waited := call{kind: "book", host: "h", unanswered: true, sentAt: at(11), endedAt: at(17)}
	crossed := waited
	crossed.sentAt = waited.endedAt.Add(-closeSlack / 2)
	answered := waited
	answered.unanswered = false
	for name, c := range map[string]struct {
		call       call
		runs       int
		disrupted  hostDisruption
		violations int
	}{
		"waited":                  {waited, 0, hostDisruption{host: "other"}, 1},
		"ran":                     {crossed, 1, hostDisruption{host: "other"}, 1},
		"the stop itself":         {waited, 0, hostDisruption{host: "h", from: at(10), planned: true}, 1},
		"crossed the close":       {crossed, 0, hostDisruption{host: "other"}, 0},
		"answered":                {answered, 0, hostDisruption{host: "other"}, 0},
		"the host was frozen too": {waited, 1, hostDisruption{host: "h", from: at(7), to: at(9)}, 0},
	} {
		rec, s := newEntryRecorder(), &EntrySummary{}
		rec.recordStop(stop)
		rec.disruptions = []hostDisruption{c.disrupted}
		s.checkStops(rec, &c.call, c.runs)
		require.Len(t, s.Violations, c.violations, name)
	}
}

// Too many requests within a second of a slow start are a violation.
func TestEntrySummary_SlowStart(t *testing.T) {
	start := time.Now()
	for n, want := range map[int]int{slowStartRate: 0, 2*slowStartRate + slowStartSlack: 1} {
		rec, s := newEntryRecorder(), &EntrySummary{}
		rec.recordSlowStart("p", start, start.Add(slowStartTime))
		r := &entryReplica{Replica: replica.New(replica.Options{ID: "p"}), id: "p"}
		for i := range 3 * n {
			r.AddRequest(replica.Request{ReceivedAt: start.Add(time.Duration(i+1) * time.Second / time.Duration(n))})
		}
		s.checkSlowStarts(rec, []*entryReplica{r})
		require.Len(t, s.Violations, want)
	}
}

// Too many requests to a replica that states a rate limit are a violation, unless it states the limit for too short a
// time for hosts to know of it.
func TestEntrySummary_RateLimit(t *testing.T) {
	start := time.Now()
	const perSecond = 1.2
	for _, c := range []struct {
		rate       float64
		stated     time.Duration
		violations int
	}{
		{perSecond, rateLimitTime, 0}, {3 * perSecond, rateLimitTime, 1}, {3 * perSecond, rateLimitContact / 2, 0},
	} {
		rec, s := newEntryRecorder(), &EntrySummary{}
		rec.rateLimits = append(rec.rateLimits, rateLimitPeriod{replica: "p", from: start, to: start.Add(c.stated), highest: perSecond})
		r := &entryReplica{Replica: replica.New(replica.Options{ID: "p"}), id: "p"}
		for i := range int(c.rate * rateLimitTime.Seconds()) {
			r.AddRequest(replica.Request{ReceivedAt: start.Add(time.Duration(float64(i+1) / c.rate * float64(time.Second))), RateLimit: "1.2"})
		}
		s.checkRateLimits(rec, []*entryReplica{r})
		require.Len(t, s.Violations, c.violations, "%+v", c)
	}
}

// Requests with a part that has crashed five replicas are a violation if more than three reach replicas later; before
// the fifth crash, however many run on one replica, they are not. A refused sound request is one in any case.
func TestEntrySummary_CrashingPart(t *testing.T) {
	start := time.Now()
	var late []arrival
	for n := range 4 {
		late = append(late, arrival{start.Add(propagationTime + time.Duration(n+1)*time.Second), "h"})
	}
	for crashes, want := range map[int]int{partCrashesBeforeVerdict - 1: 0, partCrashesBeforeVerdict: 1} {
		times := make([]time.Time, crashes)
		for n := range times {
			times[n] = start
		}
		s := &EntrySummary{}
		s.checkLate(newEntryRecorder(), "part", late, times, partCrashesBeforeVerdict)
		require.Len(t, s.Violations, want)
	}
	s := &EntrySummary{}
	s.checkSoundNotRefused(&call{kind: "resume", body: "part_crashes_upstreams: part x"})
	require.Len(t, s.Violations, 1)
}
