package soak

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jasminelock/jasminelock/standin"
	"github.com/jasminelock/jasminelock/standin/caller"
	"github.com/jasminelock/jasminelock/standin/link"
	"github.com/jasminelock/jasminelock/standin/replica"
	"github.com/jasminelock/jasminelock/standin/tables"
)

// EntryOptions say how entry hosts are soaked: real processes of
// jasminelock-entry, with stand-ins for the platform's tables and for replicas.
type EntryOptions struct {
	// BinDir is the directory of the built jasminelock-entry.
	BinDir string
	// WorkDir is an empty directory for settings and logs.
	WorkDir      string
	Duration time.Duration
	Hosts    int
	Engines  int
	// RequestsPerSecond is the number of requests a second.
	RequestsPerSecond float64
	// MeanFaultInterval is the mean time between faults.
	MeanFaultInterval time.Duration
	Seed       uint64
	// Log takes what is done.
	Log io.Writer
}

// Sizes of the deployment.
const (
	plainReplicas = 2
	streamEvents  = 8
	eventPause    = 10 * time.Millisecond
	adapterSlots  = 3
	adapterCount  = 20
	// zones is how many availability zones the replicas are in.
	zones = 2
	// entrySettle is how long after the last fault requests must be served again.
	entrySettle = 8 * time.Second
	// judgedTime is how long requests are counted after that.
	judgedTime = 4 * time.Second
	// servedAfter is the least part of the requests that must be served then.
	servedAfter = 0.9
)

// entrySoak is a running deployment of entry hosts.
type entrySoak struct {
	options  EntryOptions
	tables   *tables.Tables
	hosts    []*entryHost
	replicas []*entryReplica
	judge    *judge
	client   *http.Client
	closers  []func()
	// evacuating says that a zone is evacuated.
	evacuating atomic.Bool

	// mu guards all below.
	mu      sync.Mutex
	version int
	key     string
}

// entryHost is one host's process and its link to the store.
type entryHost struct {
	*process
	callers string
	ready   string
	store   *link.Link
	// peers is what other hosts link to this one through.
	peers *link.Link
}

// entryReplica is a replica behind a link.
type entryReplica struct {
	*replica.Replica
	id      string
	service string
	model   string
	link    *link.Link
	// born counts the replica's starts.
	born atomic.Int64
	// down says that a request has crashed the replica, which is not back yet.
	down atomic.Bool
	// slowUntil is until when the replica takes few requests, in Unix nanoseconds.
	slowUntil atomic.Int64
	zone      string
}

// RunEntryHosts soaks entry hosts and returns what was found.
func RunEntryHosts(ctx context.Context, o EntryOptions) (*EntrySummary, error) {
	s := &entrySoak{
		options: o, tables: tables.New(), judge: newJudge(), key: "key-0",
		client: &http.Client{Timeout: 20 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 8, DisableCompression: true}},
	}
	defer s.close()
	if err := s.start(); err != nil {
		return nil, err
	}
	random := rand.New(rand.NewPCG(o.Seed, 2))
	loadCtx, endLoad := context.WithCancel(ctx)
	var load, faults sync.WaitGroup
	load.Go(func() { s.load(loadCtx) })
	load.Go(func() { s.crashLoad(loadCtx) })
	s.runFaults(ctx, random, &faults)
	faults.Wait()
	s.logf("faults are over")
	sleep(ctx, entrySettle)
	s.judge.mark()
	sleep(ctx, judgedTime)
	endLoad()
	load.Wait()
	return s.judge.summary(s.replicas), nil
}

func (s *entrySoak) logf(format string, args ...any) {
	_, _ = fmt.Fprintf(s.options.Log, time.Now().Format("15:04:05.000 ")+format+"\n", args...)
}

func (s *entrySoak) close() {
	for _, h := range s.hosts {
		h.kill()
	}
	for _, f := range s.closers {
		f()
	}
}

// start starts the stand-ins and the hosts, and waits until all are ready.
func (s *entrySoak) start() error {
	server, err := standin.Serve("127.0.0.1:0", s.tables)
	if err != nil {
		return err
	}
	s.closers = append(s.closers, server.Close)
	s.putConfig()
	for i := range s.options.Engines {
		o := replica.Options{ID: "e" + strconv.Itoa(i), Model: "m", AdapterSlots: adapterSlots, Events: streamEvents, EventPause: eventPause}
		if err := s.addReplica("engines", o); err != nil {
			return err
		}
	}
	for i := range plainReplicas {
		if err := s.addReplica("app", replica.Options{ID: "p" + strconv.Itoa(i)}); err != nil {
			return err
		}
	}
	for i := range s.options.Hosts {
		if err := s.addHost("h"+strconv.Itoa(i), server.URL[len("http://"):]); err != nil {
			return err
		}
	}
	for _, h := range s.hosts {
		if err := s.awaitReady(h); err != nil {
			return err
		}
	}
	return nil
}

func (s *entrySoak) awaitReady(h *entryHost) error {
	for end := time.Now().Add(startTimeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		resp, err := s.client.Get(caller.ReadyURL(h.ready)) //nolint:noctx // bounded by the client
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("soak: %s is not ready", h.name)
}

// addReplica starts a replica behind a link and lists it.
func (s *entrySoak) addReplica(service string, o replica.Options) error {
	r := replica.New(o)
	server, err := standin.Serve("127.0.0.1:0", r)
	if err != nil {
		return err
	}
	l, err := link.Listen("127.0.0.1:0", server.URL[len("http://"):])
	if err != nil {
		return err
	}
	s.closers = append(s.closers, l.Close, server.Close)
	e := &entryReplica{Replica: r, id: o.ID, service: service, model: o.Model, link: l, zone: zoneName(len(s.replicas) % zones)}
	e.born.Store(1)
	s.crashes(e)
	s.replicas = append(s.replicas, e)
	s.list(e, false)
	return nil
}

// list writes a replica's entry.
func (s *entrySoak) list(e *entryReplica, draining bool) {
	s.tables.PutUpstream(e.id, tables.Upstream{
		SlowStart: max(time.Until(time.Unix(0, e.slowUntil.Load())), 0),
		Service:   e.service, Address: e.link.Address(), Slots: 16, StartedAt: e.born.Load(), Draining: draining, Model: e.model, Zone: e.zone,
	})
}

// putConfig writes a configuration with the key in force.
func (s *entrySoak) putConfig() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	route := func(name, kind, service string, attempts int, resumable bool) tables.Route {
		return tables.Route{
			Name: name, HostName: caller.HostName, Prefix: "/" + name + "/", Kind: kind, Service: service,
			TimeoutMS: 6000, TargetMS: 1000, MaxAttempts: attempts, Resumable: resumable,
		}
	}
	s.tables.PutConfig(tables.Config{
		Version: s.version,
		Routes: []tables.Route{
			route("chat", "streaming", "engines", 1, false), route("resume", "streaming", "engines", 2, true),
			route("book", "unsafe", "app", 1, false), route("status", "safe", "app", 2, false),
		},
		Services: []tables.Service{{
			Name: "app", SlowStartSeconds: slowTime.Seconds(), SlowStartPerSecond: slowPerSecond,
		}, {Name: "engines", SlowStartSeconds: slowTime.Seconds(), SlowStartPerSecond: slowPerSecond, Engine: &tables.Engine{
			BatchSize: 16, CacheTokens: 1_000_000, AdapterSlots: adapterSlots, WeightsMB: 100,
			Models: []tables.Model{{Name: "m", WeightsMB: 50}},
		}}},
		Limits: tables.Limits{MaxBodyBytes: 100_000},
		Organisations: []tables.Organisation{{
			Name: "org", Keys: []string{s.key}, PlainTokens: 10, TokensPerSecond: 10_000_000, BurstTokens: 10_000_000,
		}},
	})
}

// settingsText is a host's settings file.
const settingsText = `{
  "host": %q, "zone": "z", "store": %q, "memory_mb": 200, "cores": 1, "grace": "8s",
  "listen": {"callers": %q, "readiness": %q, "directory": %q, "peers": %q}, "advertise": {"peers": %q},
  "fleet": {"retry_ratio": 0.2, "retry_slack": 50, "rate_window": "8s", "fenced": true, "holder_pause": "3s", "config_within": "2s", "drain_within": "2s", "answer_life": "1s"},
  "log": {"level": "info", "json": true},
}
`

// addHost starts a host as a process, with a link to the store.
func (s *entrySoak) addHost(name, store string) error {
	l, err := link.Listen("127.0.0.1:0", store)
	if err != nil {
		return err
	}
	s.closers = append(s.closers, l.Close)
	var addresses [4]string
	for i := range addresses {
		if addresses[i], err = lowAddress(); err != nil {
			return err
		}
	}
	peers, err := link.Listen("127.0.0.1:0", addresses[3])
	if err != nil {
		return err
	}
	s.closers = append(s.closers, peers.Close)
	path := filepath.Join(s.options.WorkDir, name+".jsonc")
	text := fmt.Sprintf(settingsText, name, l.Address(), addresses[0], addresses[1], addresses[2], addresses[3], peers.Address())
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return err
	}
	h := &entryHost{
		process: &process{
			name: name, path: filepath.Join(s.options.BinDir, "jasminelock-entry"), args: []string{"--config", path},
			log: filepath.Join(s.options.WorkDir, name+".log"),
		},
		callers: addresses[0], ready: addresses[1], store: l, peers: peers,
	}
	s.hosts = append(s.hosts, h)
	return h.start()
}

// Ports that hosts listen on. They are below those of outgoing connections, which
// would take them while a host is away.
const (
	firstPort = 12000
	portCount = 8000
)

// drawnPorts are those that hosts of this process listen on, or soon will.
var drawnPorts sync.Map

// lowAddress returns a free loopback address that no outgoing connection takes
// and that was not returned before.
func lowAddress() (string, error) {
	for range 200 {
		address := "127.0.0.1:" + strconv.Itoa(firstPort+rand.IntN(portCount))
		if _, drawn := drawnPorts.LoadOrStore(address, true); drawn {
			continue
		}
		l, err := net.Listen("tcp", address) //nolint:noctx // closed at once
		if err != nil {
			continue
		}
		return address, l.Close()
	}
	return "", errors.New("soak: no free port")
}
