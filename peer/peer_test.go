package peer

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/coder/websocket"
	"github.com/hashicorp/go-hclog"
	"github.com/stretchr/testify/require"

	"github.com/jasminelock/jasminelock/settings"
	"github.com/jasminelock/jasminelock/wire"
)

// testHost is a host with links and the messages that it has received.
type testHost struct {
	links    *Links
	received chan wire.Message
}

// network maps names to hosts, which look up one another's URLs in it.
type network map[string]*testHost

func (n network) start(t *testing.T, hello wire.Hello, c *Certificates) *testHost {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	h := &testHost{received: make(chan wire.Message, 100)}
	h.links, err = New(Options{
		Log: hclog.NewNullLogger(), Self: hello, Listener: listener, Certificates: c,
		Lookup: func(name string) (string, bool) {
			other, ok := n[name]
			if !ok {
				return "", false
			}
			return other.links.URL(), true
		},
		Receive: func(_ string, m wire.Message) { h.received <- m },
	})
	require.NoError(t, err)
	n[hello.Host] = h
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { defer close(done); h.links.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-done })
	require.Eventually(t, func() bool {
		h.links.mu.Lock()
		defer h.links.mu.Unlock()
		return h.links.ctx != nil
	}, time.Minute, time.Millisecond)
	return h
}

func hello(name string) wire.Hello {
	return wire.Hello{Host: name, Zone: "z1", MinVersion: wire.MinVersion, MaxVersion: wire.Version}
}

// sendUntilReceived repeats a message until it arrives, since a link may lose frames.
func sendUntilReceived(t *testing.T, from *testHost, to string, other *testHost) wire.Message {
	t.Helper()
	for {
		require.NoError(t, from.links.Send(to, &wire.Hello{Host: "payload"}))
		select {
		case m := <-other.received:
			return m
		case <-time.After(50 * time.Millisecond):
		case <-t.Context().Done():
			t.Fatal("no message received before the test ended")
		}
	}
}

func TestLinks_BothDirectionsShareOneLink(t *testing.T) {
	n := network{}
	a, b := n.start(t, hello("a"), nil), n.start(t, hello("b"), nil)
	require.Equal(t, "payload", sendUntilReceived(t, a, "b", b).(*wire.Hello).Host)
	require.Equal(t, "payload", sendUntilReceived(t, b, "a", a).(*wire.Hello).Host)
	require.EqualValues(t, 1, a.links.Counts().Open)
	require.Positive(t, a.links.Counts().SentBytes)
}

func TestCheckHello(t *testing.T) {
	self := hello("a")
	next := hello("b")
	next.MaxVersion = wire.Version + 1
	later := hello("b")
	later.MinVersion, later.MaxVersion = wire.Version+1, wire.Version+2
	require.NoError(t, checkHello(&next, &self), "version n works with n+1")
	require.Error(t, checkHello(&later, &self))
	require.Error(t, checkHello(&self, &self))
}

func TestNew_PlainListenerMustBeLoopback(t *testing.T) {
	listener, err := net.Listen("tcp", "0.0.0.0:0")
	require.NoError(t, err)
	defer listener.Close()
	_, err = New(Options{Listener: listener})
	require.ErrorContains(t, err, "loopback")
}

func TestQueue_DropsOldestFrame(t *testing.T) {
	q := newQueue()
	dropped := 0
	for i := range maxQueuedFrames + 3 {
		dropped += q.add([]byte{byte(i), byte(i >> 8)})
	}
	require.Equal(t, 3, dropped)
	first, ok := q.take()
	require.True(t, ok)
	require.Equal(t, []byte{3, 0}, first)
	require.Positive(t, q.add(make([]byte, maxQueuedBytes)))
	require.LessOrEqual(t, q.bytes, maxQueuedBytes)
}

// authority is a certificate authority for tests.
type authority struct {
	key  *ecdsa.PrivateKey
	cert *x509.Certificate
	raw  []byte
}

func newAuthority(t *testing.T) *authority {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
	}
	raw, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	require.NoError(t, err)
	cert, err := x509.ParseCertificate(raw)
	require.NoError(t, err)
	return &authority{key: key, cert: cert, raw: raw}
}

// issue writes the files of a host's certificate into dir.
func (a *authority) issue(t *testing.T, dir, name string) settings.TLS {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(time.Now().UnixNano()), Subject: pkix.Name{CommonName: name}, DNSNames: []string{name},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth},
	}
	raw, err := x509.CreateCertificate(rand.Reader, template, a.cert, &key.PublicKey, a.key)
	require.NoError(t, err)
	rawKey, err := x509.MarshalPKCS8PrivateKey(key)
	require.NoError(t, err)
	write := func(file, kind string, der []byte) string {
		path := filepath.Join(dir, file)
		require.NoError(t, os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600))
		return path
	}
	return settings.TLS{
		Cert: write(name+".pem", "CERTIFICATE", raw), Key: write(name+"-key.pem", "PRIVATE KEY", rawKey),
		CA: write(name+"-ca.pem", "CERTIFICATE", a.raw),
	}
}

func loadCertificates(t *testing.T, files settings.TLS) *Certificates {
	t.Helper()
	c, err := LoadCertificates(files)
	require.NoError(t, err)
	return c
}

func TestLinks_MutualAuthentication(t *testing.T) {
	ca, foreign := newAuthority(t), newAuthority(t)
	n := network{}
	a := n.start(t, hello("a"), loadCertificates(t, ca.issue(t, t.TempDir(), "a")))
	b := n.start(t, hello("b"), loadCertificates(t, ca.issue(t, t.TempDir(), "b")))
	sendUntilReceived(t, a, "b", b)
	frame, err := wire.Encode(&wire.Hello{Host: "intruder"})
	require.NoError(t, err)

	for name, c := range map[string]*Certificates{
		"another authority":     loadCertificates(t, foreign.issue(t, t.TempDir(), "c")),
		"another host's name":   loadCertificates(t, ca.issue(t, t.TempDir(), "d")),
		"no certificate at all": nil,
	} {
		intruder := n.start(t, hello("c"), c)
		k, err := intruder.links.open(t.Context(), "b", b.links.URL())
		if err == nil { // the refusal may arrive only with the next read
			_ = k.conn.Write(t.Context(), websocket.MessageBinary, frame)
			_, _, err = k.conn.Read(t.Context())
		}
		require.Error(t, err, name)
	}
	for len(b.received) > 0 { // what host a has sent more than once
		m := (<-b.received).(*wire.Hello)
		require.Equal(t, "payload", m.Host, "messages from an unauthenticated host are not passed on")
	}
}

func TestCertificates_Reload(t *testing.T) {
	ca, next := newAuthority(t), newAuthority(t)
	dir := t.TempDir()
	c := loadCertificates(t, ca.issue(t, dir, "a"))
	before := c.currentCredentials()
	require.NoError(t, os.WriteFile(filepath.Join(dir, "a.pem"), []byte("half a file"), 0o600))
	_, err := c.Reload()
	require.Error(t, err)
	require.Same(t, before, c.currentCredentials(), "invalid files leave the certificates unchanged")

	next.issue(t, dir, "a")
	changed, err := c.Reload()
	require.NoError(t, err)
	require.True(t, changed)
	n := network{}
	a := n.start(t, hello("a"), c)
	b := n.start(t, hello("b"), loadCertificates(t, next.issue(t, t.TempDir(), "b")))
	sendUntilReceived(t, a, "b", b)
}
