package demo

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/stretchr/testify/require"

	"github.com/jasminelock/jasminelock/daemon"
	"github.com/jasminelock/jasminelock/record"
	platformstandin "github.com/jasminelock/jasminelock/standin/platform"
)

// generous replaces the demo's bound where a test's verdict must not depend on
// how busy the machine is.
const generous = time.Minute

// never is a reading interval that does not come round within a test.
const never = time.Hour

func startCluster(t *testing.T, log hclog.Logger, configInterval time.Duration) *cluster {
	t.Helper()
	c, err := start(t.Context(), log, configInterval)
	require.NoError(t, err)
	t.Cleanup(c.stop)
	return c
}

// logBuffer is a log that several hosts write to.
type logBuffer struct {
	mu    sync.Mutex
	bytes bytes.Buffer
}

func (b *logBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.bytes.Write(p)
}

func (b *logBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.bytes.String()
}

func TestEveryCheckHoldsAndNeitherKeysNorPromptsAreLogged(t *testing.T) {
	var out, log logBuffer
	c := startCluster(t, hclog.New(&hclog.LoggerOptions{Level: hclog.Trace, Output: &log}), configInterval)
	sendKeyEverywhere(t, c)
	require.True(t, check(t.Context(), &out, c, generous), out.String())
	c.stop()
	require.Contains(t, log.String(), "route", "each routing decision has a line")
	require.Empty(t, loggedSecrets(log.String()))
}

// sendKeyEverywhere puts a key where a caller may put one by mistake.
func sendKeyEverywhere(t *testing.T, c *cluster) {
	t.Helper()
	key := organisations[0].secret
	base := c.hosts[0].daemon.CallerURL()
	for _, path := range []string{ordersRoute + "/" + key + "?key=" + key, "/" + key, "/v1/chat/completions?key=" + key} {
		body := `{"model":"` + key + `","messages":[],"key":"` + key + `"}`
		req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, base+path, strings.NewReader(body))
		require.NoError(t, err)
		req.Header.Set("Authorization", "Bearer "+key)
		for _, name := range []string{"X-Request-Id", "X-Api-Key", "Cookie", "Accept", "Idempotency-Key"} {
			req.Header.Set(name, key)
		}
		resp, err := http.DefaultClient.Do(req)
		require.NoError(t, err)
		require.NoError(t, resp.Body.Close())
	}
}

// loggedSecrets returns the lines of a log that hold a key or a prompt.
func loggedSecrets(log string) []string {
	var found []string
	for line := range strings.Lines(log) {
		if strings.Contains(line, record.SecretPrefix) || strings.Contains(line, "one line about rain") {
			found = append(found, line)
		}
	}
	return found
}

func TestALoggedKeyOrPromptIsFound(t *testing.T) {
	require.Len(t, loggedSecrets("fine\nkey="+temporaryKey+"\nprompt=Write one line about rain.\n"), 2)
}

// Broken mechanisms must be seen by the demo's checks.
func TestChecksFail(t *testing.T) {
	for name, tc := range map[string]struct {
		configInterval time.Duration
		step           func(*run) func()
	}{
		"withdrawn key still works": {never, func(r *run) func() { return func() { r.withdrawKey(t.Context()) } }},
		"new version not in force":  {never, func(r *run) func() { return func() { r.rollVersion(t.Context()) } }},
		"stream cut": {configInterval, func(r *run) func() {
			r.hosts[len(r.hosts)-1].daemon.Drain() // the host leaves before its callers come
			<-r.hosts[len(r.hosts)-1].stopped
			return func() { r.drainHost(t.Context()) }
		}},
		"upstream saw a key": {configInterval, func(r *run) func() {
			resp, err := http.Post(r.upstream[engineCount].url+"/"+temporaryKey, "text/plain", nil)
			require.NoError(t, err)
			require.NoError(t, resp.Body.Close())
			return func() { r.searchForKeys(t.Context()) }
		}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := startCluster(t, hclog.NewNullLogger(), tc.configInterval)
			r := &run{cluster: c, out: io.Discard, started: time.Now(), bound: time.Second}
			tc.step(r)()
			require.Positive(t, r.failed)
		})
	}
}

func TestAnsweredByAnotherVersionIsSeen(t *testing.T) {
	require.True(t, answeredBy(reply{text: "a@1-0 a@1-1 "}, "a@1"))
	for _, text := range []string{"", "a@1-0 a@2-1 ", "b@1-0 "} {
		require.False(t, answeredBy(reply{text: text}, "a@1"), text)
	}
}

func TestStateFileHoldsWhatACallerNeeds(t *testing.T) {
	c := startCluster(t, hclog.NewNullLogger(), configInterval)
	path := filepath.Join(t.TempDir(), "state.json")
	require.NoError(t, writeState(path, c.state()))
	raw, err := os.ReadFile(path)
	require.NoError(t, err)
	var s State
	require.NoError(t, json.Unmarshal(raw, &s))
	require.Len(t, s.Hosts, hostCount)
	require.Len(t, s.Engines, engineCount)
	require.Equal(t, os.Getpid(), s.PID)
	for _, o := range s.Organisations {
		for _, a := range o.Adapters {
			got, err := newCaller(o.Key).chat(t.Context(), s.Hosts[0], a, false)
			require.NoError(t, err)
			require.True(t, answeredBy(got, a), "%s: %s", a, got)
		}
	}
	left, err := os.ReadDir(filepath.Dir(path))
	require.NoError(t, err)
	require.Len(t, left, 1, "no temporary file is left")
}

func TestAHostThatIsEndedAtOnceSaysWhatItCut(t *testing.T) {
	c := startCluster(t, hclog.NewNullLogger(), configInterval)
	// No load ends, so that every request is still in flight.
	c.weights.SetWeightLimits(platformstandin.WeightLimits{FetchTime: never})
	r := &run{cluster: c, out: io.Discard, bound: generous}
	h := c.hosts[0]
	var group sync.WaitGroup
	for range streamsInDrain {
		group.Go(func() {
			_, _ = newCaller(organisations[1].secret).chat(t.Context(), h.daemon.CallerURL(), organisations[1].adapters[0], true)
		})
	}
	r.untilBusy(t.Context(), h)
	c.cancel()
	<-h.stopped
	group.Wait()
	var cut *daemon.InterruptedError
	require.ErrorAs(t, h.err, &cut)
	require.Equal(t, streamsInDrain, cut.Requests)
}
