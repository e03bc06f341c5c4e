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
// that knows has returned or has not.
func TestTrueEOF_ErrorsOfWrite(t *testing.T) {
	for err, broken := range map[error]bool{
		syscall.ECONNRESET: true, syscall.ETIMEDOUT: true, syscall.EHOSTUNREACH: true, syscall.ENETUNREACH: true,
		nil: false, syscall.EPIPE: false, os.ErrDeadlineExceeded: false, net.ErrClosed: false,
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
