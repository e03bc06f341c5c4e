package upstream_test

import (
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/jasminelock/jasminelock/standin/replica"
	"github.com/jasminelock/jasminelock/upstream"
)

// An upstream answers a call with a long body at once, without a length, and its connection ends while the body is being written.
// Guards against an answer that is taken for complete though the connection was reset, and against one that is not though it was
// closed.
func TestCall_ConnectionEndsDuringUpload(t *testing.T) {
	const tries, uploadBytes = 20, 8 << 20
	for _, early := range replica.EarlyEnds() {
		t.Run(early.Name, func(t *testing.T) {
			t.Parallel()
			raw, err := replica.ServeEarly(func(c *net.TCPConn, r *http.Request) bool {
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\npart")
				early.End(c, r)
				return false
			})
			require.NoError(t, err)
			t.Cleanup(raw.Close)
			wrong, body := 0, make([]byte, uploadBytes)
			for i := range tries {
				call := upstream.Call{Attempt: "1", Method: http.MethodPost, Path: "/", Body: body, NewConnection: i%2 == 0}
				resp, err := upstream.NewClient().Call(t.Context(), "http://"+raw.Address(), call)
				var got []byte
				if err == nil {
					got, err = io.ReadAll(resp.Body)
					_ = resp.Body.Close()
				}
				switch {
				case early.Broken && err == nil:
					wrong++
				case !early.Broken:
					require.NoError(t, err)
					require.Equal(t, "part", string(got))
				}
			}
			require.Zero(t, wrong, "of %d broken answers were taken for complete", tries)
		})
	}
}
