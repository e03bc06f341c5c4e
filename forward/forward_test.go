package forward

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const echo = "X-Id"

// scripted is an upstream that does on each connection what a test says.
type scripted struct {
	address string
	dials   atomic.Int64
}

// upstreamDoing serves each connection with f until the test ends.
func upstreamDoing(t *testing.T, f func(c net.Conn, r *bufio.Reader)) *scripted {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s := &scripted{address: l.Addr().String()}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			s.dials.Add(1)
			go func() {
				defer func() { _ = c.Close() }()
				f(c, bufio.NewReader(c))
			}()
		}
	}()
	return s
}

// readRequest reads one request and returns its id.
func readRequest(r *bufio.Reader) (string, bool) {
	req, err := http.ReadRequest(r)
	if err != nil {
		return "", false
	}
	_, err = io.Copy(io.Discard, req.Body)
	return req.Header.Get(echo), err == nil
}

func reply(c net.Conn, id, body string) {
	_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n"+echo+": "+id+"\r\nContent-Length: "+itoa(len(body))+"\r\n\r\n"+body)
}

func itoa(n int) string { return string(rune('0'+n/10)) + string(rune('0'+n%10)) }

func newPool() *Pool {
	return New(Options{
		DialTimeout: time.Second, TCPUserTimeout: 3 * time.Second, IdleTimeout: time.Minute, MaxIdlePerUpstream: 2, RequestIDHeader: echo, MaxStaleResponses: 2,
	})
}

func request(id string) *Request {
	return &Request{Method: http.MethodGet, URI: "/a?b=c", Host: "h", Header: http.Header{echo: {id}}}
}

// get sends a request and returns the body of its answer.
func get(t *testing.T, p *Pool, s *scripted, id string) (string, error) {
	t.Helper()
	a, err := p.Do(t.Context(), "u", s.address, request(id), time.Minute)
	if err != nil {
		return "", err
	}
	defer a.Close()
	body, err := io.ReadAll(a)
	return string(body), err
}

func TestConnectionsAreUsedAgain(t *testing.T) {
	s := upstreamDoing(t, func(c net.Conn, r *bufio.Reader) {
		for {
			id, ok := readRequest(r)
			if !ok {
				return
			}
			reply(c, id, "to "+id)
		}
	})
	p := newPool()
	for _, id := range []string{"1", "2", "3"} {
		body, err := get(t, p, s, id)
		require.NoError(t, err)
		require.Equal(t, "to "+id, body)
	}
	require.Equal(t, int64(1), s.dials.Load())
	a, err := p.Do(t.Context(), "u", s.address, request("4"), 0)
	require.NoError(t, err)
	a.Close()
	require.Equal(t, int64(2), s.dials.Load(), "a new connection was asked for")
	p.Sweep(func(string) bool { return false })
	require.Empty(t, p.idle)
}

func TestNothingWasSentWhereThereIsNoConnection(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	address := l.Addr().String()
	require.NoError(t, l.Close())
	_, err = newPool().Do(t.Context(), "u", address, request("1"), time.Minute)
	require.ErrorIs(t, err, ErrNotSent)
}

// A request is never sent again by itself: whether it ran is not known.
func TestABrokenConnectionLeavesItOpenWhetherTheRequestRan(t *testing.T) {
	s := upstreamDoing(t, func(_ net.Conn, r *bufio.Reader) { _, _ = readRequest(r) })
	_, err := get(t, newPool(), s, "1")
	require.ErrorIs(t, err, ErrInterrupted)
	require.NotErrorIs(t, err, ErrNotSent)
	require.Equal(t, int64(1), s.dials.Load())
}

func TestAnIdleConnectionThatWasClosedOrSpokeIsNotUsed(t *testing.T) {
	for name, after := range map[string]func(c net.Conn){
		"closed": func(c net.Conn) { _ = c.Close() },
		"spoke":  func(c net.Conn) { _, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\n"); time.Sleep(time.Minute) },
	} {
		t.Run(name, func(t *testing.T) {
			done := make(chan struct{}, 2)
			s := upstreamDoing(t, func(c net.Conn, r *bufio.Reader) {
				id, ok := readRequest(r)
				if !ok {
					return
				}
				reply(c, id, "to "+id)
				done <- struct{}{}
				after(c)
			})
			p := newPool()
			_, err := get(t, p, s, "1")
			require.NoError(t, err)
			<-done
			require.Eventually(t, func() bool {
				c := p.pop("u", s.address, time.Minute)
				if c == nil {
					return true // the bytes came with the answer, and it was not kept
				}
				quiet := c.quiet()
				p.put(c)
				return !quiet
			}, 5*time.Second, time.Millisecond)
			body, err := get(t, p, s, "2")
			require.NoError(t, err)
			require.Equal(t, "to 2", body)
			require.Equal(t, int64(2), s.dials.Load())
		})
	}
}

// An answer to an earlier request, which comes late, is passed over.
func TestAnAnswerToAnotherRequestIsPassedOver(t *testing.T) {
	s := upstreamDoing(t, func(c net.Conn, r *bufio.Reader) {
		id, _ := readRequest(r)
		reply(c, "earlier", "not yours")
		reply(c, id, "yours")
		_, _ = readRequest(r)
	})
	body, err := get(t, newPool(), s, "1")
	require.NoError(t, err)
	require.Equal(t, "yours", body)
}

func TestAnAnswerWithoutItsIDIsNoSuccess(t *testing.T) {
	s := upstreamDoing(t, func(c net.Conn, r *bufio.Reader) {
		_, _ = readRequest(r)
		for range 4 {
			reply(c, "other", "not yours")
		}
		_, _ = readRequest(r)
	})
	_, err := get(t, newPool(), s, "1")
	require.ErrorIs(t, err, ErrMalformed)
}

func TestBytesAfterAnAnswerEndTheConnection(t *testing.T) {
	s := upstreamDoing(t, func(c net.Conn, r *bufio.Reader) {
		id, ok := readRequest(r)
		if !ok {
			return
		}
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n"+echo+": "+id+"\r\nContent-Length: 2\r\n\r\nokEXTRA")
		_, _ = readRequest(r)
	})
	p := newPool()
	body, err := get(t, p, s, "1")
	require.NoError(t, err)
	require.Equal(t, "ok", body)
	require.Empty(t, p.idle["u"])
}

func TestWhatEndsEarlyIsNotWhole(t *testing.T) {
	for name, raw := range map[string]string{
		"length":  "Content-Length: 9\r\n\r\nshort",
		"chunked": "Transfer-Encoding: chunked\r\n\r\n5\r\nshort\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			s := upstreamDoing(t, func(c net.Conn, r *bufio.Reader) {
				id, _ := readRequest(r)
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n"+echo+": "+id+"\r\n"+raw)
			})
			_, err := get(t, newPool(), s, "1")
			require.ErrorIs(t, err, io.ErrUnexpectedEOF)
		})
	}
}

func TestAnAnswerWithoutALengthEndsWithItsConnection(t *testing.T) {
	s := upstreamDoing(t, func(c net.Conn, r *bufio.Reader) {
		id, _ := readRequest(r)
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n"+echo+": "+id+"\r\n\r\nall of it")
	})
	p := newPool()
	body, err := get(t, p, s, "1")
	require.NoError(t, err)
	require.Equal(t, "all of it", body)
	require.Empty(t, p.idle["u"])
}

// An upstream may answer before it has read a long body and read on later. The
// rest of the body is still sent, and nothing else in its place.
func TestAnEarlyAnswerToALongBody(t *testing.T) {
	got := make(chan int, 1)
	release := make(chan struct{})
	s := upstreamDoing(t, func(c net.Conn, r *bufio.Reader) {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		reply(c, req.Header.Get(echo), "early")
		<-release
		n, _ := io.Copy(io.Discard, req.Body)
		got <- int(n)
	})
	r := request("1")
	r.Method, r.Body = http.MethodPost, bytes.Repeat([]byte("x"), 8<<20)
	p := newPool()
	a, err := p.Do(t.Context(), "u", s.address, r, time.Minute)
	require.NoError(t, err)
	body, err := io.ReadAll(a)
	require.NoError(t, err)
	require.Equal(t, "early", string(body))
	a.Close()
	require.Empty(t, p.idle["u"], "a connection with an unread body is not used again")
	close(release)
	require.LessOrEqual(t, <-got, 8<<20)
}

func TestACallerThatLeavesEndsTheExchange(t *testing.T) {
	closed := make(chan struct{})
	s := upstreamDoing(t, func(c net.Conn, r *bufio.Reader) {
		id, _ := readRequest(r)
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n"+echo+": "+id+"\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n")
		_, _ = r.ReadByte()
		close(closed)
	})
	ctx, cancel := context.WithCancelCause(t.Context())
	a, err := newPool().Do(ctx, "u", s.address, request("1"), time.Minute)
	require.NoError(t, err)
	cancel(errors.New("left"))
	_, err = io.ReadAll(a)
	require.Error(t, err)
	a.Close()
	<-closed
}

func TestTheRequestIsSentAsItWas(t *testing.T) {
	lines := make(chan string, 1)
	s := upstreamDoing(t, func(c net.Conn, r *bufio.Reader) {
		var b strings.Builder
		for {
			line, err := r.ReadString('\n')
			b.WriteString(line)
			if err != nil || line == "\r\n" {
				break
			}
		}
		lines <- b.String()
		reply(c, "1", "ok")
	})
	r := request("1")
	r.Method, r.URI, r.Body = http.MethodPost, "/a%2Fb//c?x=%20&y", []byte("12345")
	a, err := newPool().Do(t.Context(), "u", s.address, r, time.Minute)
	require.NoError(t, err)
	a.Close()
	sent := <-lines
	require.Contains(t, sent, "POST /a%2Fb//c?x=%20&y HTTP/1.1\r\nHost: h\r\n")
	require.Contains(t, sent, "Content-Length: 5\r\n")
}

func TestAnUpstreamsIdleTimeIsKept(t *testing.T) {
	c := &conn{maxIdle: time.Minute}
	c.keepFor(http.Header{"Keep-Alive": {"timeout=5, max=100"}})
	require.Equal(t, 4*time.Second, c.maxIdle)
	c.keepFor(http.Header{"Keep-Alive": {"timeout=1"}})
	require.Equal(t, 500*time.Millisecond, c.maxIdle)
	c.keepFor(http.Header{})
	require.Equal(t, 500*time.Millisecond, c.maxIdle)
}
