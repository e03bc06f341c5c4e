package gateway_test

import (
	"bytes"
	"context"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/stretchr/testify/require"

	"github.com/jasminelock/jasminelock/apierr"
	"github.com/jasminelock/jasminelock/configstore"
	"github.com/jasminelock/jasminelock/daemon"
	"github.com/jasminelock/jasminelock/record"
	"github.com/jasminelock/jasminelock/settings"
	"github.com/jasminelock/jasminelock/standin"
	"github.com/jasminelock/jasminelock/standin/engine"
	"github.com/jasminelock/jasminelock/standin/platform"
	"github.com/jasminelock/jasminelock/standin/service"
	api "github.com/jasminelock/jasminelock/store"
)

const (
	aliceKey = record.SecretPrefix + "Alice0123456789-_Alice0123456789-_Alice01234"
	bobKey   = record.SecretPrefix + "Bob00123456789-_Bob00123456789-_Bob001234567"
)

// fleet is a fleet of hosts and stand-ins in one process, on loopback.
type fleet struct {
	t        *testing.T
	platform *platform.Platform
	client   *api.Client
	engines  []*engine.Engine
	service  *service.Service
	hosts    []*daemon.Daemon
	log      *syncBuffer
	// stopped has a channel per host, which is closed when the host has stopped.
	stopped []chan struct{}
}

// syncBuffer is a buffer for concurrent use.
type syncBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (b *syncBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.Write(p)
}

func (b *syncBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.String()
}

type fleetOptions struct {
	hosts        int
	engines      int
	engine       engine.Settings
	requests     settings.Requests
	callers      settings.Callers
	routeTimeout string // "1m" by default
}

func startFleet(t *testing.T, o fleetOptions) *fleet {
	t.Helper()
	f := &fleet{t: t, platform: platform.New(), service: service.New(0), log: &syncBuffer{}}
	platformServer, err := standin.Serve("127.0.0.1:0", f.platform)
	require.NoError(t, err)
	t.Cleanup(platformServer.Close)
	if o.routeTimeout == "" {
		o.routeTimeout = "1m"
	}
	serviceServer, err := standin.Serve("127.0.0.1:0", f.service)
	require.NoError(t, err)
	t.Cleanup(serviceServer.Close)
	records := fleetRecords(serviceServer.URL, o.routeTimeout)
	o.engine.Model, o.engine.AdapterSlots = "base", 4
	for i := range max(o.engines, 1) {
		engineStandin := engine.New(o.engine)
		engineServer, err := standin.Serve("127.0.0.1:0", engineStandin)
		require.NoError(t, err)
		t.Cleanup(engineServer.Close)
		f.engines = append(f.engines, engineStandin)
		records = append(records, envelope("upstream", fmt.Sprintf("engine-%d", i), fmt.Sprintf(
			`{"class":"engine","url":%q,"zone":"a","model":"base","adapter_slots":4,"max_batch":16}`, engineServer.URL)))
	}
	f.client = api.NewClient(platformServer.URL, api.DefaultTimeout)
	_, err = configstore.Write(t.Context(), f.client, configstore.Change{Operation: "test", Records: records})
	require.NoError(t, err)
	for i := range max(o.hosts, 1) {
		f.startHost(fmt.Sprintf("host-%d", i), platformServer.URL, o)
	}
	return f
}

func fleetRecords(serviceURL, timeout string) []record.Envelope {
	records := []record.Envelope{
		envelope("model", "base", `{"max_context_tokens":4096}`),
		envelope("upstream", "service-0", fmt.Sprintf(`{"class":"service","url":%q,"zone":"a","pool":"portal","max_batch":64}`, serviceURL)),
		envelope("route", "orders", fmt.Sprintf(`{"prefix":"/orders","pool":"portal","timeout":%q,"cost_tokens":1}`, timeout)),
		envelope("route", "stock", fmt.Sprintf(`{"prefix":"/stock","pool":"portal","timeout":%q,"cost_tokens":1,"repeatable":true}`, timeout)),
		envelope("route", "open", fmt.Sprintf(`{"prefix":"/open","pool":"portal","timeout":%q,"open":true}`, timeout)),
	}
	for org, key := range map[string]string{"alice": aliceKey, "bob": bobKey} {
		hash := record.HashSecret(key)
		records = append(records,
			envelope("organisation", org, `{}`),
			envelope("key", org, fmt.Sprintf(`{"organisation":%q,"hash":%q}`, org, hex.EncodeToString(hash[:]))),
			envelope("rate", org, `{"tokens_per_second":1000000,"burst_tokens":1000000}`),
			envelope("adapter", org+"-menu", fmt.Sprintf(`{"organisation":%q,"model":"base","default_version":"1"}`, org)),
			envelope("version", org+"-menu@1", fmt.Sprintf(`{"adapter":%q,"source":"w"}`, org+"-menu")))
	}
	return records
}

func envelope(kind, name, spec string) record.Envelope {
	return record.Envelope{Schema: record.SchemaV2, Kind: record.Kind(kind), Name: name, Spec: json.RawMessage(spec)}
}

func (f *fleet) startHost(name, platformURL string, o fleetOptions) {
	s := &settings.Settings{
		Host: name, Zone: "a", Listen: settings.Listen{Callers: "127.0.0.1:0", Operators: "127.0.0.1:0"},
		Platform: settings.Platform{
			URL: platformURL, Timeout: settings.Duration(api.DefaultTimeout),
			PollInterval: settings.Duration(20 * time.Millisecond),
		},
		Fleet: settings.Fleet{Hosts: max(o.hosts, 1)}, Requests: o.requests, Callers: o.callers,
		Drain: settings.Drain{Timeout: settings.Duration(time.Minute)},
	}
	if s.Requests.MaxBodyBytes == 0 {
		s.Requests.MaxBodyBytes = 64 << 10
	}
	if s.Requests.MaxHeaderBytes == 0 {
		s.Requests.MaxHeaderBytes = 8 << 10
	}
	if s.Requests.ReadTimeout == 0 {
		s.Requests.ReadTimeout = settings.Duration(time.Minute)
	}
	if s.Requests.Timeout == 0 {
		s.Requests.Timeout = settings.Duration(time.Minute)
	}
	log := hclog.New(&hclog.LoggerOptions{Name: "test", Level: hclog.Trace, Output: f.log})
	d, err := daemon.New(s, log)
	require.NoError(f.t, err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = d.Run(ctx)
	}()
	f.t.Cleanup(func() { cancel(); <-done })
	f.hosts = append(f.hosts, d)
	f.stopped = append(f.stopped, done)
	for d.Status().Revision == 0 {
		time.Sleep(time.Millisecond)
	}
}

func (f *fleet) url(host int) string { return f.hosts[host].CallerURL() }

// reply is a response with its whole body.
type reply struct {
	status int
	header http.Header
	body   string
	// readErr is the error of reading the body, nil if the body is complete.
	readErr error
}

// errorBody returns the error in the response body.
func (r reply) errorBody(t *testing.T) apierr.BodyError {
	t.Helper()
	var b apierr.Body
	require.NoError(t, json.Unmarshal([]byte(r.body), &b), "%d %s", r.status, r.body)
	return b.Error
}

func (f *fleet) do(method, url, body string, header http.Header) (reply, error) {
	req, err := http.NewRequestWithContext(f.t.Context(), method, url, strings.NewReader(body))
	if err != nil {
		return reply{}, err
	}
	for name, values := range header {
		req.Header[name] = values
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return reply{}, err
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	return reply{status: resp.StatusCode, header: resp.Header, body: string(raw), readErr: err}, nil
}

// mustDo sends a request to the first host with alice's key. It fails the test if there is no
// response.
func (f *fleet) mustDo(method, path, body string, header http.Header) reply {
	f.t.Helper()
	h := http.Header{"Authorization": {"Bearer " + aliceKey}}
	for name, values := range header {
		h[name] = values
	}
	r, err := f.do(method, f.url(0)+path, body, h)
	require.NoError(f.t, err)
	return r
}

const chatBody = `{"model":"alice-menu","max_tokens":8,"messages":[{"role":"user","content":"hello"}]}`

const streamBody = `{"model":"alice-menu","max_tokens":8,"stream":true,"messages":[{"role":"user","content":"hello"}]}`
