package httpcheck_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jasminelock/jasminelock/httpcheck"
	"github.com/jasminelock/jasminelock/standin/replica"
)

// answerTimeout is the deadline of a request to a server that answers outside the protocol. A request that reaches it has waited
// for more bytes.
const answerTimeout = 20 * time.Second

const firstResponse = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfirst"

// checkRejected sends a request to a server that answers it with odd, and another one before that on the same connection if
// reused is set. It returns an error unless the request fails before its deadline, with want if that is not nil, is sent once, and
// leaves no connection open.
func checkRejected(t *testing.T, transport http.RoundTripper, odd replica.OddResponse, reused bool, want error) error {
	t.Helper()
	first := ""
	if reused {
		first = firstResponse
	}
	server, err := replica.ServeOdd(first, odd)
	require.NoError(t, err)
	defer server.Close()
	ctx, cancel := context.WithTimeout(t.Context(), answerTimeout)
	defer cancel()
	sent, rejected := int64(0), false
	// A connection whose response has been read is idle a moment later, so that a request may be sent on a new one, which gets the
	// first response again.
	for !rejected {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+server.Address(), nil)
		require.NoError(t, err)
		sent++
		resp, err := transport.RoundTrip(req)
		var body []byte
		if err == nil {
			body, err = io.ReadAll(resp.Body)
			_ = resp.Body.Close()
		}
		switch {
		case err == nil && (!reused || string(body) != "first"):
			return fmt.Errorf("status %d taken as a response, with body %q", resp.StatusCode, body)
		case err == nil:
		case ctx.Err() != nil:
			return errors.New("not answered before the deadline")
		case want != nil && !errors.Is(err, want) || (reused && sent == 1):
			return fmt.Errorf("request %d: error is %w", sent, err)
		default:
			rejected = true
		}
	}
	if n := server.Received(); n != sent {
		return fmt.Errorf("%d requests received, %d sent", n, sent)
	}
	idle := int64(0) // connections that have carried the first response only
	if reused {
		idle = sent - 2
	}
	for server.OpenConnections() > idle && ctx.Err() == nil {
		time.Sleep(time.Millisecond)
	}
	return ctx.Err()
}

// A server in trouble answers with an invalid status, with a body that looks like a response. Guards against the body being
// read as the response, a request that waits for its deadline or is repeated, and a connection that is used again.
func TestTransport_InvalidStatus(t *testing.T) {
	transport := httpcheck.NewTransport(&http.Transport{})
	for _, status := range replica.InvalidStatuses() {
		t.Run(status, func(t *testing.T) {
			t.Parallel()
			for _, odd := range replica.OddResponses(status, "", replica.ForgedResponse("")) {
				require.NoError(t, checkRejected(t, transport, odd, false, httpcheck.ErrInvalid), odd.Name)
				require.NoError(t, checkRejected(t, transport, odd, true, httpcheck.ErrInvalid), odd.Name)
			}
		})
	}
}

// Guards against the body of an interim response or of one with status 204, which cannot have one, being read as the next
// response.
func TestTransport_ImpossibleBody(t *testing.T) {
	transport := httpcheck.NewTransport(&http.Transport{})
	for _, status := range []int{100, 102, 103, 204} {
		for _, odd := range replica.ImpossibleBodies(status, replica.ForgedResponse("")) {
			require.NoError(t, checkRejected(t, transport, odd, false, httpcheck.ErrInvalid), odd.Name)
			require.NoError(t, checkRejected(t, transport, odd, true, httpcheck.ErrInvalid), odd.Name)
		}
	}
}

// A server answers with a line in a head or a trailer that is no field. Guards against the response being taken for a valid one,
// with a body that is not that of the server where the line would have framed it.
func TestTransport_InvalidField(t *testing.T) {
	transport := httpcheck.NewTransport(&http.Transport{})
	for _, line := range replica.InvalidFieldLines() {
		t.Run(strconv.Quote(line), func(t *testing.T) {
			t.Parallel()
			for _, odd := range replica.FieldResponses(line, "", "ok") {
				require.NoError(t, checkRejected(t, transport, odd, false, nil), odd.Name)
				require.NoError(t, checkRejected(t, transport, odd, true, nil), odd.Name)
			}
		})
	}
}

// Guards against the framing of chunks being read as a part of the body: HTTP/1.0 has no Transfer-Encoding.
func TestTransport_EncodingOfHTTP10(t *testing.T) {
	odd := replica.OddResponse{Bytes: "HTTP/1.0 200 OK\r\nLink: x\r\ntransfer-encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", Ends: true}
	require.NoError(t, checkRejected(t, httpcheck.NewTransport(&http.Transport{}), odd, false, httpcheck.ErrInvalid))
	require.Error(t, checkRejected(t, &http.Transport{}, odd, false, httpcheck.ErrInvalid), "the check finds the fault of the transport of net/http")
}

// The check above finds the faults of the transport of net/http.
func TestTransportCheck_FindsUncheckedResponses(t *testing.T) {
	odd := func(status, framing string) replica.OddResponse {
		for _, o := range replica.OddResponses(status, "", replica.ForgedResponse("")) {
			if o.Name == framing {
				return o
			}
		}
		require.Fail(t, framing)
		return replica.OddResponse{}
	}
	for _, o := range []replica.OddResponse{
		odd("000", "length"), odd("042", "close"), odd("+20", "empty"), odd("104", "length"), odd("199", "close"), odd("600", "length"), odd("999", "empty"),
		replica.ImpossibleBodies(http.StatusEarlyHints, replica.ForgedResponse(""))[0],
	} {
		require.Error(t, checkRejected(t, &http.Transport{}, o, false, httpcheck.ErrInvalid), o.Name)
	}
	for _, o := range replica.FieldResponses("X Odd: x", "", "ok") {
		if o.Name != "close, open" { // net/http waits for the end of the body
			require.Error(t, checkRejected(t, &http.Transport{}, o, false, nil), o.Name)
		}
	}
}

// Guards against valid responses that are rejected, also over TLS.
func TestTransport_ValidResponses(t *testing.T) {
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Link", "x")
		w.WriteHeader(http.StatusEarlyHints)
		w.WriteHeader(http.StatusProcessing)
		var status int
		_, _ = fmt.Sscanf(r.URL.Path, "/%d", &status)
		w.WriteHeader(status)
		_, _ = io.WriteString(w, "HTTP/1.1 000 a body of any kind\r\n\r\n")
	})
	for _, secure := range []bool{false, true} {
		server := httptest.NewUnstartedServer(handler)
		base := &http.Transport{}
		if secure {
			server.StartTLS()
			base.TLSClientConfig = server.Client().Transport.(*http.Transport).TLSClientConfig //nolint:forcetypeassert // it is one
		} else {
			server.Start()
		}
		client := &http.Client{Transport: httpcheck.NewTransport(base)}
		for _, status := range []int{200, 204, 299, 304, 404, 500, 599} {
			req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, fmt.Sprintf("%s/%d", server.URL, status), nil)
			require.NoError(t, err)
			resp, err := client.Do(req)
			require.NoError(t, err)
			require.Equal(t, status, resp.StatusCode)
			_, err = io.Copy(io.Discard, resp.Body)
			require.NoError(t, err)
			require.NoError(t, resp.Body.Close())
		}
		client.CloseIdleConnections()
		server.Close()
	}
}

// Guards against the end of a status line without a reason being taken for the end of an interim response.
func TestTransport_InterimResponseWithoutReason(t *testing.T) {
	const final = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
	server, err := replica.ServeOdd("", replica.OddResponse{Bytes: "HTTP/1.1 102\r\n\r\nHTTP/1.1 103 \nLink: x\n\n" + final})
	require.NoError(t, err)
	defer server.Close()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+server.Address(), nil)
	require.NoError(t, err)
	resp, err := httpcheck.NewTransport(&http.Transport{}).RoundTrip(req)
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, resp.StatusCode)
	require.NoError(t, resp.Body.Close())
}

// Guards against interim responses without end that are read without a limit, and against memory that grows with their lines.
func TestTransport_EndlessInterimResponses(t *testing.T) {
	const maxAllocBytes = 8 << 20
	endless := []byte(strings.Repeat("HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n", 200))
	server, err := replica.ServeRaw(func(c *net.TCPConn, _ *http.Request) bool {
		for {
			if _, err := c.Write(endless); err != nil {
				return false
			}
		}
	})
	require.NoError(t, err)
	defer server.Close()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+server.Address(), nil)
	require.NoError(t, err)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	_, err = httpcheck.NewTransport(&http.Transport{MaxResponseHeaderBytes: 64 << 10}).RoundTrip(req) //nolint:bodyclose // it must fail
	runtime.ReadMemStats(&after)
	require.Error(t, err)
	require.Less(t, after.TotalAlloc-before.TotalAlloc, uint64(maxAllocBytes))
}
