package host

import (
	"fmt"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/jasminelock/jasminelock/standin/caller"
	"github.com/jasminelock/jasminelock/standin/replica"
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
