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

func TestBodyOverTheLimitIsRefused(t *testing.T) {
	f := startFleet(t, fleetOptions{})
	for _, path := range []string{"/v1/chat/completions", "/v1/completions", "/orders"} {
		r := f.must(http.MethodPost, path, strings.Repeat("x", 65<<10), nil)
		require.Equal(t, http.StatusRequestEntityTooLarge, r.status)
		require.Equal(t, apierr.BodyTooLarge.String(), r.failure(t).Code)
	}
	require.Empty(t, f.service.Executions())
}

func TestHeaderBombIsRefused(t *testing.T) {
	f := startFleet(t, fleetOptions{})
	r := f.must(http.MethodGet, "/v1/models", "", http.Header{"X-Bomb": {strings.Repeat("x", 64<<10)}})
	require.Equal(t, http.StatusRequestHeaderFieldsTooLarge, r.status)
}

// raw opens a connection of its own and sends text.
func (f *fleet) raw(text string) net.Conn {
	f.t.Helper()
	conn, err := net.Dial("tcp", strings.TrimPrefix(f.url(0), "http://"))
	require.NoError(f.t, err)
	f.t.Cleanup(func() { _ = conn.Close() })
	_, err = conn.Write([]byte(text))
	require.NoError(f.t, err)
	return conn
}

func postHead(path string, length int) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n", path, aliceKey, length)
}

func TestSlowSenderIsRefused(t *testing.T) {
	f := startFleet(t, fleetOptions{requests: settings.Requests{ReadTimeout: settings.Duration(50 * time.Millisecond)}})
	for _, path := range []string{"/v1/chat/completions", "/orders"} {
		conn := f.raw(postHead(path, 100) + `{"model":`)
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		require.NoError(t, err)
		require.Equal(t, http.StatusRequestTimeout, resp.StatusCode)
		require.NotEmpty(t, resp.Header.Get("Retry-After"))
		_, _ = io.Copy(io.Discard, resp.Body)
		_, err = conn.Read(make([]byte, 1))
		require.ErrorIs(t, err, io.EOF, "the connection stays open")
	}
	// A sender that stops inside the header is cut off.
	conn := f.raw("POST /orders HTTP/1.1\r\nHost: h\r\n")
	_, err := io.ReadAll(conn)
	require.NoError(t, err)
	require.Empty(t, f.service.Executions())
}

func TestReadTimeoutDoesNotCutALongAnswer(t *testing.T) {
	f := startFleet(t, fleetOptions{
		requests: settings.Requests{ReadTimeout: settings.Duration(40 * time.Millisecond)},
		engine:   engine.Settings{FirstTokenTime: 100 * time.Millisecond, TokenTime: 20 * time.Millisecond},
	})
	for _, body := range []string{chatBody, streamBody} {
		r := f.must(http.MethodPost, "/v1/chat/completions", body, nil)
		require.NoError(t, r.readErr)
		require.Equal(t, http.StatusOK, r.status)
	}
}

func TestADeadlineWhileAttemptingIsToldAtOnceAndTruthfully(t *testing.T) {
	f := startFleet(t, fleetOptions{
		requests: settings.Requests{Timeout: settings.Duration(500 * time.Millisecond)},
		engine:   engine.Settings{FirstTokenTime: time.Hour},
	})
	waitFor(func() bool { // until the adapter is loaded, a request can end before its dispatch
		r := f.must(http.MethodPost, "/v1/chat/completions", streamBody, nil)
		require.Equal(t, apierr.DeadlineExceeded.String(), r.failure(t).Code, r.body)
		require.NotEmpty(t, r.header.Get("Retry-After"))
		return r.failure(t).Ran == apierr.MayHaveRun.String()
	})
	waitFor(func() bool { return f.engines[0].Running() == 0 })
}

// waitFor waits until cond holds. The test's own timeout is the only bound.
func waitFor(cond func() bool) {
	for !cond() {
		time.Sleep(time.Millisecond)
	}
}

func TestDisconnectMidwayCancelsTheStreamUpstream(t *testing.T) {
	for _, resumable := range []bool{false, true} {
		t.Run(fmt.Sprintf("resumable=%v", resumable), func(t *testing.T) {
			// Without the cancel the answer would go on for longer than the test.
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

func TestDisconnectDoesNotCancelWhatMayNotBeRepeated(t *testing.T) {
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
	r := f.must(http.MethodPost, "/orders", "kit", header)
	require.Equal(t, http.StatusOK, r.status, r.body)
	require.Equal(t, "true", r.header.Get("Idempotency-Replayed"))
	require.Len(t, f.service.Executions(), 1)
}

func TestSlowReaderIsLeft(t *testing.T) {
	f := startFleet(t, fleetOptions{requests: settings.Requests{WriteTimeout: settings.Duration(50 * time.Millisecond)}})
	f.service.SetAnswer(make([]byte, 15<<20)) // more than the sockets' buffers hold
	conn := f.raw(postHead("/orders", 1) + "x")
	waitFor(func() bool { return len(f.service.Executions()) == 1 })
	waitFor(func() bool { return f.hosts[0].Status().InFlight == 0 })
	// The answer is not whole, and the caller can tell.
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err)
	_, err = io.ReadAll(resp.Body)
	require.Error(t, err)
}

func TestEveryRefusalThatARetryCanCureSaysWhenToComeBack(t *testing.T) {
	f := startFleet(t, fleetOptions{})
	r := f.must(http.MethodPost, "/v1/chat/completions", `{"model":"alice-menu","max_tokens":900000,"messages":[]}`, nil)
	require.Equal(t, http.StatusOK, r.status)
	require.Equal(t, "1000000", r.header.Get("X-Ratelimit-Limit-Tokens"))
	require.NotEmpty(t, r.header.Get("X-Ratelimit-Remaining-Tokens"))
	// Two requests of 900,000 tokens in flight are over the burst of a million.
	r = f.must(http.MethodPost, "/v1/chat/completions", `{"model":"alice-menu","n":2,"max_tokens":900000,"messages":[]}`, nil)
	require.Equal(t, http.StatusTooManyRequests, r.status)
	require.Equal(t, "1000000", r.header.Get("X-Ratelimit-Limit-Tokens"))
	require.Empty(t, r.header.Get("Retry-After"), "no retry can cure a request over the burst")
}
