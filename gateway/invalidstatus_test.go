package gateway_test

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jasminelock/jasminelock/apierr"
	"github.com/jasminelock/jasminelock/configstore"
	"github.com/jasminelock/jasminelock/record"
	"github.com/jasminelock/jasminelock/standin/engine"
	"github.com/jasminelock/jasminelock/standin/replica"
)

// Engines and plain services answer with an invalid status, and a body that looks like a response. Guards against callers that
// receive that body as a success, that wait until their deadline (504), or that are told that the call has not run.
func TestInvalidStatus(t *testing.T) {
	t.Parallel()
	f := startFleet(t, fleetOptions{})
	engineStandin := engine.New(engine.Settings{Model: "odd", AdapterSlots: 4})
	var odd atomic.Pointer[replica.OddResponse]
	var reached atomic.Int64
	raw, err := replica.ServeRaw(func(c *net.TCPConn, req *http.Request) bool {
		if strings.HasPrefix(req.URL.Path, "/v1/") && req.URL.Path != "/v1/chat/completions" {
			recorder := httptest.NewRecorder()
			engineStandin.ServeHTTP(recorder, req)
			resp := recorder.Result()
			defer func() { _ = resp.Body.Close() }()
			resp.ContentLength = int64(recorder.Body.Len())
			return resp.Write(c) == nil
		}
		reached.Add(1)
		return odd.Load().Send(c)
	})
	require.NoError(t, err)
	t.Cleanup(raw.Close)
	records := []record.Envelope{
		envelope("model", "odd", `{"max_context_tokens":4096}`),
		envelope("adapter", "alice-odd", `{"organisation":"alice","model":"odd","default_version":"1"}`),
		envelope("version", "alice-odd@1", `{"adapter":"alice-odd","source":"w"}`),
		envelope("route", "once", `{"prefix":"/once","pool":"odd","cost_tokens":1}`),
		envelope("route", "often", `{"prefix":"/often","pool":"odd","cost_tokens":1,"repeatable":true}`),
	}
	for i := range 24 { // each is avoided for a while after such a response
		records = append(records,
			envelope("upstream", fmt.Sprintf("odd-%d", i), fmt.Sprintf(`{"class":"service","url":"http://%s","zone":"a","pool":"odd"}`, raw.Address())),
			envelope("upstream", fmt.Sprintf("odd-engine-%d", i), fmt.Sprintf(
				`{"class":"engine","url":"http://%s","zone":"a","model":"odd","adapter_slots":4,"max_batch":16}`, raw.Address())))
	}
	_, err = configstore.Write(t.Context(), f.client, configstore.Change{Operation: "odd", Records: records})
	require.NoError(t, err)
	for _, status := range []string{"000", "199", "600"} {
		for _, response := range replica.OddResponses(status, "", replica.ForgedResponse("")) {
			odd.Store(&response)
			for path, body := range map[string]string{
				"/once": "x", "/often": "x", "/v1/chat/completions": strings.Replace(chatBody, "alice-menu", "alice-odd", 1),
			} {
				name := fmt.Sprintf("%s, %s, %s", status, response.Name, path)
				var r reply
				for before := reached.Load(); reached.Load() == before; time.Sleep(5 * time.Millisecond) {
					r = f.mustDo(http.MethodPost, path, body, nil)
				}
				require.NoError(t, r.readErr, name)
				require.NotContains(t, r.body, replica.ForgedBody, name)
				require.Equal(t, http.StatusBadGateway, r.status, "%s: %s", name, r.body)
				require.NotEqual(t, apierr.NotRun.String(), r.errorBody(t).Ran, name)
			}
		}
	}
}
