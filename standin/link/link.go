// Package link is a stand-in for the network between hosts: a relay of TCP
// connections that a test can cut, stall or slow down.
package link

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/jasminelock/jasminelock/standin"
)

// Link relays TCP connections to one target address.
type Link struct {
	target   string
	listener net.Listener

	// mu guards all below.
	mu    sync.Mutex
	cut   bool
	conns map[net.Conn]bool
	// silent holds a channel for each direction. It is closed while bytes pass, and
	// open while they are held back.
	silent [2]chan struct{}
	// delay is added before each chunk of bytes.
	delay time.Duration
}

// The directions of a relayed connection.
const (
	toTarget = iota
	fromTarget
)

// Listen starts a relay from address to target.
func Listen(address, target string) (*Link, error) {
	var listen net.ListenConfig
	l, err := listen.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, err
	}
	link := &Link{target: target, listener: l, conns: map[net.Conn]bool{}}
	for i := range link.silent {
		link.silent[i] = make(chan struct{})
		close(link.silent[i])
	}
	go link.accept()
	return link, nil
}

// Address returns the address that the relay listens on.
func (l *Link) Address() string { return l.listener.Addr().String() }

// Close stops the relay and closes its connections.
func (l *Link) Close() {
	_ = l.listener.Close()
	l.SetSilent(false)
	l.SetCut(true)
}

// SetCut closes every connection and refuses new ones if cut is true, else it relays
// new connections again.
func (l *Link) SetCut(cut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut = cut
	if !cut {
		return
	}
	for c := range l.conns {
		_ = c.Close()
	}
}

// SetSilent holds back all bytes in both directions if silent is true, without
// closing a connection, else it lets them pass.
func (l *Link) SetSilent(silent bool) {
	l.hold(toTarget, silent)
	l.hold(fromTarget, silent)
}

// SetDeaf holds back all bytes to the target if deaf is true, else it lets them pass.
// Bytes from the target are not affected.
func (l *Link) SetDeaf(deaf bool) { l.hold(toTarget, deaf) }

// SetDelay sets the delay that is added in both directions.
func (l *Link) SetDelay(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.delay = d
}

func (l *Link) hold(direction int, held bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	select {
	case <-l.silent[direction]:
		if held {
			l.silent[direction] = make(chan struct{})
		}
	default:
		if !held {
			close(l.silent[direction])
		}
	}
}

// quietReader reads from a connection and holds the bytes back for the link's delay
// and while its direction is silent.
type quietReader struct {
	link      *Link
	from      net.Conn
	direction int
}

func (q quietReader) Read(b []byte) (int, error) {
	n, err := q.from.Read(b)
	q.link.mu.Lock()
	silent, delay := q.link.silent[q.direction], q.link.delay
	q.link.mu.Unlock()
	time.Sleep(delay)
	<-silent
	return n, err
}

// switchBody is the body of PUT /cut and of its response.
type switchBody struct {
	Cut bool `json:"cut"`
}

// ServeHTTP serves PUT /cut, which calls SetCut.
func (l *Link) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var body switchBody
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil || r.URL.Path != "/cut" {
		http.Error(w, "PUT /cut with {\"cut\":true}", http.StatusBadRequest)
		return
	}
	l.SetCut(body.Cut)
	standin.WriteJSON(w, http.StatusOK, body)
}

func (l *Link) accept() {
	for {
		c, err := l.listener.Accept()
		if err != nil {
			return
		}
		go l.relay(c)
	}
}

func (l *Link) relay(from net.Conn) {
	defer l.forget(from)
	if !l.remember(from) {
		return
	}
	var dialer net.Dialer
	to, err := dialer.DialContext(context.Background(), "tcp", l.target)
	if err != nil {
		return
	}
	defer l.forget(to)
	if !l.remember(to) {
		return
	}
	done := make(chan struct{})
	go func() {
		_, _ = io.Copy(to, quietReader{l, from, toTarget})
		_ = to.Close()
		close(done)
	}()
	_, _ = io.Copy(from, quietReader{l, to, fromTarget})
	_ = from.Close()
	<-done
}

// remember registers a connection so that a cut closes it. It returns false if the
// link is cut.
func (l *Link) remember(c net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.cut {
		return false
	}
	l.conns[c] = true
	return true
}

func (l *Link) forget(c net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, c)
	_ = c.Close()
}
