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

// Guards against a request that crashes its upstreams and is sent on and on, over real
// connections: it comes at each host in turn, under another key and with other queries
// as well, and may be repeated. Others are served meanwhile.
func TestACrashingRequestIsSentOnNoMore(t *testing.T) {
	d := deploy(t)
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
			time.Sleep(backAfter)
		}
		if n > 10 {
			key = "another"
		}
		a := hosts[n%2].send(caller.Call{
			Method: http.MethodPost, Path: fmt.Sprintf("/status/x?n=%d", n%3), Body: replica.CrashBody, ID: fmt.Sprintf("crash-%d", n), Key: key,
		}, nil)
		require.NotEqual(t, http.StatusOK, a.status)
		if a.status == http.StatusServiceUnavailable {
			require.NotEmpty(t, a.header.Get("Retry-After"))
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
	// At most one attempt of each host is under way when the request is recognised.
	require.LessOrEqual(t, reached, quarantine.MaxInterruptions+len(hosts))
	require.GreaterOrEqual(t, refused, 25)
	require.Eventually(t, func() bool {
		return hosts[0].call(http.MethodGet, "/status/", "", nil).status == http.StatusOK && hosts[1].broker.Stats().Quarantined > 0
	}, patience, 10*time.Millisecond)
}

// Guards against a crash that is told of by a failure: an upstream that fails a request
// by itself clears nothing, one that answers it does.
func TestOnlyASuccessClearsARequest(t *testing.T) {
	d := deploy(t)
	r := d.addReplica("app", replica.Options{ID: "p1"})
	h := d.addHost("h1")
	fails := func(f replica.Faults) {
		r.SetFaults(f)
		h.call(http.MethodPost, "/book/x", "body", nil)
	}
	entries := func() int { return h.broker.Stats().Suspected }
	fails(replica.Faults{Break: 1})
	require.Equal(t, 1, entries())
	fails(replica.Faults{Fail: 1})
	require.Equal(t, 1, entries())
	fails(replica.Faults{})
	require.Zero(t, entries())
}
