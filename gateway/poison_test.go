package gateway_test

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/jasminelock/jasminelock/apierr"
	"github.com/jasminelock/jasminelock/quarantine"
	"github.com/jasminelock/jasminelock/standin/engine"
)

const poisonChat = `{"model":"alice-menu","messages":[{"role":"user","content":"poison"}]}`

func TestCrashingRequest_Quarantined(t *testing.T) {
	f := startFleet(t, fleetOptions{engines: quarantine.MaxCrashes + 2})
	for _, e := range f.engines {
		e.SetFaults(engine.Faults{Poison: "poison"})
	}
	var last reply
	for range 20 {
		last = f.mustDo(http.MethodPost, "/v1/chat/completions", poisonChat, nil)
		require.NotEqual(t, http.StatusOK, last.status)
		if last.errorBody(t).Code == apierr.RequestQuarantined.String() {
			break
		}
	}
	require.Equal(t, apierr.RequestQuarantined.String(), last.errorBody(t).Code)
	require.NotEmpty(t, last.header.Get("Retry-After"))
	crashed := 0
	for _, e := range f.engines {
		if e.Counts().Crashed {
			crashed++
		}
	}
	require.LessOrEqual(t, crashed, quarantine.MaxCrashes)
	r := f.mustDo(http.MethodPost, "/v1/chat/completions", chatBody, nil)
	require.Equal(t, http.StatusOK, r.status, "another request of the same organisation failed: %s", r.body)
}
