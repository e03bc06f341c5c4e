package gateway_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jasminelock/jasminelock/apierr"
	"github.com/jasminelock/jasminelock/configstore"
	"github.com/jasminelock/jasminelock/record"
	"github.com/jasminelock/jasminelock/settings"
	"github.com/jasminelock/jasminelock/standin"
	"github.com/jasminelock/jasminelock/standin/engine"
)

// An upstream answers with more than this host has memory for. Callers were told that the upstream had failed, and that requests
// had run which an engine had refused or of which a service reported an error. Guards against that, and against a second attempt,
// which the upstream would run for nothing.
func TestNoMemoryForResponse(t *testing.T) {
	t.Parallel()
	f := startFleet(t, fleetOptions{callers: settings.Callers{MemoryShare: 1e-9}}) // callers may hold 1.1 MB
	engineStandin := engine.New(engine.Settings{Model: "large", AdapterSlots: 4})
	var status, calls atomic.Int64
	large := []byte(strings.Repeat("x", 4<<20))
	server, err := standin.Serve("127.0.0.1:0", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if strings.HasPrefix(r.URL.Path, "/v1/") && r.URL.Path != "/v1/chat/completions" {
			engineStandin.ServeHTTP(w, r)
			return
		}
		calls.Add(1)
		_, _ = io.Copy(io.Discard, r.Body) // else the server resets the connection, which is another fault
		w.WriteHeader(int(status.Load()))
		_, _ = w.Write(large) // fails if the host closes the connection
	}))
	require.NoError(t, err)
	t.Cleanup(server.Close)
	revision, err := configstore.Write(t.Context(), f.client, configstore.Change{Operation: "large", Records: []record.Envelope{
		envelope("model", "large", `{"max_context_tokens":4096}`),
		envelope("adapter", "alice-large", `{"organisation":"alice","model":"large","default_version":"1"}`),
		envelope("version", "alice-large@1", `{"adapter":"alice-large","source":"w"}`),
		envelope("upstream", "large-engine", fmt.Sprintf(
			`{"class":"engine","url":%q,"zone":"a","model":"large","adapter_slots":4,"max_batch":16}`, server.URL)),
		envelope("upstream", "large", fmt.Sprintf(`{"class":"service","url":%q,"zone":"a","pool":"large","max_batch":64}`, server.URL)),
		envelope("route", "often", `{"prefix":"/often","pool":"large","cost_tokens":1,"repeatable":true}`),
		envelope("route", "once", `{"prefix":"/once","pool":"large","cost_tokens":1}`),
	}})
	require.NoError(t, err)
	require.Eventually(t, func() bool { return f.hosts[0].Status().Revision >= revision }, 10*time.Second, time.Millisecond)
	const chat = "/v1/chat/completions"
	for _, c := range []struct {
		path   string
		status int64
		kind   apierr.Kind
		ran    apierr.Ran
	}{
		{"/often", 200, apierr.AnswerCut, apierr.HasRun},
		{"/often", 503, apierr.AnswerCut, apierr.MayHaveRun},
		{"/once", 200, apierr.OutcomeUnknown, apierr.HasRun},
		{"/once", 404, apierr.OutcomeUnknown, apierr.MayHaveRun},
		{chat, 200, apierr.AnswerCut, apierr.HasRun},
		{chat, 400, apierr.UpstreamRejected, apierr.NotRun},
	} {
		name := fmt.Sprintf("%s, status %d", c.path, c.status)
		status.Store(c.status)
		calls.Store(0)
		r := f.mustDo(http.MethodPost, c.path, strings.Replace(chatBody, "alice-menu", "alice-large", 1), nil)
		body := r.errorBody(t)
		require.Equal(t, c.kind.Definition().Status, r.status, "%s: %s", name, r.body)
		require.Equal(t, c.kind.String(), body.Code, name)
		require.Equal(t, c.ran.String(), body.Ran, name)
		require.Equal(t, c.kind != apierr.UpstreamRejected, strings.Contains(body.Message, "this host has no memory for the answer"), body.Message)
		require.Equal(t, int64(1), calls.Load(), name)
	}
	require.Contains(t, f.log.String(), "rule=caller_memory")
}
