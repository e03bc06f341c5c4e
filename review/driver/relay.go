//go:build review

package main

import (
	"net"
	"sync"
)

// relay passes connections on to an address. It can make the connections that are open go silent, while new ones work.
type relay struct {
	target   string
	listener net.Listener

	mu    sync.Mutex
	pairs []*pair
}

// pair is a connection and its continuation.
type pair struct {
	from, to *net.TCPConn
	mu       sync.Mutex
	silent   bool
}

func newRelay(target string) (*relay, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &relay{target: target, listener: l}
	go r.accept()
	return r, nil
}

func (r *relay) address() string { return r.listener.Addr().String() }

func (r *relay) close() {
	_ = r.listener.Close()
	r.reset(r.open())
}

func (r *relay) accept() {
	for {
		from, err := r.listener.Accept()
		if err != nil {
			return
		}
		to, err := net.Dial("tcp", r.target)
		if err != nil {
			_ = from.(*net.TCPConn).SetLinger(0)
			_ = from.Close()
			continue
		}
		x := &pair{from: from.(*net.TCPConn), to: to.(*net.TCPConn)}
		_ = x.from.SetReadBuffer(smallBuffer)
		_ = x.to.SetReadBuffer(smallBuffer)
		r.mu.Lock()
		r.pairs = append(r.pairs, x)
		r.mu.Unlock()
		go x.pass(x.from, x.to)
		go x.pass(x.to, x.from)
	}
}

// smallBuffer is the size of the relay's receive buffers, so that little is taken from a connection once it is silent.
const smallBuffer = 4096

// pass passes bytes on, and the end of the connection. From a silent connection nothing is read or passed on.
func (x *pair) pass(from, to *net.TCPConn) {
	buf := make([]byte, 32<<10)
	for {
		if x.isSilent() {
			return
		}
		n, err := from.Read(buf)
		if x.isSilent() {
			return
		}
		if n > 0 {
			if _, writeErr := to.Write(buf[:n]); writeErr != nil {
				_ = from.Close()
				return
			}
		}
		if err != nil {
			_ = to.Close()
			return
		}
	}
}

func (x *pair) isSilent() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.silent
}

// open returns the connections that have been opened so far.
func (r *relay) open() []*pair {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]*pair(nil), r.pairs...)
}

// silence makes connections silent.
func (r *relay) silence(pairs []*pair) {
	for _, x := range pairs {
		x.mu.Lock()
		x.silent = true
		x.mu.Unlock()
	}
}

// timeOut ends connections at the end that opened them, as its own time-out does. The other end hears nothing of it.
func (r *relay) timeOut(pairs []*pair) {
	for _, x := range pairs {
		_ = x.from.SetLinger(0)
		_ = x.from.Close()
	}
}

// timeOutAccepted ends connections at the end that accepted them.
func (r *relay) timeOutAccepted(pairs []*pair) {
	for _, x := range pairs {
		_ = x.to.SetLinger(0)
		_ = x.to.Close()
	}
}

// reset resets connections at both ends.
func (r *relay) reset(pairs []*pair) {
	for _, x := range pairs {
		for _, c := range []*net.TCPConn{x.from, x.to} {
			_ = c.SetLinger(0)
			_ = c.Close()
		}
	}
}
