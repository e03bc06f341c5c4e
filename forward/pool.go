package forward

import (
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Pool keeps idle connections to upstreams.
type Pool struct {
	options Options
	dialer  net.Dialer

	// mu guards idle. It is never held during traffic.
	mu   sync.Mutex
	idle map[string][]*conn
}

// Probes end a connection whose other side has gone silent.
const (
	probeInterval = time.Second
	probeCount    = 3
)

// New returns an empty pool.
func New(o Options) *Pool {
	p := &Pool{options: o, idle: map[string][]*conn{}}
	p.dialer = net.Dialer{
		Timeout:         o.DialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: probeInterval, Interval: probeInterval, Count: probeCount},
		Control:         TCPUserTimeoutControl(o.TCPUserTimeout),
	}
	return p
}

// TCPUserTimeoutControl returns a socket control that bounds how long sent bytes may go
// unacknowledged.
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

// take returns an idle connection to the upstream, or a new one.
func (p *Pool) take(ctx context.Context, key, address string, fresh time.Duration) (*conn, error) {
	for {
		c := p.pop(key, address, fresh)
		if c == nil {
			break
		}
		if c.quiet() {
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

// pop removes the connection that was used last.
func (p *Pool) pop(key, address string, fresh time.Duration) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	conns := p.idle[key]
	for len(conns) > 0 {
		c := conns[len(conns)-1]
		if now.Sub(c.idleSince) > fresh {
			return nil // the others were put back earlier
		}
		conns = conns[:len(conns)-1]
		p.idle[key] = conns
		if c.address == address && now.Before(c.idleUntil) {
			return c
		}
		c.close()
	}
	return nil
}

func (p *Pool) put(c *conn) {
	now := time.Now()
	c.idleSince, c.idleUntil = now, now.Add(c.maxIdle)
	p.mu.Lock()
	defer p.mu.Unlock()
	conns := p.idle[c.key]
	if len(conns) >= p.options.MaxIdlePerUpstream {
		conns[0].close()
		conns = append(conns[:0], conns[1:]...)
	}
	p.idle[c.key] = append(conns, c)
}

// Sweep closes the connections that must no longer be used, and all of the
// upstreams that are not in use.
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
		if len(kept) == 0 {
			delete(p.idle, key)
			continue
		}
		p.idle[key] = kept
	}
}

// quiet reports whether an idle connection has nothing to be read: neither its
// end nor bytes that belong to no request.
func (c *conn) quiet() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	tcp, ok := c.Conn.(*net.TCPConn)
	if !ok {
		return true
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	var one [1]byte
	err = raw.Read(func(fd uintptr) bool {
		_, _, errno := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = errno == unix.EAGAIN
		return true
	})
	return err == nil && quiet
}
