package host

import (
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

// ran returns how many requests have reached a replica.
func (d *deployment) ran(id string) int { return len(d.replicas[id].Requests()) }

// An upstream says with its answers that it leaves, before the store does. Neither
// the host that was told nor the others send it anything more.
func TestAnUpstreamThatSaysThatItLeaves(t *testing.T) {
	d := deploy(t)
	d.addReplica("app", replica.Options{ID: "p1"})
	d.addReplica("app", replica.Options{ID: "p2"})
	h, other := d.addHost("h1"), d.addHost("h2")
	require.Eventually(t, func() bool { return len(other.broker.Hosts()) == 2 && len(h.broker.Hosts()) == 2 }, patience, 10*time.Millisecond)
	d.replicas["p1"].SetFaults(replica.Faults{Leaving: true})
	require.Eventually(t, func() bool {
		require.Equal(t, http.StatusOK, h.call(http.MethodGet, "/status/", "", nil).status)
		return d.ran("p1") > 0
	}, patience, time.Millisecond)
	u := h.watcher.View().Upstreams["p1"]
	require.Eventually(t, func() bool { _, withheld := other.broker.DeclinesRequests(u); return withheld }, patience, time.Millisecond)
	before := d.ran("p1")
	for range 20 {
		for _, one := range []*runningHost{h, other} {
			require.Equal(t, http.StatusOK, one.call(http.MethodGet, "/status/", "", nil).status)
		}
	}
	require.Equal(t, before, d.ran("p1"))
}

// An availability zone is evacuated: neither its upstreams nor, where it is the last,
// any others get a request, until that is over.
func TestAnEvacuatedZone(t *testing.T) {
	d := deploy(t)
	d.addReplica("app", replica.Options{ID: "p1"})
	h := d.addHost("h1")
	require.Equal(t, http.StatusOK, h.call(http.MethodGet, "/status/", "", nil).status)
	d.tables.Evacuate(tables.DefaultZone, true)
	require.Eventually(t, func() bool {
		a := h.call(http.MethodGet, "/status/", "", nil)
		return a.status == http.StatusServiceUnavailable && a.header.Get("Retry-After") != ""
	}, patience, 10*time.Millisecond)
	before := d.ran("p1")
	for range 20 {
		h.call(http.MethodGet, "/status/", "", nil)
	}
	require.Equal(t, before, d.ran("p1"))
	d.tables.Evacuate(tables.DefaultZone, false)
	require.Eventually(t, func() bool { return h.call(http.MethodGet, "/status/", "", nil).status == http.StatusOK }, patience, 10*time.Millisecond)
}

// An upstream turns requests away and says for how long. It is left alone for that
// time, and used again after it.
func TestAnUpstreamThatAsksToBeLeftAlone(t *testing.T) {
	d := deploy(t)
	d.addReplica("app", replica.Options{ID: "p1"})
	d.replicas["p1"].SetFaults(replica.Faults{Full: 1, RetryAfter: "1.5"})
	h := d.addHost("h1")
	started := time.Now()
	a := h.call(http.MethodGet, "/status/", "", nil)
	require.Equal(t, http.StatusServiceUnavailable, a.status)
	const pause = 1500 * time.Millisecond
	for time.Since(started) < pause {
		a = h.call(http.MethodGet, "/status/", "", nil)
		if time.Since(started) >= pause {
			break // the answer may be of after the pause
		}
		require.Equal(t, http.StatusServiceUnavailable, a.status)
		require.NotEmpty(t, a.header.Get("Retry-After"))
		require.Equal(t, 1, d.ran("p1"))
	}
	require.Eventually(t, func() bool { return h.call(http.MethodGet, "/status/", "", nil).status == http.StatusOK }, patience, 20*time.Millisecond)
	require.GreaterOrEqual(t, time.Since(started), pause)
}

// hostileMemory is what bytes without end may add to a host's heap. The smallest
// host of the users' deployments has 184 MB.
const hostileMemory = 40 << 20

// Pattern: an upstream's body has no end. The caller sees that the answer is not
// whole, and the host's memory stays bounded.
func TestABodyWithoutEnd(t *testing.T) {
	d := deploy(t)
	d.addReplica("app", replica.Options{ID: "p1"})
	h := d.addHost("h1")
	require.Equal(t, http.StatusOK, h.call(http.MethodGet, "/status/", "", nil).status)
	d.replicas["p1"].SetFaults(replica.Faults{Endless: 1})
	var before, now runtime.MemStats
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
	for most := uint64(0); ; {
		select {
		case err := <-done:
			require.ErrorContains(t, err, "unexpected EOF")
			require.Less(t, most, uint64(hostileMemory))
			return
		case <-time.After(5 * time.Millisecond):
			runtime.ReadMemStats(&now)
			if now.HeapAlloc > before.HeapAlloc {
				most = max(most, now.HeapAlloc-before.HeapAlloc)
			}
		}
	}
}

// Pattern: a stalled stream sends a byte now and then. It ends with the time that
// its caller gave.
func TestAStreamThatOnlyDripsEnds(t *testing.T) {
	d := deploy(t)
	d.addReplica("engines", replica.Options{ID: "e1", Model: "m", AdapterSlots: 2, Events: 5, EventPause: 30 * time.Millisecond})
	h := d.addHost("h1")
	require.Equal(t, http.StatusOK, h.generate("/chat/1").status)
	d.replicas["e1"].SetFaults(replica.Faults{Drip: 1})
	c := caller.Call{
		Method: http.MethodPost, Path: "/chat/2", Body: "prompt", ID: "2", Key: "key", Model: "m", Adapter: "a1", PromptTokens: 100, OutputTokens: 20,
		Patience: 700 * time.Millisecond,
	}
	started := time.Now()
	a := h.send(c, nil)
	require.NoError(t, a.err)
	require.Equal(t, http.StatusGatewayTimeout, a.status)
	require.Greater(t, time.Since(started), 600*time.Millisecond)
	require.Less(t, time.Since(started), patience/2)
}

// A sound stream is passed on however slowly its events come.
func TestASlowStreamIsNotCut(t *testing.T) {
	d := deploy(t)
	d.addReplica("engines", replica.Options{ID: "e1", Model: "m", AdapterSlots: 2, Events: 4, EventPause: 1200 * time.Millisecond})
	h := d.addHost("h1")
	a := h.generate("/chat/1")
	require.NoError(t, a.err)
	require.Equal(t, 4, strings.Count(a.body, "data: event"))
}
