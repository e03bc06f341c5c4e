package forward

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jasminelock/jasminelock/standin/replica"
)

// piecesConn is a connection whose bytes arrive in pieces of a size, and which ends after them.
type piecesConn struct {
	replayConn
	size int
}

func (p piecesConn) Read(b []byte) (int, error) { return p.in.Read(b[:min(len(b), p.size)]) }

// Framings of the body of a fuzzed response.
const (
	framedByLength = iota
	framedByChunks
	framedByClose
	framings
)

// validText matches a status and a reason that a final response has, interimText one that an interim response has.
var (
	validText   = regexp.MustCompile(`(?s)^[2-5][0-9]{2}( .*)?$`)
	interimText = regexp.MustCompile(`(?s)^10[023]( .*)?$`)
)

// encode returns the bytes of a response to the request 1.
func encode(status string, framing int, body []byte) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "HTTP/1.1 %s\r\n%s: 1\r\n", status, idHeader)
	switch framing {
	case framedByLength:
		fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n%s", len(body), body)
	case framedByChunks:
		b.WriteString("Transfer-Encoding: chunked\r\n\r\n")
		for chunk := range bytes.SplitAfterSeq(body, []byte("\n")) {
			if len(chunk) > 0 {
				fmt.Fprintf(&b, "%x\r\n%s\r\n", len(chunk), chunk)
			}
		}
		b.WriteString("0\r\n\r\n")
	case framedByClose:
		fmt.Fprintf(&b, "\r\n%s", body)
	}
	return b.Bytes()
}

// An upstream answers with any status, and any body in any framing, in pieces of any size. Guards against a caller that is given
// bytes that the upstream framed as something else: the body of another response, or a part of a head or of a framing.
func FuzzFraming(f *testing.F) {
	forged := []byte(replica.ForgedResponse(idHeader + ": 1\r\n"))
	for framing := range framings {
		for _, status := range append(replica.SampleStatuses(), "200 OK", "204", "304 Not Modified", "100", "102", "103 Early Hints", "404", "599") {
			f.Add(status, uint8(framing), uint8(3), forged, false)
			f.Add(status, uint8(framing), uint8(200), forged, true)
		}
	}
	f.Fuzz(func(t *testing.T, status string, framing, size uint8, body []byte, reused bool) {
		if strings.ContainsAny(status, "\r\n") || len(status) > 100 || len(body) > 1<<14 {
			return // the status would be more than a line, or the heads longer than their limit
		}
		framing %= framings
		raw := encode(status, int(framing), body)
		want, valid := body, validText.MatchString(status)
		if interimText.MatchString(status) && framing == framedByClose {
			// This is an interim response, which has no body, and what follows is the next response.
			raw, valid = append(encode(status, framedByClose, nil), encode("200", framedByLength, body)...), true
		}
		switch code, _, _ := strings.Cut(status, " "); {
		case code == "304":
			want = nil
		case code == "204":
			want, valid = nil, framing == framedByClose || framing == framedByLength && len(body) == 0
		case interimText.MatchString(status) && framing == framedByLength && len(body) == 0:
			raw, valid = append(raw, encode("200", framedByLength, nil)...), true
		}
		if reused {
			raw = append(encode("200 OK", framedByChunks, []byte("first")), raw...)
		}
		c := newConn(piecesConn{replayConn{in: bytes.NewReader(raw)}, int(size) + 1}, "u", "a", time.Minute)
		if reused {
			requireBody(t, c, []byte("first"))
		}
		if valid {
			requireBody(t, c, want)
			return
		}
		resp, err := c.roundTrip(newRequest("1"), Options{})
		require.Error(t, err, "%q", raw)
		require.Nil(t, resp)
		require.True(t, errors.Is(err, ErrMalformed) || errors.Is(err, ErrInterrupted), err)
	})
}

// requireBody requires a response with the body.
func requireBody(t *testing.T, c *conn, want []byte) {
	t.Helper()
	resp, err := c.roundTrip(newRequest("1"), Options{})
	require.NoError(t, err)
	got, err := io.ReadAll(resp)
	require.NoError(t, err)
	require.Equal(t, string(want), string(got))
}

var _ net.Conn = piecesConn{}
