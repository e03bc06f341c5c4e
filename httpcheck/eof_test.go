package httpcheck

import (
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// endedConn is a connection that has ended. The kernel has reported how, if at all, to a Write, which waits until it is interrupted
// if the test has it wait.
type endedConn struct {
	net.Conn
	writeErr    error
	interrupted chan struct{}
}

func (c endedConn) Read([]byte) (int, error) { return 0, io.EOF }

func (c endedConn) Write(b []byte) (int, error) {
	if c.interrupted != nil {
		<-c.interrupted
	}
	if c.writeErr != nil {
		return 0, &net.OpError{Op: "write", Err: c.writeErr}
	}
	return len(b), nil
}

func (c endedConn) SetWriteDeadline(time.Time) error {
	close(c.interrupted)
	return nil
}

// Guards against the end of a broken connection being taken for that of a closed one, and the other way round, whether the Write
// that knows has returned or has not. EPIPE means that the peer closed the connection before it had taken what was written.
func TestTrueEOF_ErrorsOfWrite(t *testing.T) {
	for err, broken := range map[error]bool{
		syscall.ECONNRESET: true, syscall.ETIMEDOUT: true, syscall.EHOSTUNREACH: true, syscall.ENETUNREACH: true,
		syscall.EPIPE: true, nil: false, os.ErrDeadlineExceeded: false, net.ErrClosed: false,
	} {
		want := io.EOF
		if broken {
			want = ErrBroken
		}
		done := WithTrueEOF(endedConn{writeErr: err})
		_, _ = done.Write([]byte("x"))
		_, readErr := done.Read(nil)
		require.ErrorIs(t, readErr, want, "after a Write with error %v", err)

		synctest.Test(t, func(t *testing.T) {
			during := WithTrueEOF(endedConn{writeErr: err, interrupted: make(chan struct{})})
			go func() { _, _ = during.Write([]byte("x")) }()
			synctest.Wait()
			_, readErr := during.Read(nil)
			require.ErrorIs(t, readErr, want, "during a Write with error %v", err)
		})
	}
}

// A server ends its response and leaves the connection open, but takes no more of a long request. Guards against a Read that waits for
// the request without a bound, and against one that returns before the request has reached a server that reads on.
func TestTrueEOF_WaitForRequest(t *testing.T) {
	for name, tc := range map[string]struct {
		requestBytes int64
		reads        bool
	}{
		"takes no more": {16 << 20, false}, // more than the buffers of a connection hold
		"reads on":      {256 << 10, true}, // more than the first window
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			l, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			defer l.Close()
			received := make(chan int64, 1)
			go func() {
				server, err := l.Accept()
				if err != nil {
					return
				}
				defer server.Close()
				_ = server.(*net.TCPConn).CloseWrite()
				if tc.reads {
					n, _ := io.CopyN(io.Discard, server, tc.requestBytes)
					received <- n
				}
				<-t.Context().Done()
			}()
			raw, err := net.Dial("tcp", l.Addr().String())
			require.NoError(t, err)
			defer raw.Close()
			c := WithTrueEOF(raw)
			written := make(chan error, 1)
			c.BeginRequest()
			go func() {
				_, err := c.Write(make([]byte, tc.requestBytes))
				c.EndRequest()
				written <- err
			}()
			_, err = c.Read(make([]byte, 1))
			require.Equal(t, io.EOF, err)
			if err := <-written; tc.reads {
				require.NoError(t, err)
				require.Equal(t, tc.requestBytes, <-received)
			} else {
				require.ErrorIs(t, err, os.ErrDeadlineExceeded)
			}
		})
	}
}
