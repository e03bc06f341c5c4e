package host

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jasminelock/jasminelock/entry"
	"github.com/jasminelock/jasminelock/standin/caller"
	"github.com/jasminelock/jasminelock/standin/replica"
	"github.com/jasminelock/jasminelock/standin/tables"
)

func TestHost_EndToEnd(t *testing.T) {
	d := newDeployment(t)
	engine := d.addReplica("engines", replica.Options{ID: "e1", Model: "m", AdapterSlots: 2, Events: 5})
	app := d.addReplica("app", replica.Options{ID: "p1"})
	h := d.addHost("h1")
	other := d.addHost("h2")
	require.Eventually(t, func() bool { return len(h.broker.Hosts()) == 2 && len(other.broker.Hosts()) == 2 }, testTimeout, 10*time.Millisecond)

	for _, host := range []*runningHost{h, other} {
		resp := host.generate("/chat/1")
		require.NoError(t, resp.err)
		require.Equal(t, http.StatusOK, resp.status, resp.body)
		require.Equal(t, 5, strings.Count(resp.body, "data: event"))
		require.Equal(t, "e1", resp.header.Get(caller.HeaderSignature))
	}
	require.Equal(t, 1, engine.AdapterCount())

	resp := h.request(http.MethodPost, "/book/a%2Fb?c=d", "order", nil)
	require.Equal(t, http.StatusOK, resp.status, resp.body)
	received := app.Requests()[0]
	require.Equal(t, "/book/a%2Fb?c=d", received.URI)
	require.Equal(t, "order", received.Body)
	require.False(t, received.HasKey())
	require.Equal(t, "org", received.Organisation())
	require.Equal(t, "p1", received.ExpectedReplica())
	require.NotEmpty(t, received.Deadline())

	_, directory := get(caller.DirectoryURL(h.settings.Listen.Directory, "z"))
	require.Contains(t, directory, h.settings.Listen.Callers)
	require.Contains(t, directory, other.settings.Listen.Callers)
}

func TestRefusals(t *testing.T) {
	d := newDeployment(t)
	app := d.addReplica("app", replica.Options{ID: "p1"})
	h := d.addHost("h1")
	none := map[string]string{caller.HeaderKey: ""}
	require.Equal(t, http.StatusNotFound, h.request(http.MethodGet, "/nowhere/", "", nil).status)
	require.Equal(t, http.StatusUnauthorized, h.request(http.MethodGet, "/status/", "", none).status)
	require.Equal(t, http.StatusUnauthorized, h.request(http.MethodGet, "/status/", "", map[string]string{caller.HeaderKey: caller.KeyHeaderValue("wrong")}).status)
	require.Equal(t, http.StatusOK, h.request(http.MethodGet, "/open/", "", none).status)
	require.Equal(t, http.StatusRequestEntityTooLarge, h.request(http.MethodPost, "/book/", strings.Repeat("x", 10001), nil).status)
	require.Equal(t, http.StatusBadRequest, h.request(http.MethodPost, "/chat/", "", map[string]string{caller.HeaderUsage: "many"}).status)
	require.Len(t, app.Requests(), 1)

	resp := h.request(http.MethodGet, "/slow/", "", nil)
	require.Equal(t, http.StatusServiceUnavailable, resp.status)
	require.NotEmpty(t, resp.header.Get("Retry-After"))

	d.putKey("new")
	require.Eventually(t, func() bool { return h.request(http.MethodGet, "/status/", "", nil).status == http.StatusUnauthorized }, testTimeout, 10*time.Millisecond)
}

// A key is withdrawn while its request waits for an upstream. The request must not run.
func TestKeyWithdrawnWhileRequestWaits(t *testing.T) {
	d := newDeployment(t)
	h := d.addHost("h1")
	waiting := make(chan response, 1)
	e := d.addReplica("engines", replica.Options{ID: "e1", Model: "m", AdapterSlots: 2, Events: 1})
	d.tables.PutUpstream("e1", tables.Upstream{Service: "engines", Address: "127.0.0.1:1", Slots: 8, StartedAt: 1})
	require.Eventually(t, func() bool { return h.watcher.View().Upstreams["e1"] != nil }, testTimeout, 5*time.Millisecond)
	go func() { waiting <- h.generate("/chat/1") }()
	require.Eventually(t, func() bool { return h.broker.Stats().Waiting == 1 }, testTimeout, time.Millisecond)
	d.putKey("new")
	require.Eventually(t, func() bool { return h.watcher.View().Config.KeyOwner("key") == nil }, testTimeout, time.Millisecond)
	d.addReplica("engines", replica.Options{ID: "e2", Model: "m", AdapterSlots: 2, Events: 1})
	got := <-waiting
	require.NotEqual(t, http.StatusOK, got.status)
	require.Empty(t, e.Requests())
	require.Empty(t, d.replicas["e2"].Requests())
}

// Each failure of upstreams leads to the expected number of attempts and status.
func TestAttempts(t *testing.T) {
	d := newDeployment(t)
	app := d.addReplica("app", replica.Options{ID: "p1"})
	d.addReplica("app", replica.Options{ID: "p2"})
	h := d.addHost("h1")
	total := func() int { return len(app.Requests()) + len(d.replicas["p2"].Requests()) }
	faults := func(f replica.Faults) {
		app.SetFaults(f)
		d.replicas["p2"].SetFaults(f)
	}
	for _, tc := range []struct {
		name, method, path string
		faults             replica.Faults
		status, sent       int
		failure            string
	}{
		{"a rejected request is sent to another upstream", http.MethodPost, "/book/", replica.Faults{Full: 1}, http.StatusServiceUnavailable, 2, ": rejected: full"},
		{"a safe request is retried after a failure", http.MethodGet, "/status/", replica.Faults{DropConnections: 1}, http.StatusBadGateway, 2, ": no response: "},
		{"an unsafe request is not retried after a failure", http.MethodPost, "/book/", replica.Faults{DropConnections: 1}, http.StatusBadGateway, 1, ": no response: "},
		{"an upstream's error response is relayed", http.MethodPost, "/book/", replica.Faults{Fail: 1}, http.StatusInternalServerError, 1, ": responded with status 500"},
		{"a success without a signature is a failure", http.MethodPost, "/book/", replica.Faults{Unsigned: 1}, http.StatusBadGateway, 1, ": success without a signature"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			before := total()
			faults(tc.faults)
			ended := make(chan entry.Result, 1)
			h.server.Observe = func(r entry.Result) { ended <- r }
			resp := h.request(tc.method, tc.path, "", nil)
			require.Contains(t, (<-ended).Failure, tc.failure)
			require.NoError(t, resp.err)
			require.Equal(t, tc.status, resp.status, resp.body)
			require.Equal(t, tc.sent, total()-before)
			faults(replica.Faults{})
		})
	}
}

// An interrupted stream is resumed on another upstream if its route allows it, without
// lost or repeated events. Otherwise the caller sees that the stream is incomplete.
func TestStreamsThatBreakOff(t *testing.T) {
	d := newDeployment(t)
	for _, id := range []string{"e1", "e2"} {
		d.addReplica("engines", replica.Options{ID: id, Model: "m", AdapterSlots: 2, Events: 6}).
			SetFaults(replica.Faults{CutStreams: 1, CutAfterEvents: 2})
	}
	h := d.addHost("h1")
	resp := h.generate("/chat/1")
	require.Error(t, resp.err)
	require.NotContains(t, resp.body, "id: 3", "a partial event is not relayed")

	d.replicas["e1"].SetFaults(replica.Faults{CutStreams: 1, CutAfterEvents: 2})
	d.replicas["e2"].SetFaults(replica.Faults{})
	var resumed bool
	for range 4 {
		resp = h.generate("/resume/1")
		require.NoError(t, resp.err)
		for i := 1; i <= 6; i++ {
			require.Equal(t, 1, strings.Count(resp.body, fmt.Sprintf("id: %d\n", i)), resp.body)
		}
		resumed = true
	}
	require.True(t, resumed)
}

// The upstream's connection is closed as soon as the caller disconnects.
func TestCallerDisconnects(t *testing.T) {
	d := newDeployment(t)
	engine := d.addReplica("engines", replica.Options{ID: "e1", Model: "m", AdapterSlots: 2, Events: 10000, EventPause: 5 * time.Millisecond})
	h := d.addHost("h1")
	conn, err := net.Dial("tcp", h.settings.Listen.Callers)
	require.NoError(t, err)
	call := caller.Call{Method: http.MethodPost, Path: "/chat/1", ID: "1", Key: "key", Model: "m", Adapter: "a1", PromptTokens: 100, OutputTokens: 20}
	req, err := call.Request(t.Context(), h.settings.Listen.Callers)
	require.NoError(t, err)
	require.NoError(t, req.Write(conn))
	line, err := bufio.NewReader(conn).ReadString('\n')
	require.NoError(t, err)
	require.Contains(t, line, "200")
	require.NoError(t, conn.Close())
	require.Eventually(t, func() bool { return engine.Cancelled() == 1 }, testTimeout, 5*time.Millisecond)
}

// An upstream that is listed as draining gets no more requests.
func TestDrainingUpstream(t *testing.T) {
	d := newDeployment(t)
	d.addReplica("app", replica.Options{ID: "p1"})
	h := d.addHost("h1")
	require.Equal(t, http.StatusOK, h.request(http.MethodGet, "/status/", "", nil).status)
	d.tables.PutUpstream("p1", tables.Upstream{Service: "app", Address: "127.0.0.1:1", Slots: 8, StartedAt: 1, Draining: true})
	require.Eventually(t, func() bool {
		return h.request(http.MethodGet, "/status/", "", nil).status == http.StatusServiceUnavailable
	}, testTimeout, 10*time.Millisecond)
}

// A draining host still serves requests, sends callers elsewhere, refuses streams that it
// could not finish, and stops without aborting a request.
func TestDrain(t *testing.T) {
	d := newDeployment(t)
	d.addReplica("app", replica.Options{ID: "p1"})
	d.addReplica("engines", replica.Options{ID: "e1", Model: "m", AdapterSlots: 2, Events: 30, EventPause: 50 * time.Millisecond})
	h := d.addHost("h1")
	other := d.addHost("h2")
	require.Eventually(t, func() bool { return len(other.broker.Hosts()) == 2 }, testTimeout, 10*time.Millisecond)
	running := make(chan response, 1)
	go func() { running <- h.generate("/chat/1") }()
	require.Eventually(t, func() bool { return len(d.replicas["e1"].Requests()) == 1 }, testTimeout, 5*time.Millisecond)
	h.Drain()
	resp := h.request(http.MethodGet, "/status/", "", nil)
	require.Equal(t, http.StatusOK, resp.status)
	require.True(t, resp.closesConnection)
	code, _ := get(caller.ReadyURL(h.settings.Listen.Readiness))
	require.Equal(t, http.StatusServiceUnavailable, code)
	require.Eventually(t, func() bool {
		_, directory := get(caller.DirectoryURL(other.settings.Listen.Directory, "z"))
		return !strings.Contains(directory, h.settings.Listen.Callers)
	}, testTimeout, 10*time.Millisecond)
	time.Sleep(2600 * time.Millisecond)
	resp = h.generate("/chat/2")
	require.Equal(t, http.StatusServiceUnavailable, resp.status)
	require.NotEmpty(t, resp.header.Get("Retry-After"))
	require.Len(t, d.replicas["e1"].Requests(), 1)
	streamed := <-running
	require.NoError(t, streamed.err)
	require.Equal(t, 30, strings.Count(streamed.body, "data: event"))
	require.NoError(t, <-h.done)
	h.done <- nil
}

func TestMetrics_Served(t *testing.T) {
	d := newDeployment(t)
	d.addReplica("app", replica.Options{ID: "p1"})
	h := d.addHost("h1")
	require.Equal(t, http.StatusOK, h.request(http.MethodGet, "/status/", "", nil).status)
	require.Eventually(t, func() bool {
		_, text := get("http://" + h.settings.Listen.Metrics + "/metrics")
		return strings.Contains(text, "jasminelock_entry_requests_total")
	}, testTimeout, 10*time.Millisecond)
}

// series returns the names and labels of the metric series that belong to the product.
func (r *runningHost) series() map[string]bool {
	_, text := get("http://" + r.settings.Listen.Metrics + "/metrics")
	out := map[string]bool{}
	for line := range strings.Lines(text) {
		if strings.HasPrefix(line, "jasminelock_") {
			out[line[:strings.LastIndexByte(line, ' ')]] = true
		}
	}
	return out
}

// Adapters, organisations, paths, keys and request ids change continually. The number of
// metric series must not grow with them.
func TestMetrics_BoundedSeries(t *testing.T) {
	d := newDeployment(t)
	d.addReplica("app", replica.Options{ID: "p1"})
	d.addReplica("engines", replica.Options{ID: "e1", Model: "m", AdapterSlots: 4, Events: 1})
	h := d.addHost("h1")
	const callers = 8
	sendRound := func(n int) {
		d.config.Version++
		d.config.Organisations = nil
		for i := range callers {
			name := fmt.Sprintf("org-%d-%d", n, i)
			d.config.Organisations = append(d.config.Organisations, tables.Organisation{
				Name: name, Keys: []string{"key-of-" + name}, PlainTokens: 10, TokensPerSecond: 100, BurstTokens: 100,
			})
		}
		d.tables.PutConfig(d.config)
		require.Eventually(t, func() bool { return int(h.configVersion()) == d.config.Version }, testTimeout, 5*time.Millisecond)
		for i := range callers {
			key := fmt.Sprintf("key-of-org-%d-%d", n, i)
			id := fmt.Sprintf("id-%d-%d", n, i)
			call := caller.Call{Method: http.MethodGet, Path: "/status/" + id, ID: id, Key: key}
			require.Equal(t, http.StatusOK, h.send(call, nil).status)
			call.Path = "/unknown-" + id
			require.Equal(t, http.StatusNotFound, h.send(call, nil).status)
			call.Path, call.Key = "/status/", "no-"+key
			require.Equal(t, http.StatusUnauthorized, h.send(call, nil).status)
			call = caller.Call{
				Method: http.MethodPost, Path: "/chat/", Body: "prompt", ID: id + "-chat", Key: key,
				Model: "m", Adapter: "adapter-" + id, PromptTokens: 100, OutputTokens: 20,
			}
			require.Equal(t, http.StatusOK, h.send(call, nil).status)
			call.PromptTokens = 100_000
			require.Equal(t, http.StatusTooManyRequests, h.send(call, nil).status)
		}
	}
	sendRound(1)
	first := h.series()
	for _, name := range []string{
		"jasminelock_entry_requests_total", "jasminelock_entry_refusals_total", "jasminelock_entry_tokens_total", "jasminelock_orders_total",
		"jasminelock_store_calls_total", "jasminelock_lead_fence", "jasminelock_organisations_limited", "jasminelock_upstreams_oldest_state",
	} {
		require.Contains(t, fmt.Sprint(first), name)
	}
	for n := range 2 {
		sendRound(2 + n)
	}
	var added []string
	for seriesName := range h.series() {
		if !first[seriesName] && !strings.HasPrefix(seriesName, "jasminelock_store_calls_total") &&
			!strings.HasPrefix(seriesName, "jasminelock_orders_total") {
			added = append(added, seriesName)
		}
		for _, word := range []string{"org-", "id-", "adapter-", "key-of"} {
			require.NotContains(t, seriesName, word)
		}
	}
	require.Empty(t, added)
	require.Less(t, len(first), maxSeries)
}

// maxSeries is above the number of series of six routes with two histograms each and of
// the closed lists of statuses, reasons, rules, calls and results.
const maxSeries = 400
