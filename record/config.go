package record

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// Config is the compiled configuration of one revision. It is immutable: a
// change makes a new Config, which shares what did not change.
type Config struct {
	// Revision is the head that the configuration was read at.
	Revision int64

	organisations map[string]*Organisation
	keys          map[KeyHash]*Key
	keyNames      map[string]KeyHash
	rates         map[string]*Rate
	models        map[string]*Model
	adapters      map[string]*Adapter
	versions      map[AdapterRef]*Version
	upstreams     map[string]*Upstream
	routesByName  map[string]*Route
	routes        []*Route // longest prefix first
}

// NewConfig returns an empty configuration at revision 0.
func NewConfig() *Config {
	return &Config{
		organisations: map[string]*Organisation{},
		keys:          map[KeyHash]*Key{},
		keyNames:      map[string]KeyHash{},
		rates:         map[string]*Rate{},
		models:        map[string]*Model{},
		adapters:      map[string]*Adapter{},
		versions:      map[AdapterRef]*Version{},
		upstreams:     map[string]*Upstream{},
		routesByName:  map[string]*Route{},
	}
}

// Apply returns the configuration after the given records, at the given
// revision. The receiver is not changed. A record that cannot be decoded is
// left out and reported; the others take effect.
func (c *Config) Apply(revision int64, changes []Envelope) (*Config, []error) {
	next := c.clone()
	next.Revision = revision
	var problems []error
	for _, e := range changes {
		d, err := Decode(e)
		if err != nil {
			problems = append(problems, err)
			continue
		}
		next.put(e, d)
	}
	next.sortRoutes()
	return next, problems
}

func (c *Config) clone() *Config {
	return &Config{
		Revision:      c.Revision,
		organisations: maps.Clone(c.organisations),
		keys:          maps.Clone(c.keys),
		keyNames:      maps.Clone(c.keyNames),
		rates:         maps.Clone(c.rates),
		models:        maps.Clone(c.models),
		adapters:      maps.Clone(c.adapters),
		versions:      maps.Clone(c.versions),
		upstreams:     maps.Clone(c.upstreams),
		routesByName:  maps.Clone(c.routesByName),
	}
}

func (c *Config) put(e Envelope, d Decoded) {
	switch e.Kind {
	case KindOrganisation:
		setOrDelete(c.organisations, e.Name, d.Organisation)
	case KindKey:
		c.putKey(e.Name, d.Key)
	case KindRate:
		setOrDelete(c.rates, e.Name, d.Rate)
	case KindModel:
		setOrDelete(c.models, e.Name, d.Model)
	case KindAdapter:
		setOrDelete(c.adapters, e.Name, d.Adapter)
	case KindVersion:
		ref, _ := ParseAdapterRef(e.Name)
		setOrDelete(c.versions, ref, d.Version)
	case KindRoute:
		setOrDelete(c.routesByName, e.Name, d.Route)
	case KindUpstream:
		setOrDelete(c.upstreams, e.Name, d.Upstream)
	}
}

func (c *Config) putKey(name string, k *Key) {
	if old, ok := c.keyNames[name]; ok {
		delete(c.keys, old)
		delete(c.keyNames, name)
	}
	if k == nil {
		return
	}
	c.keys[k.Hash] = k
	c.keyNames[name] = k.Hash
}

func setOrDelete[K comparable, V any](m map[K]*V, key K, v *V) {
	if v == nil {
		delete(m, key)
		return
	}
	m[key] = v
}

func (c *Config) sortRoutes() {
	c.routes = slices.Collect(maps.Values(c.routesByName))
	slices.SortFunc(c.routes, func(a, b *Route) int {
		if len(a.Prefix) != len(b.Prefix) {
			return len(b.Prefix) - len(a.Prefix)
		}
		return strings.Compare(a.Name, b.Name)
	})
}

// Organisation returns the organisation of that name.
func (c *Config) Organisation(name string) (*Organisation, bool) {
	o, ok := c.organisations[name]
	return o, ok
}

// KeyByHash returns the key whose secret has the given hash. A hash carries no
// order that helps to guess a secret, so that a map look-up by hash gives
// nothing away by its timing.
func (c *Config) KeyByHash(h KeyHash) (*Key, bool) {
	k, ok := c.keys[h]
	return k, ok
}

// Authorised reports whether the key with the given hash may be used now, and
// by which organisation.
func (c *Config) Authorised(h KeyHash) (org string, ok bool) {
	k, found := c.keys[h]
	if !found || k.Withdrawn {
		return "", false
	}
	o, found := c.organisations[k.Organisation]
	if !found || o.Suspended {
		return "", false
	}
	return k.Organisation, true
}

// Rate returns the organisation's limit.
func (c *Config) Rate(org string) (*Rate, bool) {
	r, ok := c.rates[org]
	return r, ok
}

// Rates returns every limit by organisation. The map must not be changed.
func (c *Config) Rates() map[string]*Rate { return c.rates }

// Model returns the base model of that name.
func (c *Config) Model(name string) (*Model, bool) {
	m, ok := c.models[name]
	return m, ok
}

// Models returns every base model by name. The map must not be changed.
func (c *Config) Models() map[string]*Model { return c.models }

// Adapter returns the adapter of that name.
func (c *Config) Adapter(name string) (*Adapter, bool) {
	a, ok := c.adapters[name]
	return a, ok
}

// Adapters returns every adapter by name. The map must not be changed.
func (c *Config) Adapters() map[string]*Adapter { return c.adapters }

// Version returns one version of an adapter.
func (c *Config) Version(ref AdapterRef) (*Version, bool) {
	v, ok := c.versions[ref]
	return v, ok
}

// Versions returns every version. The map must not be changed.
func (c *Config) Versions() map[AdapterRef]*Version { return c.versions }

// Resolve turns a request's model into an adapter and one version of it.
func (c *Config) Resolve(model string) (*Adapter, AdapterRef, bool) {
	ref, ok := ParseAdapterRef(model)
	if !ok {
		return nil, ref, false
	}
	a, ok := c.adapters[ref.Name]
	if !ok {
		return nil, ref, false
	}
	if ref.Version == "" {
		ref.Version = a.DefaultVersion
	}
	_, ok = c.versions[ref]
	return a, ref, ok
}

// MayUse reports whether the organisation may use the adapter.
func (c *Config) MayUse(org string, a *Adapter) bool {
	return a.Public || a.Organisation == org
}

// Route returns the route with the longest prefix of path.
func (c *Config) Route(path string) (*Route, bool) {
	for _, r := range c.routes {
		if path == r.Prefix || strings.HasPrefix(path, r.Prefix+"/") {
			return r, true
		}
	}
	return nil, false
}

// Routes returns the routes, longest prefix first. It must not be changed.
func (c *Config) Routes() []*Route { return c.routes }

// Upstream returns the upstream of that name.
func (c *Config) Upstream(name string) (*Upstream, bool) {
	u, ok := c.upstreams[name]
	return u, ok
}

// Upstreams returns every upstream by name. The map must not be changed.
func (c *Config) Upstreams() map[string]*Upstream { return c.upstreams }

// Check reports references to records that do not exist.
func (c *Config) Check() []error {
	var problems []error
	missing := func(from Ref, kind Kind, name string) {
		problems = append(problems, &DecodeError{from, string(kind), fmt.Sprintf("a record that exists, not %q", name)})
	}
	for _, k := range c.keys {
		if _, ok := c.organisations[k.Organisation]; !ok {
			missing(Ref{KindKey, k.Name}, KindOrganisation, k.Organisation)
		}
	}
	for name := range c.rates {
		if _, ok := c.organisations[name]; !ok {
			missing(Ref{KindRate, name}, KindOrganisation, name)
		}
	}
	for name, a := range c.adapters {
		if _, ok := c.organisations[a.Organisation]; !ok {
			missing(Ref{KindAdapter, name}, KindOrganisation, a.Organisation)
		}
		if _, ok := c.models[a.Model]; !ok {
			missing(Ref{KindAdapter, name}, KindModel, a.Model)
		}
		if _, ok := c.versions[AdapterRef{name, a.DefaultVersion}]; a.DefaultVersion != "" && !ok {
			missing(Ref{KindAdapter, name}, KindVersion, name+"@"+a.DefaultVersion)
		}
	}
	for ref, v := range c.versions {
		if _, ok := c.adapters[v.Adapter]; !ok {
			missing(Ref{KindVersion, ref.String()}, KindAdapter, v.Adapter)
		}
	}
	for name, u := range c.upstreams {
		if _, ok := c.models[u.Model]; u.Class == ClassEngine && !ok {
			missing(Ref{KindUpstream, name}, KindModel, u.Model)
		}
	}
	slices.SortFunc(problems, func(a, b error) int { return strings.Compare(a.Error(), b.Error()) })
	return problems
}
