package upstream_test

import (
	"fmt"
	"io"
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
			body, sent := make([]byte, uploadBytes), 0
			complete, err := early.CountComplete(tries, "HTTP/1.1 200 OK\r\n\r\npart", func(address string) error {
				sent++
				call := upstream.Call{Attempt: "1", Method: http.MethodPost, Path: "/", Body: body, NewConnection: sent%2 == 0}
				resp, err := upstream.NewClient().Call(t.Context(), "http://"+address, call)
				if err != nil {
					return err
				}
				defer func() { _ = resp.Body.Close() }()
				got, err := io.ReadAll(resp.Body)
				if err == nil && string(got) != "part" {
					return fmt.Errorf("body is %q", got)
				}
				return err
			})
			require.NoError(t, err)
			require.Equal(t, early.CompleteOf(tries), complete, "taken for complete")
		})
	}
}
