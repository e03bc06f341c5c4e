// Package daemon assembles a host: its listeners, the runtime that drives the core, and the controllers
// that poll the platform and the upstreams.
package daemon

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/rotisserie/eris"

	"github.com/jasminelock/jasminelock/blackboard"
	"github.com/jasminelock/jasminelock/core"
	"github.com/jasminelock/jasminelock/drain"
	"github.com/jasminelock/jasminelock/gateway"
	"github.com/jasminelock/jasminelock/intake/callers"
	"github.com/jasminelock/jasminelock/outcome"
	"github.com/jasminelock/jasminelock/peer"
	"github.com/jasminelock/jasminelock/settings"
	"github.com/jasminelock/jasminelock/store"
	"github.com/jasminelock/jasminelock/upstream"
)

// callerIdleTimeout is how long an idle connection of a caller is kept open.
const callerIdleTimeout = 2 * time.Minute

// memoryLimitShare is the share of the process's memory that is set as the soft memory limit of the Go runtime, if the memory is
// stated. Near it the garbage collector runs more often.
const memoryLimitShare = 0.6

// outcomeMemoryDivisor is the memory of the process, if it is stated, over that for remembered claims of idempotency keys.
const outcomeMemoryDivisor = 16

// Daemon is one host.
type Daemon struct {
	settings       *settings.Settings
	log            hclog.Logger
	board          *blackboard.Board
	runtime        *Runtime
	metrics        *daemonMetrics
	work           *workQueues
	platform       *store.Client
	upstreamClient *upstream.Client
	outcomes       *outcome.Store
	restores       restoreRecord

	// links carries messages to other hosts. It is nil if listen.peers is empty.
	links *peer.Links
	fleet *fleetController
	// incarnation is the start time in Unix milliseconds. Hosts keep no state across restarts, so the
	// clock provides a number that increases with each start.
	incarnation uint64
	// freshUntil is the time at which the configuration stops counting as confirmed to be in force. It
	// is nil before the first confirmation.
	freshUntil atomic.Pointer[time.Time]
	leases     *leaseKeeper

	callerListener net.Listener
	// callers admits the connections and requests of callers, operators the connections of operators.
	callers, operators *callers.Gate
	operatorListener   net.Listener

	// announceMu serialises announcements and the withdrawal, so that no announcement follows the
	// withdrawal. It guards withdrawn.
	announceMu sync.Mutex
	withdrawn  bool

	drainOnce    sync.Once
	drainStarted chan struct{}
	// stopping ends when the requests that still run must get their final answer.
	stopping context.Context
	stop     context.CancelFunc
}

// New returns a host whose listeners are open but do not serve before Run. It returns an error if the
// metrics cannot be registered, the certificates cannot be read or an address cannot be listened on.
func New(s *settings.Settings, log hclog.Logger) (*Daemon, error) {
	d := &Daemon{
		settings:       s,
		log:            log.With("host", s.Host, "zone", s.Zone),
		board:          blackboard.New(),
		work:           newWorkQueues(),
		platform:       store.NewClient(s.Platform.URL, time.Duration(s.Platform.Timeout)),
		upstreamClient: upstream.NewClient(),
		drainStarted:   make(chan struct{}),

		incarnation: uint64(time.Now().UnixMilli()),
	}
	limits, err := callers.LimitsOf(d.log, s.MemoryMB, s.Descriptors, s.Callers.Shares())
	if err != nil {
		return nil, eris.Wrap(err, "limits of the process")
	}
	limits = limits.Fitting(gateway.LargestRequestBytes(s.Requests.MaxBodyBytes))
	d.callers, d.operators = callers.NewGate(limits), callers.NewOperatorGate()
	if s.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(memoryLimitShare * float64(s.MemoryMB) * (1 << 20)))
	}
	d.stopping, d.stop = context.WithCancel(context.Background())
	d.outcomes = outcome.New(d.platform, d.platform.Objects())
	if s.MemoryMB > 0 {
		d.outcomes.LimitMemory(int64(s.MemoryMB) << 20 / outcomeMemoryDivisor)
	}
	c := core.New(core.Options{
		Board: d.board, Limiter: newLimiter(s), Scheduler: newScheduler(s),
		Host: s.Host, Random: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	})
	d.leases = newLeaseKeeper(d.platform, s.Host, time.Now)
	if d.metrics, err = newDaemonMetrics(); err != nil {
		return nil, eris.Wrap(err, "metrics")
	}
	d.runtime = newRuntime(d.log, d.metrics, c, d.work, d.send)
	if err := errors.Join(d.metrics.registerGauges(d.board, d.runtime.InFlight), d.callers.RegisterMetrics(d.metrics.provider.Meter("daemon"))); err != nil {
		return nil, eris.Wrap(err, "metrics")
	}
	d.platform.ObserveErrors(d.metrics.countStoreError)
	var listen net.ListenConfig
	if d.callerListener, err = listen.Listen(context.Background(), "tcp", s.Listen.Callers); err != nil {
		return nil, eris.Wrap(err, "listen.callers")
	}
	d.callerListener = d.callers.Listen(d.callerListener)
	if d.operatorListener, err = listen.Listen(context.Background(), "tcp", s.Listen.Operators); err != nil {
		_ = d.callerListener.Close()
		return nil, eris.Wrap(err, "listen.operators")
	}
	d.operatorListener = d.operators.Listen(d.operatorListener)
	if err := d.listenPeers(); err != nil {
		_ = d.callerListener.Close()
		_ = d.operatorListener.Close()
		return nil, err
	}
	d.fleet = newFleetController(d, d.entry())
	if err := errors.Join(d.registerFleetMetrics(), d.registerStoreMetrics()); err != nil {
		return nil, eris.Wrap(err, "metrics")
	}
	return d, nil
}

// CallerURL returns the URL at which callers reach this host.
func (d *Daemon) CallerURL() string {
	if d.settings.Advertise.Callers != "" {
		return d.settings.Advertise.Callers
	}
	return "http://" + d.callerListener.Addr().String()
}

// OperatorURL returns the URL at which operators reach this host.
func (d *Daemon) OperatorURL() string {
	return "http://" + d.operatorListener.Addr().String()
}

// Drain starts a graceful shutdown. Run returns once every request has ended or the drain timeout has
// passed. Further calls have no effect.
func (d *Daemon) Drain() {
	d.drainOnce.Do(func() { close(d.drainStarted) })
}

// InterruptedError is the error of Run if it interrupted requests, because its context ended or because they
// were still running after the drain timeout. Requests is their number.
type InterruptedError struct{ Requests int }

// Error implements the error interface.
func (e *InterruptedError) Error() string {
	return fmt.Sprintf("%d requests were interrupted", e.Requests)
}

// Run serves until the context ends, which interrupts the requests in flight, or until a graceful
// shutdown is complete. It returns an InterruptedError if requests were interrupted.
func (d *Daemon) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	handler := d.callerHandler()
	callerServer := d.callerServer(handler)
	operators := &http.Server{Handler: callers.Handler(d.operatorHandler()), ReadHeaderTimeout: gateway.DefaultReadTimeout}
	d.operators.Attach(operators)
	var group sync.WaitGroup
	group.Go(func() { _ = callerServer.Serve(d.callerListener) })
	group.Go(func() { _ = operators.Serve(d.operatorListener) })
	group.Go(func() { d.work.run(ctx, d.execute) })
	if d.links != nil {
		group.Go(func() { d.links.Run(ctx) })
	}
	group.Go(func() { d.tick(ctx) })
	group.Go(func() { d.fleet.run(ctx) })
	group.Go(func() { d.watchConfig(ctx) })
	group.Go(func() { d.watchHosts(ctx) })
	group.Go(func() { d.watchUpstreams(ctx) })
	group.Go(func() { d.sweepOutcomes(ctx) })
	group.Go(func() { d.watchEra(ctx) })
	d.log.Info("serving", "callers", d.CallerURL(), "operators", d.OperatorURL())
	select {
	case <-ctx.Done():
	case <-d.drainStarted:
		d.finishRequests(ctx, handler)
	}
	interrupted := d.interruptRequests(handler)
	if d.isDraining() {
		d.leave()
	}
	_ = callerServer.Close()
	_ = operators.Close()
	cancel()
	group.Wait()
	if interrupted > 0 {
		d.log.Warn("stopped; requests in flight were interrupted", "count", interrupted)
		return &InterruptedError{Requests: interrupted}
	}
	d.log.Info("stopped")
	return nil
}

func (d *Daemon) callerHandler() *gateway.Server {
	r := d.settings.Requests
	return gateway.New(gateway.Options{
		Leaving: d.isDraining, Stopping: d.stopping,
		Log: d.log, Runtime: d.runtime, Board: d.board, UpstreamCaller: d.upstreamClient, Ready: d.ready, KeyClaims: d.outcomes,
		Limits: gateway.Limits{
			MaxBodyBytes: r.MaxBodyBytes, MaxHeaderBytes: r.MaxHeaderBytes,
			RequestTimeout: time.Duration(r.Timeout),
			WriteTimeout:   time.Duration(r.WriteTimeout),
		},
	})
}

func (d *Daemon) callerServer(handler http.Handler) *http.Server {
	r := d.settings.Requests
	server := &http.Server{
		Handler:        handler,
		ReadTimeout:    time.Duration(r.ReadTimeout),
		IdleTimeout:    callerIdleTimeout,
		MaxHeaderBytes: r.MaxHeaderBytes,
	}
	d.callers.Attach(server)
	return server
}

// ready reports whether callers may be sent to this host: it has a configuration that is confirmed to be
// in force and is not draining.
func (d *Daemon) ready() bool {
	until := d.freshUntil.Load()
	fresh := until != nil && time.Now().Before(*until)
	return !d.isDraining() && d.board.Config.Snapshot().Revision > 0 && fresh
}

func (d *Daemon) isDraining() bool {
	select {
	case <-d.drainStarted:
		return true
	default:
		return false
	}
}

// finishRequests first announces to the other hosts and on the host list that this host is leaving, so that
// callers are no longer sent here. It waits for the settings' locate_wait, after which no caller uses a
// cached answer that names this host, and then until every request has ended or the drain timeout has
// passed. Requests that arrive on open connections meanwhile are refused.
func (d *Daemon) finishRequests(ctx context.Context, handler *gateway.Server) {
	d.log.Info("draining", "in_flight", d.runtime.InFlight())
	until := time.Now().Add(time.Duration(d.settings.Drain.Timeout))
	ctx, cancel := context.WithDeadline(ctx, until)
	defer cancel()
	d.fleet.announceLeaving()
	if err := d.announce(ctx); err != nil {
		d.log.Warn("shutdown not announced on the host list", "error", err)
	}
	d.runtime.Handle(core.LeaveStarted{Until: until})
	sleep(ctx, time.Duration(d.settings.Drain.LocateWait))
	d.runtime.Handle(core.DrainStarted{})
	if err := d.callerListener.Close(); err != nil {
		d.log.Warn("listener for callers not closed; it is closed with the process", "error", err)
	}
	drain.AwaitQuiet(ctx, handler.Running)
	if ctx.Err() != nil {
		d.log.Warn("graceful shutdown incomplete; the remaining requests are interrupted", "count", d.runtime.InFlight(), "reason", context.Cause(ctx))
		return
	}
	d.waitForOutcomes(ctx)
}

// answerTime is how long this host waits for the requests that it interrupts to get their final answer. It exceeds the time
// that an engine gets to cancel a stream.
const answerTime = 2 * time.Second

// interruptRequests ends the requests that still run, each with an answer that says whether it may have run, and returns
// their number.
func (d *Daemon) interruptRequests(handler *gateway.Server) int {
	interrupted := d.runtime.InFlight()
	d.runtime.Handle(core.StopStarted{})
	d.stop()
	for end := time.Now().Add(answerTime); handler.Running() > 0 && time.Now().Before(end); {
		time.Sleep(answerTime / 200)
	}
	return interrupted
}

// leave announces that this host has left, and removes it from the host list.
func (d *Daemon) leave() {
	d.fleet.announceLeft()
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(d.settings.Platform.Timeout))
	defer cancel()
	if err := d.withdraw(ctx); err != nil {
		d.log.Warn("host not removed from the host list; its entry stays until it expires", "error", err)
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

// sleep waits for d or until the context ends.
func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
