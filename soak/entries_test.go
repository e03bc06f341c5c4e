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

// buildEntry builds the daemon of entry hosts.
func buildEntry(t *testing.T) string {
	t.Helper()
	dir := t.TempDir()
	out, err := exec.CommandContext(t.Context(), "go", "build", "-o", dir+"/", "../cmd/jasminelock-entry").CombinedOutput()
	require.NoError(t, err, string(out))
	return dir
}

// A short soak of real processes; seeds that ever failed are run as well.
func TestEntryHostsKeepTheirPromises(t *testing.T) {
	bin := buildEntry(t)
	for _, seed := range []uint64{1} {
		s, err := RunEntryHosts(context.Background(), EntryOptions{
			BinDir: bin, WorkDir: t.TempDir(), Duration: 8 * time.Second, Hosts: 4, Engines: 3, RequestsPerSecond: 40, MeanFaultInterval: time.Second, Seed: seed, Log: io.Discard,
		})
		require.NoError(t, err)
		require.Empty(t, s.Violations, "seed %d: %+v", seed, s)
		require.NotZero(t, s.Statuses[200])
	}
}

// The judge sees what it is there for.
func TestTheJudgeSeesBrokenPromises(t *testing.T) {
	now := time.Now()
	var s EntrySummary
	stream := ""
	for _, c := range []struct {
		call call
		ran  int
	}{
		{call{kind: "book", status: 200, body: "answer of p0 to /book/1", path: "/book/1", whole: true}, 2},
		{call{kind: "chat", status: 503}, 1},
		{call{kind: "book", status: 200, body: "answer of p0 to /book/2", path: "/book/1", whole: true}, 1},
		{call{kind: "resume", status: 200, body: stream, whole: true}, 1},
		{call{kind: "status", status: 200, body: "x to /s", path: "/s", key: "old", at: now, whole: true}, 1},
	} {
		before := len(s.Violations)
		s.checkCall(&c.call, c.ran, map[string]time.Time{"old": now.Add(-2 * keyTime)})
		require.Len(t, s.Violations, before+1, "%+v", c.call)
	}
	s.checkSeen(&replica.Request{Header: http.Header{caller.HeaderKey: {"x"}}})
	require.Len(t, s.Violations, 7)
}

// The judge sees requests that are sent on though the fleet knows that they crash
// replicas, and excuses hosts that were disturbed.
func TestTheJudgeSeesCrashingRequestsSentOn(t *testing.T) {
	start := time.Now()
	late := func(n int) time.Time { return start.Add(contactTime + time.Duration(n)*time.Second) }
	judged := func(disturb ...unrest) *EntrySummary {
		j, s := newJudge(), &EntrySummary{}
		j.disturbed = disturb
		r := &entryReplica{Replica: replica.New(replica.Options{ID: "p"})}
		for n, at := range []time.Time{start, start, start, late(1), late(2), late(3), late(4)} {
			id := strconv.Itoa(n)
			j.add(call{id: id, kind: crashing, host: "h"})
			r.AddRequest(replica.Request{URI: "/x", Header: http.Header{caller.HeaderAttempt: {id}}, Body: replica.CrashBody, Executed: true, ReceivedAt: at})
		}
		s.checkCrashing(j, []*entryReplica{r})
		return s
	}
	require.Len(t, judged().Violations, 1)
	require.Len(t, judged(unrest{host: "other", from: start, to: late(9)}).Violations, 1)
	require.Empty(t, judged(unrest{host: "h", from: start, to: start.Add(2 * time.Second)}).Violations)
	require.Empty(t, judged(unrest{host: everyHost, from: late(0)}).Violations)
	require.Equal(t, 7, judged().Crashes)
}

// The judge sees requests that are sent to a zone that is evacuated.
func TestTheJudgeSeesRequestsToAnEvacuatedZone(t *testing.T) {
	start := time.Now()
	for after, want := range map[time.Duration]int{0: 0, evacuateWithin + time.Second: 1, 2 * evacuationTime: 0} {
		j, s := newJudge(), &EntrySummary{}
		j.add(call{id: "1", host: "h"})
		j.evacuated("z1", start, start.Add(evacuationTime))
		for _, zone := range []string{"z0", "z1"} {
			r := &entryReplica{Replica: replica.New(replica.Options{ID: "p"}), zone: zone}
			r.AddRequest(replica.Request{Header: http.Header{caller.HeaderAttempt: {"1"}}, ReceivedAt: start.Add(after)})
			s.checkEvacuations(j, []*entryReplica{r})
		}
		require.Len(t, s.Violations, want)
	}
}

// The judge sees a replica that starts slowly and is sent too many requests in a second.
func TestTheJudgeSeesTooManyRequestsInASlowStart(t *testing.T) {
	start := time.Now()
	for n, want := range map[int]int{slowPerSecond: 0, 2*slowPerSecond + slowSlack: 1} {
		j, s := newJudge(), &EntrySummary{}
		j.slow("p", start, start.Add(slowTime))
		r := &entryReplica{Replica: replica.New(replica.Options{ID: "p"}), id: "p"}
		for i := range 3 * n {
			r.AddRequest(replica.Request{ReceivedAt: start.Add(time.Duration(i+1) * time.Second / time.Duration(n))})
		}
		s.checkSlowStarts(j, []*entryReplica{r})
		require.Len(t, s.Violations, want)
	}
}
