package host

import (
	"context"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jasminelock/jasminelock/settings"
	"github.com/jasminelock/jasminelock/standin"
	"github.com/jasminelock/jasminelock/standin/caller"
	"github.com/jasminelock/jasminelock/standin/replica"
	"github.com/jasminelock/jasminelock/standin/tables"
)

// testTimeout is the timeout of conditions in tests. It is long, so that a busy machine does
// not fail a test; only a condition that never holds does.
const testTimeout = 30 * time.Second

// deployment is a set of hosts and replicas and the platform's tables in one process.
type deployment struct {
	t            *testing.T
	tables       *tables.Tables
	storeAddress string
	hosts        map[string]*runningHost
	replicas     map[string]*replica.Replica
	config       tables.Config
	// grace and directoryTTL are settings of the hosts.
	grace, directoryTTL time.Duration
	// scheduling is the setting of the same name of the hosts.
	scheduling string
}

type runningHost struct {
	*Host
	settings *settings.Entry
	cancel   context.CancelFunc
	done     chan error
}

// reservedAddress returns an address on loopback that is kept for a listener until the end of the test.
func reservedAddress(t *testing.T) string {
	t.Helper()
	port, err := standin.ReservePort()
	require.NoError(t, err)
	t.Cleanup(port.Release)
	return port.Address()
}

func route(name, kind, service string, attempts int) tables.Route {
	return tables.Route{
		Name: name, HostName: caller.HostName, Prefix: "/" + name + "/", Kind: kind, Service: service,
		TimeoutMS: 20000, TargetMS: 1000, MaxAttempts: attempts,
	}
}

func newDeployment(t *testing.T) *deployment {
	d := &deployment{t: t, tables: tables.New(), hosts: map[string]*runningHost{}, replicas: map[string]*replica.Replica{}, grace: 8 * time.Second, directoryTTL: time.Second}
	server, err := standin.Serve("127.0.0.1:0", d.tables)
	require.NoError(t, err)
	t.Cleanup(server.Close)
	d.storeAddress = strings.TrimPrefix(server.URL, "http://")
	resume, open, slow := route("resume", "streaming", "engines", 2), route("open", "safe", "app", 2), route("slow", "safe", "nobody", 2)
	resume.Resumable, open.Open, slow.TimeoutMS = true, true, 300
	d.config = tables.Config{
		Routes: []tables.Route{
			route("chat", "streaming", "engines", 1), resume, route("book", "unsafe", "app", 1), route("status", "safe", "app", 2), open, slow,
		},
		Services: []tables.Service{{Name: "app"}, {Name: "engines", Engine: &tables.Engine{
			BatchSize: 8, CacheTokens: 100_000, AdapterSlots: 2, WeightsMB: 100, Models: []tables.Model{{Name: "m", WeightsMB: 50}},
		}}},
		Limits: tables.Limits{MaxBodyBytes: 10_000},
	}
	d.putKey("key")
	return d
}

// putKey writes the configuration with one key in force.
func (d *deployment) putKey(key string) {
	d.config.Version++
	d.config.Organisations = []tables.Organisation{{
		Name: "org", Keys: []string{key}, PlainTokens: 10, TokensPerSecond: 100_000, BurstTokens: 100_000,
	}}
	d.tables.PutConfig(d.config)
}

// addReplica starts a replica and adds it to the upstreams table.
func (d *deployment) addReplica(service string, o replica.Options) *replica.Replica {
	r := replica.New(o)
	server, err := standin.Serve("127.0.0.1:0", r)
	require.NoError(d.t, err)
	d.t.Cleanup(server.Close)
	d.tables.PutUpstream(o.ID, tables.Upstream{
		Service: service, Address: strings.TrimPrefix(server.URL, "http://"), Slots: 8, StartedAt: 1, Model: o.Model,
	})
	d.replicas[o.ID] = r
	return r
}

// addCrashing starts a replica that crashes on a request with replica.CrashBody, and is
// listed again at another address after restartDelay.
func (d *deployment) addCrashing(service string, o replica.Options) {
	r := replica.New(o)
	var list func(born int64)
	list = func(born int64) {
		server, err := standin.Serve("127.0.0.1:0", r)
		require.NoError(d.t, err)
		d.t.Cleanup(server.Close)
		r.OnCrash(func() {
			go func() {
				server.Close()
				time.Sleep(restartDelay)
				list(born + 1)
			}()
		})
		d.tables.PutUpstream(o.ID, tables.Upstream{
			Service: service, Address: strings.TrimPrefix(server.URL, "http://"), Slots: 8, StartedAt: born, Model: o.Model,
		})
	}
	list(1)
	d.replicas[o.ID] = r
}

// restartDelay is the time from the crash of a replica to its restart.
const restartDelay = 500 * time.Millisecond

// addHost starts a host and waits until it is ready and has a member list.
func (d *deployment) addHost(name string) *runningHost {
	r := d.startHost(name)
	require.Eventually(d.t, func() bool {
		code, _ := get(caller.ReadyURL(r.settings.Listen.Readiness))
		return code == http.StatusOK && len(r.broker.Hosts()) > 0
	}, testTimeout, 10*time.Millisecond)
	return r
}

// startHost starts a host without waiting for it.
func (d *deployment) startHost(name string) *runningHost {
	entrySettings := &settings.Entry{
		Host: name, Zone: "z", Store: d.storeAddress, MemoryMB: 200, Cores: 1, Grace: settings.Duration(d.grace),
		Listen: settings.EntryListen{
			Callers: reservedAddress(d.t), Readiness: reservedAddress(d.t), Directory: reservedAddress(d.t), Peers: reservedAddress(d.t), Metrics: reservedAddress(d.t),
		},
		Fleet: settings.EntryFleet{
			RetryRatio: 0.2, RetrySlack: 50, RateWindow: settings.Duration(8 * time.Second), Fenced: true,
			MaxDirectoryTTL: settings.Duration(d.directoryTTL), Scheduling: d.scheduling,
		},
		Log: settings.Log{Level: "error"},
	}
	h, err := New(entrySettings)
	require.NoError(d.t, err)
	ctx, cancel := context.WithCancel(context.Background())
	running := &runningHost{Host: h, settings: entrySettings, cancel: cancel, done: make(chan error, 1)}
	go func() { running.done <- h.Run(ctx) }()
	var once sync.Once
	running.cancel = func() { once.Do(func() { cancel(); <-running.done }) }
	d.t.Cleanup(running.cancel)
	d.hosts[name] = running
	return running
}

func get(url string) (int, string) {
	resp, err := http.Get(url)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, err.Error()
	}
	return resp.StatusCode, string(body)
}

// response is the response that a caller has received.
type response struct {
	status int
	header http.Header
	body   string
	// closesConnection reports whether the host closes the connection after the response.
	closesConnection bool
	err              error
}

// request sends a request to the host. A header with an empty value is removed.
func (r *runningHost) request(method, path, body string, header map[string]string) response {
	return r.send(caller.Call{Method: method, Path: path, Body: body, ID: "id-" + path, Key: "key"}, header)
}

// generate sends a request that an engine must serve.
func (r *runningHost) generate(path string) response {
	return r.send(caller.Call{
		Method: http.MethodPost, Path: path, Body: "prompt", ID: "id-" + path, Key: "key",
		Model: "m", Adapter: "a1", PromptTokens: 100, OutputTokens: 20,
	}, nil)
}

// send sends c to the host, with header over its own headers as in call.
func (r *runningHost) send(c caller.Call, header map[string]string) response {
	req, err := c.Request(context.Background(), r.settings.Listen.Callers)
	if err != nil {
		return response{err: err}
	}
	for k, v := range header {
		req.Header.Set(k, v)
		if v == "" {
			req.Header.Del(k)
		}
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return response{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	raw, err := io.ReadAll(resp.Body)
	return response{resp.StatusCode, resp.Header, string(raw), resp.Close, err}
}
