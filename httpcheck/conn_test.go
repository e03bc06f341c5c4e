package httpcheck

import (
	"io"
	"net"
	"strings"
	"syscall"
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/require"
)

// closedByServer is a connection that the server has closed after it sent some bytes.
type closedByServer struct {
	net.Conn
	sent io.Reader
}

func (c closedByServer) Read(b []byte) (int, error) { return c.sent.Read(b) }
func (c closedByServer) Write([]byte) (int, error) {
	return 0, &net.OpError{Op: "write", Err: syscall.EPIPE}
}
func (c closedByServer) Close() error { return nil }

// Guards against a response that is lost with the request that could not be written, a Write that waits for a response that cannot
// come, and one that hides the end of a connection that carries another protocol.
func TestConn_WriteAfterServerClosed(t *testing.T) {
	const ok, switched = "HTTP/1.1 200 OK\r\n\r\n", "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n"
	read := func(c *conn) { _, _ = io.ReadAll(c) }
	for name, test := range map[string]struct {
		sent    string
		request bool
		// meanwhile is called while Write waits.
		meanwhile func(c *conn)
		want      error
	}{
		"response":            {ok, true, read, nil},
		"part of a response":  {"H", true, read, nil},
		"no response":         {"", true, read, syscall.EPIPE},
		"connection closed":   {ok, true, func(c *conn) { _ = c.Close() }, syscall.EPIPE},
		"no request assigned": {ok, false, nil, syscall.EPIPE},
		"another protocol":    {switched, true, read, syscall.EPIPE},
	} {
		synctest.Test(t, func(t *testing.T) {
			c := newConn(closedByServer{sent: strings.NewReader(test.sent)})
			if test.request {
				c.expectResponse(true)
			}
			result := make(chan error, 1)
			go func() {
				_, err := c.Write([]byte("x"))
				result <- err
			}()
			synctest.Wait()
			if test.meanwhile != nil {
				test.meanwhile(c)
			}
			require.ErrorIs(t, <-result, test.want, name)
		})
	}
}
