package soak

import (
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Overlapping faults may start the same host at the same time. With two processes, one would stay
// behind after the run, and would become the leader of the hosts of a later run whose store has
// the same address.
func TestProcess_ConcurrentStartsRunOnce(t *testing.T) {
	p := &process{
		name: "sleeper", path: "/bin/sh", args: []string{"-c", "echo $$; exec sleep 60"},
		logPath: filepath.Join(t.TempDir(), "log"),
	}
	for range 5 {
		var all sync.WaitGroup
		for range 8 {
			all.Go(func() { _ = p.start() })
		}
		all.Wait()
		require.Eventually(t, func() bool { return firstLine(p.logPath) != "" }, startTimeout, time.Millisecond)
		p.kill()
	}
	raw, err := os.ReadFile(p.logPath)
	require.NoError(t, err)
	for line := range strings.Lines(string(raw)) {
		pid, err := strconv.Atoi(strings.TrimSpace(line))
		require.NoError(t, err)
		alive := syscall.Kill(pid, 0) == nil
		if alive {
			_ = syscall.Kill(pid, syscall.SIGKILL)
		}
		assert.False(t, alive, "process %d was left behind", pid)
	}
}
