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

	"golang.org/x/sys/unix"
)

// ErrBroken reports that a connection was reset or has timed out, at the latest while what was written was still being sent.
var ErrBroken = errors.New("httpcheck: connection broken")

// Conn is a connection of an HTTP client whose Read returns io.EOF only if the peer closed it and took the whole request.
//
// The kernel reports that a connection is broken to one call only, which may be a Write. A Read after
// that returns io.EOF, so that a response that ends with its connection would seem complete. So would one whose
// server ended while the request was still being sent: the kernel closes the connections of a process that has ended,
// and resets them only at the next bytes.
type Conn struct {
	net.Conn
	// writing is held during a Write. It guards broken.
	writing sync.Mutex
	// broken is the error of the Write to which the kernel reported that the connection is broken, or nil.
	broken error

	// mu guards written, which is closed once the present request has been written. It is nil if there is none.
	mu      sync.Mutex
	written chan struct{}
}

// WithTrueEOF returns a connection over raw whose Read returns io.EOF only if the peer closed it, and an
// error that wraps ErrBroken if the connection is reset or times out while a request is still being sent. Read
// waits for that for maxSendWait at most, and interrupts a Write that goes on.
func WithTrueEOF(raw net.Conn) *Conn { return &Conn{Conn: raw} }

// BeginRequest is called before a request is written. EndRequest must be called for each, at any time.
func (c *Conn) BeginRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.written = make(chan struct{})
}

// EndRequest is called once a request has been written, or no more of it will be.
func (c *Conn) EndRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.written != nil {
		close(c.written)
		c.written = nil
	}
}

const (
	// maxSendWait limits how long Read waits at the end for what was written to reach the peer.
	maxSendWait = 500 * time.Millisecond
	// sendPollInterval is the time between two looks at what the peer has not acknowledged.
	sendPollInterval = time.Millisecond
)

// Write implements net.Conn.
func (c *Conn) Write(b []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(b)
	if err != nil && c.broken == nil && isBroken(err) {
		c.broken = err
	}
	return n, err
}

// isBroken reports whether an error of a Write means that the connection is broken. It is not if this side has closed it, or has
// given up the Write.
func isBroken(err error) bool {
	return !errors.Is(err, os.ErrDeadlineExceeded) && !errors.Is(err, net.ErrClosed)
}

// Read implements net.Conn.
func (c *Conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if errors.Is(err, io.EOF) {
		if broken := c.awaitSent(time.Now().Add(maxSendWait)); broken != nil {
			return n, fmt.Errorf("%w: %w", ErrBroken, broken)
		}
	}
	return n, err
}

// awaitSent waits until the present request has been written and the peer has acknowledged it, or until the deadline, at which
// it interrupts a Write. It returns an error if the connection is broken.
func (c *Conn) awaitSent(deadline time.Time) error {
	if written := c.pendingRequest(); written != nil || !c.writing.TryLock() {
		_ = c.SetWriteDeadline(deadline) // fails only on a closed connection, on which Write fails
		if written != nil {
			await(written, deadline)
		}
		c.writing.Lock()
	}
	defer c.writing.Unlock()
	if c.broken != nil {
		return c.broken
	}
	tcp, ok := c.Conn.(*net.TCPConn)
	if !ok {
		return nil
	}
	for {
		switch pending, err := unacknowledged(tcp); {
		case err != nil:
			return err
		case !pending || !time.Now().Before(deadline):
			return nil
		}
		time.Sleep(sendPollInterval)
	}
}

// pendingRequest returns a channel that is closed once the present request has been written, nil if it has.
func (c *Conn) pendingRequest() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.written
}

// await waits until done is closed, or until the deadline.
func await(done <-chan struct{}, deadline time.Time) {
	timeout := time.NewTimer(time.Until(deadline))
	defer timeout.Stop()
	select {
	case <-done:
	case <-timeout.C:
	}
}

// unacknowledged reports whether the peer of a connection has not acknowledged all that was written to it. It returns an error if
// the connection was reset, and false if the kernel does not tell.
func unacknowledged(c *net.TCPConn) (bool, error) {
	raw, err := c.SyscallConn()
	if err != nil {
		return false, nil //nolint:nilerr // this side has closed the connection
	}
	var info *unix.TCPInfo
	var infoErr error
	err = raw.Control(func(fd uintptr) { info, infoErr = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO) })
	switch {
	case err != nil || infoErr != nil:
		return false, nil //nolint:nilerr // as above, or a kernel without this option
	case info.State == unix.BPF_TCP_CLOSE:
		return false, syscall.ECONNRESET
	}
	return info.Unacked > 0 || info.Notsent_bytes > 0, nil
}
