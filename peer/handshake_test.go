package peer

import (
	"context"
	"crypto/sha1" //nolint:gosec // the WebSocket protocol demands it
	"encoding/base64"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/jasminelock/jasminelock/standin/replica"
)

// acceptance returns the head of the response that accepts a request for a WebSocket, without its blank line. The given line
// follows the status line.
func acceptance(r *http.Request, line string) string {
	sum := sha1.Sum([]byte(r.Header.Get("Sec-WebSocket-Key") + "258EAFA5-E914-47DA-95CA-C5AB0DC85B11")) //nolint:gosec // as above
	return "HTTP/1.1 101 Switching Protocols\r\n" + line + "Upgrade: websocket\r\nConnection: Upgrade\r\nSec-WebSocket-Accept: " +
		base64.StdEncoding.EncodeToString(sum[:]) + "\r\n"
}

// openTimeout is the deadline of a link that is opened. A link that reaches it has waited for more bytes.
const openTimeout = 20 * time.Second

// opensLink reports whether a host opens a link to another one that answers the request for it with the response, and sends a
// frame over it.
func opensLink(t *testing.T, links *Links, response func(r *http.Request) string) bool {
	t.Helper()
	var framed atomic.Bool
	closed := make(chan struct{})
	raw, err := replica.ServeRaw(func(c *net.TCPConn, r *http.Request) bool {
		defer close(closed)
		_, _ = io.WriteString(c, response(r))
		n, _ := c.Read(make([]byte, 1))
		framed.Store(n > 0)
		return false
	})
	require.NoError(t, err)
	defer raw.Close()
	ctx, cancel := context.WithTimeout(t.Context(), openTimeout)
	defer cancel()
	_, err = links.open(ctx, "b", "http://"+raw.Address())
	require.Error(t, err, "the other side sends no Hello")
	assert.NoError(t, ctx.Err(), "the response is rejected before the deadline")
	<-closed
	return framed.Load()
}

// What answers at the address of another host sends a response outside the protocol that seems to accept the link. Guards against
// its use as one.
func TestOpen_InvalidResponse(t *testing.T) {
	a := network{}.start(t, hello("a"), nil)
	require.True(t, opensLink(t, a.links, func(r *http.Request) string { return acceptance(r, "") + "\r\n" }))
	require.True(t, opensLink(t, a.links, func(r *http.Request) string {
		return "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + acceptance(r, "") + "\r\n"
	}))
	invalid := map[string]func(r *http.Request) string{
		"body":     func(r *http.Request) string { return acceptance(r, "Content-Length: 2\r\n") + "\r\nok" },
		"HTTP/1.0": func(r *http.Request) string { return strings.Replace(acceptance(r, ""), "1.1", "1.0", 1) + "\r\n" },
	}
	for _, line := range replica.SampleFieldLines() {
		invalid[line] = func(r *http.Request) string { return acceptance(r, line+"\r\n") + "\r\n" }
		invalid["interim "+line] = func(r *http.Request) string {
			return "HTTP/1.1 103 Early Hints\r\n" + line + "\r\n\r\n" + acceptance(r, "") + "\r\n"
		}
	}
	for _, status := range replica.SampleStatuses() {
		for i, form := range replica.OddResponses(status, "", "") {
			invalid[status+" "+form.Name] = func(r *http.Request) string {
				return replica.OddResponses(status, "", acceptance(r, "")+"\r\n")[i].Bytes
			}
		}
	}
	for name, response := range invalid {
		if name != "101 begun" { // more may follow
			assert.False(t, opensLink(t, a.links, response), "%q", name)
		}
	}
}
