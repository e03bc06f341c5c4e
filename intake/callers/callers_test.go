package callers_test

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jasminelock/jasminelock/intake"
	"github.com/jasminelock/jasminelock/intake/callers"
)

// serve starts a server behind a gate.
func serve(t *testing.T, l intake.Limits, handler func(*callers.Request, http.ResponseWriter, *http.Request)) (string, *callers.Gate) {
	gate := callers.NewGate(l)
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		held, err := callers.Begin(r)
		defer held.End()
		if err != nil {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		handler(held, w, r)
	})}
	gate.Attach(server)
	raw, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	go func() { _ = server.Serve(gate.Listen(raw)) }()
	t.Cleanup(func() { _ = server.Close() })
	return raw.Addr().String(), gate
}

var wide = intake.Limits{Bytes: 64 << 20, Connections: 100, PerConnection: 32 << 20, PerKey: 64 << 20}

// Requests of ordinary callers on one connection must be served one after the other, with and without bodies, and nothing must
// be held afterwards.
func TestGate_RequestsOnOneConnection(t *testing.T) {
	address, gate := serve(t, wide, func(held *callers.Request, w http.ResponseWriter, r *http.Request) {
		body, err := held.ReadBody(http.MaxBytesReader(w, r.Body, 1<<20), r.ContentLength, 1<<20)
		if err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		_, _ = w.Write(body)
	})
	client := &http.Client{}
	for _, size := range []int{0, 1, 5, 16 << 10, 16<<10 + 1, 1 << 20, 0, 7} {
		for _, chunked := range []bool{false, true} {
			body := strings.Repeat("x", size)
			var in io.Reader = strings.NewReader(body)
			if chunked {
				in = io.MultiReader(in)
			}
			req, err := http.NewRequest(http.MethodPost, "http://"+address, in)
			require.NoError(t, err)
			resp, err := client.Do(req)
			require.NoError(t, err, "size %d", size)
			got, err := io.ReadAll(resp.Body)
			require.NoError(t, err)
			_ = resp.Body.Close()
			require.Equal(t, http.StatusOK, resp.StatusCode)
			require.Equal(t, body, string(got))
		}
	}
	require.Equal(t, 1, gate.Budget().Connections())
	client.CloseIdleConnections()
	require.Eventually(t, func() bool { return gate.Budget().Connections() == 0 }, testTimeout, pollInterval)
	for _, k := range intake.Kinds() {
		require.Zero(t, gate.Budget().Held(k), k)
	}
}

const (
	// testTimeout is how long a condition is waited for. It is long, so that only a condition that never holds fails a test.
	testTimeout  = 30 * time.Second
	pollInterval = 5 * time.Millisecond
)
