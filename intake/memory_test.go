package intake_test

import (
	"fmt"
	"io"
	"net"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jasminelock/jasminelock/intake"
)

// The memory that is accounted for a connection and for a request under way must not be less than what they take, or the sum
// of what is granted exceeds the memory of the process.
func TestProcess_MemoryPerConnection(t *testing.T) {
	bin := build(t)
	t.Setenv("GOGC", "5") // little garbage, so that what is resident is in use
	const clients = 250
	for _, tc := range []struct {
		name  string
		start func(*testing.T, string, clientGroup) *program
		path  string
		bound int
	}{
		{"entry, idle after a request", startEntry, "", intake.ConnectionBytes},
		// A plain service of jasminelockd has no streams; its responses are counted by their bytes.
		{"entry, stream under way", startEntry, "stream", intake.ConnectionBytes + intake.RequestBytes},
		{"daemon, idle after a request", startDaemon, "", intake.ConnectionBytes},
	} {
		t.Run(tc.name, func(t *testing.T) {
			p := tc.start(t, bin, clientGroup{memoryMB: 400, descriptors: 4100})
			before := p.residentKB(t)
			for range clients {
				c, err := net.Dial("tcp", p.address)
				require.NoError(t, err)
				t.Cleanup(func() { _ = c.Close() })
				header := strings.ReplaceAll(p.header, "ID", "m"+strconv.FormatInt(attempts.Add(1), 10))
				_, err = fmt.Fprintf(c, "%sContent-Length: 1%sx", requestLine("POST", p.path+tc.path, header), headEnd)
				require.NoError(t, err)
				_ = c.SetReadDeadline(time.Now().Add(testTimeout))
				_, err = io.ReadAtLeast(c, make([]byte, 256), 12)
				require.NoError(t, err)
			}
			time.Sleep(settleTime)
			perConnection := (p.residentKB(t) - before) << 10 / clients
			t.Logf("%d bytes for a connection, %d accounted", perConnection, tc.bound)
			require.LessOrEqual(t, perConnection, tc.bound)
		})
	}
}

// residentKB returns the resident memory that belongs to the process alone, in KB.
func (p *program) residentKB(t *testing.T) int {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.process.Pid))
	require.NoError(t, err)
	_, line, found := strings.Cut(string(raw), "RssAnon:")
	require.True(t, found)
	kilobytes, err := strconv.Atoi(strings.Fields(line)[0])
	require.NoError(t, err)
	return kilobytes
}
