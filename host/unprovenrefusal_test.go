package host

import (
	"fmt"
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/jasminelock/jasminelock/standin/caller"
	"github.com/jasminelock/jasminelock/standin/replica"
	"github.com/jasminelock/jasminelock/standin/tables"
)

// Upstreams run requests and answer 408, 429 or 503 without stating that they have not run. Callers take such a status as a promise, and
// repeat the request. Guards against a booking that is made twice since the status of an upstream that has run it was relayed.
func TestUnprovenRefusal_NotRelayed(t *testing.T) {
	d := newDeployment(t)
	for _, id := range []string{"p1", "p2"} {
		d.addReplica("app", replica.Options{ID: id})
	}
	for _, id := range []string{"e1", "e2"} {
		d.addReplica("engines", replica.Options{ID: id, Model: "m", AdapterSlots: 2, Events: 3})
	}
	h := d.addHost("h1")
	require.Equal(t, http.StatusOK, h.generate("/chat/warm").status)
	sent := func() (n int) {
		for _, r := range d.replicas {
			n += len(r.Requests())
		}
		return n
	}
	for _, status := range []int{http.StatusRequestTimeout, http.StatusTooManyRequests, http.StatusServiceUnavailable} {
		for name, tc := range map[string]struct {
			attempts int
			send     func(path string) response
		}{
			"book":   {1, func(path string) response { return h.request(http.MethodPost, path, "order", nil) }},
			"chat":   {1, h.generate},
			"status": {2, func(path string) response { return h.request(http.MethodGet, path, "", nil) }},
			"resume": {2, h.generate},
		} {
			t.Run(fmt.Sprintf("%s/%d", name, status), func(t *testing.T) {
				for _, r := range d.replicas {
					r.SetFaults(replica.Faults{Fail: 100, FailStatus: status})
				}
				before := sent()
				resp := tc.send("/" + name + "/1")
				require.NoError(t, resp.err)
				require.Equal(t, http.StatusBadGateway, resp.status, resp.body)
				require.Contains(t, resp.body, `"may_have_run"`)
				require.Empty(t, resp.header.Get(caller.HeaderSignature))
				require.Equal(t, tc.attempts, sent()-before)
			})
		}
	}
	// An upstream's failure that promises nothing is relayed as it is.
	for _, r := range d.replicas {
		r.SetFaults(replica.Faults{Fail: 1, FailStatus: http.StatusGatewayTimeout})
	}
	resp := h.request(http.MethodPost, "/book/1", "order", nil)
	require.Equal(t, http.StatusGatewayTimeout, resp.status)
	require.NotEmpty(t, resp.header.Get(caller.HeaderSignature))
}

// An upstream refuses a request, and the body of that response never comes. Guards against a request that waits for such a body until
// its deadline, though it is known what becomes of it.
func TestRefusal_BodyNotAwaited(t *testing.T) {
	for name, tc := range map[string]struct {
		proof  string
		status int
	}{
		"proven":   {caller.HeaderNotRun + ": 1\r\n", http.StatusServiceUnavailable},
		"unproven": {"", http.StatusBadGateway},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d := newDeployment(t)
			raw, err := replica.ServeRaw(func(c *net.TCPConn, req *http.Request) bool {
				_, _ = fmt.Fprintf(c, "HTTP/1.1 503 Service Unavailable\r\n%s: %s\r\n%sContent-Length: 100\r\n\r\n",
					caller.HeaderAttempt, req.Header.Get(caller.HeaderAttempt), tc.proof)
				_, _ = c.Read(make([]byte, 1)) // returns when the host closes the connection
				return false
			})
			require.NoError(t, err)
			t.Cleanup(raw.Close)
			d.tables.PutUpstream("p1", tables.Upstream{Service: "app", Address: raw.Address(), Slots: 8, StartedAt: 1})
			h := d.addHost("h1")
			resp := h.request(http.MethodPost, "/book/1", "order", nil)
			require.NoError(t, resp.err)
			require.Equal(t, tc.status, resp.status, resp.body)
		})
	}
}
