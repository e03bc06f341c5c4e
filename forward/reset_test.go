package forward

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jasminelock/jasminelock/standin/replica"
)

// uploadBytes is the size of a request body that the buffers of a connection to a server that does not read cannot hold.
const uploadBytes = 8 << 20

// upload sends a request with a body of uploadBytes and reads its response.
func upload(t *testing.T, p *Pool, address string) (string, error) {
	r := newRequest("1")
	r.Method, r.Body = http.MethodPost, make([]byte, uploadBytes)
	resp, err := p.Do(t.Context(), "u", address, r, time.Minute)
	if err != nil {
		return "", err
	}
	defer resp.Close()
	body, err := io.ReadAll(resp)
	return string(body), err
}

// An upstream answers a long upload at once, without a length, and its connection ends while the upload is being written. Guards
// against an answer that is taken for complete though the connection was reset, and against one that is not though it was closed.
func TestRead_ConnectionEndsDuringUpload(t *testing.T) {
	const tries = 40
	for _, early := range replica.EarlyEnds() {
		t.Run(early.Name, func(t *testing.T) {
			t.Parallel()
			raw, err := replica.ServeEarly(func(c *net.TCPConn, r *http.Request) bool {
				_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: 1\r\n\r\npart", idHeader)
				early.End(c, r)
				return false
			})
			require.NoError(t, err)
			t.Cleanup(raw.Close)
			wrong := 0
			for range tries {
				body, err := upload(t, newTestPool(), raw.Address())
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

// A server accepts no more of a long upload, so that the connection times out. Guards against an answer that is taken for complete.
func TestRead_ConnectionTimesOutDuringUpload(t *testing.T) {
	const tries = 40
	raw, err := replica.ServeEarly(func(c *net.TCPConn, _ *http.Request) bool {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: 1\r\n\r\npart", idHeader)
		<-t.Context().Done()
		return false
	})
	require.NoError(t, err)
	t.Cleanup(raw.Close)
	pool := New(Options{DialTimeout: time.Second, TCPUserTimeout: 300 * time.Millisecond, RequestIDHeader: idHeader})
	errs := make(chan error, tries)
	for range tries {
		go func() {
			_, err := upload(t, pool, raw.Address())
			errs <- err
		}()
	}
	for range tries {
		require.Error(t, <-errs)
	}
}
