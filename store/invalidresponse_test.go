package store_test

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jasminelock/jasminelock/standin/replica"
	"github.com/jasminelock/jasminelock/store"
)

// The store answers with an invalid status and a body that looks like a response, on a new connection and on a reused one. Guards
// against a write that counts as committed, a body that is read as a response, and a call that waits until its deadline.
func TestClient_InvalidResponse(t *testing.T) {
	const first = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"
	for name, call := range map[string]func(ctx context.Context, c *store.Client) error{
		"read": func(ctx context.Context, c *store.Client) error {
			_, err := c.Get(ctx, "t", "k")
			return err
		},
		"commit": func(ctx context.Context, c *store.Client) error { return c.Commit(ctx, putTxn("k", "v", 0)) },
		"object": func(ctx context.Context, c *store.Client) error { return c.Put(ctx, "o", []byte("1"), true) },
		"delete": func(ctx context.Context, c *store.Client) error { return c.Delete(ctx, "o") },
	} {
		for kind, responses := range replica.SampleResponses() {
			t.Run(name+"/"+kind, func(t *testing.T) {
				t.Parallel()
				for _, odd := range responses {
					for _, first := range []string{"", first} {
						server, err := replica.ServeOdd(first, odd)
						require.NoError(t, err)
						client := store.NewClient("http://"+server.Address(), timeout)
						ctx, cancel := context.WithTimeout(t.Context(), timeout)
						if first != "" {
							require.NoError(t, call(ctx, client))
						}
						err = call(ctx, client)
						require.ErrorIs(t, err, store.ErrUnavailable, odd.Name)
						require.NotErrorIs(t, err, context.DeadlineExceeded, odd.Name)
						require.NoError(t, ctx.Err(), odd.Name)
						require.Eventually(t, func() bool { return server.OpenConnections() == 0 }, time.Minute, time.Millisecond, odd.Name)
						cancel()
						server.Close()
					}
				}
			})
		}
	}
}
