package gateway

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jasminelock/jasminelock/apierr"
	"github.com/jasminelock/jasminelock/core"
	"github.com/jasminelock/jasminelock/record"
	"github.com/jasminelock/jasminelock/request"
	"github.com/jasminelock/jasminelock/sched"
	"github.com/jasminelock/jasminelock/sse"
	"github.com/jasminelock/jasminelock/upstream"
)

// nullRuntime takes every event and decides nothing.
type nullRuntime struct{}

func (nullRuntime) NewTicket() Ticket           { return nullTicket{} }
func (nullRuntime) Submit(Ticket, core.Request) {}
func (nullRuntime) Handle(core.Event)           {}

type nullTicket struct{}

func (nullTicket) ID() sched.RequestID             { return 1 }
func (nullTicket) Decisions() <-chan core.Decision { return nil }

// oneAnswer gives every call the same answer.
type oneAnswer struct{ body string }

func (o oneAnswer) Call(context.Context, string, upstream.Call) (*upstream.Response, error) {
	return &upstream.Response{Status: http.StatusNotFound, Header: http.Header{}, Body: io.NopCloser(strings.NewReader(o.body))}, nil
}

var relayServer = New(Options{Runtime: nullRuntime{}, UpstreamCaller: oneAnswer{}})

// relay passes a stream on to w.
func relay(w http.ResponseWriter, body io.Reader, wantsUsage bool) attemptResult {
	a := &upstream.Response{Status: http.StatusOK, Header: http.Header{}, Body: io.NopCloser(body)}
	return relayStream(context.Background(), relayServer.newExchange(w), a, wantsUsage)
}

// discard is a caller that takes everything.
type discard struct{ header http.Header }

func (d discard) Header() http.Header            { return d.header }
func (discard) Write(p []byte) (int, error)      { return len(p), nil }
func (discard) WriteHeader(int)                  {}
func (discard) Flush()                           {}
func (discard) SetWriteDeadline(time.Time) error { return nil }
func (discard) FlushError() error                { return nil }

const chunk = `data: {"id":"cmpl-1","object":"chat.completion.chunk","created":1,"model":"m@1","choices":[{"index":0,"delta":{"content":"token "},"finish_reason":null}]}` + "\n\n"

// maxAllocsPerChunk is the target for the allocations of a relayed chunk.
const maxAllocsPerChunk = 1

func TestAllocationsOfARelayedChunk(t *testing.T) {
	const chunks = 1000
	cost := func(n int) float64 {
		body := strings.Repeat(chunk, n) + "data: [DONE]\n\n"
		return testing.AllocsPerRun(20, func() {
			if relay(discard{http.Header{}}, strings.NewReader(body), true).outcome != request.Completed {
				panic("the stream is not whole")
			}
		})
	}
	perChunk := (cost(chunks) - cost(0)) / chunks
	t.Logf("%.3f allocations a chunk", perChunk)
	require.LessOrEqual(t, perChunk, float64(maxAllocsPerChunk))
}

// maxAllocsPerRequest is the target for the allocations of parsing a request,
// taking keys out of it and writing it for an engine.
const maxAllocsPerRequest = 150

func TestAllocationsOfARequest(t *testing.T) {
	raw := []byte(`{"model":"m","stream":true,"max_tokens":8,"messages":[{"role":"user","content":"` + strings.Repeat("word ", 200) + `"}]}`)
	header := http.Header{"Authorization": {"Bearer " + record.NewSecret()}}
	allocs := testing.AllocsPerRun(100, func() {
		p, apiErr := parseCompletion(raw)
		if apiErr != nil {
			panic(apiErr)
		}
		body, err := p.body("m@1")
		if err != nil {
			panic(err)
		}
		newRedactor(header).redact(body)
	})
	t.Logf("%.0f allocations a request", allocs)
	require.LessOrEqual(t, allocs, float64(maxAllocsPerRequest))
}

func TestUsageOfACutStreamIsEstimated(t *testing.T) {
	x := relayServer.newExchange(discard{http.Header{}})
	x.promptTokens = 10
	a := &upstream.Response{Status: http.StatusOK, Header: http.Header{}, Body: io.NopCloser(strings.NewReader(chunk + chunk + "data: {"))}
	result := relayStream(context.Background(), x, a, true)
	require.Equal(t, request.Interrupted, result.outcome)
	require.Equal(t, int64(12), result.used)
}

func BenchmarkRelayChunk(b *testing.B) {
	body := strings.NewReader(strings.Repeat(chunk, b.N) + "data: [DONE]\n\n")
	b.SetBytes(int64(len(chunk)))
	b.ReportAllocs()
	relay(discard{http.Header{}}, body, true)
}

func BenchmarkRedact(b *testing.B) {
	r := newRedactor(http.Header{"Authorization": {"Bearer " + record.NewSecret()}})
	text := bytes.Repeat([]byte("a note about a menu, "), 200)
	b.SetBytes(int64(len(text)))
	b.ReportAllocs()
	for b.Loop() {
		r.redact(text)
	}
}

// BenchmarkOpenStreams reports the memory of a stream that waits for its next
// event, without the sockets' own.
func BenchmarkOpenStreams(b *testing.B) {
	const streams = 10_000
	for b.Loop() {
		before := heapInUse()
		ends := make([]*io.PipeWriter, streams)
		done := make(chan struct{}, streams)
		for i := range ends {
			r, w := io.Pipe()
			ends[i] = w
			go func() {
				relay(discard{http.Header{}}, r, true)
				done <- struct{}{}
			}()
			_, _ = io.WriteString(w, chunk)
		}
		b.ReportMetric(float64(heapInUse()-before)/streams, "B/stream")
		for _, w := range ends {
			_ = w.Close()
		}
		for range ends {
			<-done
		}
	}
}

func heapInUse() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapInuse + m.StackInuse
}

func TestEveryKindThatARetryCanCureSaysWhen(t *testing.T) {
	for _, k := range apierr.Kinds() {
		w := httptest.NewRecorder()
		writeError(w, &apierr.Error{Kind: k})
		require.Equal(t, k.Definition().Retry, w.Header().Get("Retry-After") != "", k)
	}
	w := httptest.NewRecorder()
	writeError(w, apierr.New(apierr.RateLimited, "").WithRetryAfter(1500*time.Millisecond))
	require.Equal(t, "2", w.Header().Get("Retry-After"))
	require.Equal(t, "1.5s", w.Header().Get(headerRateReset))
}

func FuzzStreamRelay(f *testing.F) {
	f.Add([]byte(chunk+chunk+"data: [DONE]\n\n"), true)
	f.Add([]byte(chunk+`data: {"choices":[],"usage":{"total_tokens":7}}`+"\n\ndata: [DONE]\n\n"), false)
	f.Add([]byte("\r\n: comment\r\n\r\ndata:{}\r\n\r\ndata: [DO"), false)
	f.Add([]byte("data: [DONE]\n"), true)
	f.Fuzz(func(t *testing.T, stream []byte, wantsUsage bool) {
		w := httptest.NewRecorder()
		result := relay(w, bytes.NewReader(stream), wantsUsage)
		out := w.Body.Bytes()
		require.LessOrEqual(t, len(out), len(stream))
		require.True(t, isSubsequence(out, stream))
		whole := false
		for event := range bytes.SplitSeq(bytes.ReplaceAll(out, []byte("\r"), nil), []byte("\n\n")) {
			whole = bytes.Equal(sse.Field(event, "data"), doneData) || whole
		}
		require.Equal(t, whole, result.outcome == request.Completed, "%q", out)
	})
}

// isSubsequence reports whether out is in with parts left out.
func isSubsequence(out, in []byte) bool {
	for _, c := range out {
		i := bytes.IndexByte(in, c)
		if i < 0 {
			return false
		}
		in = in[i+1:]
	}
	return true
}

func FuzzParseCompletion(f *testing.F) {
	for _, seed := range []string{
		`{"model":"m","messages":[]}`, `{"model":"m","prompt":["a","b"],"n":2,"best_of":3,"max_tokens":5}`,
		`{"model":"m","MODEL":"x","Max_Tokens":1,"max_tokens":900,"messages":[1]}`,
		`{"model":"m","max_tokens":900,"MAX_TOKENS":1,"messages":[1]}`, `{"model":`, `null`, `[]`,
		`{"model":"m","prompt":[[1,2],[3]],"max_completion_tokens":null}`, `{"model":"m","messages":[],"max_tokens":-1}`,
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		p, apiErr := parseCompletion(raw)
		if apiErr != nil {
			require.Equal(t, apierr.InvalidRequest, apiErr.Kind)
			return
		}
		body, err := p.body("m@1")
		require.NoError(t, err)
		var sent map[string]json.RawMessage
		require.NoError(t, json.Unmarshal(body, &sent))
		require.JSONEq(t, `"m@1"`, string(sent["model"]))
		// The engine never generates more than was counted.
		for _, name := range []string{"max_tokens", "max_completion_tokens"} {
			var n int64
			if json.Unmarshal(sent[name], &n) == nil {
				require.GreaterOrEqual(t, p.tokens, n, name)
			}
		}
	})
}

func FuzzRedact(f *testing.F) {
	f.Add([]byte(`{"a":"`), []byte(`"}`))
	f.Add([]byte("%6"), []byte("%"))
	f.Add([]byte(`\u006`), []byte(`\u00`))
	secret := record.SecretPrefix + strings.Repeat("Ab3-_", 9)
	r := newRedactor(http.Header{"Authorization": {"Bearer " + secret}})
	f.Fuzz(func(t *testing.T, before, after []byte) {
		text := append(append(bytes.Clone(before), secret...), after...)
		require.NotContains(t, string(r.redact(text)), secret)
	})
}
