package standin

import (
	"net/netip"

	"golang.org/x/sys/unix"
)

// Port is a TCP port on 127.0.0.1 that is reserved for a listener: until it is released, the
// kernel gives it to no outgoing connection and to no listener that asks for any free port,
// and no other process can reserve it. A server that listens on its address may end and
// start again meanwhile.
type Port struct {
	address string
	socket  int
}

// ReservePort reserves a free port.
func ReservePort() (*Port, error) { return reserve(0) }

// reserve reserves a port, any free one if number is 0.
func reserve(number int) (*Port, error) {
	socket, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, err
	}
	loopback := netip.MustParseAddr("127.0.0.1")
	bound, err := bind(socket, &unix.SockaddrInet4{Addr: loopback.As4(), Port: number})
	if err != nil {
		_ = unix.Close(socket)
		return nil, err
	}
	return &Port{address: netip.AddrPortFrom(loopback, bound).String(), socket: socket}, nil
}

// bind binds a socket to an address, and returns the port. SO_REUSEADDR is set only after that:
// at the bind, it would let two processes reserve the same port; later, it lets a listener that
// sets it, too, as those of package net do, bind to the address.
func bind(socket int, address unix.Sockaddr) (uint16, error) {
	if err := unix.Bind(socket, address); err != nil {
		return 0, err
	}
	if err := unix.SetsockoptInt(socket, unix.SOL_SOCKET, unix.SO_REUSEADDR, 1); err != nil {
		return 0, err
	}
	bound, err := unix.Getsockname(socket)
	if err != nil {
		return 0, err
	}
	return uint16(bound.(*unix.SockaddrInet4).Port), nil //nolint:forcetypeassert,gosec // the socket's family is AF_INET
}

// Address returns the address of the port, "127.0.0.1:PORT".
func (p *Port) Address() string { return p.address }

// Release ends the reservation. It must be called at most once.
func (p *Port) Release() { _ = unix.Close(p.socket) }
