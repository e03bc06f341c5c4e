// Package host puts an entry host together: the watch of the platform's tables,
// the broker, the server of callers, and their listeners.
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
	"github.com/jasminelock/jasminelock/entry"
	"github.com/jasminelock/jasminelock/forward"
	"github.com/jasminelock/jasminelock/lead"
	"github.com/jasminelock/jasminelock/logsink"
	"github.com/jasminelock/jasminelock/peer"
	"github.com/jasminelock/jasminelock/platform"
	"github.com/jasminelock/jasminelock/settings"
	"github.com/jasminelock/jasminelock/watch"
	"github.com/jasminelock/jasminelock/wire"
)

// Limits of connections.
const (
	// headerTimeout bounds how long a caller may take over a request's header.
	headerTimeout = 10 * time.Second
	// maxHeaderBytes bounds a request's header. It is above what configurations
	// allow, whose own bound callers keep.
	maxHeaderBytes = 64 << 10
	// idleTimeout is how long a caller's connection may be idle. It is above
	// what configurations state, since callers rely on theirs.
	idleTimeout = 90 * time.Second
	// userTimeout is how long sent bytes may go unacknowledged. It is the
	// shortest contact time of the contract.
	userTimeout = 3 * time.Second
	// dialTimeout bounds opening a connection to an upstream of the same region.
	dialTimeout = 700 * time.Millisecond
	// upstreamIdle is how long an idle connection to an upstream is kept.
	upstreamIdle = 10 * time.Second
	// idlePerUpstream is how many idle connections are kept to one upstream.
	idlePerUpstream = 16
	// drainReserve is what remains of the time in which an upstream that leaves must
	// be left alone, for reads that fail and requests under way.
	drainReserve = 3 * time.Second
	// retryReserve is what remains of the time in which a change must be in force once
	// the store is back, for the read itself.
	retryReserve = 1600 * time.Millisecond
	// passedOver is how many answers to earlier requests are passed over on a
	// connection.
	passedOver = 2
	// sweepEvery is how often idle connections are looked at.
	sweepEvery = 2 * time.Second
	// peerDial and peerRedial bound how long a link to the lead takes.
	peerDial   = time.Second
	peerRedial = 500 * time.Millisecond
)

// memoryPart is the part of the process's memory that the Go heap may take
// before garbage is collected harder.
const memoryPart = 0.6

// Host is one entry host.
type Host struct {
	settings *settings.Entry
	log      hclog.Logger
	sink     *logsink.Sink
	// leftAt is when the host began to leave, counted from its start, 0 before.
	leftAt  atomic.Int64
	drained chan struct{}
	once    sync.Once

	watcher *watch.Watcher
	broker  *lead.Broker
	links   *peer.Links
	pool    *forward.Pool
	server  *entry.Server
	metrics *hostMetrics
	started time.Time
}

// New returns a host that serves nothing before Run.
func New(s *settings.Entry) (*Host, error) {
	debug.SetMemoryLimit(int64(memoryPart * float64(s.MemoryMB) * (1 << 20)))
	h := &Host{settings: s, sink: logsink.New(s.Host, os.Stdout), drained: make(chan struct{}), started: time.Now()}
	h.log = hclog.New(&hclog.LoggerOptions{
		Name: s.Host, Output: h.sink, Level: hclog.LevelFromString(s.Log.Level), JSONFormat: s.Log.JSON,
	})
	var err error
	if h.metrics, err = newHostMetrics(h); err != nil {
		return nil, err
	}
	tables := &countedTables{tables: platform.NewTables(s.Store), calls: h.metrics.storeCalls}
	h.pool = forward.New(forward.Options{
		DialTimeout: dialTimeout, TCPUserTimeout: userTimeout, IdleTimeout: upstreamIdle, MaxIdlePerUpstream: idlePerUpstream,
		RequestIDHeader: platform.Codec{}.AttemptIDHeader(), MaxStaleResponses: passedOver,
	})
	h.watcher = watch.New(watch.Options{
		Log: h.log.Named("watch"), Feed: tables, Decoder: platform.Decoder{}, OnChange: func(v *watch.View) { h.broker.UpdateView(v) },
		RelaxedReadInterval:      time.Duration(s.Fleet.DrainWithin) - drainReserve,
		RelaxedMaxRetryDelay: time.Duration(min(s.Fleet.ConfigWithin, s.Fleet.DrainWithin)) - retryReserve,
	})
	h.broker = lead.New(lead.Options{
		Log: h.log.Named("lead"), Host: s.Host, Zone: s.Zone, CallerAddress: s.Listen.Callers, PeerURL: "http://" + s.PeerAddress(),
		Tables: tables, Source: h.watcher, Cores: s.Cores, Fenced: s.Fleet.Fenced, Random: newRandom(),
		HolderPause: time.Duration(s.Fleet.HolderPause), Clock: sinceBoot,
		MaxPropagation: time.Duration(min(s.Fleet.ConfigWithin, s.Fleet.DrainWithin)),
		Engines: &countedEngines{Engines: platform.NewEngines(h.pool), orders: h.metrics.orders},
		Limits: assign.Limits{
			RetryRatio: s.Fleet.RetryRatio, RetrySlack: s.Fleet.RetrySlack,
			RateWindow: time.Duration(s.Fleet.RateWindow), RateTolerance: s.Fleet.RateOver, RateSlackTokens: s.Fleet.RateSlackTokens,
		},
	})
	h.server = entry.New(entry.Options{
		Log: h.log.Named("entry"), Codec: platform.Codec{}, Broker: h.broker, Pool: h.pool, View: h.watcher.View,
		Draining: h.leaving, Random: rand.Float64, Observe: h.metrics.observe,
	})
	return h, nil
}

func newRandom() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }

// Run serves until the context ends, or until a shutdown that Drain has started
// is over.
func (h *Host) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	logged, endLog := context.WithCancel(context.WithoutCancel(ctx))
	var logging, group sync.WaitGroup
	logging.Go(func() { h.sink.Run(logged) })
	defer logging.Wait()
	defer endLog()
	h.log.Info("start", "zone", h.settings.Zone, "callers", h.settings.Listen.Callers)
	defer h.log.Info("stop")
	h.broker.Start(ctx)
	if err := h.link(ctx, &group); err != nil {
		return err
	}
	group.Go(func() { h.watcher.Run(ctx) })
	group.Go(func() { h.broker.Run(ctx) })
	group.Go(func() { h.sweep(ctx) })
	err := h.serve(ctx, &group)
	cancel()
	group.Wait()
	return err
}

// link accepts links of other hosts.
func (h *Host) link(ctx context.Context, group *sync.WaitGroup) error {
	listener, err := listen(ctx, h.settings.Listen.Peers)
	if err != nil {
		return fmt.Errorf("listen.peers: %w", err)
	}
	h.links, err = peer.New(peer.Options{
		Log: h.log.Named("peer"), Listener: listener, Secret: h.broker.Secret, Lookup: h.broker.PeerURL,
		Receive: h.broker.Receive, Lost: h.broker.LinkLost, DialTimeout: peerDial, LongestRedial: peerRedial,
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

// listener is a server with the address that it listens on.
type listener struct {
	field, address string
	server         *http.Server
}

// serve runs the listeners of callers until the end.
func (h *Host) serve(ctx context.Context, group *sync.WaitGroup) error {
	callers := h.newServer(h.server)
	all := []listener{
		{"listen.callers", h.settings.Listen.Callers, callers},
		{"listen.readiness", h.settings.Listen.Readiness, h.newServer(platform.ReadinessHandler(h.ready))},
		{"listen.directory", h.settings.Listen.Directory, h.newServer(platform.DirectoryHandler(h.callersFor, answerLife(h.settings)))},
	}
	if h.settings.Listen.Metrics != "" {
		all = append(all, listener{"listen.metrics", h.settings.Listen.Metrics, h.newServer(h.metrics.handler())})
	}
	failed := make(chan error, len(all))
	for _, one := range all {
		l, err := listen(ctx, one.address)
		if err != nil {
			return fmt.Errorf("%s: %w", one.field, err)
		}
		group.Go(func() {
			if err := one.server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
				failed <- fmt.Errorf("%s: %w", one.field, err)
			}
		})
		defer func() { _ = one.server.Close() }() // what still runs is cut at the end
	}
	select {
	case <-ctx.Done():
		return nil
	case err := <-failed:
		return err
	case <-h.drained:
		return h.leave(ctx, callers)
	}
}

func (h *Host) newServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler: handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		ErrorLog: h.log.StandardLogger(&hclog.StandardLoggerOptions{ForceLevel: hclog.Debug}),
	}
}

func listen(ctx context.Context, address string) (net.Listener, error) {
	config := net.ListenConfig{
		Control:         forward.TCPUserTimeoutControl(userTimeout),
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: userTimeout, Interval: time.Second, Count: 3},
	}
	return config.Listen(ctx, "tcp", address)
}

// sweep closes idle connections that must no longer be used.
func (h *Host) sweep(ctx context.Context) {
	t := time.NewTicker(sweepEvery)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			upstreams := h.watcher.View().Upstreams
			h.pool.Sweep(func(key string) bool { return upstreams[platform.UpstreamOfPoolKey(key)] != nil })
		}
	}
}
