package host

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jasminelock/jasminelock/standin/caller"
	"github.com/jasminelock/jasminelock/standin/replica"
	"github.com/jasminelock/jasminelock/standin/tables"
)

// A host is drained under load. Callers keep using open connections until the host closes
// them. Every request that an upstream has run must get its response.
func TestAPlannedStopUnderLoadCutsNothing(t *testing.T) {
	d := deploy(t)
	app := d.addReplica("app", replica.Options{ID: "p1"})
	h := d.addHost("h1")
	d.addHost("h2")
	var answered atomic.Int64
	var callers sync.WaitGroup
	end := make(chan struct{})
	for n := range 24 {
		callers.Go(func() {
			for i := 0; ; i++ {
				select {
				case <-end:
					return
				default:
				}
				c, err := net.DialTimeout("tcp", h.settings.Listen.Callers, time.Second)
				if err != nil {
					return // the listener is closed
				}
				answered.Add(int64(useConnection(c, fmt.Sprintf("%d-%d", n, i), h.settings.Listen.Callers)))
			}
		})
	}
	time.Sleep(300 * time.Millisecond)
	h.Drain()
	select {
	case err := <-h.done:
		require.NoError(t, err)
		h.done <- nil
	case <-time.After(patience):
		t.Fatal("the drained host did not stop")
	}
	close(end)
	callers.Wait()
	require.Positive(t, answered.Load())
	require.EqualValues(t, len(app.Requests()), answered.Load(), "every request that ran got a successful response")
}

// useConnection sends requests over a connection until the host closes it, and returns
// the number of successful responses.
func useConnection(c net.Conn, id, address string) (answered int) {
	defer func() { _ = c.Close() }()
	in := bufio.NewReader(c)
	for n := 0; ; n++ {
		one := caller.Call{Method: http.MethodPost, Path: "/book/", Body: "order", ID: fmt.Sprintf("%s-%d", id, n), Key: "key"}
		req, err := one.Request(context.Background(), address)
		if err != nil || req.Write(c) != nil {
			return answered
		}
		resp, err := http.ReadResponse(in, req)
		if err != nil {
			return answered
		}
		_, err = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		if err == nil && resp.StatusCode == http.StatusOK {
			answered++
		}
		if err != nil || resp.Close {
			return answered
		}
	}
}

// A key is withdrawn, and a host restarts while the store is unavailable. The restarted
// host must not accept the key.
func TestAWithdrawnKeyStaysWithdrawnAfterARestart(t *testing.T) {
	d := deploy(t)
	d.addReplica("app", replica.Options{ID: "p1"})
	h := d.addHost("h1")
	require.Equal(t, http.StatusOK, h.call(http.MethodGet, "/status/", "", nil).status)
	d.putKey("new")
	require.Eventually(t, func() bool { return h.call(http.MethodGet, "/status/", "", nil).status == http.StatusUnauthorized }, patience, 10*time.Millisecond)
	other := d.addHost("h2")
	other.cancel()
	require.Eventually(t, func() bool { return len(h.broker.Hosts()) == 1 }, patience, 10*time.Millisecond)
	again := d.startHost("h3")
	d.tables.SetFaults(tables.Faults{Down: true})
	for started := time.Now(); time.Since(started) < 3*time.Second; time.Sleep(20 * time.Millisecond) {
		a := again.call(http.MethodGet, "/status/", "", nil)
		require.NotEqual(t, http.StatusOK, a.status)
		require.NotZero(t, h.call(http.MethodGet, "/status/", "", map[string]string{caller.HeaderKey: caller.KeyText("new")}).status)
	}
	d.tables.SetFaults(tables.Faults{})
	require.Eventually(t, func() bool {
		return again.call(http.MethodGet, "/status/", "", map[string]string{caller.HeaderKey: caller.KeyText("new")}).status == http.StatusOK
	}, patience, 20*time.Millisecond)
	require.Equal(t, http.StatusUnauthorized, again.call(http.MethodGet, "/status/", "", nil).status)
}
