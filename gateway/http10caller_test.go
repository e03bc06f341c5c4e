package gateway_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// A caller of HTTP/1.0 gets a long response. Guards against a response without a length, of which the caller would take a part for the
// whole when the connection ends early.
func TestHTTP10Caller_LengthStated(t *testing.T) {
	t.Parallel()
	const size = 300_000
	f := startFleet(t, fleetOptions{})
	f.service.SetAnswer([]byte(strings.Repeat("x", size)))
	conn, err := net.Dial("tcp", strings.TrimPrefix(f.url(0), "http://"))
	require.NoError(t, err)
	defer conn.Close()
	_, err = fmt.Fprintf(conn, "GET /stock HTTP/1.0\r\nAuthorization: Bearer %s\r\n\r\n", aliceKey)
	require.NoError(t, err)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err)
	defer resp.Body.Close()
	require.Equal(t, http.StatusOK, resp.StatusCode)
	require.EqualValues(t, size, resp.ContentLength)
}
