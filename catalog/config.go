package catalog

import (
	"slices"
	"strings"
	"time"
)

// Config is one version of the operator's configuration.
type Config struct {
	Version       int64
	Limits        Limits
	services      map[string]*Service
	routes        map[string][]*Route
	organisations map[string]*Organisation
	keys          map[string]*Organisation
	routeCount    int
	// longestPauses holds the least LongestPause of the routes to each service.
	longestPauses map[string]time.Duration
}

// ConfigParts are what a Config is built from.
type ConfigParts struct {
	Version       int64
	Limits        Limits
	Routes        []Route
	Services      []Service
	Organisations []Organisation
}

// NewConfig indexes the parts, which must not be changed afterwards.
func NewConfig(p ConfigParts) *Config {
	c := &Config{
		Version: p.Version, Limits: p.Limits, services: map[string]*Service{}, routes: map[string][]*Route{},
		organisations: map[string]*Organisation{}, keys: map[string]*Organisation{}, routeCount: len(p.Routes),
		longestPauses: map[string]time.Duration{},
	}
	for i := range p.Services {
		c.services[p.Services[i].Name] = &p.Services[i]
	}
	for i := range p.Routes {
		r := &p.Routes[i]
		name := strings.ToLower(r.HostName)
		c.routes[name] = append(c.routes[name], r)
		c.notePause(r)
	}
	for _, routes := range c.routes {
		slices.SortStableFunc(routes, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	for i := range p.Organisations {
		o := &p.Organisations[i]
		c.organisations[o.Name] = o
		for _, key := range o.Keys {
			c.keys[key] = o
		}
	}
	return c
}

func (c *Config) notePause(r *Route) {
	for _, b := range r.Backends {
		if least, ok := c.longestPauses[b.Service]; r.MaxEventGap > 0 && (!ok || r.MaxEventGap < least) {
			c.longestPauses[b.Service] = r.MaxEventGap
		}
	}
}

// MaxEventGap returns how long two events of a stream of a service may be apart by
// the strictest of its routes, 0 where none says.
func (c *Config) MaxEventGap(service string) time.Duration { return c.longestPauses[service] }

// Route returns the route of a host name and a path, nil where there is none.
// Of several, the one with the longest prefix goes first.
func (c *Config) Route(hostName, path string) *Route {
	name := strings.ToLower(hostName)
	if i := strings.LastIndexByte(name, ':'); i >= 0 && !strings.HasSuffix(name, "]") {
		name = name[:i]
	}
	for _, r := range c.routes[name] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Service returns a service, nil where there is none of the name.
func (c *Config) Service(name string) *Service { return c.services[name] }

// Services calls f for each service, in no order.
func (c *Config) Services(f func(*Service)) {
	for _, s := range c.services {
		f(s)
	}
}

// Organisation returns an organisation, nil where there is none of the name.
func (c *Config) Organisation(name string) *Organisation { return c.organisations[name] }

// Organisations calls f for each organisation, in no order.
func (c *Config) Organisations(f func(*Organisation)) {
	for _, o := range c.organisations {
		f(o)
	}
}

// KeyOwner returns the organisation that holds a key, nil where none does.
func (c *Config) KeyOwner(key string) *Organisation { return c.keys[key] }

// NeedsKeys reports whether requests carry keys at all.
func (c *Config) NeedsKeys() bool { return len(c.organisations) > 0 }

// RouteCount returns how many routes there are.
func (c *Config) RouteCount() int { return c.routeCount }

// PickService returns the service for a request. The draw is in [0, 1).
func (r *Route) PickService(draw float64) string {
	total := 0.0
	for _, b := range r.Backends {
		total += b.Weight
	}
	at := draw * total
	for _, b := range r.Backends {
		if at < b.Weight {
			return b.Service
		}
		at -= b.Weight
	}
	if len(r.Backends) == 0 {
		return ""
	}
	return r.Backends[len(r.Backends)-1].Service
}
