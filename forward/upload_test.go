package forward

import (
	"context"
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

// partHead is the head of a response without a length to the request of upload, and partBody its body.
const partHead, partBody = "HTTP/1.1 200 OK\r\n" + idHeader + ": 1\r\n\r\n", "part"

// upload sends a request with a body of uploadBytes and reads its response, which must be partBody.
func upload(ctx context.Context, p *Pool, address string) error {
	r := newRequest("1")
	r.Method, r.Body = http.MethodPost, make([]byte, uploadBytes)
	resp, err := p.Do(ctx, "u", address, r, time.Minute)
	if err != nil {
		return err
	}
	defer resp.Close()
	body, err := io.ReadAll(resp)
	if err == nil && string(body) != partBody {
		return fmt.Errorf("body is %q", body)
	}
	return err
}

// An upstream answers a long upload at once, without a length, and its connection ends while the upload is being written. Guards
// against an answer that is taken for complete though the connection was reset, and against one that is not though it was closed.
func TestRead_ConnectionEndsDuringUpload(t *testing.T) {
	const tries = 40
	for _, early := range replica.EarlyEnds() {
		t.Run(early.Name, func(t *testing.T) {
			t.Parallel()
			complete, err := early.CountComplete(tries, partHead+partBody, func(address string) error {
				return upload(t.Context(), newTestPool(), address)
			})
			require.NoError(t, err)
			require.Equal(t, early.CompleteOf(tries), complete, "taken for complete")
		})
	}
}

// A server accepts no more of a long upload, so that the connection times out. Guards against an answer that is taken for complete.
func TestRead_ConnectionTimesOutDuringUpload(t *testing.T) {
	const tries = 40
	raw, err := replica.ServeEarly(func(c *net.TCPConn, _ *http.Request) bool {
		_, _ = io.WriteString(c, partHead+partBody)
		<-t.Context().Done()
		return false
	})
	require.NoError(t, err)
	t.Cleanup(raw.Close)
	pool := New(Options{DialTimeout: time.Second, TCPUserTimeout: 300 * time.Millisecond, RequestIDHeader: idHeader})
	errs := make(chan error, tries)
	for range tries {
		go func() { errs <- upload(t.Context(), pool, raw.Address()) }()
	}
	for range tries {
		require.Error(t, <-errs)
	}
}
