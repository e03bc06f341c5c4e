package httpcheck

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"
)

// Transport is an http.RoundTripper that fails with an error that wraps ErrInvalid as soon as the
// beginning of a response is invalid, and closes the connection. So does a read of the body at its end
// if the trailer is invalid.
type Transport struct{ base *http.Transport }

// dialFunc opens a connection.
type dialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// NewTransport returns a Transport that sends requests over base. It replaces the dial functions of
// base by ones that call DialContext. Requests over TLS use HTTP/1.1, too.
func NewTransport(base *http.Transport) *Transport {
	dialRaw := dialFunc(base.DialContext)
	if dialRaw == nil {
		dialRaw = new(net.Dialer).DialContext
	}
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		raw, err := dialRaw(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return WithTrueEOF(raw), nil
	}
	base.DialContext = checked(dial)
	base.DialTLSContext = checked(dialTLS(dial, base.TLSClientConfig, base.TLSHandshakeTimeout))
	return &Transport{base}
}

// checked returns a function that dials with dial and checks the responses on the connection.
func checked(dial dialFunc) dialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		raw, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return newConn(raw), nil
	}
}

// dialTLS returns a function that dials with dial and performs the TLS handshake, within timeout
// unless that is 0.
func dialTLS(dial dialFunc, config *tls.Config, timeout time.Duration) dialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		host, _, err := net.SplitHostPort(address)
		if err != nil {
			return nil, err
		}
		raw, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		own := &tls.Config{MinVersion: tls.VersionTLS12}
		if config != nil {
			own = config.Clone()
		}
		if own.ServerName == "" {
			own.ServerName = host
		}
		if timeout > 0 {
			var cancel context.CancelFunc
			ctx, cancel = context.WithTimeout(ctx, timeout)
			defer cancel()
		}
		secured := tls.Client(raw, own)
		if err := secured.HandshakeContext(ctx); err != nil {
			_ = raw.Close()
			return nil, err
		}
		return secured, nil
	}
}

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	var used atomic.Pointer[conn]
	upgrade := r.Header.Get("Upgrade") != ""
	trace := &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			if c, ok := info.Conn.(*conn); ok {
				c.expectResponse(upgrade)
				used.Store(c)
			}
		},
		WroteRequest: func(httptrace.WroteRequestInfo) {
			if c := used.Load(); c != nil {
				c.transport.EndRequest()
			}
		},
	}
	resp, err := t.base.RoundTrip(r.WithContext(httptrace.WithClientTrace(r.Context(), trace)))
	c := used.Load()
	switch {
	case err != nil && c != nil && c.failure() != nil:
		return nil, c.failure()
	case err != nil:
		return nil, err
	case upgrade && resp.StatusCode == http.StatusSwitchingProtocols:
		return resp, nil
	}
	// Bytes that came before the request was assigned the connection were not checked.
	if err := checkFinal(resp); err != nil {
		if c != nil {
			_ = c.Close()
		}
		_ = resp.Body.Close()
		return nil, err
	}
	resp.Body = &body{ReadCloser: resp.Body, resp: resp, conn: c}
	return resp, nil
}

// checkFinal returns an error if the head of a final response is invalid.
func checkFinal(resp *http.Response) error {
	if !IsFinal(resp.StatusCode) {
		return fmt.Errorf("%w: status %03d", ErrInvalid, resp.StatusCode)
	}
	return CheckHead(resp)
}

// body is the body of a response. It checks the trailer.
type body struct {
	io.ReadCloser
	resp *http.Response
	conn *conn
}

// Read implements io.Reader. It returns io.EOF only if the trailer is valid.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	if invalid := CheckFields(b.resp.Trailer); invalid != nil {
		if b.conn != nil {
			_ = b.conn.Close() // it may be in use again, for a request that is lost with it
		}
		return n, invalid
	}
	return n, err
}

// CloseIdleConnections closes the connections that are not in use. http.Client calls it.
func (t *Transport) CloseIdleConnections() { t.base.CloseIdleConnections() }
