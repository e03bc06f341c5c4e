package callers_test

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jasminelock/jasminelock/intake"
	"github.com/jasminelock/jasminelock/intake/callers"
)

// echo reads the body and answers 200, or 503 if it was refused.
func echo(passedOn func(id string)) func(*callers.Request, http.ResponseWriter, *http.Request) {
	return func(held *callers.Request, w http.ResponseWriter, r *http.Request) {
		_, err := held.ReadBody(r.Body, r.ContentLength, 1<<20)
		if err != nil {
			held.LimitDiscard()
			w.Header().Set("Connection", "close")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		passedOn(r.Header.Get("X-Id"))
	}
}

// dial opens a connection and sends a request with a body of length bytes, of which it sends the first ones.
func dial(t *testing.T, address, id string, length, sent int) net.Conn {
	c, err := net.Dial("tcp", address)
	require.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	_, err = fmt.Fprintf(c, "POST / HTTP/1.1\r\nHost: x\r\nX-Id: %s\r\nContent-Length: %d\r\n\r\n%s", id, length, strings.Repeat("b", sent))
	require.NoError(t, err)
	return c
}

// status returns the status of the response, 0 if the connection was closed without one.
func status(c net.Conn) (int, bool) {
	_ = c.SetReadDeadline(time.Now().Add(testTimeout))
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, false
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	return resp.StatusCode, resp.Close
}

// A request that is given up while its body has stopped must be told so, must never be passed on, and must leave its memory to
// another one.
func TestGate_StoppedBodyIsRefused(t *testing.T) {
	var mu sync.Mutex
	var passed []string
	limits := intake.Limits{Bytes: 512 << 10, Connections: 100, PerConnection: 512 << 10, PerKey: 512 << 10}
	address, gate := serve(t, limits, echo(func(id string) { mu.Lock(); defer mu.Unlock(); passed = append(passed, id) }))
	stopped := dial(t, address, "stopped", 256<<10, 256<<10-1)
	require.Eventually(t, func() bool { return gate.Budget().Held(intake.Body) >= 256<<10 }, testTimeout, pollInterval)
	time.Sleep(600 * time.Millisecond) // a body counts as stopped after 500 ms
	sound := dial(t, address, "sound", 128<<10, 128<<10)
	code, _ := status(sound)
	require.Equal(t, http.StatusOK, code)
	code, closes := status(stopped)
	require.Equal(t, http.StatusServiceUnavailable, code)
	require.True(t, closes)
	mu.Lock()
	require.Equal(t, []string{"sound"}, passed)
	mu.Unlock()
}

// A response to a request whose body was not read must not wait for the body, and the connection must end. Net/http alone reads
// on without a limit.
func TestGate_ResponseDoesNotWaitForBody(t *testing.T) {
	address, gate := serve(t, wide, func(held *callers.Request, w http.ResponseWriter, _ *http.Request) {
		held.LimitDiscard()
		w.WriteHeader(http.StatusUnauthorized)
	})
	c := dial(t, address, "x", 1000, 10)
	code, _ := status(c)
	require.Equal(t, http.StatusUnauthorized, code)
	require.Eventually(t, func() bool { return gate.Budget().Connections() == 0 }, testTimeout, pollInterval)
}

// The lines of a body that arrives with its head must not count as header lines: 250 requests with bodies of short lines would
// take the memory of a small host.
func TestGate_BodyIsNoHead(t *testing.T) {
	reached, done := make(chan struct{}), make(chan struct{})
	address, gate := serve(t, wide, func(*callers.Request, http.ResponseWriter, *http.Request) {
		reached <- struct{}{}
		<-done
	})
	defer close(done)
	c, err := net.Dial("tcp", address)
	require.NoError(t, err)
	defer c.Close()
	_, err = fmt.Fprintf(c, "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 3000\r\n\r\n%s", strings.Repeat("\n", 3000))
	require.NoError(t, err)
	<-reached
	require.Less(t, gate.Budget().Held(intake.Head), int64(4<<10))
}

// The end of a head may arrive in two pieces. The lines of a body that follows it were then counted as header lines.
func TestGate_BodyAfterDividedHeadIsNoHead(t *testing.T) {
	reached, done := make(chan struct{}, 1), make(chan struct{})
	address, gate := serve(t, wide, func(*callers.Request, http.ResponseWriter, *http.Request) {
		reached <- struct{}{}
		<-done
	})
	defer close(done)
	c, err := net.Dial("tcp", address)
	require.NoError(t, err)
	defer c.Close()
	_, err = io.WriteString(c, "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 3000\r\n")
	require.NoError(t, err)
	require.Eventually(t, func() bool { return gate.Budget().Held(intake.Head) > 0 }, testTimeout, pollInterval)
	_, err = io.WriteString(c, "\r\n"+strings.Repeat("\n", 3000))
	require.NoError(t, err)
	<-reached
	require.Less(t, gate.Budget().Held(intake.Head), int64(4<<10))
}

// A handler that reads no body must not leave its connection to a caller that stops inside one.
func TestHandler_UnreadBodyEnds(t *testing.T) {
	gate := callers.NewGate(wide)
	server := &http.Server{Handler: callers.Handler(http.NotFoundHandler())}
	gate.Attach(server)
	raw, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	go func() { _ = server.Serve(gate.Listen(raw)) }()
	t.Cleanup(func() { _ = server.Close() })
	code, _ := status(dial(t, raw.Addr().String(), "x", 1000, 999))
	require.Equal(t, http.StatusNotFound, code)
	require.Eventually(t, func() bool { return gate.Budget().Connections() == 0 }, testTimeout, pollInterval)
}

// At the limit of connections a new one must be served, and the one that waits longest be closed.
func TestGate_NewConnectionReplacesIdle(t *testing.T) {
	limits := wide
	limits.Connections = 3
	address, gate := serve(t, limits, echo(func(string) {}))
	var idle []net.Conn
	for range 3 {
		c, err := net.Dial("tcp", address)
		require.NoError(t, err)
		defer c.Close()
		idle = append(idle, c)
		require.Eventually(t, func() bool { return gate.Budget().Connections() == len(idle) }, testTimeout, pollInterval)
	}
	code, _ := status(dial(t, address, "new", 5, 5))
	require.Equal(t, http.StatusOK, code)
	_ = idle[0].SetReadDeadline(time.Now().Add(testTimeout))
	_, err := idle[0].Read(make([]byte, 1))
	require.True(t, err != nil && !errors.Is(err, errTimeout(err)), "the oldest connection is closed: %v", err)
	require.Equal(t, 3, gate.Budget().Connections())
}

// errTimeout returns err if it is a time-out, else an error that matches no other.
func errTimeout(err error) error {
	var timeout net.Error
	if errors.As(err, &timeout) && timeout.Timeout() {
		return err
	}
	return io.ErrNoProgress
}

// Whatever callers send, a request whose connection is closed without an answer, or that is answered 503, must not have been
// passed on, and one that was passed on is answered. Nothing must be held afterwards.
func TestGate_RefusedRequestsAreNotPassedOn(t *testing.T) {
	require.Zero(t, refusedAndPassedOn(t, func(held *callers.Request, r *http.Request) error {
		_, err := held.ReadBody(r.Body, r.ContentLength, 1<<20)
		return err
	}))
}

// The check finds a server that passes on what it has of a request before it knows whether the request was given up.
func TestRefusedAndPassedOn_FindsEarlyPass(t *testing.T) {
	require.Positive(t, refusedAndPassedOn(t, func(held *callers.Request, r *http.Request) error {
		_, err := held.ReadBody(r.Body, r.ContentLength, 1<<20)
		r.Header.Set("X-Early", "1")
		return err
	}))
}

// refusedAndPassedOn lets clients send more than there is memory for, and returns the number of requests that were passed on
// without being answered 200, or the other way round.
func refusedAndPassedOn(t *testing.T, read func(*callers.Request, *http.Request) error) int {
	var passed sync.Map
	limits := intake.Limits{Bytes: 1 << 20, Connections: 30, PerConnection: 512 << 10, PerKey: 1 << 20}
	address, gate := serve(t, limits, func(held *callers.Request, w http.ResponseWriter, r *http.Request) {
		err := read(held, r)
		if err == nil || r.Header.Get("X-Early") != "" {
			passed.Store(r.Header.Get("X-Id"), true)
		}
		if err != nil {
			held.LimitDiscard()
			w.Header().Set("Connection", "close")
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	var group sync.WaitGroup
	var mu sync.Mutex
	statuses, wrong := map[int]int{}, 0
	for client := range 60 {
		random := rand.New(rand.NewPCG(uint64(client), 3))
		group.Go(func() {
			for n := range 12 {
				id := strconv.Itoa(client) + "-" + strconv.Itoa(n)
				code := sendSlowly(address, id, random)
				_, wasPassed := passed.Load(id)
				mu.Lock()
				statuses[code]++
				if wasPassed != (code == http.StatusOK) {
					wrong++
				}
				mu.Unlock()
			}
		})
	}
	group.Wait()
	t.Logf("statuses: %v", statuses)
	require.Positive(t, statuses[http.StatusOK])
	require.Positive(t, statuses[http.StatusServiceUnavailable])
	require.Eventually(t, func() bool { return gate.Budget().Connections() == 0 }, testTimeout, pollInterval)
	for _, k := range intake.Kinds() {
		require.Zero(t, gate.Budget().Held(k))
	}
	return wrong
}

// sendSlowly sends a whole request in pieces with pauses, and returns the status, 0 for none.
func sendSlowly(address, id string, random *rand.Rand) int {
	c, err := net.Dial("tcp", address)
	if err != nil {
		return 0
	}
	defer func() { _ = c.Close() }()
	length := 1 + random.IntN(200<<10)
	_, err = fmt.Fprintf(c, "POST / HTTP/1.1\r\nHost: x\r\nX-Id: %s\r\nContent-Length: %d\r\n\r\n", id, length)
	for sent := 0; err == nil && sent < length; {
		n := min(length-sent, 1+random.IntN(64<<10))
		_, err = io.WriteString(c, strings.Repeat("b", n))
		sent += n
		time.Sleep(time.Duration(random.IntN(80)) * time.Millisecond)
	}
	code, _ := status(c)
	return code
}
