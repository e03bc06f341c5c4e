package host

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jasminelock/jasminelock/standin/caller"
	"github.com/jasminelock/jasminelock/standin/replica"
)

// Requests have been sent to an upstream, which is silent when the host ends. Each must get an answer that says that it may
// have run. Before, the host cut them without an answer.
func TestDrain_AnswersRequestsThatMayHaveRun(t *testing.T) {
	for _, grace := range []time.Duration{2 * time.Second, 8 * time.Second} {
		for path, code := range map[string]string{"/book/": "outcome_unknown", "/status/": "answer_cut", "/chat/": "outcome_unknown", "/resume/": "answer_cut"} {
			t.Run(grace.String()+path, func(t *testing.T) {
				t.Parallel()
				d := newDeployment(t)
				d.grace, d.directoryTTL = grace, 2*time.Second
				app := d.addReplica("app", replica.Options{ID: "p1", AnswerAfter: time.Minute})
				engine := d.addReplica("engines", replica.Options{ID: "e1", Model: "m", AdapterSlots: 2, Events: 5, AnswerAfter: time.Minute})
				h := d.addHost("h1")
				d.addHost("h2")
				answers := make(chan response, 1)
				go func() {
					if path == "/chat/" || path == "/resume/" {
						answers <- h.generate(path)
						return
					}
					answers <- h.request(http.MethodPost, path, "", nil)
				}()
				require.Eventually(t, func() bool { return len(app.Requests())+len(engine.Requests()) == 1 }, testTimeout, 5*time.Millisecond)
				h.Drain()
				drained := time.Now()
				resp := <-answers
				require.NoError(t, resp.err, "after %s", time.Since(drained))
				require.Equal(t, http.StatusBadGateway, resp.status, resp.body)
				require.Contains(t, resp.body, `"ran":"may_have_run"`)
				require.Contains(t, resp.body, code)
				require.True(t, resp.closesConnection)
				require.Less(t, time.Since(drained), grace)
				require.NoError(t, <-h.done)
				h.done <- nil
			})
		}
	}
}

// A caller sends the body of its request slowly while the host is stopped. The host must refuse the request before it ends.
func TestDrain_RefusesUnreadRequests(t *testing.T) {
	d := newDeployment(t)
	d.grace = 2 * time.Second
	app := d.addReplica("app", replica.Options{ID: "p1"})
	h := d.addHost("h1")
	conn, err := net.Dial("tcp", h.settings.Listen.Callers)
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	_, err = fmt.Fprintf(conn, "POST /book/ HTTP/1.1\r\nHost: %s\r\n%s: 1\r\n%s: %s\r\nContent-Length: 10\r\n\r\nhalf",
		caller.HostName, caller.HeaderAttempt, caller.HeaderKey, caller.KeyHeaderValue("key"))
	require.NoError(t, err)
	time.Sleep(50 * time.Millisecond)
	h.Drain()
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
	require.Empty(t, app.Requests())
	require.NoError(t, <-h.done)
	h.done <- nil
}

// A host that stops still has a request to finish when it closes its listener. Requests on connections that callers hold open
// must be refused with an answer meanwhile. Before, net/http closed such a connection when it had read the request.
func TestDrain_AnswersOnOpenConnectionsAfterListenerCloses(t *testing.T) {
	d := newDeployment(t)
	d.grace = 4 * time.Second
	app := d.addReplica("app", replica.Options{ID: "p1", AnswerAfter: time.Minute})
	h := d.addHost("h1")
	running := make(chan response, 1)
	go func() { running <- h.request(http.MethodPost, "/book/", "", nil) }()
	require.Eventually(t, func() bool { return len(app.Requests()) == 1 }, testTimeout, 5*time.Millisecond)
	unused, kept := newOpenConnection(t, h), newOpenConnection(t, h)
	require.Equal(t, http.StatusNotFound, kept.request("/nowhere/").StatusCode)
	h.Drain()
	require.Eventually(t, func() bool {
		conn, err := net.Dial("tcp", h.settings.Listen.Callers)
		if err == nil {
			_ = conn.Close()
		}
		return err != nil // the listener is closed
	}, testTimeout, 20*time.Millisecond)
	for _, c := range []*openConnection{unused, kept} {
		resp := c.request("/status/")
		require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
		require.True(t, resp.Close)
	}
	require.Equal(t, http.StatusBadGateway, (<-running).status)
	require.NoError(t, <-h.done)
	h.done <- nil
}

// openConnection is a connection of a caller to a host.
type openConnection struct {
	t      *testing.T
	conn   net.Conn
	reader *bufio.Reader
	host   *runningHost
}

func newOpenConnection(t *testing.T, h *runningHost) *openConnection {
	conn, err := net.Dial("tcp", h.settings.Listen.Callers)
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	return &openConnection{t, conn, bufio.NewReader(conn), h}
}

// request sends a request and returns the response, whose body has been read.
func (c *openConnection) request(path string) *http.Response {
	call := caller.Call{Method: http.MethodPost, Path: path, ID: path, Key: "key"}
	req, err := call.Request(c.t.Context(), c.host.settings.Listen.Callers)
	require.NoError(c.t, err)
	require.NoError(c.t, req.Write(c.conn))
	resp, err := http.ReadResponse(c.reader, req)
	require.NoError(c.t, err)
	_, err = io.Copy(io.Discard, resp.Body)
	require.NoError(c.t, err)
	require.NoError(c.t, resp.Body.Close())
	return resp
}
