package httpcheck_test

import (
	"bytes"
	"context"
	"crypto/tls"
	"fmt"
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

// part is a response without a length whose body is partBody.
const part, partBody = "HTTP/1.1 200 OK\r\n\r\n" + partBody, "part"

// upload sends a request with a body of uploadBytes and reads its response, which must be part.
func upload(ctx context.Context, transport http.RoundTripper, url string) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(make([]byte, uploadBytes)))
	if err != nil {
		return err
	}
	resp, err := transport.RoundTrip(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err == nil && string(body) != partBody {
		return fmt.Errorf("body is %q", body)
	}
	return err
}

// A server answers a long upload at once, without a length, and its connection ends while the upload is being written. Guards
// against an answer that is taken for complete though the connection was reset, and against one that is not though it was closed.
func TestTransport_ConnectionEndsDuringUpload(t *testing.T) {
	const tries = 40
	for _, early := range replica.EarlyEnds() {
		t.Run(early.Name, func(t *testing.T) {
			t.Parallel()
			transport := httpcheck.NewTransport(&http.Transport{})
			complete, err := early.CountComplete(tries, part, func(address string) error {
				return upload(t.Context(), transport, "http://"+address)
			})
			require.NoError(t, err)
			require.Equal(t, early.CompleteOf(tries), complete, "taken for complete")
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
		_, _ = io.WriteString(c, part)
		tcp := c.(*tls.Conn).NetConn().(*net.TCPConn) //nolint:forcetypeassert // they are
		_ = tcp.SetLinger(0)
		_ = tcp.Close()
	}))
	t.Cleanup(server.Close)
	config := server.Client().Transport.(*http.Transport).TLSClientConfig //nolint:forcetypeassert // it is one
	transport := httpcheck.NewTransport(&http.Transport{TLSClientConfig: config})
	wrong := 0
	for range tries {
		if upload(t.Context(), transport, server.URL) == nil {
			wrong++
		}
	}
	require.Zero(t, wrong, "of %d broken answers were taken for complete", tries)
}
