package daemon_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jasminelock/jasminelock/daemon"
	standplatform "github.com/jasminelock/jasminelock/standin/platform"
)

// logBuffer holds log lines. It may be used by several loggers.
type logBuffer struct {
	mu    sync.Mutex
	lines bytes.Buffer
}

// Write implements io.Writer.
func (b *logBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.lines.Write(p)
}

// linesOf returns the lines that a host has logged with a message.
func (b *logBuffer) linesOf(t *testing.T, host, message string) (lines []map[string]any) {
	t.Helper()
	b.mu.Lock()
	defer b.mu.Unlock()
	for raw := range strings.Lines(b.lines.String()) {
		line := map[string]any{}
		require.NoError(t, json.Unmarshal([]byte(raw), &line))
		if line["host"] == host && line["@message"] == message {
			lines = append(lines, line)
		}
	}
	return lines
}

// hasMetrics reports whether a host's metrics include lines.
func (d *deployment) hasMetrics(h *daemon.Daemon, lines ...string) bool {
	d.t.Helper()
	resp, err := http.Get(h.OperatorURL() + "/metrics")
	require.NoError(d.t, err)
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	require.NoError(d.t, err)
	for _, line := range lines {
		if !strings.Contains(string(text), line+"\n") {
			return false
		}
	}
	return true
}

// order sends a request with an idempotency key.
func (d *deployment) order(h *daemon.Daemon, key string) {
	d.t.Helper()
	req, err := http.NewRequestWithContext(d.t.Context(), http.MethodPost, h.CallerURL()+"/orders", strings.NewReader("kit"))
	require.NoError(d.t, err)
	req.Header.Set("Authorization", "Bearer secret")
	req.Header.Set("Idempotency-Key", key)
	resp, err := http.DefaultClient.Do(req)
	require.NoError(d.t, err)
	defer resp.Body.Close()
	require.Equal(d.t, http.StatusOK, resp.StatusCode)
}

// The store is restored twice, the second time while it accepts no writes. Guards against a restore that operators do not see,
// against a line for each attempt to write, and against a host that reports a restore since it has started in a later era.
func TestRestore_Shown(t *testing.T) {
	const restored = "store restored from a copy"
	d := newDeployment(t, 2)
	d.apply("route", "orders", `{"prefix":"/orders","pool":"stock","cost_tokens":1}`)
	d.waitForLive(d.hosts, 2)
	for _, h := range d.hosts {
		d.waitForService(h)
		d.eventually(func() bool { return d.getStatus(h, "/orders") == http.StatusOK }, "the route is in force")
		require.True(t, d.hasMetrics(h, "jasminelock_store_era 0", "jasminelock_store_drills 0", "jasminelock_outcomes_rewritten_total 0"))
	}
	copied := d.platform.Copy()
	listed := d.hosts[0].Status().Revision
	d.order(d.hosts[0], "lost")
	d.apply("organisation", "lost", `{}`)
	d.eventually(func() bool { return d.hosts[0].Status().Revision > listed }, "the change is in force")
	d.platform.Restore(copied)
	for i, h := range d.hosts {
		rewritten := 1 - i
		d.eventually(func() bool {
			return d.hasMetrics(h, "jasminelock_store_era 1", "jasminelock_store_drills 1", fmt.Sprintf("jasminelock_outcomes_rewritten_total %d", rewritten))
		}, "shown")
		name := h.Status().Host
		d.eventually(func() bool { return len(d.logged.linesOf(t, name, restored)) == 1 }, "logged")
		line := d.logged.linesOf(t, name, restored)[0]
		for key, want := range map[string]any{
			"era": 1.0, "era_before": 0.0, "written": float64(rewritten), "taken_by_others": 0.0,
			"revision": float64(listed) + 1, "revision_listed": float64(listed),
		} {
			require.Equal(t, want, line[key], key)
		}
	}
	d.platform.Restore(copied)
	d.platform.SetFaults(standplatform.Faults{TablesDown: true})
	for _, h := range d.hosts {
		d.eventually(func() bool { return d.hasMetrics(h, "jasminelock_store_era 2") }, "seen in the host list")
	}
	time.Sleep(500 * time.Millisecond)
	d.platform.SetFaults(standplatform.Faults{})
	for i, h := range d.hosts {
		name := h.Status().Host
		d.eventually(func() bool { return len(d.logged.linesOf(t, name, restored)) == 2 }, "logged")
		require.True(t, d.hasMetrics(h, "jasminelock_store_era 2", "jasminelock_store_drills 2",
			fmt.Sprintf("jasminelock_outcomes_rewritten_total %d", 2-2*i), "jasminelock_outcomes_taken_total 0"))
		require.Len(t, d.logged.linesOf(t, name, "claims of idempotency keys not written again yet; retrying"), 1)
	}
	d.startHost("host-3", "zone-3", 3)
	d.eventually(func() bool { return d.hasMetrics(d.hosts[2], "jasminelock_store_era 2", "jasminelock_store_drills 0") }, "joined")
	time.Sleep(500 * time.Millisecond)
	require.Empty(t, d.logged.linesOf(t, "host-3", restored))
}
