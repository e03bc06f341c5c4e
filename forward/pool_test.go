package forward

import (
	"net"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Idle connections to many upstreams must not take the descriptors of the process. The count must agree with the connections
// whatever is returned, taken and swept.
func TestPool_BoundsIdleConnections(t *testing.T) {
	const maxIdle = 7
	p := New(Options{MaxIdlePerUpstream: 3, MaxIdle: maxIdle, IdleTimeout: time.Minute})
	check := func() {
		total := 0
		for _, conns := range p.idle {
			require.NotEmpty(t, conns)
			total += len(conns)
		}
		require.Equal(t, total, p.idleCount)
		require.LessOrEqual(t, total, maxIdle)
	}
	closed := 0
	for i := range 60 {
		near, far := net.Pipe()
		t.Cleanup(func() { _ = far.Close() })
		key := "u" + strconv.Itoa(i%11)
		p.putIdle(newConn(&countedClose{near, &closed}, key, "address", time.Minute))
		check()
		if i%7 == 0 {
			require.NotNil(t, p.popIdle(key, "address", "", time.Minute))
			check()
		}
	}
	p.Sweep(func(key string) bool { return key == "u1" })
	check()
	p.Sweep(func(string) bool { return false })
	check()
	require.Zero(t, p.idleCount)
	require.Equal(t, 60-9, closed, "all but the connections that were taken are closed")
}

// countedClose counts the times that a connection is closed.
type countedClose struct {
	net.Conn
	closed *int
}

func (c *countedClose) Close() error {
	*c.closed++
	return c.Conn.Close()
}
