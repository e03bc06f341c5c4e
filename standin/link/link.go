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
	// unblocked holds a channel for each direction. It is closed while bytes pass, and
	// open while they are held back.
	unblocked [2]chan struct{}
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
	for i := range link.unblocked {
		link.unblocked[i] = make(chan struct{})
		close(link.unblocked[i])
	}
	go link.accept()
	return link, nil
}

// Address returns the address that the relay listens on.
func (l *Link) Address() string { return l.listener.Addr().String() }

// Close stops the relay and closes its connections.
func (l *Link) Close() {
	_ = l.listener.Close()
	l.SetStalled(false)
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

// SetStalled holds back all bytes in both directions if silent is true, without
// closing a connection, else it lets them pass.
func (l *Link) SetStalled(silent bool) {
	l.setStalled(toTarget, silent)
	l.setStalled(fromTarget, silent)
}

// SetTargetStalled holds back all bytes to the target if deaf is true, else it lets them pass.
// Bytes from the target are not affected.
func (l *Link) SetTargetStalled(deaf bool) { l.setStalled(toTarget, deaf) }

// SetDelay sets the delay that is added in both directions.
func (l *Link) SetDelay(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.delay = d
}

func (l *Link) setStalled(direction int, held bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	select {
	case <-l.unblocked[direction]:
		if held {
			l.unblocked[direction] = make(chan struct{})
		}
	default:
		if !held {
			close(l.unblocked[direction])
		}
	}
}

// stallingReader reads from a connection and holds the bytes back for the link's delay
// and while its direction is silent.
type stallingReader struct {
	link      *Link
	from      net.Conn
	direction int
}

func (q stallingReader) Read(b []byte) (int, error) {
	n, err := q.from.Read(b)
	q.link.mu.Lock()
	unblocked, delay := q.link.unblocked[q.direction], q.link.delay
	q.link.mu.Unlock()
	time.Sleep(delay)
	<-unblocked
	return n, err
}

// cutBody is the body of PUT /cut and of its response.
type cutBody struct {
	Cut bool `json:"cut"`
}

// ServeHTTP serves PUT /cut, which calls SetCut.
func (l *Link) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var body cutBody
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
	defer l.untrack(from)
	if !l.track(from) {
		return
	}
	var dialer net.Dialer
	to, err := dialer.DialContext(context.Background(), "tcp", l.target)
	if err != nil {
		return
	}
	defer l.untrack(to)
	if !l.track(to) {
		return
	}
	done := make(chan struct{})
	go func() {
		_, _ = io.Copy(to, stallingReader{l, from, toTarget})
		_ = to.Close()
		close(done)
	}()
	_, _ = io.Copy(from, stallingReader{l, to, fromTarget})
	_ = from.Close()
	<-done
}

// track registers a connection so that a cut closes it. It returns false if the
// link is cut.
func (l *Link) track(c net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.cut {
		return false
	}
	l.conns[c] = true
	return true
}

func (l *Link) untrack(c net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, c)
	_ = c.Close()
}
