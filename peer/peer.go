// Package peer carries messages between hosts over WebSocket, one CBOR frame
// in each binary message.
//
// A link is opened when there is something to send and closed when it has not
// been used for a while, so that a host keeps links only to those it talks
// with. Delivery is not promised: a frame can be lost, and frames of two links
// can cross. Every protocol above repeats what matters.
package peer

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/jasminelock/jasminelock/wire"
)

// Path is where a host accepts links.
const Path = "/peer"

// Limits of links.
const (
	// idleClose is how long an unused link stays open.
	idleClose = 30 * time.Second
	// sweepInterval is how often unused links are looked for.
	sweepInterval = 5 * time.Second
	// reloadInterval is how often the certificate files are read.
	reloadInterval = 10 * time.Second
	// dialTimeout bounds opening a link, Hello included.
	dialTimeout = 5 * time.Second
	// writeTimeout bounds one frame's way into the connection.
	writeTimeout = 5 * time.Second
	// maxLinks bounds the links that a host keeps at once. It leaves room for
	// every host of the largest fleet.
	maxLinks = 1024
	// maxHeaderBytes bounds the request that opens a link.
	maxHeaderBytes = 8 << 10
)

// Options are what Links are made of.
type Options struct {
	Log hclog.Logger
	// Self is what this host says of itself when a link opens.
	Self wire.Hello
	// Listener accepts links. Without certificates or a secret it must be on
	// loopback.
	Listener net.Listener
	// Secret returns what the other side of a link must know, "" for nothing. A
	// host that dials presents it; one that accepts compares it.
	Secret func() string
	// DialTimeout bounds opening a link. Default 5s.
	DialTimeout time.Duration
	// MaxRedialDelay bounds the wait before a link is tried again. Default 5s.
	MaxRedialDelay time.Duration
	// LinkLost is told when the last link to a host has ended. It must not wait.
	LinkLost func(host string)
	// Certificates secure the links, nil for plain links on loopback.
	Certificates *Certificates
	// Lookup returns where a host accepts links, "http://ip:port" or "https://…".
	Lookup func(host string) (url string, ok bool)
	// Receive takes each message. It must not wait.
	Receive func(from string, m wire.Message)
}

// Counts is the traffic of all links since the start. Bytes are those of
// frames with their WebSocket headers.
type Counts struct {
	SentFrames     int64 `json:"sent_frames"`
	SentBytes      int64 `json:"sent_bytes"`
	ReceivedFrames int64 `json:"received_frames"`
	ReceivedBytes  int64 `json:"received_bytes"`
	// Dropped counts frames that gave way in a full queue or had no link.
	Dropped int64 `json:"dropped"`
	// Refused counts links that failed authentication or the version check.
	Refused int64 `json:"refused"`
	// Malformed counts frames that could not be decoded.
	Malformed int64 `json:"malformed"`
	// Open is the number of links open now.
	Open int64 `json:"open"`
}

// counters are the live form of Counts.
type counters struct {
	sentFrames, sentBytes, receivedFrames, receivedBytes atomic.Int64
	dropped, refused, malformed, open                    atomic.Int64
}

// Links are the links of one host.
type Links struct {
	options Options
	counts  counters
	server  *http.Server

	// mu guards remotes. It is never held during traffic.
	mu      sync.Mutex
	remotes map[string]*remote
	// ctx ends with Run. It is set before any remote is made.
	ctx   context.Context
	group sync.WaitGroup
}

// New returns links that carry nothing before Run.
func New(o Options) (*Links, error) {
	if o.Certificates == nil && o.Secret == nil && !onLoopback(o.Listener) {
		return nil, fmt.Errorf("listen.peers: without tls, want a loopback address, not %s", o.Listener.Addr())
	}
	if o.DialTimeout <= 0 {
		o.DialTimeout = dialTimeout
	}
	if o.MaxRedialDelay <= 0 {
		o.MaxRedialDelay = maxRedial
	}
	if o.LinkLost == nil {
		o.LinkLost = func(string) {}
	}
	return &Links{options: o, remotes: map[string]*remote{}}, nil
}

func onLoopback(l net.Listener) bool {
	address, ok := l.Addr().(*net.TCPAddr)
	return ok && address.IP.IsLoopback()
}

// URL returns where the listener accepts links.
func (l *Links) URL() string {
	scheme := "http://"
	if l.options.Certificates != nil {
		scheme = "https://"
	}
	return scheme + l.options.Listener.Addr().String()
}

// errNotRunning says that Send was called before Run or after its end.
var errNotRunning = errors.New("peer: links are not running")

// Send queues a message for any host of the fleet. It never waits. The message
// must not be changed afterwards.
func (l *Links) Send(to string, m wire.Message) error {
	frame, err := wire.Encode(m)
	if err != nil {
		return err
	}
	r, err := l.remote(to)
	if err != nil {
		return err
	}
	l.counts.dropped.Add(int64(r.queue.add(frame)))
	return nil
}

// Disconnect ends the links to a host that no longer answers, and what waits for it.
func (l *Links) Disconnect(host string) {
	l.mu.Lock()
	r, ok := l.remotes[host]
	delete(l.remotes, host)
	l.mu.Unlock()
	if ok {
		r.stop()
		r.closeAll()
	}
}

// remote returns the named host's state and starts its writer where there is
// none.
func (l *Links) remote(host string) (*remote, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ctx == nil || l.ctx.Err() != nil {
		return nil, errNotRunning
	}
	r, ok := l.remotes[host]
	if !ok {
		r = newRemote(l, host)
		l.remotes[host] = r
		l.group.Go(func() { r.write(r.ctx) })
	}
	return r, nil
}

// flushInterval is how often Flush looks at the queues.
const flushInterval = 10 * time.Millisecond

// Flush waits until no frame waits any more, or until the context ends.
func (l *Links) Flush(ctx context.Context) {
	t := time.NewTicker(flushInterval)
	defer t.Stop()
	for l.queued() > 0 {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

// queued returns how many frames wait.
func (l *Links) queued() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for _, r := range l.remotes {
		n += r.queue.len()
	}
	return n
}

// Run carries messages until the context ends.
func (l *Links) Run(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	l.mu.Lock()
	l.ctx = ctx
	l.mu.Unlock()
	l.serve()
	l.sweep(ctx)
	_ = l.server.Close()
	l.closeAll()
	l.group.Wait()
}

// sweep closes unused links and reads the certificates again until the context
// ends.
func (l *Links) sweep(ctx context.Context) {
	unused := time.NewTicker(sweepInterval)
	defer unused.Stop()
	certificates := time.NewTicker(reloadInterval)
	defer certificates.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-unused.C:
			l.closeUnused(time.Now())
		case <-certificates.C:
			l.reload()
		}
	}
}

func (l *Links) reload() {
	if l.options.Certificates == nil {
		return
	}
	changed, err := l.options.Certificates.Reload()
	switch {
	case err != nil:
		l.options.Log.Error("certificates not read; those read before stay in force", "error", err)
	case changed:
		l.options.Log.Info("certificates read again")
	}
}

func (l *Links) closeUnused(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for host, r := range l.remotes {
		if r.unused(now) {
			r.stop()
			delete(l.remotes, host)
		}
	}
}

func (l *Links) closeAll() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for host, r := range l.remotes {
		r.stop()
		delete(l.remotes, host)
	}
}

// Counts returns the traffic so far.
func (l *Links) Counts() Counts {
	c := &l.counts
	return Counts{
		SentFrames: c.sentFrames.Load(), SentBytes: c.sentBytes.Load(),
		ReceivedFrames: c.receivedFrames.Load(), ReceivedBytes: c.receivedBytes.Load(),
		Dropped: c.dropped.Load(), Refused: c.refused.Load(), Malformed: c.malformed.Load(), Open: c.open.Load(),
	}
}
