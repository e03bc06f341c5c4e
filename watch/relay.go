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

// maxConfigBytes bounds a configuration that another host passes on.
const maxConfigBytes = 64 << 20

// SetRelayed says whether another host passes changes on, so that the store need
// not be read.
func (w *Watcher) SetRelayed(on bool) {
	if w.relayed.Swap(on) == on || on {
		return
	}
	for _, c := range w.resumed {
		wake(c)
	}
}

// KnownVersions returns the store's versions as of which this host knows the tables of the
// operator and of the upstreams.
func (w *Watcher) KnownVersions() (operator, upstreams int64) { return w.at[0].Load(), w.at[1].Load() }

// SetKnownVersions says that this host knows what the one that passes changes on has read
// up to these versions, so that the tables need only be read from there on.
func (w *Watcher) SetKnownVersions(operator, upstreams int64) {
	if !w.relayed.Load() {
		return
	}
	if operator > w.at[0].Load() {
		w.at[0].Store(operator)
	}
	// What was passed on may be older than what this host had read itself.
	w.at[1].Store(upstreams)
	w.doubtful.Store(false)
}

// sum returns a checksum of what hosts tell one another of a view. It does not
// depend on the order of maps.
func sum(v *View) uint64 {
	var all uint64
	add := func(format string, args ...any) {
		h := fnv.New64a()
		_, _ = fmt.Fprintf(h, format, args...) // writing to a hash never fails
		all += h.Sum64()
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
		add("upstream %s %d %s %s %s %d %t %t %q", u.ID, u.StartedAt, u.Service, u.Address, u.Zone, u.Slots, u.Draining, u.SlowStartRemaining > 0, u.Models())
	}
	return all
}

// PackConfig compresses a configuration's row, to be passed on.
func PackConfig(row store.Row) ([]byte, error) {
	value, err := wire.Compress(row.Value)
	if err != nil {
		return nil, err
	}
	packed := append([]byte{byte(len(row.Key))}, row.Key...)
	return append(packed, value...), nil
}

func unpackConfig(packed []byte) (store.Row, error) {
	if len(packed) == 0 || len(packed) < 1+int(packed[0]) {
		return store.Row{}, io.ErrUnexpectedEOF
	}
	key := string(packed[1 : 1+int(packed[0])])
	value, err := wire.Decompress(packed[1+len(key):], maxConfigBytes)
	return store.Row{Key: key, Value: value}, err
}

// ApplyRelayedConfig takes a configuration and announced versions that another host
// passes on, and all evacuated zones. packed may be empty.
func (w *Watcher) ApplyRelayedConfig(packed []byte, versions catalog.Versions, evacuated Evacuations) {
	w.mu.Lock()
	next := *w.view.Load()
	w.setEvacuated(&next, evacuated)
	if len(packed) > 0 {
		row, err := unpackConfig(packed)
		if err != nil {
			w.log.Error("configuration passed on cannot be read", "error", err)
		} else {
			w.applyConfig(&next, row)
		}
	}
	if len(versions) > 0 {
		next.Versions = maps.Clone(next.Versions)
		for ref, v := range versions {
			next.Versions[ref] = max(next.Versions[ref], v)
		}
	}
	w.publish(&next)
}

// RelayedUpstreams is what another host passes on of the upstreams.
type RelayedUpstreams struct {
	// StoreVersion is the store's version as of which that host knows them.
	StoreVersion int64
	// Whole says that there are no others than those listed. Else Listed and Gone are
	// what has changed.
	Whole  bool
	Listed []*catalog.Upstream
	Gone   []string
}

// ApplyRelayedUpstreams takes upstreams that another host passes on, unless this host has read
// newer ones: the other may be cut off the store. The adapters that they hold are not
// passed on.
func (w *Watcher) ApplyRelayedUpstreams(p RelayedUpstreams) {
	w.mu.Lock()
	next := *w.view.Load()
	if p.StoreVersion < next.UpstreamsVersion {
		w.mu.Unlock()
		w.log.Debug("upstreams passed on are older than what was read", "as_of", p.StoreVersion, "read", next.UpstreamsVersion)
		return
	}
	next.UpstreamsVersion = p.StoreVersion
	if p.Whole {
		next.Upstreams = map[string]*catalog.Upstream{}
	} else {
		next.Upstreams = maps.Clone(next.Upstreams)
	}
	for _, u := range p.Listed {
		next.Upstreams[u.ID] = u
	}
	for _, id := range p.Gone {
		delete(next.Upstreams, id)
	}
	clear(w.lapsed)
	w.doubtful.Store(true)
	w.publish(&next)
}
