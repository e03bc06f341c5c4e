package gateway_test

import (
	"fmt"
	"maps"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jasminelock/jasminelock/apierr"
	"github.com/jasminelock/jasminelock/configstore"
	"github.com/jasminelock/jasminelock/core"
	"github.com/jasminelock/jasminelock/record"
	"github.com/jasminelock/jasminelock/standin/engine"
	"github.com/jasminelock/jasminelock/standin/replica"
)

// Engines and plain services answer with an invalid status, and a body that looks like a response, or with an invalid field. Guards against callers that
// receive that body as a success, that wait until their deadline (504), or that are told that the call has not run, and against
// calls that run once only and are sent again.
func TestInvalidResponse(t *testing.T) {
	t.Parallel()
	f := startFleet(t, fleetOptions{})
	engineStandin := engine.New(engine.Settings{Model: "odd", AdapterSlots: 4})
	var odd atomic.Pointer[replica.OddResponse]
	var reached atomic.Int64
	raw, err := replica.ServeRaw(func(c *net.TCPConn, req *http.Request) bool {
		if isControl(req) {
			return answerControl(c, req, engineStandin)
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
	const upstreams = 24 // each is avoided for a while after such a response
	records = append(records, serviceUpstreams("odd", raw.Address(), upstreams)...)
	for i := range upstreams {
		records = append(records, envelope("upstream", fmt.Sprintf("odd-engine-%d", i), fmt.Sprintf(
			`{"class":"engine","url":"http://%s","zone":"a","model":"odd","adapter_slots":4,"max_batch":16}`, raw.Address())))
	}
	_, err = configstore.Write(t.Context(), f.client, configstore.Change{Operation: "odd", Records: records})
	require.NoError(t, err)
	invalid := replica.SampleResponses()
	maps.DeleteFunc(invalid, func(kind string, _ []replica.OddResponse) bool {
		return slices.Contains(replica.SampleStatuses(), kind) && !slices.Contains([]string{"000", "199", "600"}, kind)
	})
	for kind, responses := range invalid {
		for _, response := range responses {
			odd.Store(&response)
			for path, body := range map[string]string{
				"/once": "x", "/often": "x", "/v1/chat/completions": strings.Replace(chatBody, "alice-menu", "alice-odd", 1),
			} {
				name := fmt.Sprintf("%q, %s, %s", kind, response.Name, path)
				before := reached.Load()
				r := f.mustReach(path, body, func() bool { return reached.Load() > before })
				require.NoError(t, r.readErr, name)
				require.NotContains(t, r.body, replica.ForgedBody, name)
				failure, attempts := apierr.UpstreamFailed, int64(core.MaxAttempts)
				if path == "/once" {
					failure, attempts = apierr.OutcomeUnknown, 1
				}
				require.Equal(t, http.StatusBadGateway, r.status, "%s: %s", name, r.body)
				require.Equal(t, failure.String(), r.errorBody(t).Code, name)
				require.Equal(t, apierr.MayHaveRun.String(), r.errorBody(t).Ran, name)
				require.LessOrEqual(t, reached.Load()-before, attempts, name)
			}
		}
	}
}

// isControl reports whether a request is none of a caller: an order, or a request for a report.
func isControl(req *http.Request) bool {
	return strings.HasPrefix(req.URL.Path, "/v1/") && req.URL.Path != "/v1/chat/completions"
}

// answerControl writes the response of a stand-in to a control request, and reports whether it could.
func answerControl(c net.Conn, req *http.Request, standin http.Handler) bool {
	recorder := httptest.NewRecorder()
	standin.ServeHTTP(recorder, req)
	resp := recorder.Result()
	defer func() { _ = resp.Body.Close() }()
	resp.ContentLength = int64(recorder.Body.Len())
	return resp.Write(c) == nil
}

// serviceUpstreams returns the records of n upstreams of a pool of plain services, all at one address.
func serviceUpstreams(pool, address string, n int) []record.Envelope {
	var records []record.Envelope
	for i := range n {
		records = append(records, envelope("upstream", fmt.Sprintf("%s-%d", pool, i), fmt.Sprintf(
			`{"class":"service","url":"http://%s","zone":"a","pool":%q}`, address, pool)))
	}
	return records
}

// mustReach sends a request until reached reports that an upstream got it, and returns that response. Before that, every response
// must be a refusal of a request that has not run, as while the records are not in force or the upstreams are avoided.
func (f *fleet) mustReach(path, body string, reached func() bool) reply {
	f.t.Helper()
	for end := time.Now().Add(reachTimeout); ; time.Sleep(5 * time.Millisecond) {
		sent := time.Now()
		r := f.mustDo(http.MethodPost, path, body, nil)
		if reached() {
			require.Less(f.t, time.Since(sent), answerTimeout, path)
			return r
		}
		require.Equal(f.t, apierr.NotRun.String(), r.errorBody(f.t).Ran, "%s: %s", path, r.body)
		require.True(f.t, time.Now().Before(end), "%s reached no upstream within %s: %s", path, reachTimeout, r.body)
	}
}

// reachTimeout is the time within which a request must reach an upstream, and answerTimeout the time within which that one must be
// answered, its retries included. They leave room for a busy machine; the deadline of the requests is a minute.
const (
	reachTimeout  = 20 * time.Second
	answerTimeout = 10 * time.Second
)
