package upstream_test

import (
	"context"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jasminelock/jasminelock/standin/replica"
	"github.com/jasminelock/jasminelock/upstream"
)

// An upstream in trouble answers calls, reports and orders with an invalid status, with a body that looks like a response, on
// a new connection and on one that has been used. Guards against that body being taken as the response, against a call that
// waits for its deadline, and against an error that says that the call was not sent.
func TestClient_InvalidResponse(t *testing.T) {
	const first = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"
	for name, call := range map[string]func(ctx context.Context, c *upstream.Client, base string) error{
		"call": func(ctx context.Context, c *upstream.Client, base string) error {
			resp, err := c.Call(ctx, base, upstream.Call{Attempt: "1", Method: http.MethodPost, Path: "/", Body: []byte("x")})
			if err == nil {
				_, err = io.Copy(io.Discard, resp.Body)
				_ = resp.Body.Close()
			}
			return err
		},
		"call on a new connection": func(ctx context.Context, c *upstream.Client, base string) error {
			resp, err := c.Call(ctx, base, upstream.Call{Attempt: "1", Method: http.MethodGet, Path: "/", NewConnection: true})
			if err == nil {
				_, err = io.Copy(io.Discard, resp.Body)
				_ = resp.Body.Close()
			}
			return err
		},
		"report": func(ctx context.Context, c *upstream.Client, base string) error {
			_, err := c.Report(ctx, base)
			return err
		},
		"order": func(ctx context.Context, c *upstream.Client, base string) error {
			return c.Load(ctx, base, upstream.LoadOrder{Name: "a", Source: "s", Fence: 1})
		},
	} {
		for kind, responses := range replica.SampleResponses() {
			t.Run(name+"/"+kind, func(t *testing.T) {
				t.Parallel()
				for _, odd := range responses {
					for _, first := range []string{"", first} {
						if first != "" && name == "call on a new connection" {
							continue
						}
						server, err := replica.ServeOdd(first, odd)
						require.NoError(t, err)
						client := upstream.NewClient()
						ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
						sent := int64(1)
						if first != "" {
							sent = 2
							require.NoError(t, call(ctx, client, "http://"+server.Address()))
						}
						err = call(ctx, client, "http://"+server.Address())
						require.Error(t, err, odd.Name)
						require.NoError(t, ctx.Err(), odd.Name)
						require.NotErrorIs(t, err, context.DeadlineExceeded, odd.Name)
						require.NotErrorIs(t, err, upstream.ErrNotSent, odd.Name)
						require.Equal(t, sent, server.Received(), odd.Name)
						require.Eventually(t, func() bool { return server.OpenConnections() == 0 }, time.Minute, time.Millisecond, odd.Name)
						cancel()
						server.Close()
					}
				}
			})
		}
	}
}
