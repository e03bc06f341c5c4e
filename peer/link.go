package peer

import (
	"context"
	"crypto/subtle"
	"crypto/tls"
	"errors"
	"fmt"
	"net/http"
	"runtime/debug"
	"strings"
	"sync/atomic"
	"time"

	"github.com/coder/websocket"

	"github.com/jasminelock/jasminelock/httpcheck"
	"github.com/jasminelock/jasminelock/wire"
)

// link is one WebSocket connection to another host.
type link struct {
	conn   *websocket.Conn
	counts *counters
	// dialled is true if this host opened the connection.
	dialled bool
	// lastUsedAt is when the last frame was sent or received, in nanoseconds since the
	// Unix epoch.
	lastUsedAt atomic.Int64
}

func (l *Links) newLink(conn *websocket.Conn, dialled bool) *link {
	conn.SetReadLimit(wire.MaxFrameBytes)
	k := &link{conn: conn, counts: &l.counts, dialled: dialled}
	k.markUsed()
	return k
}

func (k *link) markUsed() { k.lastUsedAt.Store(time.Now().UnixNano()) }

func (k *link) idleSince(now time.Time) time.Duration {
	return now.Sub(time.Unix(0, k.lastUsedAt.Load()))
}

// Sizes of WebSocket frame headers and close reasons, in bytes (RFC 6455).
const (
	headerBytes         = 2
	header16Bytes       = 4
	header64Bytes       = 10
	maskBytes           = 4
	maxPayload7Bit      = 125
	maxPayload16Bit     = 1<<16 - 1
	maxCloseReasonBytes = 120
)

// frameBytes returns the size on the connection, in bytes, of a frame with the given
// payload size. Frames from the client, which opened the connection, are masked.
func frameBytes(payload int, masked bool) int64 {
	n := payload + headerBytes
	switch {
	case payload > maxPayload16Bit:
		n = payload + header64Bytes
	case payload > maxPayload7Bit:
		n = payload + header16Bytes
	}
	if masked {
		n += maskBytes
	}
	return int64(n)
}

// readLoop passes received messages on until the link is closed.
func (k *link) readLoop(ctx context.Context, r *remoteHost) {
	defer r.detach(k)
	defer k.close()
	for {
		kind, raw, err := k.conn.Read(ctx)
		if err != nil {
			return
		}
		k.markUsed()
		k.counts.receivedFrames.Add(1)
		k.counts.receivedBytes.Add(frameBytes(len(raw), !k.dialled))
		m, err := decodeFrame(kind, raw)
		if err != nil {
			k.counts.malformed.Add(1)
			r.links.options.Log.Warn("frame not decoded; closing link", "peer", r.host, "error", err)
			return
		}
		if m != nil && !r.links.receive(r.host, m) {
			return
		}
	}
}

// receive passes a message on and reports whether that succeeded. If the content of
// the message causes a panic, only the link is closed, not the process: the other
// host may run another version or be faulty.
func (l *Links) receive(host string, m wire.Message) (ok bool) {
	defer func() {
		if cause := recover(); cause != nil {
			l.counts.malformed.Add(1)
			l.options.Log.Error("message handler panicked; closing link", "peer", host,
				"type", fmt.Sprintf("%T", m), "cause", cause, "stack", string(debug.Stack()))
			ok = false
		}
	}()
	l.options.Receive(host, m)
	return true
}

func decodeFrame(kind websocket.MessageType, raw []byte) (wire.Message, error) {
	if kind != websocket.MessageBinary {
		return nil, errors.New("peer: received a text message, want a binary one")
	}
	return wire.Decode(raw)
}

// open dials a host and exchanges Hello messages with it.
func (l *Links) open(ctx context.Context, host, url string) (*link, error) {
	transport := &http.Transport{DisableKeepAlives: true}
	if l.options.Certificates != nil {
		transport.TLSClientConfig = l.options.Certificates.clientConfig(host)
	}
	header := http.Header{}
	if l.options.Secret != nil {
		header.Set("Authorization", bearerPrefix+l.options.Secret())
	}
	conn, resp, err := websocket.Dial(ctx, url+Path,
		&websocket.DialOptions{HTTPClient: &http.Client{Transport: httpcheck.NewTransport(transport)}, HTTPHeader: header})
	if err != nil {
		return nil, err
	}
	if resp.Body != nil {
		_ = resp.Body.Close()
	}
	k := l.newLink(conn, true)
	hello, err := l.exchangeHello(ctx, k)
	if err == nil && hello.Host != host {
		err = fmt.Errorf("peer: host %q answers at the address of %q", hello.Host, host)
	}
	if err != nil {
		l.refuse(k, err)
		return nil, err
	}
	return k, nil
}

// exchangeHello sends this host's Hello, then reads and checks the other host's.
func (l *Links) exchangeHello(ctx context.Context, k *link) (*wire.Hello, error) {
	self := l.options.Self
	frame, err := wire.Encode(&self)
	if err != nil {
		return nil, err
	}
	if err := k.send(ctx, frame); err != nil {
		return nil, err
	}
	kind, raw, err := k.conn.Read(ctx)
	if err != nil {
		return nil, err
	}
	m, err := decodeFrame(kind, raw)
	if err != nil {
		return nil, err
	}
	hello, ok := m.(*wire.Hello)
	if !ok {
		return nil, errors.New("peer: first frame is not a Hello message")
	}
	return hello, checkHello(hello, &self)
}

// checkHello returns an error if the other host has no name, has this host's name,
// or supports no frame version that this host supports.
func checkHello(other, self *wire.Hello) error {
	switch {
	case other.Host == "" || other.Host == self.Host:
		return fmt.Errorf("peer: invalid host name %q in Hello: empty or this host's own", other.Host)
	case other.MaxVersion < self.MinVersion || other.MinVersion > self.MaxVersion:
		return fmt.Errorf("peer: host %q supports frame versions %d to %d, this host %d to %d",
			other.Host, other.MinVersion, other.MaxVersion, self.MinVersion, self.MaxVersion)
	}
	return nil
}

// refuse closes a link that failed a check and sends the error as the close reason.
func (l *Links) refuse(k *link, err error) {
	l.counts.refused.Add(1)
	reason := err.Error()
	if len(reason) > maxCloseReasonBytes {
		reason = reason[:maxCloseReasonBytes]
	}
	_ = k.conn.Close(websocket.StatusPolicyViolation, reason)
}

// serve accepts links until the server is closed.
func (l *Links) serve() {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+Path, l.accept)
	l.server = &http.Server{Handler: mux, ReadHeaderTimeout: dialTimeout, MaxHeaderBytes: maxHeaderBytes}
	listener := l.options.Listener
	if l.options.Certificates != nil {
		listener = tls.NewListener(listener, l.options.Certificates.serverConfig())
	}
	l.group.Go(func() { _ = l.server.Serve(listener) })
}

// bearerPrefix precedes the fleet's secret in the Authorization header.
const bearerPrefix = "Bearer "

// hasValidSecret reports whether a request carries the fleet's secret, or none is
// configured.
func (l *Links) hasValidSecret(r *http.Request) bool {
	if l.options.Secret == nil {
		return true
	}
	want := l.options.Secret()
	got := strings.TrimPrefix(r.Header.Get("Authorization"), bearerPrefix)
	return want != "" && subtle.ConstantTimeCompare([]byte(want), []byte(got)) == 1
}

func (l *Links) accept(w http.ResponseWriter, r *http.Request) {
	if !l.hasValidSecret(r) {
		l.counts.refused.Add(1)
		http.Error(w, "unknown secret", http.StatusUnauthorized)
		return
	}
	if l.counts.open.Load() >= maxLinks {
		http.Error(w, "too many links", http.StatusServiceUnavailable)
		return
	}
	conn, err := websocket.Accept(w, r, nil)
	if err != nil {
		return
	}
	k := l.newLink(conn, false)
	ctx, cancel := context.WithTimeout(r.Context(), dialTimeout)
	hello, err := l.exchangeHello(ctx, k)
	cancel()
	if err == nil {
		err = verifyHostName(r.TLS, hello.Host)
	}
	if err != nil {
		l.options.Log.Warn("link refused", "from", r.RemoteAddr, "error", err)
		l.refuse(k, err)
		return
	}
	caller, err := l.ensureRemote(hello.Host)
	if err != nil || !caller.attach(k) {
		k.close()
		return
	}
	k.readLoop(caller.ctx, caller)
}

// verifyHostName checks that the client certificate is valid for the given host. A
// link without TLS is accepted without a check.
func verifyHostName(state *tls.ConnectionState, host string) error {
	if state == nil {
		return nil
	}
	if len(state.PeerCertificates) == 0 {
		return errors.New("peer: client sent no certificate")
	}
	return state.PeerCertificates[0].VerifyHostname(host)
}
