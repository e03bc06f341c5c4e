// Package demo runs a whole deployment in one process on loopback: entry hosts in
// three zones, and stand-ins for the platform, model engines and a plain service.
// It demonstrates and checks the main functions, or keeps running for trials.
package demo

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/hashicorp/go-hclog"

	"github.com/jasminelock/jasminelock/configstore"
	"github.com/jasminelock/jasminelock/daemon"
	"github.com/jasminelock/jasminelock/record"
	"github.com/jasminelock/jasminelock/settings"
	"github.com/jasminelock/jasminelock/standin"
	"github.com/jasminelock/jasminelock/standin/engine"
	platformstandin "github.com/jasminelock/jasminelock/standin/platform"
	"github.com/jasminelock/jasminelock/standin/service"
	"github.com/jasminelock/jasminelock/store"
)

// The size of the deployment: numbers of hosts and engines, adapter slots of an
// engine, and weight fetches that run at full speed at once.
const (
	hostCount        = 6
	engineCount      = 4
	adapterSlots     = 8
	loadsAtFullSpeed = 8
)

// Durations of the stand-ins' work, time limits, and intervals.
const (
	loadTime       = 100 * time.Millisecond
	firstTokenTime = 20 * time.Millisecond
	tokenTime      = 30 * time.Millisecond
	serviceTime    = 5 * time.Millisecond
	locateWait     = 500 * time.Millisecond
	requestTimeout = 20 * time.Second
	drainTimeout   = 30 * time.Second
	startTimeout   = 20 * time.Second
	pollInterval   = 50 * time.Millisecond
	// configInterval is the interval at which a host reads the configuration's head.
	configInterval = 500 * time.Millisecond
)

var zones = []string{"a", "b", "c"}

// host is an entry host that runs in this process.
type host struct {
	name    string
	daemon  *daemon.Daemon
	stopped chan struct{}
	// err is the result of the host's Run. It is set before stopped is closed.
	err error
}

// cluster is a whole deployment.
type cluster struct {
	platformServer *standin.Server
	// platformStandin is the platform stand-in, whose weight store can be slowed down.
	platformStandin *platformstandin.Platform
	engines         []*engine.Engine
	service         *service.Service
	servers         []*standin.Server
	upstreams       []upstreamServer
	hosts           []*host
	store           *store.Client
	// configInterval is the interval at which each host reads the configuration's
	// head.
	configInterval time.Duration
	cancel         context.CancelFunc
	hostGroup      sync.WaitGroup
}

// upstreamServer is an upstream as it is written to the records.
type upstreamServer struct {
	name, class, zone, url string
}

// start starts a deployment and waits until every host is ready.
func start(ctx context.Context, log hclog.Logger, configInterval time.Duration) (*cluster, error) {
	ctx, cancel := context.WithCancel(ctx)
	c := &cluster{cancel: cancel, configInterval: configInterval}
	if err := c.startAll(ctx, log); err != nil {
		c.stop()
		return nil, err
	}
	return c, nil
}

func (c *cluster) startAll(ctx context.Context, log hclog.Logger) error {
	if err := c.startPlatform(); err != nil {
		return err
	}
	if err := c.startUpstreams(); err != nil {
		return err
	}
	if _, err := c.writeRecords(ctx, deployment(c.upstreams)); err != nil {
		return err
	}
	for i := range hostCount {
		if err := c.startHost(ctx, log, i); err != nil {
			return err
		}
	}
	return c.waitReady(ctx)
}

func (c *cluster) startPlatform() error {
	c.platformStandin = platformstandin.New()
	c.platformStandin.SetWeightLimits(platformstandin.WeightLimits{FetchTime: loadTime, MaxFullSpeed: loadsAtFullSpeed})
	server, err := c.serve(c.platformStandin)
	if err != nil {
		return err
	}
	c.platformServer = server
	c.store = store.NewClient(server.URL, store.DefaultTimeout)
	return nil
}

func (c *cluster) startUpstreams() error {
	for i := range engineCount {
		e := engine.New(engine.Settings{
			Model: modelName, AdapterSlots: adapterSlots, WeightStore: c.platformServer.URL,
			FirstTokenTime: firstTokenTime, TokenTime: tokenTime, ChecksFence: i%2 == 0,
		})
		server, err := c.serve(e)
		if err != nil {
			return err
		}
		c.engines = append(c.engines, e)
		c.upstreams = append(c.upstreams, upstreamServer{fmt.Sprintf("engine-%d", i+1), string(record.ClassEngine), zones[i%len(zones)], server.URL})
	}
	c.service = service.New(serviceTime)
	server, err := c.serve(c.service)
	if err != nil {
		return err
	}
	c.upstreams = append(c.upstreams, upstreamServer{"orders-1", string(record.ClassService), zones[0], server.URL})
	return nil
}

func (c *cluster) serve(h http.Handler) (*standin.Server, error) {
	server, err := standin.Serve("127.0.0.1:0", h)
	if err == nil {
		c.servers = append(c.servers, server)
	}
	return server, err
}

func (c *cluster) startHost(ctx context.Context, log hclog.Logger, i int) error {
	zone := zones[i%len(zones)]
	s, err := hostSettings(fmt.Sprintf("%s%d", zone, i/len(zones)+1), zone, c.platformServer.URL, c.configInterval)
	if err != nil {
		return err
	}
	d, err := daemon.New(s, log)
	if err != nil {
		return err
	}
	h := &host{name: s.Host, daemon: d, stopped: make(chan struct{})}
	c.hosts = append(c.hosts, h)
	c.hostGroup.Go(func() {
		defer close(h.stopped)
		h.err = d.Run(ctx)
	})
	return nil
}

// hostSettings returns a host's settings. They are parsed like a settings file, which
// sets the defaults and validates them.
func hostSettings(name, zone, platformURL string, configInterval time.Duration) (*settings.Settings, error) {
	text := fmt.Sprintf(`{
		"host": %q, "zone": %q,
		"listen": {"callers": "127.0.0.1:0", "operators": "127.0.0.1:0", "peers": "127.0.0.1:0"},
		"platform": {"url": %q, "poll_interval": %q},
		"fleet": {"hosts": %d},
		"requests": {"timeout": %q},
		"drain": {"locate_wait": %q, "timeout": %q},
	}`, name, zone, platformURL, configInterval, hostCount, requestTimeout, locateWait, drainTimeout)
	return settings.Parse("demo", []byte(text))
}

// waitReady waits until every host is ready and sees every host in the host list.
func (c *cluster) waitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for {
		if c.allReady() {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.New("the hosts were not ready in time")
		case <-time.After(pollInterval):
		}
	}
}

func (c *cluster) allReady() bool {
	for _, h := range c.hosts {
		s := h.daemon.Status()
		if !s.Ready || len(s.Hosts) < len(c.hosts) {
			return false
		}
		for _, seen := range s.Hosts {
			if seen.Leaving {
				return false
			}
		}
	}
	return true
}

// writeRecords writes the records in one change, as an operator does, and returns the revision.
func (c *cluster) writeRecords(ctx context.Context, records []record.Envelope) (int64, error) {
	change := configstore.Change{Operation: uuid.NewString(), Operator: "demo", Time: time.Now().UTC().Format(time.RFC3339), Records: records}
	return configstore.Write(ctx, c.store, change)
}

// stop stops the hosts, then the stand-ins.
func (c *cluster) stop() {
	c.cancel()
	c.hostGroup.Wait()
	for _, s := range c.servers {
		s.Close()
	}
}
