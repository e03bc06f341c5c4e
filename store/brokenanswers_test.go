package store_test

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jasminelock/jasminelock/standin/replica"
	"github.com/jasminelock/jasminelock/store"
)

// The store answers the upload of an object at once, without a length, and its connection ends while the object is being written.
// Guards against a broken answer that counts as the acknowledgement.
func TestClient_ConnectionEndsDuringUpload(t *testing.T) {
	const tries, objectBytes = 20, 8 << 20
	for _, early := range replica.EarlyEnds() {
		t.Run(early.Name, func(t *testing.T) {
			t.Parallel()
			raw, err := replica.ServeEarly(func(c *net.TCPConn, r *http.Request) bool {
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\n{}")
				early.End(c, r)
				return false
			})
			require.NoError(t, err)
			t.Cleanup(raw.Close)
			wrong := 0
			for range tries {
				err := store.NewClient("http://"+raw.Address(), time.Minute).Put(t.Context(), "o", make([]byte, objectBytes), false)
				switch {
				case early.Broken && err == nil:
					wrong++
				case early.Broken:
					require.ErrorIs(t, err, store.ErrUnavailable)
				default:
					require.NoError(t, err)
				}
			}
			require.Zero(t, wrong, "of %d broken answers were taken for complete", tries)
		})
	}
}

// The store answers with an object that is longer than the client reads. Guards against a part of it that is taken for the whole.
func TestClient_ObjectBeyondLimit(t *testing.T) {
	raw, err := replica.ServeRaw(func(c *net.TCPConn, _ *http.Request) bool {
		_, err := io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\n")
		for part := make([]byte, 1<<20); err == nil; {
			_, err = c.Write(part)
		}
		return false
	})
	require.NoError(t, err)
	t.Cleanup(raw.Close)
	_, err = store.NewClient("http://"+raw.Address(), time.Minute).GetObject(t.Context(), "o")
	require.ErrorIs(t, err, store.ErrUnavailable)
}
