package host

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jasminelock/jasminelock/quarantine"
	"github.com/jasminelock/jasminelock/standin/caller"
	"github.com/jasminelock/jasminelock/standin/replica"
)

// A repeatable request crashes every upstream that runs it. It arrives at each host in
// turn, also under another key and with other queries, and must soon be refused by all
// hosts. Other requests are still served. Uses real connections.
func TestCrashingRequest_Quarantined(t *testing.T) {
	d := newDeployment(t)
	for i := range 6 {
		d.addCrashing("app", replica.Options{ID: fmt.Sprintf("p%d", i)})
	}
	hosts := []*runningHost{d.addHost("h1"), d.addHost("h2")}
	refused := 0
	for n := range 40 {
		key := "key"
		if n == 10 {
			d.config.Version++
			d.config.Organisations[0].Keys = []string{"key", "another"}
			d.tables.PutConfig(d.config)
			time.Sleep(restartDelay)
		}
		if n > 10 {
			key = "another"
		}
		resp := hosts[n%2].send(caller.Call{
			Method: http.MethodPost, Path: fmt.Sprintf("/status/x?n=%d", n%3), Body: replica.CrashBody, ID: fmt.Sprintf("crash-%d", n), Key: key,
		}, nil)
		require.NotEqual(t, http.StatusOK, resp.status)
		if resp.status == http.StatusServiceUnavailable {
			require.NotEmpty(t, resp.header.Get("Retry-After"))
			refused++
		}
		time.Sleep(20 * time.Millisecond)
	}
	reached := 0
	for _, r := range d.replicas {
		for _, seen := range r.Requests() {
			if seen.Body == replica.CrashBody {
				reached++
			}
		}
	}
	// At most one attempt per host is in flight when the request is recognised.
	require.LessOrEqual(t, reached, quarantine.MaxInterruptions+len(hosts))
	require.GreaterOrEqual(t, refused, 25)
	require.Eventually(t, func() bool {
		return hosts[0].request(http.MethodGet, "/status/", "", nil).status == http.StatusOK && hosts[1].broker.Stats().Quarantined > 0
	}, testTimeout, 10*time.Millisecond)
}

// A request is suspected of a crash. An error response of an upstream does not clear it,
// since a failure may follow from a crash; a success does.
func TestCrashingRequest_ClearedBySuccessOnly(t *testing.T) {
	d := newDeployment(t)
	r := d.addReplica("app", replica.Options{ID: "p1"})
	h := d.addHost("h1")
	fails := func(f replica.Faults) {
		r.SetFaults(f)
		h.request(http.MethodPost, "/book/x", "body", nil)
	}
	entries := func() int { return h.broker.Stats().Suspected }
	fails(replica.Faults{DropConnections: 1})
	require.Equal(t, 1, entries())
	fails(replica.Faults{Fail: 1})
	require.Equal(t, 1, entries())
	fails(replica.Faults{})
	require.Zero(t, entries())
}
