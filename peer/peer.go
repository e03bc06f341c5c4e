// Package peer carries messages between hosts over WebSocket, one CBOR frame in
// each binary message.
//
// A link is opened when there is a message to send and closed after an idle timeout,
// so that a host has links only to hosts with which it exchanges messages. Delivery
// is not guaranteed: a frame can be lost, and frames of two links can be reordered.
// Each protocol on top repeats the messages that must arrive.
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

// Limits and timeouts of links.
const (
	// idleTimeout is how long an idle link stays open.
	idleTimeout = 30 * time.Second
	// idleCheckInterval is the interval at which idle links are looked for.
	idleCheckInterval = 5 * time.Second
	// reloadInterval is the interval at which the certificate files are read again.
	reloadInterval = 10 * time.Second
	// dialTimeout bounds opening a link, including the exchange of Hello messages.
	dialTimeout = 5 * time.Second
	// writeTimeout bounds writing one frame to the connection.
	writeTimeout = 5 * time.Second
	// maxLinks is the number of open links at which a host accepts no more. It is
	// enough for a link to every host of the largest fleet.
	maxLinks = 1024
	// maxHeaderBytes bounds the header of the HTTP request that opens a link.
	maxHeaderBytes = 8 << 10
)

// Options configure Links.
type Options struct {
	Log hclog.Logger
	// Self is the Hello message that this host sends when a link opens.
	Self wire.Hello
	// Listener accepts links. It must be on a loopback address if both Certificates and
	// Secret are nil.
	Listener net.Listener
	// Secret returns the secret of the fleet, which a dialling host sends and an
	// accepting host compares; while it returns "", links are refused. If Secret is
	// nil, no secret is sent or checked.
	Secret func() string
	// DialTimeout bounds opening a link. Default 5s.
	DialTimeout time.Duration
	// MaxRedialDelay bounds the delay before a failed dial is repeated. Default 5s.
	MaxRedialDelay time.Duration
	// LinkLost is called when the last link to a host has been closed. It must not block.
	LinkLost func(host string)
	// Certificates secure the links with mutual TLS. If nil, links are plain HTTP.
	Certificates *Certificates
	// Lookup returns the URL at which a host accepts links, "http://ip:port" or
	// "https://ip:port".
	Lookup func(host string) (url string, ok bool)
	// Receive is called with each received message. It must not block.
	Receive func(from string, m wire.Message)
}

// Counts is the traffic of all links since the start of the process. Byte counts
// include the WebSocket headers of the frames.
type Counts struct {
	SentFrames     int64 `json:"sent_frames"`
	SentBytes      int64 `json:"sent_bytes"`
	ReceivedFrames int64 `json:"received_frames"`
	ReceivedBytes  int64 `json:"received_bytes"`
	// Dropped counts frames discarded because a queue was full, no link could be
	// opened, or writing failed.
	Dropped int64 `json:"dropped"`
	// Refused counts links that failed authentication or the version check.
	Refused int64 `json:"refused"`
	// Malformed counts frames that could not be decoded or whose handling panicked.
	Malformed int64 `json:"malformed"`
	// Open is the number of links open now.
	Open int64 `json:"open"`
}

// counters are the atomic counters from which Counts is read.
type counters struct {
	sentFrames, sentBytes, receivedFrames, receivedBytes atomic.Int64
	dropped, refused, malformed, open                    atomic.Int64
}

// Links are the links of one host.
type Links struct {
	options Options
	counts  counters
	server  *http.Server

	// mu guards remotes and ctx. It is never held while a link reads or writes.
	mu      sync.Mutex
	remotes map[string]*remoteHost
	// ctx is cancelled when Run ends. It is nil before Run, when there are no remotes.
	ctx   context.Context
	group sync.WaitGroup
}

// New returns links that carry no messages until Run is called. Without certificates
// or a secret, the listener must be on a loopback address.
func New(o Options) (*Links, error) {
	if o.Certificates == nil && o.Secret == nil && !onLoopback(o.Listener) {
		return nil, fmt.Errorf("listen.peers: without tls and secret, want a loopback address, not %s", o.Listener.Addr())
	}
	if o.DialTimeout <= 0 {
		o.DialTimeout = dialTimeout
	}
	if o.MaxRedialDelay <= 0 {
		o.MaxRedialDelay = maxRedialDelay
	}
	if o.LinkLost == nil {
		o.LinkLost = func(string) {}
	}
	return &Links{options: o, remotes: map[string]*remoteHost{}}, nil
}

func onLoopback(l net.Listener) bool {
	address, ok := l.Addr().(*net.TCPAddr)
	return ok && address.IP.IsLoopback()
}

// URL returns the URL at which the listener accepts links.
func (l *Links) URL() string {
	scheme := "http://"
	if l.options.Certificates != nil {
		scheme = "https://"
	}
	return scheme + l.options.Listener.Addr().String()
}

// errNotRunning is returned by Send before Run is called or after it has ended.
var errNotRunning = errors.New("peer: links are not running")

// Send queues a message for any host of the fleet. It never blocks. The message
// must not be modified afterwards.
func (l *Links) Send(to string, m wire.Message) error {
	frame, err := wire.Encode(m)
	if err != nil {
		return err
	}
	r, err := l.ensureRemote(to)
	if err != nil {
		return err
	}
	l.counts.dropped.Add(int64(r.queue.add(frame)))
	return nil
}

// Disconnect closes all links to a host that no longer answers and discards the messages
// queued for it.
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

// ensureRemote returns the remote host with the given name. If there is none, it
// creates it and starts its write loop.
func (l *Links) ensureRemote(host string) (*remoteHost, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ctx == nil || l.ctx.Err() != nil {
		return nil, errNotRunning
	}
	r, ok := l.remotes[host]
	if !ok {
		r = newRemoteHost(l, host)
		l.remotes[host] = r
		l.group.Go(func() { r.writeLoop(r.ctx) })
	}
	return r, nil
}

// flushPollInterval is the interval at which Flush checks the queues.
const flushPollInterval = 10 * time.Millisecond

// Flush waits until all queues are empty or the context is done.
func (l *Links) Flush(ctx context.Context) {
	t := time.NewTicker(flushPollInterval)
	defer t.Stop()
	for l.queuedFrames() > 0 {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

// queuedFrames returns the number of queued frames for all hosts.
func (l *Links) queuedFrames() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for _, r := range l.remotes {
		n += r.queue.len()
	}
	return n
}

// Run carries messages until the context is done.
func (l *Links) Run(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	l.mu.Lock()
	l.ctx = ctx
	l.mu.Unlock()
	l.serve()
	l.maintain(ctx)
	_ = l.server.Close()
	l.closeAll()
	l.group.Wait()
}

// maintain periodically closes idle links and reloads the certificates until the
// context is done.
func (l *Links) maintain(ctx context.Context) {
	idleCheck := time.NewTicker(idleCheckInterval)
	defer idleCheck.Stop()
	reloadCheck := time.NewTicker(reloadInterval)
	defer reloadCheck.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-idleCheck.C:
			l.closeIdle(time.Now())
		case <-reloadCheck.C:
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
		l.options.Log.Error("certificates not reloaded; keeping the previous ones", "error", err)
	case changed:
		l.options.Log.Info("certificates reloaded")
	}
}

func (l *Links) closeIdle(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for host, r := range l.remotes {
		if r.closeIdleLinks(now) {
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

// Counts returns the traffic since the start of the process.
func (l *Links) Counts() Counts {
	c := &l.counts
	return Counts{
		SentFrames: c.sentFrames.Load(), SentBytes: c.sentBytes.Load(),
		ReceivedFrames: c.receivedFrames.Load(), ReceivedBytes: c.receivedBytes.Load(),
		Dropped: c.dropped.Load(), Refused: c.refused.Load(), Malformed: c.malformed.Load(), Open: c.open.Load(),
	}
}
