package record

import (
	"iter"
	"strings"
)

// Config is the compiled configuration of one revision. It is immutable: a
// change makes a new Config, which shares what did not change.
//
// Adapters and their versions are by far the most numerous records. They are
// kept in packed tables, and an Adapter or a Version is made of its row when
// it is asked for.
type Config struct {
	// Revision is the head that the configuration was read at.
	Revision int64

	organisations map[string]*Organisation
	keys          map[KeyHash]*Key
	keysByName    map[string]*Key
	rates         map[string]*Rate
	models        map[string]*Model
	upstreams     map[string]*Upstream
	routesByName  map[string]*Route
	routes        []*Route // longest prefix first

	adapters packed[adapterRow] // the extra text is the default version
	versions packed[versionRow] // the extra text is the packed source
	interner *interner
	// names are the interned names, by id, as of this revision.
	names []string
}

// adapterRow is an adapter without its texts.
type adapterRow struct {
	organisation nameID
	model        nameID
	public       bool
}

// versionRow is empty: a version is nothing but texts.
type versionRow struct{}

// NewConfig returns an empty configuration at revision 0.
func NewConfig() *Config {
	return &Config{
		organisations: map[string]*Organisation{},
		keys:          map[KeyHash]*Key{},
		keysByName:    map[string]*Key{},
		rates:         map[string]*Rate{},
		models:        map[string]*Model{},
		upstreams:     map[string]*Upstream{},
		routesByName:  map[string]*Route{},
		adapters:      newPacked[adapterRow](),
		versions:      newPacked[versionRow](),
		interner:      newInterner(),
	}
}

// Organisation returns the organisation of that name.
func (c *Config) Organisation(name string) (*Organisation, bool) {
	o, ok := c.organisations[name]
	return o, ok
}

// KeyByHash returns the key whose secret has the given hash. A look-up in a
// map takes a time that depends on the hash, not on the secret: who measures it
// learns at most bits of a SHA-256, from which no secret can be found.
func (c *Config) KeyByHash(h KeyHash) (*Key, bool) {
	k, ok := c.keys[h]
	return k, ok
}

// ActiveKeyOf returns a key of the organisation that works, the first by name.
func (c *Config) ActiveKeyOf(org string) (*Key, bool) {
	var found *Key
	for _, k := range c.keysByName {
		if k.Organisation == org && !k.Withdrawn && (found == nil || k.Name < found.Name) {
			found = k
		}
	}
	return found, found != nil
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
	row, defaultVersion, ok := c.adapters.get(name)
	if !ok {
		return nil, false
	}
	return c.adapter(entry[adapterRow]{name, defaultVersion, row}), true
}

func (c *Config) adapter(e entry[adapterRow]) *Adapter {
	return &Adapter{
		Name: e.key, Organisation: c.names[e.value.organisation], Model: c.names[e.value.model],
		DefaultVersion: e.extra, Public: e.value.public,
	}
}

// Adapters gives every adapter by name, in no particular order.
func (c *Config) Adapters() iter.Seq2[string, *Adapter] {
	return func(yield func(string, *Adapter) bool) {
		for e := range c.adapters.all() {
			if !yield(e.key, c.adapter(e)) {
				return
			}
		}
	}
}

// AdapterCount returns the number of adapters.
func (c *Config) AdapterCount() int { return c.adapters.count }

// UsableBy gives the adapters that the organisation may use, in no particular
// order.
func (c *Config) UsableBy(org string) iter.Seq[*Adapter] {
	id, known := c.interner.find(org)
	return func(yield func(*Adapter) bool) {
		for e := range c.adapters.all() {
			own := known && e.value.organisation == id
			if (own || e.value.public) && !yield(c.adapter(e)) {
				return
			}
		}
	}
}

// Version returns one version of an adapter.
func (c *Config) Version(ref AdapterRef) (*Version, bool) {
	if ref.Version == "" {
		return nil, false
	}
	_, source, ok := c.versions.get(ref.String())
	if !ok {
		return nil, false
	}
	return newVersion(ref, source), true
}

func (c *Config) hasVersion(ref AdapterRef) bool {
	_, _, ok := c.versions.get(ref.String())
	return ok && ref.Version != ""
}

func newVersion(ref AdapterRef, packedSource string) *Version {
	return &Version{Adapter: ref.Name, Version: ref.Version, Source: unpackSource(ref, packedSource)}
}

// Versions gives every version, in no particular order.
func (c *Config) Versions() iter.Seq2[AdapterRef, *Version] {
	return versionSeq(c.versions.all())
}

// VersionsOf gives the versions of one adapter, in the order of their names.
func (c *Config) VersionsOf(adapter string) iter.Seq2[AdapterRef, *Version] {
	return versionSeq(c.versions.withPrefix(adapter + "@"))
}

func versionSeq(rows iter.Seq[entry[versionRow]]) iter.Seq2[AdapterRef, *Version] {
	return func(yield func(AdapterRef, *Version) bool) {
		for e := range rows {
			ref, _ := ParseAdapterRef(e.key)
			if !yield(ref, newVersion(ref, e.extra)) {
				return
			}
		}
	}
}

// Resolve turns a request's model into an adapter and one version of it.
func (c *Config) Resolve(model string) (*Adapter, AdapterRef, bool) {
	ref, ok := ParseAdapterRef(model)
	if !ok {
		return nil, ref, false
	}
	a, ok := c.Adapter(ref.Name)
	if !ok {
		return nil, ref, false
	}
	if ref.Version == "" {
		ref.Version = a.DefaultVersion
	}
	return a, ref, c.hasVersion(ref)
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
