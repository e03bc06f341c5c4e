package gateway_test

import (
	"net/http"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jasminelock/jasminelock/apierr"
	"github.com/jasminelock/jasminelock/configstore"
	"github.com/jasminelock/jasminelock/record"
	"github.com/jasminelock/jasminelock/standin"
	"github.com/jasminelock/jasminelock/standin/engine"
)

var contentPattern = regexp.MustCompile(`"content":"([^"]*)"`)

// streamText returns the concatenated content of a stream's events.
func streamText(body string) string {
	var b strings.Builder
	for _, m := range contentPattern.FindAllStringSubmatch(body, -1) {
		b.WriteString(m[1])
	}
	return b.String()
}

// checkStream reports whether a stream is complete. It fails the test unless a complete
// stream has the whole text and ends with [DONE], and an incomplete one has a prefix of the
// text and an error event, without [DONE] and without "not_run".
func checkStream(t *testing.T, r reply) (complete bool) {
	t.Helper()
	text := streamText(r.body)
	require.True(t, strings.HasPrefix(expectedText("alice-menu@1"), text), "the stream is not a prefix of the expected text: %s", text)
	done := strings.HasSuffix(r.body, "data: [DONE]\n\n")
	if done {
		require.Equal(t, expectedText("alice-menu@1"), text)
		return true
	}
	require.NotContains(t, r.body, "[DONE]")
	require.Contains(t, r.body, `"error"`)
	require.NotContains(t, r.body, `"ran":"not_run"`)
	return false
}

func TestStream_Interrupted(t *testing.T) {
	slow := engine.Settings{TokenTime: 2 * time.Millisecond}
	resumable := slow
	resumable.Resumable = true
	for name, c := range map[string]struct {
		settings   engine.Settings
		faults     engine.Faults
		complete   bool
		executions int
	}{
		"no fault":                        {slow, engine.Faults{}, true, 1},
		"interrupted, resumed":            {resumable, engine.Faults{CutAfterTokens: 3}, true, 1},
		"interrupted before the end":      {resumable, engine.Faults{CutAfterTokens: 8}, true, 1},
		"interrupted, not resumable":      {slow, engine.Faults{CutAfterTokens: 3}, false, 1},
		"interrupted before the response": {slow, engine.Faults{Call: standin.Fault{Step: standin.AfterExecution, Action: standin.Cut, Times: 1}}, true, 2},
		"response of another attempt":     {slow, engine.Faults{Call: standin.Fault{Step: standin.AfterExecution, Action: standin.WrongAttempt, Times: 1}}, true, 2},
		"refused":                         {slow, engine.Faults{Call: standin.Fault{Step: standin.BeforeExecution, Action: standin.Refuse, Times: 1}}, true, 1},
		"interrupted after its start":     {resumable, engine.Faults{Call: standin.Fault{Step: standin.MidAnswer, Action: standin.Cut, Times: 1}}, true, 1},
	} {
		t.Run(name, func(t *testing.T) {
			f := startFleet(t, fleetOptions{engine: c.settings})
			f.engines[0].SetFaults(c.faults)
			r := f.mustDo(http.MethodPost, "/v1/chat/completions", streamBody, nil)
			require.Equal(t, http.StatusOK, r.status, r.body)
			require.Equal(t, c.complete, checkStream(t, r), r.body)
			require.Len(t, f.engines[0].Executions(), c.executions)
		})
	}
}

func TestResponse_InterruptedIsRetried(t *testing.T) {
	for _, step := range standin.Steps() {
		f := startFleet(t, fleetOptions{engines: 2})
		for _, e := range f.engines {
			e.SetFaults(engine.Faults{Call: standin.Fault{Step: step, Action: standin.Cut, Times: 1}})
		}
		r := f.mustDo(http.MethodPost, "/v1/chat/completions", chatBody, nil)
		require.Equal(t, http.StatusOK, r.status, "%s: %s", step, r.body)
		require.Contains(t, r.body, expectedText("alice-menu@1"))
	}
}

func TestAttemptIDs_Unique(t *testing.T) {
	f := startFleet(t, fleetOptions{hosts: 2})
	seen := map[string]bool{}
	for i := range 6 {
		_, err := f.do(http.MethodPost, f.url(i%2)+"/stock", "x", http.Header{"Authorization": {"Bearer " + aliceKey}})
		require.NoError(t, err)
	}
	for _, c := range f.service.Executions() {
		require.NotEmpty(t, c.Attempt)
		require.False(t, seen[c.Attempt])
		seen[c.Attempt] = true
	}
	require.Len(t, seen, 6)
}

func TestOpenAIClient_InterruptedStream(t *testing.T) {
	f := startFleet(t, fleetOptions{engine: engine.Settings{TokenTime: 2 * time.Millisecond}})
	f.engines[0].SetFaults(engine.Faults{CutAfterTokens: 2})
	client := openaiClient(f, aliceKey)
	stream := client.Chat.Completions.NewStreaming(t.Context(), chatParams("alice-menu"))
	for stream.Next() {
	}
	require.ErrorContains(t, stream.Err(), apierr.AnswerCut.String(), "the client library takes the interrupted stream for a complete one")
}

func TestWithdrawnKey_RefusesOnlyNewRequests(t *testing.T) {
	f := startFleet(t, fleetOptions{engine: engine.Settings{FirstTokenTime: 10 * time.Millisecond, TokenTime: 50 * time.Millisecond}})
	hash := record.HashSecret(aliceKey)
	withdrawn := envelope("key", "alice", `{"organisation":"alice","withdrawn":true,"hash":"`+hash.String()+`"}`)
	result := make(chan reply, 1)
	go func() {
		r, _ := f.do(http.MethodPost, f.url(0)+"/v1/chat/completions", streamBody, http.Header{"Authorization": {"Bearer " + aliceKey}})
		result <- r
	}()
	waitFor(func() bool { return f.engines[0].Running() == 1 })
	_, err := configstore.Write(t.Context(), f.client, configstore.Change{Operation: "withdraw", Records: []record.Envelope{withdrawn}})
	require.NoError(t, err)
	waitFor(func() bool {
		r := f.mustDo(http.MethodGet, "/v1/models", "", nil)
		return r.status == http.StatusUnauthorized
	})
	require.Equal(t, http.StatusUnauthorized, f.mustDo(http.MethodPost, "/v1/chat/completions", chatBody, nil).status)
	require.True(t, checkStream(t, <-result), "the response that had started was interrupted")
}
