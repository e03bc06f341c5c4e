package forward

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jasminelock/jasminelock/standin/replica"
)

// answerTimeout is the deadline of the requests below. An attempt that reaches it has waited for more bytes.
const answerTimeout = 20 * time.Second

// requireRejected sends a request to an upstream that answers it with odd, as the first request of a connection or the second
// one. The attempt must fail before its deadline, and the connection must be closed.
func requireRejected(t *testing.T, odd replica.OddResponse, reused bool) {
	t.Helper()
	closed := make(chan struct{})
	upstream := startUpstream(t, func(c net.Conn, r *bufio.Reader) {
		defer close(closed)
		if reused {
			id, _ := readRequest(r)
			writeResponse(c, id, "first")
		}
		if _, ok := readRequest(r); !ok || !odd.Send(c) {
			return
		}
		_, _ = r.ReadByte()
	})
	p := newTestPool()
	if reused {
		_, err := get(t, p, upstream, "1")
		require.NoError(t, err)
	}
	ctx, cancel := context.WithTimeout(t.Context(), answerTimeout)
	defer cancel()
	resp, err := p.Do(ctx, "u", upstream.address, newRequest("2"), time.Minute)
	if err == nil && odd.IsTrailer() {
		_, err = io.ReadAll(resp)
		resp.Close()
	}
	if err == nil {
		t.Errorf("%s, reused %t: status %d taken as a response", odd.Name, reused, resp.Status)
		resp.Close()
		return
	}
	if ctx.Err() != nil {
		t.Errorf("%s, reused %t: not answered before the deadline", odd.Name, reused)
		return
	}
	if !odd.IsTrailer() { // the error of a body may be that of net/http
		require.ErrorIs(t, err, ErrMalformed, "%s, reused %t", odd.Name, reused)
	}
	require.EqualValues(t, 1, upstream.dials.Load(), "%s, reused %t", odd.Name, reused)
	require.Empty(t, p.idle["u"])
	<-closed
}

// An upstream in trouble answers with an invalid status, on a new connection and on one that has served a request, with a
// body that looks like a response. Guards against the body being read as the response, and against an attempt that waits for
// its deadline.
func TestDo_InvalidStatus(t *testing.T) {
	forged := replica.ForgedResponse(idHeader + ": 2\r\n")
	for _, status := range replica.InvalidStatuses() {
		t.Run(status, func(t *testing.T) {
			t.Parallel()
			for _, odd := range replica.OddResponses(status, idHeader+": 2\r\n", forged) {
				requireRejected(t, odd, false)
				requireRejected(t, odd, true)
			}
		})
	}
}

// Guards against the body of an interim response or of one with status 204, which cannot have one, being read as the next
// response.
func TestDo_ImpossibleBody(t *testing.T) {
	forged := replica.ForgedResponse(idHeader + ": 2\r\n")
	for _, status := range []int{100, 102, 103, 204} {
		for _, odd := range replica.ImpossibleBodies(status, forged) {
			requireRejected(t, odd, false)
			requireRejected(t, odd, true)
		}
	}
}

// Guards against a status line that is no line of HTTP/1.1, and against interim responses and encodings of HTTP/1.0, which has
// none: the caller would receive the framing of chunks.
func TestDo_InvalidStatusLine(t *testing.T) {
	const head = idHeader + ": 2\r\nContent-Length: 2\r\n\r\nok"
	for _, line := range []string{
		"HTTP/2.0 200 OK", "HTTP/0.9 200 OK", "http/1.1 200 OK", "HTTP/1.1  200 OK", "HTTP/1.1\t200 OK", "HTTP/11 200 OK", " HTTP/1.1 200 OK",
		"HTTP/1.x 200 OK", "HTTP/1.10 200 OK", "\r\nHTTP/1.1 200 OK", "ICY 200 OK", "garbage", "HTTP/1.0 100 Continue\r\n\r\nHTTP/1.1 200 OK",
		"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked", "HTTP/1.0 200 OK\r\nX-Long: " + strings.Repeat("x", 3*readBufferBytes) + "\r\ntransfer-encoding: chunked",
	} {
		requireRejected(t, replica.OddResponse{Name: line, Bytes: line + "\r\n" + head}, false)
	}
}

// An upstream answers with a line in a head or a trailer that is no field. Guards against the response being taken for a valid one,
// with a body that is not that of the upstream where the line would have framed it.
func TestDo_InvalidField(t *testing.T) {
	for _, line := range replica.InvalidFieldLines() {
		t.Run(strconv.Quote(line), func(t *testing.T) {
			t.Parallel()
			for _, odd := range replica.FieldResponses(line, idHeader+": 2\r\n", "ok") {
				requireRejected(t, odd, false)
				requireRejected(t, odd, true)
			}
		})
	}
}

// Guards against valid names and values of fields that are rejected, in heads and trailers, also in lines that are folded.
func TestDo_ValidFields(t *testing.T) {
	const fields = "!#$%&'*+-.^_`|~09aZ: \t a\x80\xff: b \t\r\nX-Folded: a\r\n b : c\r\n\td: e\r\nX-Empty:\r\n"
	upstream := startUpstream(t, func(c net.Conn, r *bufio.Reader) {
		id, _ := readRequest(r)
		_, _ = io.WriteString(c, "HTTP/1.1 103 Early Hints\r\n"+fields+"\r\nHTTP/1.1 200 OK\r\n"+fields+idHeader+": "+id+
			"\r\nTrailer: X-Late\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n"+fields+"X-Late: x\r\n\r\n")
		_, _ = r.ReadByte()
	})
	p := newTestPool()
	body, err := get(t, p, upstream, "1")
	require.NoError(t, err)
	require.Equal(t, "ok", body)
	require.Len(t, p.idle["u"], 1)
}

// An upstream answers an earlier request with an invalid trailer. Guards against the next bytes being read as a response.
func TestDo_InvalidTrailerOfOtherRequest(t *testing.T) {
	upstream := startUpstream(t, func(c net.Conn, r *bufio.Reader) {
		_, _ = readRequest(r)
		for _, odd := range replica.FieldResponses("X-Odd : x", idHeader+": other\r\n", "ok") {
			if odd.IsTrailer() {
				odd.Send(c)
			}
		}
		writeResponse(c, "1", "ok")
	})
	_, err := get(t, newTestPool(), upstream, "1")
	require.ErrorIs(t, err, ErrMalformed)
}

// Guards against valid statuses that are rejected: final ones of all kinds, and interim responses before them.
func TestDo_ValidStatus(t *testing.T) {
	const head = idHeader + ": 1\r\nContent-Length: 2\r\n\r\nok"
	for line, status := range map[string]int{
		"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK": 200, "HTTP/1.1 102\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 201 Created": 201,
		"HTTP/1.1 103 A\r\nContent-Length: 0\r\n\r\nHTTP/1.1 200 OK": 200, "HTTP/1.0 200 OK": 200, "HTTP/1.1 200": 200, "HTTP/1.1 200 ": 200, "HTTP/1.1 299 Two": 299, "HTTP/1.1 404 Not Found": 404, "HTTP/1.1 599 Last": 599,
	} {
		upstream := startUpstream(t, func(c net.Conn, r *bufio.Reader) {
			_, _ = readRequest(r)
			for part := range strings.SplitAfterSeq(line+"\r\n"+head, "1") { // in pieces, as they may arrive
				_, _ = c.Write([]byte(part))
			}
			_, _ = r.ReadByte()
		})
		resp, err := newTestPool().Do(t.Context(), "u", upstream.address, newRequest("1"), time.Minute)
		require.NoError(t, err, line)
		require.Equal(t, status, resp.Status)
		resp.Close()
	}
}

// Guards against the body that an upstream sends late with a response that has none being read as the response to the next
// request of the connection, or as the response to a request that skips it.
func TestDo_OmittedBody(t *testing.T) {
	const head = "Content-Length: 45\r\n\r\n"
	for _, c := range []struct{ method, line string }{{http.MethodHead, "HTTP/1.1 200 OK"}, {http.MethodGet, "HTTP/1.1 304 Not Modified"}} {
		for _, id := range []string{"1", "other"} {
			upstream := startUpstream(t, func(conn net.Conn, r *bufio.Reader) {
				_, _ = readRequest(r)
				_, _ = io.WriteString(conn, c.line+"\r\n"+idHeader+": "+id+"\r\n"+head)
				if id == "other" {
					_, _ = io.WriteString(conn, replica.ForgedResponse(idHeader+": 1\r\n"))
				}
				_, _ = readRequest(r)
			})
			p, req := newTestPool(), newRequest("1")
			req.Method = c.method
			resp, err := p.Do(t.Context(), "u", upstream.address, req, time.Minute)
			if id == "other" {
				require.ErrorIs(t, err, ErrMalformed)
				continue
			}
			require.NoError(t, err)
			_, err = io.ReadAll(resp)
			require.NoError(t, err)
			resp.Close()
			require.Empty(t, p.idle["u"])
		}
	}
}
