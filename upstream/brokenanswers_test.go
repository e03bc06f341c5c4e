package upstream_test

import (
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/jasminelock/jasminelock/standin/replica"
	"github.com/jasminelock/jasminelock/upstream"
)

// An upstream breaks off the response to an order or to a request for a report after any number of bytes. Guards against one that
// is taken for complete.
func TestController_BrokenResponsesAreErrors(t *testing.T) {
	const report = `{"incarnation":"i","sequence":4,"adapters":[{"name":"a@1"}]}`
	for framing, response := range replica.JSONResponses(report) {
		var sent atomic.Int64
		raw, err := replica.ServeRaw(func(c *net.TCPConn, _ *http.Request) bool {
			_, _ = io.WriteString(c, response[:sent.Load()])
			return false
		})
		require.NoError(t, err)
		t.Cleanup(raw.Close)
		for after := range len(response) + 1 {
			sent.Store(int64(after))
			// Each call has a client of its own, since the server closes the connection after a response.
			got, reportErr := upstream.NewClient().Report(t.Context(), "http://"+raw.Address())
			orderErr := upstream.NewClient().Load(t.Context(), "http://"+raw.Address(), upstream.LoadOrder{Name: "a@1", Source: "s", Fence: 1})
			if after == len(response) {
				require.NoError(t, reportErr)
				require.EqualValues(t, 4, got.Sequence)
				require.NoError(t, orderErr)
				continue
			}
			require.Error(t, reportErr, "framing %d, %d bytes", framing, after)
			// An order's response has no body that is read; where only the connection frames it, its head suffices.
			if framing < 2 || after <= strings.Index(response, "\r\n\r\n") {
				require.Error(t, orderErr, "framing %d, %d bytes", framing, after)
			}
		}
	}
}
