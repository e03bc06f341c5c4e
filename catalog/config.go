package catalog

import (
	"slices"
	"strings"
	"time"
)

// Config is one version of the operator's configuration, indexed for look-ups.
type Config struct {
	Version       int64
	Limits        Limits
	services      map[string]*Service
	routes        map[string][]*Route
	organisations map[string]*Organisation
	keyOwners     map[string]*Organisation
	routeCount    int
	// maxEventGaps holds, for each service, the smallest MaxEventGap of its routes.
	maxEventGaps map[string]time.Duration
}

// ConfigParts holds the records from which NewConfig builds a Config.
type ConfigParts struct {
	Version       int64
	Limits        Limits
	Routes        []Route
	Services      []Service
	Organisations []Organisation
}

// NewConfig returns a Config that indexes the parts, which must not be modified afterwards.
func NewConfig(p ConfigParts) *Config {
	c := &Config{
		Version: p.Version, Limits: p.Limits, services: map[string]*Service{}, routes: map[string][]*Route{},
		organisations: map[string]*Organisation{}, keyOwners: map[string]*Organisation{}, routeCount: len(p.Routes),
		maxEventGaps: map[string]time.Duration{},
	}
	for i := range p.Services {
		c.services[p.Services[i].Name] = &p.Services[i]
	}
	for i := range p.Routes {
		r := &p.Routes[i]
		name := strings.ToLower(r.HostName)
		c.routes[name] = append(c.routes[name], r)
		c.recordEventGap(r)
	}
	for _, routes := range c.routes {
		slices.SortStableFunc(routes, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	for i := range p.Organisations {
		o := &p.Organisations[i]
		c.organisations[o.Name] = o
		for _, key := range o.Keys {
			c.keyOwners[key] = o
		}
	}
	return c
}

// recordEventGap lowers maxEventGaps for the services of a route to the MaxEventGap of the route.
func (c *Config) recordEventGap(r *Route) {
	for _, b := range r.Backends {
		if smallest, ok := c.maxEventGaps[b.Service]; r.MaxEventGap > 0 && (!ok || r.MaxEventGap < smallest) {
			c.maxEventGaps[b.Service] = r.MaxEventGap
		}
	}
}

// MaxEventGap returns the largest permitted gap between two events of a stream of a service,
// by the strictest of its routes, 0 if none sets one.
func (c *Config) MaxEventGap(service string) time.Duration { return c.maxEventGaps[service] }

// Route returns the route for a host name, with or without a port, and a path. It returns nil
// if there is none. The longest matching prefix wins.
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

// Service returns the service with a name, nil if there is none.
func (c *Config) Service(name string) *Service { return c.services[name] }

// Services calls f for each service, in unspecified order.
func (c *Config) Services(f func(*Service)) {
	for _, s := range c.services {
		f(s)
	}
}

// Organisation returns the organisation with a name, nil if there is none.
func (c *Config) Organisation(name string) *Organisation { return c.organisations[name] }

// Organisations calls f for each organisation, in unspecified order.
func (c *Config) Organisations(f func(*Organisation)) {
	for _, o := range c.organisations {
		f(o)
	}
}

// KeyOwner returns the organisation that owns a key, nil if there is none.
func (c *Config) KeyOwner(key string) *Organisation { return c.keyOwners[key] }

// NeedsKeys reports whether requests have to carry keys: whether any organisation is configured.
func (c *Config) NeedsKeys() bool { return len(c.organisations) > 0 }

// RouteCount returns the number of routes.
func (c *Config) RouteCount() int { return c.routeCount }

// PickService returns the service for a request, chosen by weight with a random draw in [0, 1). It
// returns "" for a route without backends.
func (r *Route) PickService(draw float64) string {
	total := 0.0
	for _, b := range r.Backends {
		total += b.Weight
	}
	remaining := draw * total
	for _, b := range r.Backends {
		if remaining < b.Weight {
			return b.Service
		}
		remaining -= b.Weight
	}
	if len(r.Backends) == 0 {
		return ""
	}
	return r.Backends[len(r.Backends)-1].Service
}
