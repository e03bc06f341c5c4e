package host

import (
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jasminelock/jasminelock/standin/caller"
	"github.com/jasminelock/jasminelock/standin/replica"
	"github.com/jasminelock/jasminelock/standin/tables"
)

// An upstream cuts off a response that is not read for some seconds. The request must not be suspected of having ended the
// upstream, as it is if the upstream cuts off a response that is read.
func TestSlowCaller_UpstreamNotBlamed(t *testing.T) {
	for name, reads := range map[string]bool{"caller reads": true, "caller does not read": false} {
		t.Run(name, func(t *testing.T) {
			d := newDeployment(t)
			cut := make(chan struct{})
			var once sync.Once
			raw, err := replica.ServeRaw(func(c *net.TCPConn, req *http.Request) bool {
				if replica.IsControl(req) {
					return false
				}
				event := "id: 1\ndata: " + strings.Repeat("d", 8000) + "\n\n"
				_, err := io.WriteString(c, replica.SignedHead(req, streamType)+"Connection: close\r\nTransfer-Encoding: chunked\r\n\r\n")
				for sent := 0; err == nil && (sent < 100 || !reads); sent++ {
					_ = c.SetWriteDeadline(time.Now().Add(1500 * time.Millisecond))
					_, err = io.WriteString(c, "1f4e\r\n"+event+"\r\n")
				}
				once.Do(func() { close(cut) })
				return false
			})
			require.NoError(t, err)
			t.Cleanup(raw.Close)
			d.tables.PutUpstream("e1", tables.Upstream{Address: raw.Address(), Slots: 8, StartedAt: 1, Model: "m", Service: "engines"})
			h := d.addHost("h1")
			req, err := (&caller.Call{
				Method: http.MethodPost, Path: "/chat/x", Body: "prompt", ID: "slow", Key: "key", Model: "m", PromptTokens: 10, OutputTokens: 10,
			}).Request(t.Context(), h.settings.Listen.Callers)
			require.NoError(t, err)
			resp, err := http.DefaultTransport.RoundTrip(req)
			require.NoError(t, err)
			if !reads {
				<-cut
			}
			_, err = io.Copy(io.Discard, resp.Body)
			require.Error(t, err, "the stream is incomplete")
			_ = resp.Body.Close()
			if reads {
				require.Eventually(t, func() bool { return h.broker.Stats().Suspected == 1 }, testTimeout, 10*time.Millisecond)
				return
			}
			require.Eventually(t, func() bool { return h.server.Running() == 0 }, testTimeout, 10*time.Millisecond)
			require.Zero(t, h.broker.Stats().Suspected)
		})
	}
}
