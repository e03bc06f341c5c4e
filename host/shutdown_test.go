package host

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/jasminelock/jasminelock/standin/caller"
	"github.com/jasminelock/jasminelock/standin/replica"
	"github.com/jasminelock/jasminelock/standin/tables"
)

// A host is drained under load. Callers keep using open connections until the host closes
// them. Every request that an upstream has run must get its response.
func TestDrain_UnderLoad(t *testing.T) {
	d := newDeployment(t)
	app := d.addReplica("app", replica.Options{ID: "p1"})
	h := d.addHost("h1")
	d.addHost("h2")
	var answered atomic.Int64
	var callers sync.WaitGroup
	end := make(chan struct{})
	for n := range 24 {
		callers.Go(func() {
			for i := 0; ; i++ {
				select {
				case <-end:
					return
				default:
				}
				c, err := net.DialTimeout("tcp", h.settings.Listen.Callers, time.Second)
				if err != nil {
					return // the listener is closed
				}
				answered.Add(int64(useConnection(c, fmt.Sprintf("%d-%d", n, i), h.settings.Listen.Callers)))
			}
		})
	}
	time.Sleep(300 * time.Millisecond)
	h.Drain()
	select {
	case err := <-h.done:
		require.NoError(t, err)
		h.done <- nil
	case <-time.After(testTimeout):
		t.Fatal("the drained host did not stop")
	}
	close(end)
	callers.Wait()
	require.Positive(t, answered.Load())
	require.EqualValues(t, len(app.Requests()), answered.Load(), "every request that ran got a successful response")
}

// useConnection sends requests over a connection until the host closes it, and returns
// the number of successful responses.
func useConnection(conn net.Conn, id, address string) (answered int) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for n := 0; ; n++ {
		call := caller.Call{Method: http.MethodPost, Path: "/book/", Body: "order", ID: fmt.Sprintf("%s-%d", id, n), Key: "key"}
		req, err := call.Request(context.Background(), address)
		if err != nil || req.Write(conn) != nil {
			return answered
		}
		resp, err := http.ReadResponse(reader, req)
		if err != nil {
			return answered
		}
		_, err = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		if err == nil && resp.StatusCode == http.StatusOK {
			answered++
		}
		if err != nil || resp.Close {
			return answered
		}
	}
}

// A key is withdrawn, and a host restarts while the store is unavailable. The restarted
// host must not accept the key.
func TestRestart_WithdrawnKeyStaysInvalid(t *testing.T) {
	d := newDeployment(t)
	d.addReplica("app", replica.Options{ID: "p1"})
	h := d.addHost("h1")
	require.Equal(t, http.StatusOK, h.request(http.MethodGet, "/status/", "", nil).status)
	d.putKey("new")
	require.Eventually(t, func() bool { return h.request(http.MethodGet, "/status/", "", nil).status == http.StatusUnauthorized }, testTimeout, 10*time.Millisecond)
	other := d.addHost("h2")
	other.cancel()
	require.Eventually(t, func() bool { return len(h.broker.Hosts()) == 1 }, testTimeout, 10*time.Millisecond)
	restarted := d.startHost("h3")
	d.tables.SetFaults(tables.Faults{Down: true})
	for started := time.Now(); time.Since(started) < 3*time.Second; time.Sleep(20 * time.Millisecond) {
		resp := restarted.request(http.MethodGet, "/status/", "", nil)
		require.NotEqual(t, http.StatusOK, resp.status)
		require.NotZero(t, h.request(http.MethodGet, "/status/", "", map[string]string{caller.HeaderKey: caller.KeyHeaderValue("new")}).status)
	}
	d.tables.SetFaults(tables.Faults{})
	require.Eventually(t, func() bool {
		return restarted.request(http.MethodGet, "/status/", "", map[string]string{caller.HeaderKey: caller.KeyHeaderValue("new")}).status == http.StatusOK
	}, testTimeout, 20*time.Millisecond)
	require.Equal(t, http.StatusUnauthorized, restarted.request(http.MethodGet, "/status/", "", nil).status)
}

// A host is stopped while requests wait for an upstream longer than its grace time lasts. It must answer each of them, as
// not run, while another host can still serve them. Before, it closed their connections when it ended.
func TestDrain_RefusesRequestsThatWait(t *testing.T) {
	for _, stopped := range []string{"leader", "follower"} {
		t.Run(stopped, func(t *testing.T) {
			d := newDeployment(t)
			// Nothing listens at the engine's address, so that requests wait.
			d.tables.PutUpstream("e1", tables.Upstream{Service: "engines", Address: "127.0.0.1:1", Slots: 8, StartedAt: 1})
			hosts := map[string]*runningHost{"leader": d.addHost("h1"), "follower": d.addHost("h2")}
			h := hosts[stopped]
			h.Drain()
			drained := time.Now()
			var callers sync.WaitGroup
			for i := range 20 {
				callers.Go(func() {
					sent := time.Now()
					resp := h.generate(fmt.Sprintf("/chat/%d", i))
					assert.NoError(t, resp.err, "after %s", time.Since(sent))
					assert.Equal(t, http.StatusServiceUnavailable, resp.status, resp.body)
					assert.Contains(t, resp.body, `"ran":"not_run"`)
					assert.NotEmpty(t, resp.header.Get("Retry-After"))
					assert.Less(t, time.Since(drained), 4*time.Second, "refused while most of the grace time is left")
				})
				time.Sleep(100 * time.Millisecond)
			}
			callers.Wait()
			require.NoError(t, <-h.done)
			h.done <- nil
		})
	}
}

// Requests arrive late in the grace time at an upstream that needs longer than the rest of it. They must not be sent. Before,
// they were, and the host cut them without an answer at its end.
func TestDrain_SendsNoRequestThatOutlastsIt(t *testing.T) {
	for _, grace := range []time.Duration{3 * time.Second, 8 * time.Second} {
		for _, path := range []string{"/book/", "/status/"} {
			t.Run(grace.String()+path, func(t *testing.T) {
				t.Parallel()
				d := newDeployment(t)
				d.grace, d.directoryTTL = grace, 2*time.Second
				app := d.addReplica("app", replica.Options{ID: "p1", AnswerAfter: grace / 2})
				h := d.addHost("h1")
				d.addHost("h2")
				h.Drain()
				time.Sleep(grace * 3 / 8)
				var callers sync.WaitGroup
				for i := range 20 {
					callers.Go(func() {
						resp := h.request(http.MethodPost, fmt.Sprintf("%s%d", path, i), "", nil)
						if errors.Is(resp.err, syscall.ECONNREFUSED) || errors.Is(resp.err, syscall.ECONNRESET) {
							return // the listener is closed, and the request has not been read
						}
						assert.NoError(t, resp.err)
						assert.Equal(t, http.StatusServiceUnavailable, resp.status, resp.body)
						assert.Contains(t, resp.body, `"ran":"not_run"`)
					})
					time.Sleep(grace / 53)
				}
				callers.Wait()
				require.Empty(t, app.Requests())
				require.NoError(t, <-h.done)
				h.done <- nil
			})
		}
	}
}

// Requests with a deadline before the end of the grace time are served while the host drains.
func TestDrain_ServesShortRequests(t *testing.T) {
	d := newDeployment(t)
	d.directoryTTL = 2 * time.Second
	d.addReplica("app", replica.Options{ID: "p1", AnswerAfter: 100 * time.Millisecond})
	h := d.addHost("h1")
	h.Drain()
	for start := time.Now(); time.Since(start) < 4500*time.Millisecond; time.Sleep(250 * time.Millisecond) {
		call := caller.Call{Method: http.MethodPost, Path: "/book/", ID: time.Since(start).String(), Key: "key", Timeout: 2 * time.Second}
		resp := h.send(call, nil)
		require.NoError(t, resp.err, "after %s", time.Since(start))
		require.Equal(t, http.StatusOK, resp.status, "after %s: %s", time.Since(start), resp.body)
	}
}
