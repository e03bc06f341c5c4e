package upstream_test

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/jasminelock/jasminelock/standin/replica"
	"github.com/jasminelock/jasminelock/upstream"
)

// An upstream breaks off the response to an order or to a request for a report after any number of bytes. Guards against one that
// is taken for complete.
func TestController_BrokenResponsesAreErrors(t *testing.T) {
	const report = `{"incarnation":"i","sequence":4,"adapters":[{"name":"a@1"}]}`
	client := upstream.NewClient()
	for framing, response := range replica.JSONResponses(report) {
		for after := range len(response) + 1 {
			raw, err := replica.ServeRaw(func(c *net.TCPConn, _ *http.Request) bool {
				_, _ = io.WriteString(c, response[:after])
				return false
			})
			require.NoError(t, err)
			got, reportErr := client.Report(t.Context(), "http://"+raw.Address())
			orderErr := client.Load(t.Context(), "http://"+raw.Address(), upstream.LoadOrder{Name: "a@1", Source: "s", Fence: 1})
			raw.Close()
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
