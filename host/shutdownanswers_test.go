package host

import (
	"bufio"
	"fmt"
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
