package host

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jasminelock/jasminelock/standin/caller"
	"github.com/jasminelock/jasminelock/standin/replica"
	"github.com/jasminelock/jasminelock/standin/tables"
)

// streamEnd is the end of a stream that an upstream has cut off: how many events it has sent, and the error of the last one.
type streamEnd struct {
	events int
	err    error
}

const (
	// cutEvents is the number of events after which the upstream cuts off a stream in any case, if it does so at all.
	cutEvents = 100
	// wholeStream is the answer to requests with the path wholePath.
	wholeStream = "id: 1\ndata: whole\n\n"
	wholePath   = "/chat/whole"
)

// serveCutStreams starts an upstream that cuts off streams which are not read, and, if always is set, also the others after
// cutEvents events.
func serveCutStreams(t *testing.T, always bool) (address string, cut <-chan streamEnd) {
	ends := make(chan streamEnd, 8)
	raw, err := replica.ServeRaw(func(c *net.TCPConn, req *http.Request) bool {
		if replica.IsControl(req) {
			return false
		}
		head := replica.SignedHead(req, streamType)
		if req.URL.Path == wholePath {
			_, err := fmt.Fprintf(c, "%sContent-Length: %d\r\n\r\n%s", head, len(wholeStream), wholeStream)
			return err == nil
		}
		event := "id: 1\ndata: " + strings.Repeat("d", 8000) + "\n\n"
		_, err := io.WriteString(c, head+"Connection: close\r\nTransfer-Encoding: chunked\r\n\r\n")
		sent := 0
		for ; err == nil && (sent < cutEvents || !always); sent++ {
			_ = c.SetWriteDeadline(time.Now().Add(1500 * time.Millisecond))
			_, err = io.WriteString(c, "1f4e\r\n"+event+"\r\n")
		}
		ends <- streamEnd{sent, err}
		return false
	})
	require.NoError(t, err)
	t.Cleanup(raw.Close)
	return raw.Address(), ends
}

// await returns the end of the stream, which must come before the context ends.
func await(ctx context.Context, t *testing.T, cut <-chan streamEnd) streamEnd {
	t.Helper()
	select {
	case end := <-cut:
		return end
	case <-ctx.Done():
		require.Fail(t, "the upstream has not cut off the stream")
		return streamEnd{}
	}
}

// An upstream cuts off a response that is not read for some seconds. The request must not be suspected of having ended the
// upstream, as it is if the upstream cuts off a response that is read, and the upstream must get further requests.
func TestSlowCaller_UpstreamNotBlamed(t *testing.T) {
	for name, reads := range map[string]bool{"caller reads": true, "caller does not read": false} {
		t.Run(name, func(t *testing.T) {
			d := newDeployment(t)
			address, cut := serveCutStreams(t, reads)
			d.tables.PutUpstream("e1", tables.Upstream{Address: address, Slots: 8, StartedAt: 1, Model: "m", Service: "engines"})
			h := d.addHost("h1")
			ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
			defer cancel()
			send := func(path, id string) *http.Response {
				req, err := (&caller.Call{
					Method: http.MethodPost, Path: path, Body: "prompt", ID: id, Key: "key", Model: "m", PromptTokens: 10, OutputTokens: 10,
				}).Request(ctx, h.settings.Listen.Callers)
				require.NoError(t, err)
				resp, err := http.DefaultTransport.RoundTrip(req)
				require.NoError(t, err)
				t.Cleanup(func() { _ = resp.Body.Close() })
				require.Equal(t, http.StatusOK, resp.StatusCode)
				return resp
			}
			resp := send("/chat/x", "slow")
			if !reads {
				require.ErrorIs(t, await(ctx, t, cut).err, os.ErrDeadlineExceeded, "cut off, but not since it is not read")
			}
			_, err := io.Copy(io.Discard, resp.Body)
			require.Error(t, err, "the stream is incomplete")
			require.NoError(t, ctx.Err(), "the stream did not end by itself")
			if reads {
				require.Equal(t, streamEnd{events: cutEvents}, await(ctx, t, cut))
				require.Eventually(t, func() bool { return h.broker.Stats().Suspected == 1 }, testTimeout, 10*time.Millisecond)
				return
			}
			require.Eventually(t, func() bool { return h.server.Running() == 0 }, testTimeout, 10*time.Millisecond)
			require.Zero(t, h.broker.Stats().Suspected)
			body, err := io.ReadAll(send(wholePath, "after").Body) // the broker has handled the end of the first one by then
			require.NoError(t, err)
			require.Equal(t, wholeStream, string(body))
			require.Zero(t, h.broker.Stats().Suspected)
		})
	}
}
