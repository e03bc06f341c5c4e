package daemon_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/jasminelock/jasminelock/apierr"
	"github.com/jasminelock/jasminelock/daemon"
	"github.com/jasminelock/jasminelock/quarantine"
	"github.com/jasminelock/jasminelock/standin"
	"github.com/jasminelock/jasminelock/standin/engine"
	standplatform "github.com/jasminelock/jasminelock/standin/platform"
)

const poison = "poison"

// addEngines adds engines that crash when they run a request with poison, and an adapter.
func (d *deployment) addEngines(n int) (engines []*engine.Engine) {
	d.t.Helper()
	d.apply("model", "base", `{"max_context_tokens":4096}`)
	d.apply("adapter", "menu", `{"organisation":"acme","model":"base","default_version":"1"}`)
	d.apply("version", "menu@1", `{"adapter":"menu","source":"w"}`)
	for i := range n {
		e := engine.New(engine.Settings{Model: "base", AdapterSlots: 4})
		e.SetFaults(engine.Faults{Poison: poison})
		server, err := standin.Serve("127.0.0.1:0", e)
		require.NoError(d.t, err)
		d.t.Cleanup(server.Close)
		d.apply("upstream", fmt.Sprintf("engine-%d", i), fmt.Sprintf(
			`{"class":"engine","url":%q,"zone":"zone-1","model":"base","adapter_slots":4,"max_batch":16}`, server.URL))
		engines = append(engines, e)
	}
	return engines
}

// chat sends a prompt to a host and returns the response's status and error code.
func (d *deployment) chat(h *daemon.Daemon, prompt string) (int, string) {
	d.t.Helper()
	body := fmt.Sprintf(`{"model":"menu","max_tokens":8,"messages":[{"role":"user","content":%q}]}`, prompt)
	req, err := http.NewRequestWithContext(d.t.Context(), http.MethodPost, h.CallerURL()+"/v1/chat/completions", strings.NewReader(body))
	require.NoError(d.t, err)
	req.Header.Set("Authorization", "Bearer secret")
	resp, err := http.DefaultClient.Do(req)
	require.NoError(d.t, err)
	defer resp.Body.Close()
	var answer apierr.Body
	require.NoError(d.t, json.NewDecoder(resp.Body).Decode(&answer))
	return resp.StatusCode, answer.Error.Code
}

func countCrashed(engines []*engine.Engine) (n int) {
	for _, e := range engines {
		if e.Counts().Crashed {
			n++
		}
	}
	return n
}

// poisonUntilQuarantined sends a request that crashes engines through the hosts in turn until all refuse it. It calls
// afterCrash once, after the first crash.
func (d *deployment) poisonUntilQuarantined(engines []*engine.Engine, afterCrash func()) {
	d.t.Helper()
	refused := 0
	for i := 0; refused < len(d.hosts); i++ {
		require.Less(d.t, i, 40, "not quarantined")
		status, code := d.chat(d.hosts[i%len(d.hosts)], poison)
		require.NotEqual(d.t, http.StatusOK, status)
		if refused++; code != apierr.RequestQuarantined.String() {
			refused = 0
		}
		if countCrashed(engines) > 0 && afterCrash != nil {
			afterCrash()
			afterCrash = nil
		}
	}
}

// The store is restored, while or after a request is found to crash engines, from a copy that lists no host and no lease, and
// the table service then fails for a while or not. Guards against suspicions that depend on the store: hosts that live would
// run the request again, and would not tell one another of its crashes.
func TestRestore_QuarantineKept(t *testing.T) {
	for _, down := range []bool{false, true} {
		for _, whileSuspect := range []bool{false, true} {
			t.Run(fmt.Sprintf("tables down %t, while suspect %t", down, whileSuspect), func(t *testing.T) {
				t.Parallel()
				d := newDeployment(t, 0)
				engines := d.addEngines(quarantine.MaxCrashes + 3)
				copied := d.platform.Copy()
				d.startHost("host-1", "zone-1", 2)
				d.startHost("host-2", "zone-1", 2)
				d.waitForLive(d.hosts, 2)
				for _, h := range d.hosts {
					d.waitForService(h)
					d.eventually(func() bool { status, _ := d.chat(h, "hello"); return status == http.StatusOK }, "completes")
				}
				restore := func() {
					d.platform.Restore(copied)
					d.platform.SetFaults(standplatform.Faults{TablesDown: down})
				}
				if whileSuspect {
					d.poisonUntilQuarantined(engines, restore)
				} else {
					d.poisonUntilQuarantined(engines, nil)
					restore()
				}
				crashed := countCrashed(engines)
				require.LessOrEqual(t, crashed, quarantine.MaxCrashes)
				d.platform.SetFaults(standplatform.Faults{})
				for _, h := range d.hosts {
					d.eventually(func() bool { return d.hasMetrics(h, "jasminelock_store_era 1") }, "the restore is seen")
				}
				d.waitForLive(d.hosts, 2)
				for range 5 {
					for _, h := range d.hosts {
						_, code := d.chat(h, poison)
						require.Equal(t, apierr.RequestQuarantined.String(), code)
					}
				}
				require.Equal(t, crashed, countCrashed(engines))
			})
		}
	}
}
