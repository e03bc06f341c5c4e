package httpcheck_test

import (
	"bytes"
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/jasminelock/jasminelock/httpcheck"
	"github.com/jasminelock/jasminelock/standin/replica"
)

// uploadBytes is the size of a request body that the buffers of a connection to a server that does not read cannot hold.
const uploadBytes = 8 << 20

// upload sends a request with a body of uploadBytes and returns the body of its response.
func upload(t *testing.T, transport http.RoundTripper, url string) (string, error) {
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, url, bytes.NewReader(make([]byte, uploadBytes)))
	require.NoError(t, err)
	resp, err := transport.RoundTrip(req)
	if err != nil {
		return "", err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	return string(body), err
}

// A server answers a long upload at once, without a length, and its connection ends while the upload is being written. Guards
// against an answer that is taken for complete though the connection was reset, and against one that is not though it was closed.
func TestTransport_ConnectionEndsDuringUpload(t *testing.T) {
	const tries = 40
	for _, early := range replica.EarlyEnds() {
		t.Run(early.Name, func(t *testing.T) {
			t.Parallel()
			raw, err := replica.ServeEarly(func(c *net.TCPConn, r *http.Request) bool {
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\npart")
				early.End(c, r)
				return false
			})
			require.NoError(t, err)
			t.Cleanup(raw.Close)
			transport := httpcheck.NewTransport(&http.Transport{})
			wrong := 0
			for range tries {
				body, err := upload(t, transport, "http://"+raw.Address())
				switch {
				case early.Broken && err == nil:
					wrong++
				case !early.Broken:
					require.NoError(t, err)
					require.Equal(t, "part", body)
				}
			}
			require.Zero(t, wrong, "of %d broken answers were taken for complete", tries)
		})
	}
}

// As above, over TLS, whose connections return io.EOF also where the other side has not announced the end.
func TestTransport_ResetDuringUploadOverTLS(t *testing.T) {
	const tries = 40
	server := httptest.NewTLSServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		c, _, err := w.(http.Hijacker).Hijack() //nolint:forcetypeassert // HTTP/1.1 can be hijacked
		if err != nil {
			return
		}
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\npart")
		tcp := c.(*tls.Conn).NetConn().(*net.TCPConn) //nolint:forcetypeassert // they are
		_ = tcp.SetLinger(0)
		_ = tcp.Close()
	}))
	t.Cleanup(server.Close)
	config := server.Client().Transport.(*http.Transport).TLSClientConfig //nolint:forcetypeassert // it is one
	transport := httpcheck.NewTransport(&http.Transport{TLSClientConfig: config})
	wrong := 0
	for range tries {
		if _, err := upload(t, transport, server.URL); err == nil {
			wrong++
		}
	}
	require.Zero(t, wrong, "of %d broken answers were taken for complete", tries)
}
