// Package host assembles an entry host from its parts: the watcher of the platform's
// tables, the broker, the HTTP server for callers, and their listeners.
package host

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/jasminelock/jasminelock/assign"
	"github.com/jasminelock/jasminelock/catalog"
	"github.com/jasminelock/jasminelock/drain"
	"github.com/jasminelock/jasminelock/entry"
	"github.com/jasminelock/jasminelock/forward"
	"github.com/jasminelock/jasminelock/intake/callers"
	"github.com/jasminelock/jasminelock/leader"
	"github.com/jasminelock/jasminelock/logsink"
	"github.com/jasminelock/jasminelock/peer"
	"github.com/jasminelock/jasminelock/platform"
	"github.com/jasminelock/jasminelock/settings"
	"github.com/jasminelock/jasminelock/throttle"
	"github.com/jasminelock/jasminelock/watch"
	"github.com/jasminelock/jasminelock/wire"
)

// Limits and timeouts of connections.
const (
	// headerTimeout is the time allowed for reading a request's header.
	headerTimeout = 10 * time.Second
	// maxHeaderBytes is the maximum size of a request's header. It is above the limit of
	// every configuration, which callers respect by themselves.
	maxHeaderBytes = 64 << 10
	// idleTimeout is how long a caller's connection may be idle. It is above the value of
	// every configuration, since callers rely on the configured one.
	idleTimeout = 90 * time.Second
	// tcpUserTimeout is how long sent bytes may stay unacknowledged. It is the shortest
	// contact time that the platform's contract states.
	tcpUserTimeout = 3 * time.Second
	// dialTimeout is the timeout for connecting to an upstream, which is in the same
	// region.
	dialTimeout = 700 * time.Millisecond
	// upstreamIdleTimeout is how long a connection to an upstream may be idle, unless the
	// upstream states a timeout.
	upstreamIdleTimeout = 10 * time.Second
	// maxIdlePerUpstream is the maximum number of idle connections per upstream.
	maxIdlePerUpstream = 16
	// drainReserve is the part of the time allowed until a draining upstream gets no more
	// requests that is reserved for failed reads and for requests in flight.
	drainReserve = 3 * time.Second
	// retryReserve is the part of the time allowed until a change is in force after the
	// store has recovered that is reserved for the read itself.
	retryReserve = 1600 * time.Millisecond
	// maxStaleResponses is how many responses to earlier requests are skipped on a connection
	// before an attempt fails.
	maxStaleResponses = 2
	// sweepInterval is the interval at which expired idle connections are closed.
	sweepInterval = 2 * time.Second
	// peerDialTimeout is the timeout for opening a link to the leader, maxPeerRedialDelay the longest
	// wait before the next try.
	peerDialTimeout    = time.Second
	maxPeerRedialDelay = 500 * time.Millisecond
)

// memoryLimitShare is the share of the process's memory that is set as the soft memory limit
// of the Go runtime. Near it the garbage collector runs more often.
const memoryLimitShare = 0.6

// Host is one entry host.
type Host struct {
	settings *settings.Entry
	log      hclog.Logger
	sink     *logsink.Sink
	shutdown *drain.Shutdown

	watcher *watch.Watcher
	broker  *leader.Broker
	links   *peer.Links
	pool    *forward.Pool
	server  *entry.Server
	// callers admits the connections and requests of callers, operators those of operators and of the platform's checks.
	callers   *callers.Gate
	operators *callers.Gate
	metrics   *hostMetrics
	started   time.Time
	// settled is set once this host may serve callers by the tables that it has read.
	settled atomic.Bool
}

// New returns a host that does not serve until Run is called.
func New(s *settings.Entry) (*Host, error) {
	debug.SetMemoryLimit(int64(memoryLimitShare * float64(s.MemoryMB) * (1 << 20)))
	h := &Host{settings: s, sink: logsink.New(s.Host, os.Stdout), started: time.Now()}
	h.shutdown = drain.New(drain.NewSchedule(time.Duration(s.Grace), staleTTLFactor*directoryTTL(s)))
	h.log = hclog.New(&hclog.LoggerOptions{
		Name: s.Host, Output: h.sink, Level: hclog.LevelFromString(s.Log.Level), JSONFormat: s.Log.JSON,
	})
	limits, err := callers.LimitsOf(h.log, s.MemoryMB, s.Descriptors, s.Callers.Shares())
	if err != nil {
		return nil, err
	}
	h.callers, h.operators = callers.NewGate(limits), callers.NewOperatorGate()
	if h.metrics, err = newHostMetrics(h); err != nil {
		return nil, err
	}
	tables := &countedTables{tables: platform.NewTables(s.Store), calls: h.metrics.storeCalls}
	h.pool = forward.New(forward.Options{
		DialTimeout: dialTimeout, TCPUserTimeout: tcpUserTimeout, IdleTimeout: upstreamIdleTimeout, MaxIdlePerUpstream: maxIdlePerUpstream,
		MaxIdle:         limits.IdleUpstreamConnections,
		RequestIDHeader: platform.Codec{}.AttemptIDHeader(), MaxStaleResponses: maxStaleResponses,
	})
	h.watcher = watch.New(watch.Options{
		Log: h.log.Named("watch"), Feed: tables, Decoder: platform.Decoder{},
		OnChange:             func(v *watch.View) { h.broker.UpdateView(v) },
		RelaxedReadInterval:  time.Duration(s.Fleet.MaxDrainDelay) - drainReserve,
		RelaxedMaxRetryDelay: time.Duration(min(s.Fleet.MaxConfigDelay, s.Fleet.MaxDrainDelay)) - retryReserve,
	})
	h.broker = leader.New(leader.Options{
		Log: h.log.Named("lead"), Host: s.Host, Zone: s.Zone, CallerAddress: s.Listen.Callers, PeerURL: "http://" + s.PeerAddress(),
		Tables: tables, Source: h.watcher, Cores: s.Cores, Fenced: s.Fleet.Fenced, Random: newRandom(),
		HolderPause: time.Duration(s.Fleet.HolderPause), Clock: timeSinceBoot,
		MaxPropagation: time.Duration(min(s.Fleet.MaxConfigDelay, s.Fleet.MaxDrainDelay)),
		Scheduling:     scheduling(s), LearnPace: s.Fleet.LearnPace,
		Engines: &countedEngines{Engines: platform.NewEngines(h.pool, h.rateLimitStated), orders: h.metrics.orders},
		Limits: assign.Limits{
			RetryRatio: s.Fleet.RetryRatio, RetrySlack: s.Fleet.RetrySlack,
			RateWindow: time.Duration(s.Fleet.RateWindow), RateTolerance: s.Fleet.RateTolerance, RateSlackTokens: s.Fleet.RateSlackTokens,
		},
	})
	h.server = entry.New(entry.Options{
		Log: h.log.Named("entry"), Codec: platform.Codec{}, Broker: h.broker, Pool: h.pool, View: h.callerView,
		Shutdown: h.shutdown, Random: rand.Float64, Observe: h.metrics.recordResult,
	})
	return h, nil
}

// rateLimitStated passes a rate limit that an engine has stated in an answer to an order or a report to the broker.
func (h *Host) rateLimitStated(u *catalog.Upstream, sentAt time.Time, s throttle.Statement) {
	h.broker.RateLimitStated(u, sentAt, s)
}

// scheduling returns the order of waiting requests that the settings ask for.
func scheduling(s *settings.Entry) assign.Scheduling {
	if s.Fleet.Scheduling == "urgency" || (s.Fleet.Scheduling == "" && platform.RanksRequests(s.Features)) {
		return assign.ByUrgency
	}
	return assign.ByArrival
}

func newRandom() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }

// Run serves until the context ends, until the shutdown started by Drain is complete,
// or until a listener fails, whose error it returns.
func (h *Host) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	logCtx, stopLog := context.WithCancel(context.WithoutCancel(ctx))
	var logging, group sync.WaitGroup
	logging.Go(func() { h.sink.Run(logCtx) })
	defer logging.Wait()
	defer stopLog()
	h.log.Info("start", "zone", h.settings.Zone, "callers", h.settings.Listen.Callers)
	defer h.log.Info("stop")
	h.broker.Start(ctx)
	if err := h.startLinks(ctx, &group); err != nil {
		return err
	}
	group.Go(func() { h.watcher.Run(ctx) })
	group.Go(func() { h.broker.Run(ctx) })
	group.Go(func() { h.sweepIdleConnections(ctx) })
	err := h.serve(ctx, &group)
	cancel()
	group.Wait()
	return err
}

// startLinks starts the links to other hosts and attaches them to the broker.
func (h *Host) startLinks(ctx context.Context, group *sync.WaitGroup) error {
	listener, err := listen(ctx, h.settings.Listen.Peers)
	if err != nil {
		return fmt.Errorf("listen.peers: %w", err)
	}
	h.links, err = peer.New(peer.Options{
		Log: h.log.Named("peer"), Listener: listener, Secret: h.broker.Secret, Lookup: h.broker.PeerURL,
		Receive: h.broker.Receive, LinkLost: h.broker.LinkLost, DialTimeout: peerDialTimeout, MaxRedialDelay: maxPeerRedialDelay,
		Self: wire.Hello{
			Host: h.settings.Host, Zone: h.settings.Zone, Incarnation: rand.Uint64(),
			MinVersion: wire.MinVersion, MaxVersion: wire.Version,
		},
	})
	if err != nil {
		return err
	}
	h.broker.Attach(h.links)
	group.Go(func() { h.links.Run(ctx) })
	return nil
}

// listener is a server with the address that it listens on, the settings field of
// that address, and the gate that admits its connections.
type listener struct {
	field, address string
	server         *http.Server
	gate           *callers.Gate
}

// serve runs all HTTP listeners until the context ends, a listener fails or the host
// has drained.
func (h *Host) serve(ctx context.Context, group *sync.WaitGroup) error {
	callersServer := h.newServer(h.server, h.callers)
	listeners := []listener{
		{"listen.callers", h.settings.Listen.Callers, callersServer, h.callers},
		{"listen.readiness", h.settings.Listen.Readiness, h.newServer(callers.Handler(platform.ReadinessHandler(h.ready)), h.operators), h.operators},
		{
			"listen.directory", h.settings.Listen.Directory,
			h.newServer(callers.Handler(platform.DirectoryHandler(h.addressesForZone, directoryTTL(h.settings))), h.callers), h.callers,
		},
	}
	if h.settings.Listen.Metrics != "" {
		listeners = append(listeners, listener{"listen.metrics", h.settings.Listen.Metrics, h.newServer(callers.Handler(h.operatorHandler()), h.operators), h.operators})
	}
	failed := make(chan error, len(listeners))
	var callersListener net.Listener
	for _, spec := range listeners {
		netListener, err := listen(ctx, spec.address)
		if err != nil {
			return fmt.Errorf("%s: %w", spec.field, err)
		}
		netListener = spec.gate.Listen(netListener)
		if spec.server == callersServer {
			callersListener = netListener
		}
		group.Go(func() {
			if err := spec.server.Serve(netListener); !errors.Is(err, http.ErrServerClosed) {
				failed <- fmt.Errorf("%s: %w", spec.field, err)
			}
		})
		defer func() { _ = spec.server.Close() }() // aborts the requests that still run
	}
	select {
	case <-ctx.Done():
		return nil
	case err := <-failed:
		return err
	case <-h.shutdown.Started():
		h.shutDown(ctx, callersListener)
		return nil
	}
}

func (h *Host) newServer(handler http.Handler, gate *callers.Gate) *http.Server {
	server := &http.Server{
		Handler: handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		ErrorLog: h.log.StandardLogger(&hclog.StandardLoggerOptions{ForceLevel: hclog.Debug}),
	}
	gate.Attach(server)
	return server
}

func listen(ctx context.Context, address string) (net.Listener, error) {
	config := net.ListenConfig{
		Control:         forward.TCPUserTimeoutControl(tcpUserTimeout),
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: tcpUserTimeout, Interval: time.Second, Count: 3},
	}
	return config.Listen(ctx, "tcp", address)
}

// sweepIdleConnections periodically closes the idle connections that have expired and those to
// upstreams that are no longer listed.
func (h *Host) sweepIdleConnections(ctx context.Context) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			upstreams := h.watcher.View().Upstreams
			h.pool.Sweep(func(key string) bool { return upstreams[platform.UpstreamOfPoolKey(key)] != nil })
		}
	}
}
