package demo

import (
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/jasminelock/jasminelock/daemon"
	platformstandin "github.com/jasminelock/jasminelock/standin/platform"
)

// A host is stopped at once while requests wait, run at a service and stream. Each must get a final answer that says whether
// it may have run. Before, their connections were closed without one.
func TestHost_StoppedAtOnceAnswersEveryRequest(t *testing.T) {
	c := startCluster(t, hclog.NewNullLogger(), configInterval)
	c.platformStandin.SetWeightLimits(platformstandin.WeightLimits{FetchTime: neverInterval})
	c.service.SetDelay(neverInterval)
	h := c.hosts[0]
	south := organisations[1]
	var callers sync.WaitGroup
	for range 4 {
		callers.Go(func() { // waits for the adapter
			got, err := newCaller(south.secret).chat(t.Context(), h.daemon.CallerURL(), south.adapters[0], true)
			assert.NoError(t, err)
			assert.Equal(t, reply{http.StatusServiceUnavailable, "host_draining", "not_run", got.text, true}, got)
		})
		callers.Go(func() { // may not be repeated
			got, err := newCaller(south.secret).call(t.Context(), http.MethodPost, h.daemon.CallerURL()+ordersRoute, "")
			assert.NoError(t, err)
			assert.Equal(t, reply{http.StatusBadGateway, "outcome_unknown", "may_have_run", got.text, true}, got)
		})
		callers.Go(func() { // may be repeated
			got, err := newCaller("").call(t.Context(), http.MethodGet, h.daemon.CallerURL()+stockRoute+"/lamp", "")
			assert.NoError(t, err)
			assert.Equal(t, reply{http.StatusBadGateway, "upstream_failed", "may_have_run", got.text, true}, got)
		})
	}
	require.Eventually(t, func() bool { return c.service.Active() == 8 && h.daemon.Status().InFlight == 12 }, generousBound, time.Millisecond)
	c.cancel()
	<-h.stopped
	callers.Wait()
	var interrupted *daemon.InterruptedError
	require.ErrorAs(t, h.err, &interrupted)
	require.Equal(t, 12, interrupted.Requests)
}
