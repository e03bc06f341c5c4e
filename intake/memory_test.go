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

// Guards against callers that read no response and come back at once, so that others with their key got one turn in hundreds:
// each held its memory for 3 s. Those that are blocked longest give way after 1 s, if such callers hold most of the memory.
func TestReserve_BlockedReadersGiveWay(t *testing.T) {
	for name, tc := range map[string]struct {
		readers, now int
		evicted      bool
	}{
		"most of the memory":               {56, 1_100, true},
		"most of the memory, but not long": {56, 900, false},
		"less than half":                   {31, 1_100, false},
	} {
		t.Run(name, func(t *testing.T) {
			limits := testLimits()
			limits.Bytes, limits.PerKey = 64*intake.RequestBytes, 64*intake.RequestBytes
			a := newAccount(t, limits)
			begin := func() *intake.Conn {
				c := a.open(0)
				_, verdict := a.Begin(at(0), c)
				require.Equal(t, intake.Granted, verdict)
				_, verdict = a.SetKey(at(0), c, "key")
				require.Equal(t, intake.Granted, verdict)
				return c
			}
			var readers []*intake.Conn
			for i := range 56 {
				c := begin()
				if i < tc.readers {
					readers = append(readers, c)
					c.Writing(at(56 - i))
				}
			}
			newcomer := a.open(tc.now)
			_, _ = a.Begin(at(tc.now), newcomer)
			victims, _ := a.SetKey(at(tc.now), newcomer, "key")
			require.Equal(t, tc.evicted, readers[len(readers)-1].Evicted(), "the one that is blocked longest")
			require.False(t, readers[0].Evicted())
			require.LessOrEqual(t, len(victims), 2)
		})
	}
}

// What keeps a response replaceable must leave memory for requests: the response can be passed on as it arrives.
func TestReserve_ReplaceableResponsesLeaveRoom(t *testing.T) {
	limits := testLimits()
	a := newAccount(t, limits)
	granted := int64(0)
	for range 64 {
		c := a.open(0)
		if victims, verdict := a.Reserve(at(0), c, intake.Replaceable, limits.Bytes/16); verdict == intake.Granted {
			require.Empty(t, victims)
			granted += limits.Bytes / 16
		}
	}
	require.Equal(t, limits.Bytes/2, granted)
	_, verdict := a.Begin(at(0), a.open(0))
	require.Equal(t, intake.Granted, verdict)
}
