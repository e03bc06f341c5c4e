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

// Certificates hold the certificate and key of this host and the authorities that it
// trusts. Reload reads them again without a restart. Use LoadCertificates to create
// them; the zero value is not usable.
type Certificates struct {
	files settings.TLS

	// mu guards the fields below.
	mu       sync.Mutex
	rawFiles [][]byte
	current  *credentials
}

// credentials are the parsed contents of the certificate files. They are immutable.
type credentials struct {
	certificate tls.Certificate
	authorities *x509.CertPool
}

// LoadCertificates reads and parses the certificate files.
func LoadCertificates(files settings.TLS) (*Certificates, error) {
	c := &Certificates{files: files}
	if _, err := c.Reload(); err != nil {
		return nil, err
	}
	return c, nil
}

// Reload reads the files again and reports whether they have changed. If a file
// cannot be read or is invalid, the certificates read before stay in use.
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

// serverConfig returns a TLS configuration that requires of every client a
// certificate signed by the authorities. Each connection uses the files as last read.
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

// clientConfig returns a TLS configuration that accepts only the named host as the
// server.
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
