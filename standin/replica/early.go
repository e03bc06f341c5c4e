package replica

import (
	"io"
	"net"
	"net/http"
	"time"

	"golang.org/x/sys/unix"
)

// EarlyEnd is how a replica ends the connection on which it has answered a request whose body it has not read.
type EarlyEnd struct {
	Name string
	// Broken reports whether an answer that only the end of the connection frames is broken off by it, since the connection is
	// reset before the request has reached the replica whole.
	Broken bool
	end    func(c *net.TCPConn, r *http.Request)
}

// End ends the connection of a request.
func (e EarlyEnd) End(c *net.TCPConn, r *http.Request) { e.end(c, r) }

// CompleteOf returns how many of n answers that only the end of the connection frames are complete.
func (e EarlyEnd) CompleteOf(n int) int {
	if e.Broken {
		return 0
	}
	return n
}

// CountComplete starts a replica that answers a request at once and then ends its connection. It calls upload n times, with the
// address of the replica, and returns how often that returned no error.
func (e EarlyEnd) CountComplete(n int, answer string, upload func(address string) error) (int, error) {
	raw, err := ServeEarly(func(c *net.TCPConn, r *http.Request) bool {
		_, _ = io.WriteString(c, answer)
		e.End(c, r)
		return false
	})
	if err != nil {
		return 0, err
	}
	defer raw.Close()
	complete := 0
	for range n {
		if upload(raw.Address()) == nil {
			complete++
		}
	}
	return complete, nil
}

// resetAfter resets a connection after a pause.
func resetAfter(pause time.Duration) func(c *net.TCPConn, r *http.Request) {
	return func(c *net.TCPConn, _ *http.Request) {
		if pause > 0 {
			time.Sleep(pause)
		}
		_ = c.SetLinger(0)
		_ = c.Close()
	}
}

// endThenReset ends the answer on a connection, and resets the connection after a pause.
func endThenReset(pause time.Duration) func(c *net.TCPConn, r *http.Request) {
	return func(c *net.TCPConn, _ *http.Request) {
		awaitUnread(c)
		_ = c.CloseWrite()
		if pause > 0 {
			time.Sleep(pause)
		}
		_ = c.Close()
	}
}

// EarlyEnds returns the ways in which a connection may end while the body of a request is still being written.
func EarlyEnds() []EarlyEnd {
	return []EarlyEnd{
		{"reset at once", true, resetAfter(0)},
		{"reset after 0.1 ms", true, resetAfter(100 * time.Microsecond)},
		{"reset after 1 ms", true, resetAfter(time.Millisecond)},
		{"reset after 20 ms", true, resetAfter(20 * time.Millisecond)},
		{"closed with unread bytes", true, func(c *net.TCPConn, _ *http.Request) {
			awaitUnread(c)
			_ = c.Close() // the kernel resets the connection
		}},
		// The kernel ends the answer if nothing is unread at this moment, and resets the connection at the next bytes.
		{"closed at once", true, func(c *net.TCPConn, _ *http.Request) { _ = c.Close() }},
		{"ended, reset at once", true, endThenReset(0)},
		{"ended, reset after 5 ms", true, endThenReset(5 * time.Millisecond)},
		{"ended, body read", false, func(c *net.TCPConn, r *http.Request) {
			_ = c.CloseWrite()
			_, _ = io.Copy(io.Discard, r.Body)
			_ = c.Close()
		}},
		{"body read, closed", false, func(c *net.TCPConn, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			_ = c.Close()
		}},
	}
}

// awaitUnread returns once the kernel holds bytes that were not read from the connection.
func awaitUnread(c *net.TCPConn) {
	raw, err := c.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Read(func(fd uintptr) bool {
		n, err := unix.IoctlGetInt(int(fd), unix.TIOCINQ)
		return n > 0 || err != nil
	})
}
