package host

import (
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jasminelock/jasminelock/standin/caller"
	"github.com/jasminelock/jasminelock/standin/replica"
	"github.com/jasminelock/jasminelock/standin/tables"
)

const (
	// lostWrites is the number of versions that the drills below lose.
	lostWrites = 300
	// drillOutage is how long the store is unavailable before it comes back from the copy.
	drillOutage = 300 * time.Millisecond
)

// loseWrites makes writes that a restore from an earlier copy loses.
func (d *deployment) loseWrites() {
	for n := range lostWrites {
		d.tables.Put("other", strconv.Itoa(n), n)
	}
}

// restore makes the store unavailable and brings it back from a copy.
func (d *deployment) restore(c tables.Copy) {
	d.tables.SetFaults(tables.Faults{Down: true})
	time.Sleep(drillOutage)
	d.tables.Restore(c)
	d.tables.SetFaults(tables.Faults{})
}

// startPair starts two hosts that know each other.
func (d *deployment) startPair() (h1, h2 *runningHost) {
	h1, h2 = d.addHost("h1"), d.addHost("h2")
	require.Eventually(d.t, func() bool { return len(h1.broker.Hosts()) == 2 && len(h2.broker.Hosts()) == 2 }, testTimeout, 10*time.Millisecond)
	return h1, h2
}

// fencedOrders returns the orders that a replica rejected for their fencing token.
func (d *deployment) fencedOrders(id string) int {
	n := 0
	for _, o := range d.replicas[id].Orders() {
		if o.Fenced {
			n++
		}
	}
	return n
}

// loadAdapter sends a request for an adapter that no engine holds.
func (r *runningHost) loadAdapter(name string) response {
	return r.send(caller.Call{
		Method: http.MethodPost, Path: "/chat/" + name, Body: "prompt", ID: "id-" + name, Key: "key",
		Model: "m", Adapter: name, PromptTokens: 100, OutputTokens: 20,
	}, nil)
}

// The leader keeps running during a drill. Guards against hosts that ignore the changes made after it, since their versions are
// below the last known one, or since the hosts continue the feed at a version that was issued again.
func TestRestore_ChangesAfterwards(t *testing.T) {
	for _, issuedAgain := range []bool{false, true} {
		t.Run("issued again: "+strconv.FormatBool(issuedAgain), func(t *testing.T) {
			d := newDeployment(t)
			d.addReplica("app", replica.Options{ID: "p1"})
			h1, h2 := d.startPair()
			c := d.tables.Copy()
			d.loseWrites()
			d.tables.Put("op", "unrelated", 1)
			lost, _ := d.tables.Version()
			for _, h := range []*runningHost{h1, h2} {
				require.Eventually(t, func() bool {
					operator, upstreams := h.watcher.KnownVersions()
					return operator >= lost && upstreams >= lost
				}, testTimeout, 10*time.Millisecond)
			}
			d.tables.SetFaults(tables.Faults{Down: true})
			time.Sleep(drillOutage)
			d.tables.Restore(c)
			d.tables.Evacuate("y", true)
			if issuedAgain {
				d.loseWrites()
				d.loseWrites()
			}
			d.tables.SetFaults(tables.Faults{})
			d.tables.Evacuate(tables.DefaultZone, true)
			d.tables.RemoveUpstream("p1")
			d.putKey("new")
			for _, h := range []*runningHost{h1, h2} {
				require.Eventually(t, func() bool {
					v := h.watcher.View()
					return v.Evacuated.Zones["y"] && v.Evacuated.Zones[tables.DefaultZone] && v.Upstreams["p1"] == nil && v.Config.KeyOwner("key") == nil
				}, testTimeout, 10*time.Millisecond)
			}
		})
	}
}

// The lease is claimed between the copy and the outage. Guards against orders that engines refuse, since the fencing
// tokens of later claims are below those of the lost one, and against adapters that are not loaded for that reason.
func TestRestore_LeaseClaimedAfterCopy(t *testing.T) {
	d := newDeployment(t)
	d.addReplica("engines", replica.Options{ID: "e1", Model: "m", AdapterSlots: 2, Events: 2})
	h1, h2 := d.startPair()
	c := d.tables.Copy()
	d.loseWrites()
	first, second := h1, h2
	if h2.broker.Stats().Leading == 1 {
		first, second = h2, h1
	}
	first.cancel()
	require.Eventually(t, func() bool { return second.broker.Stats().Leading == 1 }, testTimeout, 10*time.Millisecond)
	require.Equal(t, http.StatusOK, second.loadAdapter("before").status)
	d.restore(c)
	for _, name := range []string{"a1", "a2", "a3", "a4"} {
		require.Equal(t, http.StatusOK, second.loadAdapter(name).status)
	}
	second.cancel()
	third := d.addHost("h3")
	require.Equal(t, http.StatusOK, third.loadAdapter("a5").status)
	require.Zero(t, d.fencedOrders("e1"))
}

// A key is withdrawn between the copy and the outage. Guards against hosts that accept it again, also a host that has
// started after the drill and has read the configuration of the copy.
func TestRestore_WithdrawnKey(t *testing.T) {
	d := newDeployment(t)
	d.addReplica("app", replica.Options{ID: "p1"})
	h1, h2 := d.startPair()
	c := d.tables.Copy()
	d.putKey("new")
	d.loseWrites()
	for _, h := range []*runningHost{h1, h2} {
		require.Eventually(t, func() bool { return h.watcher.View().Config.KeyOwner("new") != nil }, testTimeout, 5*time.Millisecond)
	}
	d.restore(c)
	fresh := d.startHost("h3")
	refused := func(h *runningHost) {
		status := h.request(http.MethodGet, "/status/", "", nil).status
		require.Equal(t, http.StatusUnauthorized, status)
	}
	require.Eventually(t, func() bool {
		refused(h1)
		refused(h2)
		code, _ := get(caller.ReadyURL(fresh.settings.Listen.Readiness))
		return code == http.StatusOK
	}, testTimeout, 10*time.Millisecond)
	for range 20 {
		for _, h := range []*runningHost{h1, h2, fresh} {
			refused(h)
		}
	}
	resp := fresh.request(http.MethodGet, "/status/", "", map[string]string{caller.HeaderKey: caller.KeyHeaderValue("new")})
	require.Equal(t, http.StatusOK, resp.status, strings.TrimSpace(resp.body))
}
