// Package daemon puts a host together: listeners, the runtime of the core, and
// the controllers that read the platform and the upstreams.
package daemon

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/rotisserie/eris"

	"github.com/jasminelock/jasminelock/blackboard"
	"github.com/jasminelock/jasminelock/core"
	"github.com/jasminelock/jasminelock/gateway"
	"github.com/jasminelock/jasminelock/outcome"
	"github.com/jasminelock/jasminelock/peer"
	"github.com/jasminelock/jasminelock/settings"
	"github.com/jasminelock/jasminelock/store"
	"github.com/jasminelock/jasminelock/upstream"
)

// callerIdleTimeout is how long a caller's connection is kept without a request.
const callerIdleTimeout = 2 * time.Minute

// Daemon is one host.
type Daemon struct {
	settings *settings.Settings
	log      hclog.Logger
	board    *blackboard.Board
	runtime  *Runtime
	metrics  *daemonMetrics
	work     *workQueues
	platform *store.Client
	upstream *upstream.Client
	outcomes *outcome.Store

	// links carry messages to other hosts. They are nil where listen.peers is empty.
	links *peer.Links
	fleet *fleetController
	// incarnation grows with each start, since hosts keep nothing.
	incarnation uint64
	// freshUntil is until when the configuration may be taken to be in force.
	freshUntil atomic.Pointer[time.Time]
	leases     *leaseKeeper

	callers   net.Listener
	operators net.Listener

	// announceMu orders announcements, so that none follows the withdrawal.
	announceMu sync.Mutex
	withdrawn  bool

	drainOnce sync.Once
	draining  chan struct{}
}

// New returns a host that listens but does not yet serve.
func New(s *settings.Settings, log hclog.Logger) (*Daemon, error) {
	d := &Daemon{
		settings: s,
		log:      log.With("host", s.Host, "zone", s.Zone),
		board:    blackboard.New(),
		work:     newWorkQueues(),
		platform: store.NewClient(s.Platform.URL, time.Duration(s.Platform.Timeout)),
		upstream: upstream.NewClient(),
		draining: make(chan struct{}),

		incarnation: uint64(time.Now().UnixMilli()),
	}
	d.outcomes = outcome.New(d.platform, d.platform.Objects())
	c := core.New(core.Options{
		Board: d.board, Limiter: newLimiter(s), Scheduler: newScheduler(s),
		Host: s.Host, Random: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	})
	d.leases = newLeaseKeeper(d.platform, s.Host, time.Now)
	var err error
	if d.metrics, err = newDaemonMetrics(); err != nil {
		return nil, eris.Wrap(err, "metrics")
	}
	d.runtime = newRuntime(d.log, d.metrics, c, d.work, d.send)
	if err := d.metrics.watch(d.board, d.runtime.InFlight); err != nil {
		return nil, eris.Wrap(err, "metrics")
	}
	d.platform.ObserveErrors(d.metrics.storeFailed)
	var listen net.ListenConfig
	if d.callers, err = listen.Listen(context.Background(), "tcp", s.Listen.Callers); err != nil {
		return nil, eris.Wrap(err, "listen.callers")
	}
	if d.operators, err = listen.Listen(context.Background(), "tcp", s.Listen.Operators); err != nil {
		_ = d.callers.Close()
		return nil, eris.Wrap(err, "listen.operators")
	}
	if err := d.listenPeers(); err != nil {
		_ = d.callers.Close()
		_ = d.operators.Close()
		return nil, err
	}
	d.fleet = newFleetController(d, d.entry())
	if err := d.watchFleet(); err != nil {
		return nil, eris.Wrap(err, "metrics")
	}
	return d, nil
}

// CallerURL returns where callers connect.
func (d *Daemon) CallerURL() string {
	if d.settings.Advertise.Callers != "" {
		return d.settings.Advertise.Callers
	}
	return "http://" + d.callers.Addr().String()
}

// OperatorURL returns where operators connect.
func (d *Daemon) OperatorURL() string {
	return "http://" + d.operators.Addr().String()
}

// Drain starts a graceful shutdown. Run returns once every request has ended.
func (d *Daemon) Drain() {
	d.drainOnce.Do(func() { close(d.draining) })
}

// InterruptedError says how many requests were cut because a host was ended at once, or
// because they ran on after the shutdown's timeout.
type InterruptedError struct{ Requests int }

// Error implements the error interface.
func (e *InterruptedError) Error() string {
	return fmt.Sprintf("%d requests were cut", e.Requests)
}

// Run serves until the context ends, which cuts what still runs, or until a
// graceful shutdown is complete. Where requests were cut, the error is a
// InterruptedError.
func (d *Daemon) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	callers := d.callerServer()
	operators := &http.Server{Handler: d.operatorHandler(), ReadHeaderTimeout: gateway.DefaultReadTimeout}
	var group sync.WaitGroup
	group.Go(func() { _ = callers.Serve(d.callers) })
	group.Go(func() { _ = operators.Serve(d.operators) })
	group.Go(func() { d.work.run(ctx, d.carryOut) })
	if d.links != nil {
		group.Go(func() { d.links.Run(ctx) })
	}
	group.Go(func() { d.tick(ctx) })
	group.Go(func() { d.fleet.run(ctx) })
	group.Go(func() { d.watchConfig(ctx) })
	group.Go(func() { d.watchHosts(ctx) })
	group.Go(func() { d.watchUpstreams(ctx) })
	group.Go(func() { d.sweepOutcomes(ctx) })
	d.log.Info("serving", "callers", d.CallerURL(), "operators", d.OperatorURL())
	select {
	case <-ctx.Done():
	case <-d.draining:
		d.shutdown(ctx, callers)
	}
	cut := d.runtime.InFlight()
	_ = callers.Close()
	_ = operators.Close()
	cancel()
	group.Wait()
	if cut > 0 {
		d.log.Warn("stopped, requests cut", "count", cut)
		return &InterruptedError{Requests: cut}
	}
	d.log.Info("stopped")
	return nil
}

func (d *Daemon) callerServer() *http.Server {
	r := d.settings.Requests
	handler := gateway.New(gateway.Options{
		Log: d.log, Runtime: d.runtime, Board: d.board, UpstreamCaller: d.upstream, Ready: d.ready, KeyClaims: d.outcomes,
		Limits: gateway.Limits{
			MaxBodyBytes: r.MaxBodyBytes, MaxHeaderBytes: r.MaxHeaderBytes,
			RequestTimeout: time.Duration(r.Timeout),
			WriteTimeout:   time.Duration(r.WriteTimeout),
		},
	})
	return &http.Server{
		Handler:        handler,
		ReadTimeout:    time.Duration(r.ReadTimeout),
		IdleTimeout:    callerIdleTimeout,
		MaxHeaderBytes: r.MaxHeaderBytes,
	}
}

// ready reports whether the host may be given callers.
func (d *Daemon) ready() bool {
	until := d.freshUntil.Load()
	fresh := until != nil && time.Now().Before(*until)
	return !d.isDraining() && d.board.Config.Snapshot().Revision > 0 && fresh
}

func (d *Daemon) isDraining() bool {
	select {
	case <-d.draining:
		return true
	default:
		return false
	}
}

// shutdown tells the other hosts first, so that callers are no longer sent
// here. It waits until callers no longer keep an answer that names this host,
// and then until every request has ended.
func (d *Daemon) shutdown(ctx context.Context, callers *http.Server) {
	d.log.Info("draining", "in_flight", d.runtime.InFlight())
	ctx, cancel := context.WithTimeout(ctx, time.Duration(d.settings.Drain.Timeout))
	defer cancel()
	d.fleet.leave()
	if err := d.announce(ctx); err != nil {
		d.log.Warn("host list not told of the shutdown", "error", err)
	}
	d.runtime.Handle(core.LeaveStarted{})
	sleep(ctx, time.Duration(d.settings.Drain.LocateWait))
	d.runtime.Handle(core.DrainStarted{})
	if err := callers.Shutdown(ctx); err != nil {
		d.log.Warn("requests still run", "count", d.runtime.InFlight(), "reason", err)
	} else {
		d.settleOutcomes(ctx)
	}
	d.fleet.leaveForGood()
	withdraw, stop := context.WithTimeout(context.Background(), time.Duration(d.settings.Platform.Timeout))
	defer stop()
	if err := d.withdraw(withdraw); err != nil {
		d.log.Warn("host not withdrawn from the host list", "error", err)
	}
}

func (d *Daemon) tick(ctx context.Context) {
	every(ctx, core.TickInterval, func() { d.runtime.Handle(core.Tick{}) })
}

// every calls f at once and then at each interval until the context ends.
func every(ctx context.Context, interval time.Duration, f func()) {
	t := time.NewTicker(interval)
	defer t.Stop()
	for {
		f()
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

// sleep waits for d or for the context's end.
func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
