package soak

import (
	"io"
	"math/rand/v2"
	"os"
	"os/signal"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/jasminelock/jasminelock/standin/tables"
)

// Two faults that stop a host overlap. A later signal of one of them reaches the process that the other one has just started.
// Guards against a host that is down afterwards, for the rest of the run. The processes end at once on every signal.
func TestEntrySoak_OverlappingStopsLeaveTheHostRunning(t *testing.T) {
	// A test that runs in the background may ignore these signals, and so would the processes.
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGHUP)
	defer signal.Stop(signals)
	s := &entrySoak{options: EntryOptions{Log: io.Discard}, tables: tables.New(), recorder: newEntryRecorder()}
	defer s.close()
	for n := range 6 {
		h := &entryHost{process: &process{
			name: "h" + strconv.Itoa(n), path: "/bin/sleep", args: []string{"60"}, logPath: filepath.Join(t.TempDir(), "log"),
		}}
		s.hosts = append(s.hosts, h)
		require.NoError(t, h.start())
	}
	var faults sync.WaitGroup
	for n, h := range s.hosts {
		faults.Go(func() { s.stopWithSignals(t.Context(), rand.New(rand.NewPCG(uint64(n), 1)), h) })
		faults.Go(func() { s.restart(t.Context(), h, syscall.SIGKILL) })
	}
	faults.Wait()
	for _, h := range s.hosts {
		h.mu.Lock()
		running := h.running()
		h.mu.Unlock()
		require.True(t, running, "host %s is down", h.name)
	}
	require.Empty(t, s.recorder.violations)
}
