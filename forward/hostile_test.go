package forward

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jasminelock/jasminelock/httpcheck"
)

// maxAllocBytes is how many bytes may be allocated for one invalid response. The
// smallest host of the users' deployments has 184 MB in total.
const maxAllocBytes = 4 << 20

// unboundedResponses holds what upstreams send until the connection is closed: bytes
// that never form a complete response.
var unboundedResponses = map[string]struct {
	// begin is sent once, endless repeatedly.
	begin, endless string
}{
	"one endless header line": {
		"HTTP/1.1 200 OK\r\nX-Long: ",
		strings.Repeat("x", 8<<10),
	},
	"endless header lines": {
		"HTTP/1.1 200 OK\r\n",
		strings.Repeat("X-Line: 1\r\n", 800),
	},
	"endless status line": {
		"",
		strings.Repeat("y", 8<<10),
	},
	"endless interim responses": {
		"",
		strings.Repeat("HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n", 200),
	},
	"endless chunked body, other request": {
		"HTTP/1.1 200 OK\r\n" + idHeader + ": other\r\nTransfer-Encoding: chunked\r\n\r\n",
		strings.Repeat("400\r\n"+strings.Repeat("z", 1024)+"\r\n", 8),
	},
	"endless body, other request": {
		"HTTP/1.1 200 OK\r\n" + idHeader + ": other\r\n\r\n",
		strings.Repeat("z", 8<<10),
	},
	"endless chunk size": {
		"HTTP/1.1 200 OK\r\n" + idHeader + ": 1\r\nTransfer-Encoding: chunked\r\n\r\n",
		strings.Repeat("0", 8<<10),
	},
	"endless chunk extension": {
		"HTTP/1.1 200 OK\r\n" + idHeader + ": 1\r\nTransfer-Encoding: chunked\r\n\r\n1;",
		strings.Repeat("e", 8<<10),
	},
	"trailers": {
		"HTTP/1.1 200 OK\r\n" + idHeader + ": 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n",
		strings.Repeat("X-Line: 1\r\n", 800),
	},
	"endless empty responses, other requests": {
		"",
		strings.Repeat("HTTP/1.1 200 OK\r\n"+idHeader+": other\r\nContent-Length: 0\r\n\r\n", 100),
	},
	"empty lines before a response": {
		"\r\n\r\n",
		strings.Repeat("\r\n", 4<<10),
	},
}

// A faulty upstream sends bytes without end. The attempt fails well before its
// deadline and with little memory, and the connection is closed.
func TestDo_UnboundedResponse(t *testing.T) {
	for name, input := range unboundedResponses {
		t.Run(name, func(t *testing.T) {
			closed := make(chan struct{})
			upstream := startUpstream(t, func(c net.Conn, r *bufio.Reader) {
				defer close(closed)
				if _, ok := readRequest(r); !ok {
					return
				}
				out, endless := []byte(input.begin), []byte(input.endless)
				for {
					if _, err := c.Write(out); err != nil {
						return
					}
					out = endless
				}
			})
			p := newTestPool()
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			started := time.Now()
			ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
			defer cancel()
			resp, err := p.Do(ctx, "u", upstream.address, newRequest("1"), time.Minute)
			if err == nil {
				_, err = io.Copy(io.Discard, resp)
				resp.Close()
			}
			runtime.ReadMemStats(&after)
			require.Error(t, err)
			require.Less(t, time.Since(started), 30*time.Second, "the attempt failed before its deadline")
			require.Less(t, after.TotalAlloc-before.TotalAlloc, uint64(maxAllocBytes))
			require.Empty(t, p.idle["u"])
			<-closed
		})
	}
}

// An attempt is cancelled while its bytes are in the kernel's send buffer. They must not
// reach the upstream later, as they would once an interrupted link recovers.
func TestDo_CancelResetsConnection(t *testing.T) {
	reset := make(chan error, 1)
	upstream := startUpstream(t, func(_ net.Conn, r *bufio.Reader) {
		_, _ = readRequest(r)
		_, err := r.ReadByte()
		reset <- err
	})
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	_, err := newTestPool().Do(ctx, "u", upstream.address, newRequest("1"), time.Minute)
	require.ErrorIs(t, err, ErrInterrupted)
	require.NotErrorIs(t, <-reset, io.EOF, "the connection is reset, which drops bytes in transit")
}

// replayConn is a connection that returns the bytes of a fuzz input.
type replayConn struct {
	net.Conn
	in *bytes.Reader
}

func (r replayConn) Read(b []byte) (int, error)       { return r.in.Read(b) }
func (r replayConn) Write(b []byte) (int, error)      { return len(b), nil }
func (r replayConn) Close() error                     { return nil }
func (r replayConn) SetDeadline(time.Time) error      { return nil }
func (r replayConn) SetReadDeadline(time.Time) error  { return nil }
func (r replayConn) SetWriteDeadline(time.Time) error { return nil }

// For any input from an upstream, a successful response echoes the request's id, and an
// incomplete body is never reported as complete.
func FuzzRoundTrip(f *testing.F) {
	for _, h := range unboundedResponses {
		f.Add([]byte(h.begin + h.endless[:min(len(h.endless), 64)]))
	}
	f.Add([]byte("HTTP/1.1 200 OK\r\n" + idHeader + ": 1\r\nContent-Length: 2\r\n\r\nok"))
	f.Add([]byte("HTTP/1.1 000 Odd\r\n\r\nHTTP/1.1 200 OK\r\n" + idHeader + ": 1\r\nContent-Length: 2\r\n\r\nok"))
	f.Add([]byte("HTTP/1.1 200 OK\r\n" + idHeader + ": 0\r\nContent-Length: 2\r\n\r\nnoHTTP/1.1 200 OK\r\n" + idHeader + ": 1\r\nContent-Length: 2\r\n\r\nok"))
	f.Fuzz(func(t *testing.T, raw []byte) {
		c := newConn(replayConn{in: bytes.NewReader(raw)}, "u", "a", time.Minute)
		resp, err := c.roundTrip(newRequest("1"), Options{RequestIDHeader: idHeader, MaxStaleResponses: 2})
		if err != nil {
			require.True(t, errors.Is(err, ErrMalformed) || errors.Is(err, ErrInterrupted) ||
				errors.Is(err, os.ErrDeadlineExceeded), "%v", err)
			return
		}
		require.True(t, httpcheck.IsFinal(resp.Status), "status %d", resp.Status)
		resp.stopAbort, resp.pool = func() bool { return true }, newTestPool()
		if resp.Status < http.StatusMultipleChoices {
			require.Equal(t, "1", resp.Header.Get(idHeader))
		}
		n, err := io.Copy(io.Discard, resp)
		if err == nil && resp.ContentLength >= 0 {
			require.Equal(t, resp.ContentLength, n)
		}
		if err != nil {
			require.False(t, resp.complete)
		}
		resp.Close()
	})
}
