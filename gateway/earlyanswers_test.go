package gateway_test

import (
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/jasminelock/jasminelock/apierr"
	"github.com/jasminelock/jasminelock/configstore"
	"github.com/jasminelock/jasminelock/settings"
	"github.com/jasminelock/jasminelock/standin/replica"
	"github.com/jasminelock/jasminelock/standin/service"
)

// A plain service answers a long upload at once, without a length, and its connection ends while the upload is being written.
// Guards against callers that receive the part before a reset as a complete answer, and against callers that do not receive an
// answer that ends with a clean close.
func TestEarlyAnswers_ResetsNeverLookComplete(t *testing.T) {
	const tries = 12
	upload := strings.Repeat("x", 3<<20)
	for _, early := range replica.EarlyEnds() {
		t.Run(early.Name, func(t *testing.T) {
			t.Parallel()
			f := startFleet(t, fleetOptions{requests: settings.Requests{MaxBodyBytes: 2 * int64(len(upload))}})
			var reached atomic.Int64
			control := service.New(0)
			raw, err := replica.ServeEarly(func(c *net.TCPConn, r *http.Request) bool {
				if isControl(r) {
					return answerControl(c, r, control)
				}
				reached.Add(1)
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\npart")
				early.End(c, r)
				return false
			})
			require.NoError(t, err)
			t.Cleanup(raw.Close)
			// Each is avoided for a while after an answer that broke off.
			records := append(serviceUpstreams("early", raw.Address(), 2*tries), envelope("route", "once", `{"prefix":"/once","pool":"early","cost_tokens":1}`))
			_, err = configstore.Write(t.Context(), f.client, configstore.Change{Operation: "early", Records: records})
			require.NoError(t, err)
			complete := 0
			for range tries {
				before := reached.Load()
				r := f.mustReach("/once", upload, func() bool { return reached.Load() > before })
				if r.status == http.StatusOK && r.readErr == nil {
					complete++
					require.Equal(t, "part", r.body)
					continue
				}
				require.Equal(t, apierr.OutcomeUnknown.String(), r.errorBody(t).Code, r.body)
			}
			require.Equal(t, early.CompleteOf(tries), complete, "delivered as complete")
		})
	}
}
