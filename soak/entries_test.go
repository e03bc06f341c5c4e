package soak

import (
	"context"
	"io"
	"net/http"
	"os/exec"
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
		s, err := RunEntries(context.Background(), EntryOptions{
			Bin: bin, Dir: t.TempDir(), Duration: 8 * time.Second, Hosts: 4, Engines: 3, Rate: 40, FaultEvery: time.Second, Seed: seed, Log: io.Discard,
		})
		require.NoError(t, err)
		require.Empty(t, s.Findings, "seed %d: %+v", seed, s)
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
		before := len(s.Findings)
		s.checkCall(&c.call, c.ran, map[string]time.Time{"old": now.Add(-2 * keyTime)})
		require.Len(t, s.Findings, before+1, "%+v", c.call)
	}
	s.checkSeen(&replica.Seen{Header: http.Header{caller.HeaderKey: {"x"}}})
	require.Len(t, s.Findings, 7)
}
