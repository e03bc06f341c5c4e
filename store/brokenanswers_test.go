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
			complete, err := early.CountComplete(tries, "HTTP/1.1 200 OK\r\n\r\n{}", func(address string) error {
				err := store.NewClient("http://"+address, time.Minute).Put(t.Context(), "o", make([]byte, objectBytes), false)
				if err != nil {
					require.ErrorIs(t, err, store.ErrUnavailable)
				}
				return err
			})
			require.NoError(t, err)
			require.Equal(t, early.CompleteOf(tries), complete, "counted as acknowledged")
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
