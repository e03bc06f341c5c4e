package standin

import (
	"net"
	"net/netip"
	"testing"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"
)

// A reserved port is asked for by a second process, by listeners that end and start again, and by connections. Guards against a port
// that another test takes before the server listens that it was meant for, or while that server is down.
func TestReservePort_KeptForListener(t *testing.T) {
	port, err := ReservePort()
	require.NoError(t, err)
	number := int(netip.MustParseAddrPort(port.Address()).Port())
	for range 2 {
		_, err = reserve(number)
		require.ErrorIs(t, err, unix.EADDRINUSE)
		_, err = net.Dial("tcp", port.Address())
		require.ErrorIs(t, err, unix.ECONNREFUSED)

		server, err := Serve(port.Address(), nil)
		require.NoError(t, err)
		conn, err := net.Dial("tcp", port.Address())
		require.NoError(t, err)
		require.NoError(t, conn.Close())
		server.Close()
	}
	port.Release()
	again, err := reserve(number)
	require.NoError(t, err)
	again.Release()
}

// Guards against a port that the kernel gives to a listener or a connection of someone else while it is reserved.
func TestReservePort_NotGivenAway(t *testing.T) {
	target, err := Serve("127.0.0.1:0", nil)
	require.NoError(t, err)
	defer target.Close()
	reserved := map[string]bool{}
	for range 200 {
		port, err := ReservePort()
		require.NoError(t, err)
		defer port.Release()
		require.False(t, reserved[port.Address()])
		reserved[port.Address()] = true
	}
	for range 2000 {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		require.False(t, reserved[l.Addr().String()])
		require.NoError(t, l.Close())
		conn, err := net.Dial("tcp", target.URL[len("http://"):])
		require.NoError(t, err)
		require.False(t, reserved[conn.LocalAddr().String()])
		require.NoError(t, conn.Close())
	}
}
