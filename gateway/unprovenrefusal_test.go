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
	"github.com/jasminelock/jasminelock/standin"
	"github.com/jasminelock/jasminelock/standin/engine"
	"github.com/jasminelock/jasminelock/upstream"
)

// An engine answers a request with a client error that does not say that the request is not valid. Guards against callers that are
// told that a request has not run which an engine may have run, and against one that is told the opposite of a proven refusal.
func TestUnprovenRefusal_MayHaveRun(t *testing.T) {
	t.Parallel()
	f := startFleet(t, fleetOptions{})
	engineStandin := engine.New(engine.Settings{Model: "busy", AdapterSlots: 4})
	var status, calls atomic.Int64
	var proven atomic.Bool
	server, err := standin.Serve("127.0.0.1:0", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if strings.HasPrefix(r.URL.Path, "/v1/") && r.URL.Path != "/v1/chat/completions" {
			engineStandin.ServeHTTP(w, r)
			return
		}
		calls.Add(1)
		_, _ = io.Copy(io.Discard, r.Body)
		if proven.Load() {
			w.Header().Set(upstream.HeaderNotRun, "true")
		}
		w.WriteHeader(int(status.Load()))
	}))
	require.NoError(t, err)
	t.Cleanup(server.Close)
	revision, err := configstore.Write(t.Context(), f.client, configstore.Change{Operation: "busy", Records: []record.Envelope{
		envelope("model", "busy", `{"max_context_tokens":4096}`),
		envelope("adapter", "alice-busy", `{"organisation":"alice","model":"busy","default_version":"1"}`),
		envelope("version", "alice-busy@1", `{"adapter":"alice-busy","source":"w"}`),
		envelope("upstream", "busy-engine", fmt.Sprintf(
			`{"class":"engine","url":%q,"zone":"a","model":"busy","adapter_slots":4,"max_batch":16}`, server.URL)),
	}})
	require.NoError(t, err)
	require.Eventually(t, func() bool { return f.hosts[0].Status().Revision >= revision }, 10*time.Second, time.Millisecond)
	for _, stream := range []string{"", `"stream":true,`} {
		chat := strings.Replace(strings.Replace(chatBody, "alice-menu", "alice-busy", 1), "{", "{"+stream, 1)
		for _, c := range []struct {
			status int64
			proven bool
			kind   apierr.Kind
			ran    apierr.Ran
		}{
			{http.StatusRequestTimeout, false, apierr.UpstreamFailed, apierr.MayHaveRun},
			{http.StatusConflict, false, apierr.UpstreamFailed, apierr.MayHaveRun},
			{http.StatusTooManyRequests, false, apierr.UpstreamFailed, apierr.MayHaveRun},
			{http.StatusServiceUnavailable, false, apierr.UpstreamFailed, apierr.MayHaveRun},
			{http.StatusTooManyRequests, true, apierr.UpstreamFailed, apierr.NotRun},
			{http.StatusBadRequest, false, apierr.UpstreamRejected, apierr.NotRun},
			{http.StatusUnprocessableEntity, false, apierr.UpstreamRejected, apierr.NotRun},
		} {
			name := fmt.Sprintf("%sstatus %d, proven %t", stream, c.status, c.proven)
			status.Store(c.status)
			proven.Store(c.proven)
			calls.Store(0)
			r := f.mustDo(http.MethodPost, "/v1/chat/completions", chat, nil)
			body := r.errorBody(t)
			require.Equal(t, c.kind.String(), body.Code, name)
			require.Equal(t, c.ran.String(), body.Ran, name)
			require.Positive(t, calls.Load(), name)
		}
	}
}
