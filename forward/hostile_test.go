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
)

// answerMemory is what this host may allocate over one answer that is none. The
// smallest host of the users' deployments has 184 MB for all that it does.
const answerMemory = 4 << 20

// hostile upstreams send bytes that are no answer until the caller closes.
var hostile = map[string]struct {
	// begin is sent once, endless again and again.
	begin, endless string
}{
	"a head of one line":                {"HTTP/1.1 200 OK\r\nX-Long: ", strings.Repeat("x", 8<<10)},
	"a head of many lines":              {"HTTP/1.1 200 OK\r\n", strings.Repeat("X-Line: 1\r\n", 800)},
	"a first line":                      {"", strings.Repeat("y", 8<<10)},
	"interim answers":                   {"", strings.Repeat("HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n", 200)},
	"the body of another answer":        {"HTTP/1.1 200 OK\r\n" + echo + ": other\r\nTransfer-Encoding: chunked\r\n\r\n", strings.Repeat("400\r\n"+strings.Repeat("z", 1024)+"\r\n", 8)},
	"another answer until it closes":    {"HTTP/1.1 200 OK\r\n" + echo + ": other\r\n\r\n", strings.Repeat("z", 8<<10)},
	"the size of a chunk":               {"HTTP/1.1 200 OK\r\n" + echo + ": 1\r\nTransfer-Encoding: chunked\r\n\r\n", strings.Repeat("0", 8<<10)},
	"an extension of a chunk's size":    {"HTTP/1.1 200 OK\r\n" + echo + ": 1\r\nTransfer-Encoding: chunked\r\n\r\n1;", strings.Repeat("e", 8<<10)},
	"trailers":                          {"HTTP/1.1 200 OK\r\n" + echo + ": 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", strings.Repeat("X-Line: 1\r\n", 800)},
	"empty answers to other requests":   {"", strings.Repeat("HTTP/1.1 200 OK\r\n"+echo+": other\r\nContent-Length: 0\r\n\r\n", 100)},
	"bytes after an answer, before any": {"\r\n\r\n", strings.Repeat("\r\n", 4<<10)},
}

// Pattern: an upstream that is in trouble sends bytes without end. The attempt
// fails, at once and with little memory, and its connection is closed.
func TestBytesWithoutEndEndTheAttempt(t *testing.T) {
	for name, h := range hostile {
		t.Run(name, func(t *testing.T) {
			closed := make(chan struct{})
			s := upstreamDoing(t, func(c net.Conn, r *bufio.Reader) {
				defer close(closed)
				if _, ok := readRequest(r); !ok {
					return
				}
				out, endless := []byte(h.begin), []byte(h.endless)
				for {
					if _, err := c.Write(out); err != nil {
						return
					}
					out = endless
				}
			})
			p := newPool()
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			started := time.Now()
			ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
			defer cancel()
			a, err := p.Do(ctx, "u", s.address, request("1"), time.Minute)
			if err == nil {
				_, err = io.Copy(io.Discard, a)
				a.Close()
			}
			runtime.ReadMemStats(&after)
			require.Error(t, err)
			require.Less(t, time.Since(started), 30*time.Second, "it was not waited for the deadline")
			require.Less(t, after.TotalAlloc-before.TotalAlloc, uint64(answerMemory))
			require.Empty(t, p.idle["u"])
			<-closed
		})
	}
}

// Pattern: an attempt is given up while its bytes wait in the kernel. They must not
// reach the upstream later, as they would once a cut link is whole again.
func TestAnAttemptThatIsGivenUpSendsNothingLater(t *testing.T) {
	reset := make(chan error, 1)
	s := upstreamDoing(t, func(_ net.Conn, r *bufio.Reader) {
		_, _ = readRequest(r)
		_, err := r.ReadByte()
		reset <- err
	})
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	_, err := newPool().Do(ctx, "u", s.address, request("1"), time.Minute)
	require.ErrorIs(t, err, ErrInterrupted)
	require.NotErrorIs(t, <-reset, io.EOF, "the connection is reset, which drops what is on its way")
}

// replayed is a connection that gives the bytes of a fuzz input.
type replayed struct {
	net.Conn
	in *bytes.Reader
}

func (r replayed) Read(b []byte) (int, error)       { return r.in.Read(b) }
func (r replayed) Write(b []byte) (int, error)      { return len(b), nil }
func (r replayed) Close() error                     { return nil }
func (r replayed) SetDeadline(time.Time) error      { return nil }
func (r replayed) SetReadDeadline(time.Time) error  { return nil }
func (r replayed) SetWriteDeadline(time.Time) error { return nil }

// Whatever an upstream sends, an answer is either this request's or none, and one
// that is not whole is not taken for whole.
func FuzzAnswers(f *testing.F) {
	for _, h := range hostile {
		f.Add([]byte(h.begin + h.endless[:min(len(h.endless), 64)]))
	}
	f.Add([]byte("HTTP/1.1 200 OK\r\n" + echo + ": 1\r\nContent-Length: 2\r\n\r\nok"))
	f.Add([]byte("HTTP/1.1 200 OK\r\n" + echo + ": 0\r\nContent-Length: 2\r\n\r\nnoHTTP/1.1 200 OK\r\n" + echo + ": 1\r\nContent-Length: 2\r\n\r\nok"))
	f.Fuzz(func(t *testing.T, raw []byte) {
		c := newConn(replayed{in: bytes.NewReader(raw)}, "u", "a", time.Minute)
		a, err := c.exchange(request("1"), Options{RequestIDHeader: echo, MaxStaleResponses: 2})
		if err != nil {
			require.True(t, errors.Is(err, ErrMalformed) || errors.Is(err, ErrInterrupted) || errors.Is(err, os.ErrDeadlineExceeded), "%v", err)
			return
		}
		a.unwind, a.pool = func() bool { return true }, newPool()
		if a.Status < http.StatusMultipleChoices {
			require.Equal(t, "1", a.Header.Get(echo))
		}
		n, err := io.Copy(io.Discard, a)
		if err == nil && a.ContentLength >= 0 {
			require.Equal(t, a.ContentLength, n)
		}
		if err != nil {
			require.False(t, a.whole)
		}
		a.Close()
	})
}
