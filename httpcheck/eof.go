package httpcheck

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// ErrBroken reports that a connection ended by a reset or a time-out, not by its peer closing it.
var ErrBroken = errors.New("httpcheck: connection broken")

// eofConn is a connection whose Read returns io.EOF only if the peer closed it.
//
// The kernel reports that a connection is broken to one call only, which may be a Write. A Read after
// that returns io.EOF, so that a response that ends with its connection would seem complete.
type eofConn struct {
	net.Conn
	// writing is held during a Write. It guards broken.
	writing sync.Mutex
	// broken is the error of the Write to which the kernel reported that the connection is broken, or nil.
	broken error
}

// WithTrueEOF returns a connection over raw whose Read returns io.EOF only if the peer closed it, and an
// error that wraps ErrBroken if the connection is broken and a Write has found that. A Write in progress
// fails once Read has found the end.
func WithTrueEOF(raw net.Conn) net.Conn { return &eofConn{Conn: raw} }

// Write implements net.Conn.
func (c *eofConn) Write(b []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(b)
	if err != nil && c.broken == nil && isBroken(err) {
		c.broken = err
	}
	return n, err
}

// isBroken reports whether an error of a Write means that the connection was not closed by its peer.
// EPIPE means that it was, before a reset.
func isBroken(err error) bool {
	return !errors.Is(err, syscall.EPIPE) && !errors.Is(err, os.ErrDeadlineExceeded) && !errors.Is(err, net.ErrClosed)
}

// Read implements net.Conn.
func (c *eofConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if errors.Is(err, io.EOF) {
		if broken := c.awaitWrite(); broken != nil {
			return n, fmt.Errorf("%w: %w", ErrBroken, broken)
		}
	}
	return n, err
}

// awaitWrite interrupts a Write in progress, to which the kernel may have reported that the connection is
// broken, and returns the error that it reported to any Write, or nil.
func (c *eofConn) awaitWrite() error {
	if !c.writing.TryLock() {
		_ = c.SetWriteDeadline(time.Unix(1, 0)) // fails only on a closed connection, on which Write fails
		c.writing.Lock()
	}
	defer c.writing.Unlock()
	return c.broken
}
