package peer

import (
	"bytes"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"os"
	"sync"

	"github.com/rotisserie/eris"

	"github.com/jasminelock/jasminelock/settings"
)

// Certificates hold what this host proves itself with and whom it trusts. They
// are read again by Reload, without a restart. The zero value is of no use.
type Certificates struct {
	files settings.TLS

	// mu guards all below.
	mu       sync.Mutex
	rawFiles [][]byte
	current  *credentials
}

// credentials is one state of the certificate files. It is immutable.
type credentials struct {
	certificate tls.Certificate
	authorities *x509.CertPool
}

// LoadCertificates reads the files.
func LoadCertificates(files settings.TLS) (*Certificates, error) {
	c := &Certificates{files: files}
	if _, err := c.Reload(); err != nil {
		return nil, err
	}
	return c, nil
}

// Reload reads the files again and reports whether they have changed. Where
// they are not valid, what was read before stays in force.
func (c *Certificates) Reload() (changed bool, err error) {
	raw, err := readFiles(c.files.Cert, c.files.Key, c.files.CA)
	if err != nil {
		return false, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if equalFiles(raw, c.rawFiles) {
		return false, nil
	}
	next, err := parseCredentials(raw[0], raw[1], raw[2])
	if err != nil {
		return false, err
	}
	c.rawFiles, c.current = raw, next
	return true, nil
}

func readFiles(names ...string) ([][]byte, error) {
	raw := make([][]byte, 0, len(names))
	for _, name := range names {
		content, err := os.ReadFile(name)
		if err != nil {
			return nil, eris.Wrap(err, "tls")
		}
		raw = append(raw, content)
	}
	return raw, nil
}

func equalFiles(a, b [][]byte) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if !bytes.Equal(a[i], b[i]) {
			return false
		}
	}
	return true
}

func parseCredentials(cert, key, ca []byte) (*credentials, error) {
	pair, err := tls.X509KeyPair(cert, key)
	if err != nil {
		return nil, eris.Wrap(err, "tls.cert and tls.key")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(ca) {
		return nil, errors.New("tls.ca: want at least one certificate in PEM")
	}
	return &credentials{certificate: pair, authorities: pool}, nil
}

func (c *Certificates) currentCredentials() *credentials {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.current
}

// serverConfig asks every caller for a certificate of the authority. Each
// connection takes the files as they were last read.
func (c *Certificates) serverConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			m := c.currentCredentials()
			return &tls.Config{
				MinVersion:   tls.VersionTLS13,
				Certificates: []tls.Certificate{m.certificate},
				ClientCAs:    m.authorities,
				ClientAuth:   tls.RequireAndVerifyClientCert,
				// WebSocket needs HTTP/1.1.
				NextProtos: []string{"http/1.1"},
			}, nil
		},
	}
}

// clientConfig wants the other side to prove that it is the named host.
func (c *Certificates) clientConfig(host string) *tls.Config {
	m := c.currentCredentials()
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{m.certificate},
		RootCAs:      m.authorities,
		ServerName:   host,
		NextProtos:   []string{"http/1.1"},
	}
}
