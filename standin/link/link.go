// Package link is a stand-in for the network between hosts: a relay of TCP
// connections that a test can cut.
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

// Link relays connections to one address until it is cut.
type Link struct {
	target   string
	listener net.Listener

	// mu guards all below.
	mu    sync.Mutex
	cut   bool
	conns map[net.Conn]bool
	// silent is closed where bytes pass, for each direction.
	silent [2]chan struct{}
	// delay is how long bytes take beyond the usual.
	delay time.Duration
}

// The directions of bytes.
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

// Address returns where the relay listens.
func (l *Link) Address() string { return l.listener.Addr().String() }

// Close ends the relay.
func (l *Link) Close() {
	_ = l.listener.Close()
	l.SetStalled(false)
	l.SetCut(true)
}

// SetCut breaks every connection off and refuses new ones, or lets them pass.
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

// SetStalled holds back every byte in both directions, without closing a
// connection, or lets them pass.
func (l *Link) SetStalled(silent bool) {
	l.hold(toTarget, silent)
	l.hold(fromTarget, silent)
}

// SetTargetStalled holds back every byte to the target, whose own still pass, or lets them pass.
func (l *Link) SetTargetStalled(deaf bool) { l.hold(toTarget, deaf) }

// SetDelay has bytes take longer, in both directions.
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

// quietReader holds back what it reads while the link is silent or slow.
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

// switchBody is the body of PUT /cut.
type switchBody struct {
	Cut bool `json:"cut"`
}

// ServeHTTP serves the switch: PUT /cut.
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

// remember reports whether the connection may pass.
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
