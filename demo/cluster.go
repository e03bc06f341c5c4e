// Package demo runs a whole deployment in one process on loopback: entry hosts
// over three zones, and stand-ins for the platform, model engines and a plain
// service. It shows the main job, checks it, and can stay up for trials.
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

// Sizes of the deployment.
const (
	hostCount        = 6
	engineCount      = 4
	slots            = 8
	loadsAtFullSpeed = 8
)

// Times of the deployment.
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
	// configInterval is how often a host reads the configuration's head.
	configInterval = 500 * time.Millisecond
)

var zones = []string{"a", "b", "c"}

// host is one entry host that runs in this process.
type host struct {
	name    string
	daemon  *daemon.Daemon
	stopped chan struct{}
	// err is how the host ended, once stopped is closed.
	err error
}

// cluster is a whole deployment.
type cluster struct {
	platform *standin.Server
	// weights is the platform's stand-in, whose weight store can be slowed.
	weights  *platformstandin.Platform
	engines  []*engine.Engine
	service  *service.Service
	servers  []*standin.Server
	upstream []upstreamServer
	hosts    []*host
	store    *store.Client
	// configInterval is how often each host reads the configuration's head.
	configInterval time.Duration
	cancel         context.CancelFunc
	running        sync.WaitGroup
}

// upstreamServer is one upstream's name in the records and its address.
type upstreamServer struct {
	name, class, zone, url string
}

// start brings a deployment up and waits until every host is ready.
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
	if _, err := c.write(ctx, deployment(c.upstream)); err != nil {
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
	c.weights = platformstandin.New()
	c.weights.SetWeightLimits(platformstandin.WeightLimits{FetchTime: loadTime, MaxFullSpeed: loadsAtFullSpeed})
	server, err := c.serve(c.weights)
	if err != nil {
		return err
	}
	c.platform = server
	c.store = store.NewClient(server.URL, store.DefaultTimeout)
	return nil
}

func (c *cluster) startUpstreams() error {
	for i := range engineCount {
		e := engine.New(engine.Settings{
			Model: modelName, AdapterSlots: slots, WeightStore: c.platform.URL,
			FirstTokenTime: firstTokenTime, TokenTime: tokenTime, ChecksFence: i%2 == 0,
		})
		server, err := c.serve(e)
		if err != nil {
			return err
		}
		c.engines = append(c.engines, e)
		c.upstream = append(c.upstream, upstreamServer{fmt.Sprintf("engine-%d", i+1), string(record.ClassEngine), zones[i%len(zones)], server.URL})
	}
	c.service = service.New(serviceTime)
	server, err := c.serve(c.service)
	if err != nil {
		return err
	}
	c.upstream = append(c.upstream, upstreamServer{"orders-1", string(record.ClassService), zones[0], server.URL})
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
	s, err := hostSettings(fmt.Sprintf("%s%d", zone, i/len(zones)+1), zone, c.platform.URL, c.configInterval)
	if err != nil {
		return err
	}
	d, err := daemon.New(s, log)
	if err != nil {
		return err
	}
	h := &host{name: s.Host, daemon: d, stopped: make(chan struct{})}
	c.hosts = append(c.hosts, h)
	c.running.Go(func() {
		defer close(h.stopped)
		h.err = d.Run(ctx)
	})
	return nil
}

// hostSettings returns a host's settings, completed and checked as those of a
// file are.
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

// waitReady waits until every host serves and is on the host list.
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

// write writes records as an operator does and returns their revision.
func (c *cluster) write(ctx context.Context, records []record.Envelope) (int64, error) {
	change := configstore.Change{Operation: uuid.NewString(), Operator: "demo", Time: time.Now().UTC().Format(time.RFC3339), Records: records}
	return configstore.Write(ctx, c.store, change)
}

// stop ends everything, the hosts first.
func (c *cluster) stop() {
	c.cancel()
	c.running.Wait()
	for _, s := range c.servers {
		s.Close()
	}
}
