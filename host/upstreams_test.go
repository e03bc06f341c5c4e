package host

import (
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jasminelock/jasminelock/standin/caller"
	"github.com/jasminelock/jasminelock/standin/replica"
	"github.com/jasminelock/jasminelock/standin/tables"
)

// requestCount returns the number of requests that have reached the replica id.
func (d *deployment) requestCount(id string) int { return len(d.replicas[id].Requests()) }

// An upstream announces in its response headers that it is leaving, before the store lists
// it as draining. No host sends it further requests, also those that got no such response.
func TestUpstreamLeavingHeader(t *testing.T) {
	d := newDeployment(t)
	d.addReplica("app", replica.Options{ID: "p1"})
	d.addReplica("app", replica.Options{ID: "p2"})
	h, other := d.addHost("h1"), d.addHost("h2")
	require.Eventually(t, func() bool { return len(other.broker.Hosts()) == 2 && len(h.broker.Hosts()) == 2 }, testTimeout, 10*time.Millisecond)
	d.replicas["p1"].SetFaults(replica.Faults{Leaving: true})
	require.Eventually(t, func() bool {
		require.Equal(t, http.StatusOK, h.request(http.MethodGet, "/status/", "", nil).status)
		return d.requestCount("p1") > 0
	}, testTimeout, time.Millisecond)
	u := h.watcher.View().Upstreams["p1"]
	require.Eventually(t, func() bool { _, withheld := other.broker.DeclinesRequests(u); return withheld }, testTimeout, time.Millisecond)
	before := d.requestCount("p1")
	for range 20 {
		for _, host := range []*runningHost{h, other} {
			require.Equal(t, http.StatusOK, host.request(http.MethodGet, "/status/", "", nil).status)
		}
	}
	require.Equal(t, before, d.requestCount("p1"))
}

// The only availability zone is evacuated. No upstream gets a request until the evacuation
// ends.
func TestEvacuatedZone(t *testing.T) {
	d := newDeployment(t)
	d.addReplica("app", replica.Options{ID: "p1"})
	h := d.addHost("h1")
	require.Equal(t, http.StatusOK, h.request(http.MethodGet, "/status/", "", nil).status)
	d.tables.Evacuate(tables.DefaultZone, true)
	require.Eventually(t, func() bool {
		resp := h.request(http.MethodGet, "/status/", "", nil)
		return resp.status == http.StatusServiceUnavailable && resp.header.Get("Retry-After") != ""
	}, testTimeout, 10*time.Millisecond)
	before := d.requestCount("p1")
	for range 20 {
		h.request(http.MethodGet, "/status/", "", nil)
	}
	require.Equal(t, before, d.requestCount("p1"))
	d.tables.Evacuate(tables.DefaultZone, false)
	require.Eventually(t, func() bool { return h.request(http.MethodGet, "/status/", "", nil).status == http.StatusOK }, testTimeout, 10*time.Millisecond)
}

// An upstream rejects a request with a Retry-After. It gets no request for that time, and
// is used again afterwards.
func TestUpstreamRetryAfter(t *testing.T) {
	d := newDeployment(t)
	d.addReplica("app", replica.Options{ID: "p1"})
	d.replicas["p1"].SetFaults(replica.Faults{Full: 1, RetryAfter: "1.5"})
	h := d.addHost("h1")
	started := time.Now()
	resp := h.request(http.MethodGet, "/status/", "", nil)
	require.Equal(t, http.StatusServiceUnavailable, resp.status)
	const pause = 1500 * time.Millisecond
	for time.Since(started) < pause {
		resp = h.request(http.MethodGet, "/status/", "", nil)
		if time.Since(started) >= pause {
			break // the response may date from after the pause
		}
		require.Equal(t, http.StatusServiceUnavailable, resp.status)
		require.NotEmpty(t, resp.header.Get("Retry-After"))
		require.Equal(t, 1, d.requestCount("p1"))
	}
	require.Eventually(t, func() bool { return h.request(http.MethodGet, "/status/", "", nil).status == http.StatusOK }, testTimeout, 20*time.Millisecond)
	require.GreaterOrEqual(t, time.Since(started), pause)
}

// Guards against a host that says it is ready, or refuses requests for want of an upstream, before it has read the
// table of upstreams.
func TestStart_UpstreamsReadLate(t *testing.T) {
	d := newDeployment(t)
	d.addReplica("app", replica.Options{ID: "p1"})
	d.tables.SetFaults(tables.Faults{SlowTable: tables.UpstreamTable, SlowBy: 700 * time.Millisecond})
	h := d.startHost("h1")
	early := make(chan response, 1)
	require.Eventually(t, func() bool { return h.watcher.View().Config != nil && isListening(h.settings.Listen.Callers) }, testTimeout, time.Millisecond)
	go func() { early <- h.request(http.MethodGet, "/status/early", "", nil) }()
	require.Eventually(t, func() bool {
		code, _ := get(caller.ReadyURL(h.settings.Listen.Readiness))
		return code == http.StatusOK
	}, testTimeout, time.Millisecond)
	require.Equal(t, http.StatusOK, h.request(http.MethodGet, "/status/", "", nil).status)
	if resp := <-early; resp.status != http.StatusOK { // the reads may have been quick after all
		require.Equal(t, http.StatusServiceUnavailable, resp.status)
		require.Contains(t, resp.body, "not_ready")
		require.NotEmpty(t, resp.header.Get("Retry-After"))
	}
}

// isListening reports whether connections to an address are accepted.
func isListening(address string) bool {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return false
	}
	_ = conn.Close()
	return true
}

// maxHeapGrowth is how many bytes an endless body may add to a host's heap. The smallest
// host of the users' deployments has 184 MB.
const maxHeapGrowth = 40 << 20

// An upstream sends an endless body. The caller sees that the response is incomplete, and
// the host's memory use stays bounded.
func TestUnboundedBody(t *testing.T) {
	d := newDeployment(t)
	d.addReplica("app", replica.Options{ID: "p1"})
	h := d.addHost("h1")
	require.Equal(t, http.StatusOK, h.request(http.MethodGet, "/status/", "", nil).status)
	d.replicas["p1"].SetFaults(replica.Faults{Endless: 1})
	var before, current runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	done := make(chan error, 1)
	go func() {
		c := caller.Call{Method: http.MethodGet, Path: "/status/", ID: "1", Key: "key"}
		req, err := c.Request(t.Context(), h.settings.Listen.Callers)
		if err != nil {
			done <- err
			return
		}
		resp, err := http.DefaultClient.Do(req)
		if err == nil {
			buf := make([]byte, 64<<10)
			for err == nil {
				_, err = resp.Body.Read(buf)
			}
			_ = resp.Body.Close()
		}
		done <- err
	}()
	for peak := uint64(0); ; {
		select {
		case err := <-done:
			require.ErrorContains(t, err, "unexpected EOF")
			require.Less(t, peak, uint64(maxHeapGrowth))
			return
		case <-time.After(5 * time.Millisecond):
			runtime.ReadMemStats(&current)
			if current.HeapAlloc > before.HeapAlloc {
				peak = max(peak, current.HeapAlloc-before.HeapAlloc)
			}
		}
	}
}

// A stalled stream sends single bytes but no complete event. It ends at the caller's
// deadline.
func TestStalledStream(t *testing.T) {
	d := newDeployment(t)
	d.addReplica("engines", replica.Options{ID: "e1", Model: "m", AdapterSlots: 2, Events: 5, EventPause: 30 * time.Millisecond})
	h := d.addHost("h1")
	require.Equal(t, http.StatusOK, h.generate("/chat/1").status)
	d.replicas["e1"].SetFaults(replica.Faults{DripStreams: 1})
	c := caller.Call{
		Method: http.MethodPost, Path: "/chat/2", Body: "prompt", ID: "2", Key: "key", Model: "m", Adapter: "a1", PromptTokens: 100, OutputTokens: 20,
		Timeout: 700 * time.Millisecond,
	}
	started := time.Now()
	resp := h.send(c, nil)
	require.NoError(t, resp.err)
	require.Equal(t, http.StatusGatewayTimeout, resp.status)
	require.Greater(t, time.Since(started), 600*time.Millisecond)
	require.Less(t, time.Since(started), testTimeout/2)
}

// A healthy stream is relayed to its end, however long the gaps between its events.
func TestSlowStream(t *testing.T) {
	d := newDeployment(t)
	d.addReplica("engines", replica.Options{ID: "e1", Model: "m", AdapterSlots: 2, Events: 4, EventPause: 1200 * time.Millisecond})
	h := d.addHost("h1")
	resp := h.generate("/chat/1")
	require.NoError(t, resp.err)
	require.Equal(t, 4, strings.Count(resp.body, "data: event"))
}
