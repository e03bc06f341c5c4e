package record

import (
	"iter"
	"strings"
)

// Config is the compiled configuration of one revision. It is immutable: a change creates a new Config
// that shares the unchanged tables.
//
// Adapters and their versions are by far the most numerous records. They are kept in packed tables,
// and an Adapter or a Version is created from its row on each access.
type Config struct {
	// Revision is the revision of the head that the configuration was read at.
	Revision int64

	organisations map[string]*Organisation
	keys          map[KeyHash]*Key
	keysByName    map[string]*Key
	rates         map[string]*Rate
	models        map[string]*Model
	upstreams     map[string]*Upstream
	routesByName  map[string]*Route
	routes        []*Route // longest prefix first

	adapters packedTable[adapterRow] // extra is the default version
	versions packedTable[versionRow] // extra is the packed source
	interner *interner
	// internedNames are the interned names by id, as of this revision.
	internedNames []string
}

// adapterRow is an adapter without its name and default version.
type adapterRow struct {
	organisation nameID
	model        nameID
	public       bool
}

// versionRow is empty: a version has only texts, which are its key and extra.
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
		adapters:      newPackedTable[adapterRow](),
		versions:      newPackedTable[versionRow](),
		interner:      newInterner(),
	}
}

// Organisation returns the organisation with the given name.
func (c *Config) Organisation(name string) (*Organisation, bool) {
	o, ok := c.organisations[name]
	return o, ok
}

// KeyByHash returns the key whose secret has the given hash. The time of a map look-up depends on the
// hash, not on the secret: measuring it reveals at most bits of a SHA-256, from which the secret
// cannot be derived.
func (c *Config) KeyByHash(h KeyHash) (*Key, bool) {
	k, ok := c.keys[h]
	return k, ok
}

// Keys returns all keys by name. The map must not be changed.
func (c *Config) Keys() map[string]*Key { return c.keysByName }

// ActiveKeyOf returns the organisation's first key by name that is not withdrawn.
func (c *Config) ActiveKeyOf(org string) (*Key, bool) {
	var found *Key
	for _, k := range c.keysByName {
		if k.Organisation == org && !k.Withdrawn && (found == nil || k.Name < found.Name) {
			found = k
		}
	}
	return found, found != nil
}

// Authorised reports whether the key with the given hash may be used now, and returns the organisation
// that owns it.
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

// Rate returns the organisation's rate limit.
func (c *Config) Rate(org string) (*Rate, bool) {
	r, ok := c.rates[org]
	return r, ok
}

// Rates returns all rate limits by organisation. The map must not be changed.
func (c *Config) Rates() map[string]*Rate { return c.rates }

// Model returns the base model with the given name.
func (c *Config) Model(name string) (*Model, bool) {
	m, ok := c.models[name]
	return m, ok
}

// Models returns all base models by name. The map must not be changed.
func (c *Config) Models() map[string]*Model { return c.models }

// Adapter returns the adapter with the given name.
func (c *Config) Adapter(name string) (*Adapter, bool) {
	row, defaultVersion, ok := c.adapters.get(name)
	if !ok {
		return nil, false
	}
	return c.adapter(packedEntry[adapterRow]{name, defaultVersion, row}), true
}

func (c *Config) adapter(e packedEntry[adapterRow]) *Adapter {
	return &Adapter{
		Name: e.key, Organisation: c.internedNames[e.value.organisation], Model: c.internedNames[e.value.model],
		DefaultVersion: e.extra, Public: e.value.public,
	}
}

// Adapters iterates over all adapters by name, in no particular order.
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

// UsableBy iterates over the adapters that the organisation may use, in no particular order.
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

// Versions iterates over all adapter versions, in no particular order.
func (c *Config) Versions() iter.Seq2[AdapterRef, *Version] {
	return versionSeq(c.versions.all())
}

// VersionsOf iterates over the versions of one adapter, in the order of their names.
func (c *Config) VersionsOf(adapter string) iter.Seq2[AdapterRef, *Version] {
	return versionSeq(c.versions.withPrefix(adapter + "@"))
}

func versionSeq(rows iter.Seq[packedEntry[versionRow]]) iter.Seq2[AdapterRef, *Version] {
	return func(yield func(AdapterRef, *Version) bool) {
		for e := range rows {
			ref, _ := ParseAdapterRef(e.key)
			if !yield(ref, newVersion(ref, e.extra)) {
				return
			}
		}
	}
}

// Resolve resolves the model named in a request to an adapter and one of its versions, the default
// version if the request names none. The last result is false if the adapter or the version does not
// exist; the adapter is returned whenever it exists.
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

// Route returns the route whose prefix is the longest one that matches path.
func (c *Config) Route(path string) (*Route, bool) {
	for _, r := range c.routes {
		if path == r.Prefix || strings.HasPrefix(path, r.Prefix+"/") {
			return r, true
		}
	}
	return nil, false
}

// Routes returns the routes, longest prefix first. The slice must not be changed.
func (c *Config) Routes() []*Route { return c.routes }

// Upstream returns the upstream with the given name.
func (c *Config) Upstream(name string) (*Upstream, bool) {
	u, ok := c.upstreams[name]
	return u, ok
}

// Upstreams returns all upstreams by name. The map must not be changed.
func (c *Config) Upstreams() map[string]*Upstream { return c.upstreams }
