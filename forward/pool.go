package forward

import (
	"context"
	"errors"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Pool is a pool of idle connections to upstreams. It is safe for concurrent use.
type Pool struct {
	options Options
	dialer  net.Dialer

	// mu guards the fields below. It is never held during network I/O.
	mu sync.Mutex
	// idle holds the idle connections by upstream, the last used one at the end. An upstream without any has no entry.
	idle map[string][]*conn
	// idleCount is the number of idle connections.
	idleCount int
}

// TCP keep-alive probes close a connection whose peer no longer responds.
const (
	keepAliveInterval = time.Second
	keepAliveProbes   = 3
)

// New returns a pool without connections.
func New(o Options) *Pool {
	p := &Pool{options: o, idle: map[string][]*conn{}}
	p.dialer = net.Dialer{
		Timeout: o.DialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveInterval, Interval: keepAliveInterval, Count: keepAliveProbes,
		},
		Control: TCPUserTimeoutControl(o.TCPUserTimeout),
	}
	return p
}

// TCPUserTimeoutControl returns a control function for net.Dialer and net.ListenConfig that
// limits how long sent bytes may stay unacknowledged (TCP_USER_TIMEOUT).
func TCPUserTimeoutControl(d time.Duration) func(network, address string, c syscall.RawConn) error {
	return func(_, _ string, c syscall.RawConn) error {
		var err error
		controlErr := c.Control(func(fd uintptr) {
			err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(d.Milliseconds()))
		})
		if controlErr != nil {
			return controlErr
		}
		return err
	}
}

// acquire returns an idle connection to the upstream that has no pending input and has not
// carried a request with the id, or dials a new one.
func (p *Pool) acquire(ctx context.Context, key, address, id string, maxIdle time.Duration) (*conn, error) {
	for {
		c := p.popIdle(key, address, id, maxIdle)
		if c == nil {
			break
		}
		if c.noPendingInput() {
			return c, nil
		}
		c.close()
	}
	raw, err := p.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return newConn(raw, key, address, p.options.IdleTimeout), nil
}

// Refuses reports whether an upstream refuses connections at address, so that no process listens there. It opens a
// connection and closes it.
func (p *Pool) Refuses(ctx context.Context, address string) bool {
	raw, err := p.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	_ = raw.Close() // nothing was sent
	return false
}

// popIdle removes and returns the most recently used connection to address that was idle
// for at most maxIdle and has not carried the id, or nil. It closes expired ones and those to other
// addresses.
func (p *Pool) popIdle(key, address, id string, maxIdle time.Duration) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	conns := p.idle[key]
	for i := len(conns) - 1; i >= 0; i-- {
		c := conns[i]
		if now.Sub(c.idleSince) > maxIdle {
			return nil // the remaining ones have been idle for longer
		}
		usable := c.address == address && now.Before(c.idleUntil)
		if usable && c.hasCarried(id) {
			continue
		}
		conns = slices.Delete(conns, i, i+1)
		p.setIdle(key, conns)
		if usable {
			return c
		}
		c.close()
	}
	return nil
}

// setIdle replaces the idle connections to an upstream.
func (p *Pool) setIdle(key string, conns []*conn) {
	p.idleCount += len(conns) - len(p.idle[key])
	if len(conns) == 0 {
		delete(p.idle, key)
		return
	}
	p.idle[key] = conns
}

// closeAnyIdle closes the oldest idle connection to an upstream that is drawn at random, since looking for the oldest of all
// would take longer with every upstream.
func (p *Pool) closeAnyIdle() {
	for key, conns := range p.idle {
		conns[0].close()
		p.setIdle(key, append(conns[:0:0], conns[1:]...))
		return
	}
}

// putIdle returns a connection to the pool. If the upstream has MaxIdlePerUpstream idle
// connections, the oldest one is closed; if all upstreams have MaxIdle, one of any upstream.
func (p *Pool) putIdle(c *conn) {
	now := time.Now()
	c.idleSince, c.idleUntil = now, now.Add(c.idleTimeout)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.options.MaxIdle > 0 && p.idleCount >= p.options.MaxIdle {
		p.closeAnyIdle()
	}
	conns := p.idle[c.key]
	if len(conns) >= p.options.MaxIdlePerUpstream {
		conns[0].close()
		conns = append(conns[:0], conns[1:]...)
	}
	p.setIdle(c.key, append(conns, c))
}

// Sweep closes the idle connections that have expired, and all those whose key is not
// in use.
func (p *Pool) Sweep(inUse func(key string) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	for key, conns := range p.idle {
		kept := conns[:0]
		for _, c := range conns {
			if inUse(key) && now.Before(c.idleUntil) {
				kept = append(kept, c)
				continue
			}
			c.close()
		}
		p.setIdle(key, kept)
	}
}

// noPendingInput reports whether an idle connection has no pending input: neither its end nor
// bytes that belong to no request.
func (c *conn) noPendingInput() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	tcp, ok := c.raw.(*net.TCPConn)
	if !ok {
		return true
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	noInput := false
	var buf [1]byte
	err = raw.Read(func(fd uintptr) bool {
		_, _, errno := unix.Recvfrom(int(fd), buf[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		noInput = errno == unix.EAGAIN
		return true
	})
	return err == nil && noInput
}
