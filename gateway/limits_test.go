package gateway_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jasminelock/jasminelock/apierr"
	"github.com/jasminelock/jasminelock/settings"
	"github.com/jasminelock/jasminelock/standin/engine"
)

func TestMaxBodyBytes(t *testing.T) {
	f := startFleet(t, fleetOptions{})
	for _, path := range []string{"/v1/chat/completions", "/v1/completions", "/orders"} {
		r := f.mustDo(http.MethodPost, path, strings.Repeat("x", 65<<10), nil)
		require.Equal(t, http.StatusRequestEntityTooLarge, r.status)
		require.Equal(t, apierr.BodyTooLarge.String(), r.errorBody(t).Code)
	}
	require.Empty(t, f.service.Executions())
}

func TestMaxHeaderBytes(t *testing.T) {
	f := startFleet(t, fleetOptions{})
	r := f.mustDo(http.MethodGet, "/v1/models", "", http.Header{"X-Bomb": {strings.Repeat("x", 64<<10)}})
	require.Equal(t, http.StatusRequestHeaderFieldsTooLarge, r.status)
}

// openRaw opens a new TCP connection to the first host and sends text.
func (f *fleet) openRaw(text string) net.Conn {
	f.t.Helper()
	conn, err := net.Dial("tcp", strings.TrimPrefix(f.url(0), "http://"))
	require.NoError(f.t, err)
	f.t.Cleanup(func() { _ = conn.Close() })
	_, err = conn.Write([]byte(text))
	require.NoError(f.t, err)
	return conn
}

func postHeader(path string, length int) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n", path, aliceKey, length)
}

func TestReadTimeout_SlowSender(t *testing.T) {
	f := startFleet(t, fleetOptions{requests: settings.Requests{ReadTimeout: settings.Duration(50 * time.Millisecond)}})
	for _, path := range []string{"/v1/chat/completions", "/orders"} {
		conn := f.openRaw(postHeader(path, 100) + `{"model":`)
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		require.NoError(t, err)
		require.Equal(t, http.StatusRequestTimeout, resp.StatusCode)
		require.NotEmpty(t, resp.Header.Get("Retry-After"))
		_, _ = io.Copy(io.Discard, resp.Body)
		_, err = conn.Read(make([]byte, 1))
		require.ErrorIs(t, err, io.EOF, "the connection is not closed after the response")
	}
	// The connection of a sender that stops inside the header is closed.
	conn := f.openRaw("POST /orders HTTP/1.1\r\nHost: h\r\n")
	_, err := io.ReadAll(conn)
	require.NoError(t, err)
	require.Empty(t, f.service.Executions())
}

func TestReadTimeout_LongResponse(t *testing.T) {
	f := startFleet(t, fleetOptions{
		requests: settings.Requests{ReadTimeout: settings.Duration(40 * time.Millisecond)},
		engine:   engine.Settings{FirstTokenTime: 100 * time.Millisecond, TokenTime: 20 * time.Millisecond},
	})
	for _, body := range []string{chatBody, streamBody} {
		r := f.mustDo(http.MethodPost, "/v1/chat/completions", body, nil)
		require.NoError(t, r.readErr)
		require.Equal(t, http.StatusOK, r.status)
	}
}

func TestRequestTimeout_DuringAttempt(t *testing.T) {
	f := startFleet(t, fleetOptions{
		requests: settings.Requests{Timeout: settings.Duration(500 * time.Millisecond)},
		engine:   engine.Settings{FirstTokenTime: time.Hour},
	})
	waitFor(func() bool { // before the adapter is loaded, a request can reach its deadline undispatched
		r := f.mustDo(http.MethodPost, "/v1/chat/completions", streamBody, nil)
		require.Equal(t, apierr.DeadlineExceeded.String(), r.errorBody(t).Code, r.body)
		require.NotEmpty(t, r.header.Get("Retry-After"))
		return r.errorBody(t).Ran == apierr.MayHaveRun.String()
	})
	waitFor(func() bool { return f.engines[0].Running() == 0 })
}

// waitFor waits until cond returns true. Only the timeout of the test bounds it.
func waitFor(cond func() bool) {
	for !cond() {
		time.Sleep(time.Millisecond)
	}
}

func TestDisconnect_CancelsUpstreamStream(t *testing.T) {
	for _, resumable := range []bool{false, true} {
		t.Run(fmt.Sprintf("resumable=%v", resumable), func(t *testing.T) {
			// Without the cancel call the response would last longer than the test.
			f := startFleet(t, fleetOptions{engine: engine.Settings{TokenTime: time.Hour, Resumable: resumable}})
			ctx, cancel := context.WithCancel(t.Context())
			req, err := http.NewRequestWithContext(ctx, http.MethodPost, f.url(0)+"/v1/chat/completions", strings.NewReader(streamBody))
			require.NoError(t, err)
			req.Header.Set("Authorization", "Bearer "+aliceKey)
			resp, err := http.DefaultClient.Do(req)
			require.NoError(t, err)
			_, err = resp.Body.Read(make([]byte, 1))
			require.NoError(t, err)
			cancel()
			waitFor(func() bool { return f.hosts[0].Status().InFlight == 0 })
			waitFor(func() bool { return f.engines[0].Running() == 0 })
			waitFor(func() bool { return len(f.engines[0].Cancelled()) == 1 })
		})
	}
}

func TestDisconnect_KeepsNonRepeatableCall(t *testing.T) {
	f := startFleet(t, fleetOptions{})
	f.service.SetDelay(50 * time.Millisecond)
	ctx, cancel := context.WithCancel(t.Context())
	header := http.Header{"Authorization": {"Bearer " + aliceKey}, "Idempotency-Key": {"order-1"}}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, f.url(0)+"/orders", strings.NewReader("kit"))
	require.NoError(t, err)
	req.Header = header
	go func() {
		waitFor(func() bool { return len(f.service.Executions()) == 1 })
		cancel()
	}()
	_, err = http.DefaultClient.Do(req)
	require.ErrorIs(t, err, context.Canceled)
	r := f.mustDo(http.MethodPost, "/orders", "kit", header)
	require.Equal(t, http.StatusOK, r.status, r.body)
	require.Equal(t, "true", r.header.Get("Idempotency-Replayed"))
	require.Len(t, f.service.Executions(), 1)
}

func TestWriteTimeout_SlowReader(t *testing.T) {
	f := startFleet(t, fleetOptions{requests: settings.Requests{WriteTimeout: settings.Duration(50 * time.Millisecond)}})
	f.service.SetAnswer(make([]byte, 15<<20)) // larger than the socket buffers
	conn := f.openRaw(postHeader("/orders", 1) + "x")
	waitFor(func() bool { return len(f.service.Executions()) == 1 })
	waitFor(func() bool { return f.hosts[0].Status().InFlight == 0 })
	// The caller can tell that the response is incomplete.
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err)
	_, err = io.ReadAll(resp.Body)
	require.Error(t, err)
}

func TestRateLimitHeaders_RequestOverBurst(t *testing.T) {
	f := startFleet(t, fleetOptions{})
	r := f.mustDo(http.MethodPost, "/v1/chat/completions", `{"model":"alice-menu","max_tokens":900000,"messages":[]}`, nil)
	require.Equal(t, http.StatusOK, r.status)
	require.Equal(t, "1000000", r.header.Get("X-Ratelimit-Limit-Tokens"))
	require.NotEmpty(t, r.header.Get("X-Ratelimit-Remaining-Tokens"))
	// A request for two choices of 900,000 tokens exceeds the burst of 1,000,000.
	r = f.mustDo(http.MethodPost, "/v1/chat/completions", `{"model":"alice-menu","n":2,"max_tokens":900000,"messages":[]}`, nil)
	require.Equal(t, http.StatusTooManyRequests, r.status)
	require.Equal(t, "1000000", r.header.Get("X-Ratelimit-Limit-Tokens"))
	require.Empty(t, r.header.Get("Retry-After"), "a request over the burst cannot succeed on a retry")
}
