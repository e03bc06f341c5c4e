package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"slices"
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

// EntryOptions configures one soak of entry hosts. The hosts are processes of
// jasminelock-entry; the platform's tables and the replicas are stand-ins.
type EntryOptions struct {
	// BinDir is the directory that holds jasminelock-entry.
	BinDir string
	// WorkDir is an empty directory for settings files and logs.
	WorkDir string
	// Duration is how long faults are started. Load goes on for some seconds after it.
	Duration time.Duration
	// Hosts is the number of entry hosts, Engines the number of engine replicas.
	Hosts   int
	Engines int
	// RequestsPerSecond is the mean number of requests a second.
	RequestsPerSecond float64
	// MeanFaultInterval is the mean time between the starts of faults, which may overlap.
	MeanFaultInterval time.Duration
	// Seed seeds the load and the faults.
	Seed uint64
	// Log receives one line for each fault and its steps.
	Log io.Writer
}

// Sizes of the deployment, and bounds of the load after the last fault.
const (
	plainReplicas = 2
	streamEvents  = 8
	eventInterval = 10 * time.Millisecond
	adapterSlots  = 3
	adapterCount  = 20
	// zoneCount is the number of availability zones that the replicas are spread over.
	zoneCount = 2
	// entryRecoveryTime is how long hosts may take to serve normally after the last fault.
	entryRecoveryTime = 8 * time.Second
	// finalLoadTime is how long requests are counted after entryRecoveryTime.
	finalLoadTime = 4 * time.Second
	// minServedAfterFaults is the least share of those requests that must be answered with 200.
	minServedAfterFaults = 0.9
)

// entrySoak is a running deployment of entry hosts.
type entrySoak struct {
	options  EntryOptions
	tables   *tables.Tables
	hosts    []*entryHost
	replicas []*entryReplica
	// faultless are the replicas that get no faults.
	faultless []*entryReplica
	recorder  *entryRecorder
	client    *http.Client
	closers   []func()
	// evacuating is true while a zone is evacuated. At most one is at a time.
	evacuating atomic.Bool
	// restoring is true while the store is being restored from a copy. At most one drill is at a time.
	restoring atomic.Bool

	// mu guards the fields below.
	mu sync.Mutex
	// version is the version of the last configuration, key the organisation's valid key.
	version int
	key     string
}

// entryHost is the process of one entry host, with the links to it and to its store.
type entryHost struct {
	*process
	callerAddress string
	readyAddress  string
	storeLink     *link.Link
	// peerLink is the link through which the other hosts connect to this one.
	peerLink *link.Link
}

// entryReplica is a stand-in replica behind a link.
type entryReplica struct {
	*replica.Replica
	id      string
	service string
	model   string
	link    *link.Link
	// incarnation counts the starts of the replica.
	incarnation atomic.Int64
	// down is true while the replica is away after a crash or while it starts slowly, so that
	// only one of the two goes on at a time.
	down atomic.Bool
	// slowStartUntil is the end of the replica's slow start, in Unix nanoseconds.
	slowStartUntil atomic.Int64
	zone           string
}

// RunEntryHosts runs load and faults on entry hosts and returns a summary with every violation of
// a condition. It returns an error if the deployment does not start.
func RunEntryHosts(ctx context.Context, o EntryOptions) (*EntrySummary, error) {
	s := &entrySoak{
		options: o, tables: tables.New(), recorder: newEntryRecorder(), key: "key-0",
		client: &http.Client{
			Timeout: 20 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 8, DisableCompression: true},
		},
	}
	defer s.close()
	if err := s.start(); err != nil {
		return nil, err
	}
	random := rand.New(rand.NewPCG(o.Seed, 2))
	loadCtx, endLoad := context.WithCancel(ctx)
	var load, faults sync.WaitGroup
	load.Go(func() { s.sendLoad(loadCtx) })
	load.Go(func() { s.sendCrashingRequests(loadCtx) })
	load.Go(func() { s.sendRequestsWithCrashPart(loadCtx) })
	limitCtx, endLimits := context.WithCancel(ctx)
	load.Go(func() { s.stateRateLimits(limitCtx) })
	s.runFaults(ctx, random, &faults)
	faults.Wait()
	endLimits()
	s.logf("all faults have ended")
	sleep(ctx, entryRecoveryTime)
	s.recorder.markFaultsOver()
	sleep(ctx, finalLoadTime)
	endLoad()
	load.Wait()
	return s.recorder.summary(slices.Concat(s.replicas, s.faultless)), nil
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
		o := replica.Options{
			ID: "e" + strconv.Itoa(i), Model: "m", AdapterSlots: adapterSlots,
			Events: streamEvents, EventPause: eventInterval,
		}
		if err := s.addReplica("engines", o); err != nil {
			return err
		}
	}
	for i := range plainReplicas {
		if err := s.addReplica("app", replica.Options{ID: "p" + strconv.Itoa(i)}); err != nil {
			return err
		}
	}
	if err := s.addReplica(slowService, replica.Options{ID: slowService, AnswerAfter: slowAnswerTime}); err != nil {
		return err
	}
	s.faultless, s.replicas = s.replicas[len(s.replicas)-1:], s.replicas[:len(s.replicas)-1]
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
		resp, err := s.client.Get(caller.ReadyURL(h.readyAddress)) //nolint:noctx // bounded by the client
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("soak: host %s did not get ready in time", h.name)
}

// addReplica starts a replica behind a link and writes its row.
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
	e := &entryReplica{
		Replica: r, id: o.ID, service: service, model: o.Model, link: l, zone: zoneName(len(s.replicas) % zoneCount),
	}
	e.incarnation.Store(1)
	s.installCrashHandler(e)
	s.replicas = append(s.replicas, e)
	s.publishReplica(e, false)
	return nil
}

// publishReplica writes the replica's row in the table of upstreams.
func (s *entrySoak) publishReplica(e *entryReplica, draining bool) {
	s.tables.PutUpstream(e.id, tables.Upstream{
		SlowStart: max(time.Until(time.Unix(0, e.slowStartUntil.Load())), 0),
		Service:   e.service, Address: e.link.Address(), Slots: e.slots(), StartedAt: e.incarnation.Load(),
		Draining: draining, Model: e.model, Zone: e.zone,
	})
}

// slots returns the number of requests that the replica takes at once.
func (e *entryReplica) slots() int {
	if e.service == slowService {
		return slowSlots
	}
	return 16
}

// putConfig writes the next version of the configuration, with the valid key.
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
	hold, holdSafe := route(holdKind, "unsafe", slowService, 1, false), route(holdSafeKind, "safe", slowService, 2, false)
	hold.TimeoutMS, holdSafe.TimeoutMS = int(longTimeout.Milliseconds()), int(longTimeout.Milliseconds())
	s.tables.PutConfig(tables.Config{
		Version: s.version,
		Routes: []tables.Route{
			route("chat", "streaming", "engines", 1, false), route("resume", "streaming", "engines", 2, true),
			route("book", "unsafe", "app", 1, false), route("status", "safe", "app", 2, false), hold, holdSafe,
		},
		Services: []tables.Service{{Name: slowService}, {
			Name: "app", SlowStartSeconds: slowStartTime.Seconds(), SlowStartPerSecond: slowStartRate,
		}, {Name: "engines", SlowStartSeconds: slowStartTime.Seconds(), SlowStartPerSecond: slowStartRate, Engine: &tables.Engine{
			BatchSize: 16, CacheTokens: 1_000_000, AdapterSlots: adapterSlots, WeightsMB: 100,
			Models: []tables.Model{{Name: "m", WeightsMB: 50}},
		}}},
		Limits: tables.Limits{MaxBodyBytes: 100_000},
		Organisations: []tables.Organisation{{
			Name: "org", Keys: []string{s.key}, PlainTokens: 10, TokensPerSecond: 10_000_000, BurstTokens: 10_000_000,
		}},
	})
}

// settingsText is the format of a host's settings file.
const settingsText = `{
  "host": %q, "zone": "z", "store": %q, "memory_mb": 200, "cores": 1, "grace": "8s",
  "listen": {"callers": %q, "readiness": %q, "directory": %q, "peers": %q}, "advertise": {"peers": %q},
  "fleet": {"retry_ratio": 0.2, "retry_slack": 50, "rate_window": "8s", "fenced": true, "holder_pause": "3s", "config_within": "2s", "drain_within": "2s", "answer_life": "1s"},
  "log": {"level": "info", "json": true},
}
`

// addHost starts the process of a host, with a link to the store and one for its peers.
func (s *entrySoak) addHost(name, store string) error {
	l, err := link.Listen("127.0.0.1:0", store)
	if err != nil {
		return err
	}
	s.closers = append(s.closers, l.Close)
	var addresses [4]string
	for i := range addresses {
		if addresses[i], err = reserveAddress(); err != nil {
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
			logPath: filepath.Join(s.options.WorkDir, name+".log"),
		},
		callerAddress: addresses[0], readyAddress: addresses[1], storeLink: l, peerLink: peers,
	}
	s.hosts = append(s.hosts, h)
	return h.start()
}
