package host

import (
	"encoding/json"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jasminelock/jasminelock/assign"
	"github.com/jasminelock/jasminelock/standin/replica"
)

// A deployment whose settings call for ranking. Guards against operators who do not see what organisations get, and
// against metrics without the rank.
func TestShares_Served(t *testing.T) {
	d := newDeployment(t)
	d.scheduling = "urgency"
	d.addReplica("app", replica.Options{ID: "p1"})
	d.addReplica("engines", replica.Options{ID: "e1", Model: "m", AdapterSlots: 2, Events: 2})
	h := d.addHost("h1")
	require.Equal(t, http.StatusOK, h.request(http.MethodGet, "/status/", "", nil).status)
	require.Equal(t, http.StatusOK, h.generate("/chat/1").status)
	var shares []assign.OrganisationShare
	_, body := get("http://" + h.settings.Listen.Metrics + "/shares")
	require.NoError(t, json.Unmarshal([]byte(body), &shares), body)
	services := map[string]float64{}
	for _, s := range shares {
		require.Equal(t, "org", s.Organisation)
		services[s.Service] = s.WorkShare
	}
	require.Equal(t, map[string]float64{"app": 1, "engines": 1}, services)
	require.Eventually(t, func() bool {
		for series := range h.series() {
			if strings.HasPrefix(series, "jasminelock_entry_ranked_total") && strings.Contains(series, `rank="`) && strings.Contains(series, `result="served"`) {
				return true
			}
		}
		return false
	}, testTimeout, 10*time.Millisecond)
}
