package demo

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
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

// A host that stops still has a request to finish when it closes its listener. A request on a connection that a caller holds
// open must be refused with an answer meanwhile. Before, net/http closed the connection when it had read the request.
func TestHost_DrainAnswersOnOpenConnections(t *testing.T) {
	c := startCluster(t, hclog.NewNullLogger(), configInterval)
	c.service.SetDelay(5 * locateWait)
	h := c.hosts[0]
	address := strings.TrimPrefix(h.daemon.CallerURL(), "http://")
	conn, err := net.Dial("tcp", address)
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	answered := make(chan reply, 1)
	go func() {
		got, err := newCaller(organisations[1].secret).call(t.Context(), http.MethodPost, h.daemon.CallerURL()+ordersRoute, "")
		assert.NoError(t, err)
		answered <- got
	}()
	require.Eventually(t, func() bool { return c.service.Active() == 1 }, generousBound, time.Millisecond)
	h.daemon.Drain()
	require.Eventually(t, func() bool {
		other, err := net.Dial("tcp", address)
		if err == nil {
			_ = other.Close()
		}
		return err != nil // the listener is closed
	}, generousBound, 10*time.Millisecond)
	_, err = fmt.Fprintf(conn, "GET %s/lamp HTTP/1.1\r\nHost: %s\r\n\r\n", stockRoute, address)
	require.NoError(t, err)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err)
	body, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
	require.Contains(t, string(body), "host_draining")
	require.True(t, resp.Close)
	require.Equal(t, http.StatusOK, (<-answered).status)
	<-h.stopped
	require.NoError(t, h.err)
}
