package host

import (
	"encoding/json"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jasminelock/jasminelock/standin/replica"
)

// work returns what the operators' page shows of the upstreams.
func (r *runningHost) work(t *testing.T) map[string]upstreamWork {
	t.Helper()
	_, text := get("http://" + r.settings.Listen.Metrics + "/upstreams")
	var list []upstreamWork
	require.NoError(t, json.Unmarshal([]byte(text), &list), text)
	out := map[string]upstreamWork{}
	for _, w := range list {
		out[w.Upstream] = w
	}
	return out
}

// An upstream states in its answers that it is slow. The host must send its requests to the other one, and the operators'
// page must show why; a host that does not read the figure sends half of them.
func TestPace_SlowUpstreamAvoided(t *testing.T) {
	d := newDeployment(t)
	d.addReplica("app", replica.Options{ID: "p1"}).SetPace("425")
	d.addReplica("app", replica.Options{ID: "p2"}).SetPace("70")
	h := d.addHost("h1")
	require.Eventually(t, func() bool {
		require.Equal(t, http.StatusOK, h.request(http.MethodGet, "/status/", "", nil).status)
		return d.requestCount("p1") > 0 && d.requestCount("p2") > 0
	}, testTimeout, time.Millisecond)
	before := d.requestCount("p2")
	const requests = 20
	for range requests {
		require.Equal(t, http.StatusOK, h.request(http.MethodGet, "/status/", "", nil).status)
	}
	require.Equal(t, before+requests, d.requestCount("p2"))
	work := h.work(t)
	require.InDelta(t, 4.25, work["p1"].SlowPace, 1e-9)
	require.InDelta(t, 0.7, work["p2"].FastPace, 1e-9)
	require.Equal(t, "stated", work["p2"].Source)
	require.True(t, work["p1"].Considered)
}
