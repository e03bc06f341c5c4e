package record

import (
	"maps"
	"slices"
	"strings"
)

// Apply returns a configuration with the given records applied, at the given revision. The receiver is
// not changed. Records that cannot be decoded are skipped and reported; the others take effect.
func (c *Config) Apply(revision int64, changes []Envelope) (*Config, []error) {
	b := newBuilder(c)
	var problems []error
	for _, e := range changes {
		d, err := Decode(e)
		if err != nil {
			problems = append(problems, err)
			continue
		}
		b.put(e, d)
	}
	return b.build(revision), problems
}

// builder builds the next configuration. A table is cloned on its first change.
type builder struct {
	next     *Config
	cloned   map[Kind]bool
	adapters map[string]packedUpdate[adapterRow]
	versions map[string]packedUpdate[versionRow]
}

func newBuilder(c *Config) *builder {
	next := *c
	return &builder{
		next:     &next,
		cloned:   map[Kind]bool{},
		adapters: map[string]packedUpdate[adapterRow]{},
		versions: map[string]packedUpdate[versionRow]{},
	}
}

func (b *builder) build(revision int64) *Config {
	b.next.Revision = revision
	b.next.adapters = b.next.adapters.withUpdates(b.adapters)
	b.next.versions = b.next.versions.withUpdates(b.versions)
	b.next.internedNames = b.next.interner.allNames()
	if b.cloned[KindRoute] {
		b.next.routes = sortedRoutes(b.next.routesByName)
	}
	return b.next
}

func (b *builder) put(e Envelope, d Decoded) {
	c := b.next
	switch e.Kind {
	case KindOrganisation:
		set(b, e, &c.organisations, d.Organisation)
	case KindKey:
		b.putKey(e, d.Key)
	case KindRate:
		set(b, e, &c.rates, d.Rate)
	case KindModel:
		set(b, e, &c.models, d.Model)
	case KindAdapter:
		b.putAdapter(e.Name, d.Adapter)
	case KindVersion:
		b.putVersion(e.Name, d.Version)
	case KindRoute:
		set(b, e, &c.routesByName, d.Route)
	case KindUpstream:
		set(b, e, &c.upstreams, d.Upstream)
	}
}

// set stores the decoded form of a record in the table, or deletes the record if v is nil.
func set[V any](b *builder, e Envelope, table *map[string]*V, v *V) {
	if !b.cloned[e.Kind] {
		*table = maps.Clone(*table)
		b.cloned[e.Kind] = true
	}
	if v == nil {
		delete(*table, e.Name)
		return
	}
	(*table)[e.Name] = v
}

func (b *builder) putKey(e Envelope, k *Key) {
	c := b.next
	if !b.cloned[e.Kind] {
		c.keys = maps.Clone(c.keys)
		c.keysByName = maps.Clone(c.keysByName)
		b.cloned[e.Kind] = true
	}
	if old, ok := c.keysByName[e.Name]; ok {
		delete(c.keysByName, e.Name)
		c.selectKey(old.Hash)
	}
	if k == nil {
		return
	}
	c.keysByName[e.Name] = k
	if _, shared := c.keys[k.Hash]; shared {
		c.selectKey(k.Hash)
		return
	}
	c.keys[k.Hash] = k
}

// selectKey selects the key record that applies to a secret. If several records share the secret, a
// withdrawn one takes precedence, whatever the order in which they were written: all hosts must reach
// the same decision.
func (c *Config) selectKey(h KeyHash) {
	delete(c.keys, h)
	for _, k := range c.keysByName {
		if k.Hash != h {
			continue
		}
		best, ok := c.keys[h]
		wins := !ok || (k.Withdrawn && !best.Withdrawn) || (k.Withdrawn == best.Withdrawn && k.Name < best.Name)
		if wins {
			c.keys[h] = k
		}
	}
}

func (b *builder) putAdapter(name string, a *Adapter) {
	if a == nil {
		b.adapters[name] = packedUpdate[adapterRow]{remove: true}
		return
	}
	row := adapterRow{b.next.interner.id(a.Organisation), b.next.interner.id(a.Model), a.Public}
	b.adapters[name] = packedUpdate[adapterRow]{extra: a.DefaultVersion, value: row}
}

func (b *builder) putVersion(name string, v *Version) {
	if v == nil {
		b.versions[name] = packedUpdate[versionRow]{remove: true}
		return
	}
	ref := AdapterRef{Name: v.Adapter, Version: v.Version}
	b.versions[name] = packedUpdate[versionRow]{extra: packSource(ref, v.Source)}
}

func sortedRoutes(byName map[string]*Route) []*Route {
	return slices.SortedFunc(maps.Values(byName), func(a, b *Route) int {
		if len(a.Prefix) != len(b.Prefix) {
			return len(b.Prefix) - len(a.Prefix)
		}
		return strings.Compare(a.Name, b.Name)
	})
}
