package watch

import (
	"fmt"
	"hash/fnv"
	"io"
	"maps"

	"github.com/jasminelock/jasminelock/catalog"
	"github.com/jasminelock/jasminelock/store"
	"github.com/jasminelock/jasminelock/wire"
)

// maxConfigBytes limits the size of a relayed configuration once it is decompressed.
const maxConfigBytes = 64 << 20

// SetRelayed sets whether another host relays changes to this one. While it does, the store is
// not read.
func (w *Watcher) SetRelayed(on bool) {
	if w.relayed.Swap(on) == on || on {
		return
	}
	for _, c := range w.relayEnded {
		signal(c)
	}
}

// KnownVersions returns the positions of the store up to which this host knows the operator's table and
// the upstreams' table.
func (w *Watcher) KnownVersions() (operator, upstreams store.Position) {
	return w.knownVersions[0].Load(), w.knownVersions[1].Load()
}

// SetKnownVersions records that this host knows all that the relaying host has read up to these positions
// of the store, so that the tables need to be read only from there on. It has no effect unless
// changes are being relayed.
func (w *Watcher) SetKnownVersions(operator, upstreams store.Position) {
	if !w.relayed.Load() {
		return
	}
	if operator > w.knownVersions[0].Load() {
		w.knownVersions[0].Store(operator)
	}
	// The relayed upstreams may be older than what this host had read itself.
	w.knownVersions[1].Store(upstreams)
	w.unconfirmed.Store(false)
}

// checksum returns a checksum over the parts of a view that hosts relay. It does not depend on the
// iteration order of maps. Hosts compare these checksums, so the formats below are part of the
// protocol between them.
func checksum(v *View) uint64 {
	var total uint64
	add := func(format string, args ...any) {
		h := fnv.New64a()
		_, _ = fmt.Fprintf(h, format, args...) // writing to a hash never fails
		total += h.Sum64()
	}
	if v.Config != nil {
		add("config %d", v.Config.Version)
	}
	for ref, version := range v.Versions {
		add("version %s %s %d", ref.Model, ref.Adapter, version)
	}
	for zone := range v.Evacuated.Zones {
		add("evacuated %s", zone)
	}
	for _, u := range v.Upstreams {
		add("upstream %s %d %s %s %s %d %t %t %q",
			u.ID, u.StartedAt, u.Service, u.Address, u.Zone, u.Slots, u.Draining, u.SlowStartRemaining > 0, u.Models())
	}
	return total
}

// PackConfig encodes the row of a configuration to be relayed: the length of the key in one
// byte, the key, and the compressed value.
func PackConfig(row store.Row) ([]byte, error) {
	value, err := wire.Compress(row.Value)
	if err != nil {
		return nil, err
	}
	packed := append([]byte{byte(len(row.Key))}, row.Key...)
	return append(packed, value...), nil
}

// unpackConfig decodes what PackConfig returned.
func unpackConfig(packed []byte) (store.Row, error) {
	if len(packed) == 0 || len(packed) < 1+int(packed[0]) {
		return store.Row{}, io.ErrUnexpectedEOF
	}
	key := string(packed[1 : 1+int(packed[0])])
	value, err := wire.Decompress(packed[1+len(key):], maxConfigBytes)
	return store.Row{Key: key, Value: value}, err
}

// ApplyRelayedConfig applies a relayed configuration, relayed versions of adapters and the complete set
// of evacuated zones. packed is the result of PackConfig, or empty if the configuration has not
// changed.
func (w *Watcher) ApplyRelayedConfig(packed []byte, versions catalog.Versions, evacuated Evacuations) {
	w.mu.Lock()
	next := *w.view.Load()
	w.setRelayedEvacuations(&next, evacuated)
	w.applyPacked(&next, packed, versions)
	w.publish(&next)
}

// applyPacked sets the configuration and the adapter versions of a new view to those of another host where they are newer.
func (w *Watcher) applyPacked(next *View, packed []byte, versions catalog.Versions) {
	if len(packed) > 0 {
		row, err := unpackConfig(packed)
		if err != nil {
			w.log.Error("relayed configuration cannot be decoded; the previous one stays in force", "error", err)
		} else {
			w.applyConfig(next, row)
		}
	}
	if len(versions) > 0 {
		next.Versions = maps.Clone(next.Versions)
		for ref, v := range versions {
			next.Versions[ref] = max(next.Versions[ref], v)
		}
	}
}

// RelayedUpstreams holds upstreams that another host relays.
type RelayedUpstreams struct {
	// StoreVersion is the position of the store up to which that host knows the upstreams.
	StoreVersion store.Position
	// Whole is true if Listed holds all upstreams. Otherwise Listed and Gone hold only
	// the changes.
	Whole  bool
	Listed []*catalog.Upstream
	Gone   []string
}

// ApplyRelayedUpstreams applies relayed upstreams, unless this host has read newer ones: the relaying
// host may be disconnected from the store. The adapters that upstreams hold are not relayed.
func (w *Watcher) ApplyRelayedUpstreams(p RelayedUpstreams) {
	w.mu.Lock()
	next := *w.view.Load()
	if p.StoreVersion < next.UpstreamsVersion {
		w.mu.Unlock()
		w.log.Debug("relayed upstreams are older than those read from the store; ignored", "as_of", p.StoreVersion, "read", next.UpstreamsVersion)
		return
	}
	next.UpstreamsVersion = p.StoreVersion
	before := next.Upstreams
	if p.Whole {
		next.UpstreamsRead = next.UpstreamsRead || p.StoreVersion > 0 // 0 is relayed by a host that has not read them
		next.Upstreams = map[string]*catalog.Upstream{}
	} else {
		next.Upstreams = maps.Clone(next.Upstreams)
	}
	for _, u := range p.Listed {
		w.known.recordRelayed(before[u.ID], u)
		next.Upstreams[u.ID] = u
	}
	for _, id := range p.Gone {
		delete(next.Upstreams, id)
	}
	for id, u := range before {
		if next.Upstreams[id] == nil {
			w.known.recordGone(u)
		}
	}
	clear(w.expired)
	w.unconfirmed.Store(true)
	w.publish(&next)
}
