package upstream

import (
	"io"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// maxHeadAllocBytes is how many bytes may be allocated in all, most of them garbage at once, while the head of one response is
// read.
const maxHeadAllocBytes = 8 << 20

// An upstream sends a head without end. The call must fail before it holds much of it. Before, each call held 10 MB, the default
// of net/http, so that a few hundred of them held gigabytes.
func TestCall_BoundedHead(t *testing.T) {
	for name, head := range map[string]struct{ begin, endless string }{
		"one line":          {"HTTP/1.1 200 OK\r\nX-Long: ", strings.Repeat("x", 8<<10)},
		"many lines":        {"HTTP/1.1 200 OK\r\n", strings.Repeat("X-Line: 1\r\n", 800)},
		"interim responses": {"", strings.Repeat("HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n", 200)},
	} {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				c, _, err := http.NewResponseController(w).Hijack()
				if err != nil {
					return
				}
				defer func() { _ = c.Close() }()
				_, err = io.WriteString(c, head.begin)
				for err == nil {
					_, err = io.WriteString(c, head.endless)
				}
			}))
			defer server.Close()
			client := NewClient()
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			_, err := client.Call(t.Context(), server.URL, Call{Attempt: "1", Method: http.MethodGet, Path: "/", NewConnection: true})
			runtime.ReadMemStats(&after)
			require.Error(t, err)
			require.NotErrorIs(t, err, ErrNotSent)
			require.Less(t, after.TotalAlloc-before.TotalAlloc, uint64(maxHeadAllocBytes))
		})
	}
}
