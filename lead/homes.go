package lead

import (
	"cmp"
	"slices"
	"time"

	"github.com/jasminelock/jasminelock/assign"
	"github.com/jasminelock/jasminelock/catalog"
	"github.com/jasminelock/jasminelock/wire"
)

// Bounds of what a host remembers of engines for the next lead.
const (
	// homeLife is how long an engine is taken to keep an adapter in its memory.
	homeLife = time.Minute
	// maxHomes bounds the adapters remembered, the oldest of which are told last.
	maxHomes = 2000
)

// home is the engine that a request for an adapter was sent to last.
type home struct {
	upstream string
	born     int64
	at       time.Time
}

// noteHome remembers which engine serves an adapter.
func (b *Broker) noteHome(now time.Time, ref catalog.AdapterRef, g *assign.Grant) {
	if ref.Adapter == "" {
		return
	}
	if len(b.homes) > 2*maxHomes {
		b.dropOldHomes(now)
	}
	b.homes[ref] = home{upstream: g.Upstream, born: g.StartedAt, at: now}
}

func (b *Broker) dropOldHomes(now time.Time) {
	for ref, h := range b.homes {
		if now.Sub(h.at) > homeLife {
			delete(b.homes, ref)
		}
	}
	if len(b.homes) > maxHomes {
		clear(b.homes) // they come back with the next requests
	}
}

// tellHomes tells a new lead which engines held which adapters, the latest last.
// It comes after what the host runs, also where there is nothing to say.
func (b *Broker) tellHomes(now time.Time) {
	b.dropOldHomes(now)
	refs := make([]catalog.AdapterRef, 0, len(b.homes))
	for ref := range b.homes {
		refs = append(refs, ref)
	}
	slices.SortFunc(refs, func(x, y catalog.AdapterRef) int {
		return cmp.Or(b.homes[x].at.Compare(b.homes[y].at), cmp.Compare(x.Adapter, y.Adapter))
	})
	m := &wire.AdapterLocations{}
	for _, ref := range refs {
		h := b.homes[ref]
		if b.leading != nil {
			b.leading.RestoreAdapterLocation(now, ref, h.upstream, h.born)
			continue
		}
		m.Locations = append(m.Locations, wire.AdapterLocation{Model: ref.Model, Adapter: ref.Adapter, Upstream: h.upstream, StartedAt: h.born})
	}
	if b.leading == nil {
		b.sendLead(m)
	}
}

// recallHomes takes what a host tells. It has told what it runs before.
func (b *Broker) recallHomes(now time.Time, from string, m *wire.AdapterLocations) {
	for _, h := range m.Locations {
		b.leading.RestoreAdapterLocation(now, catalog.AdapterRef{Model: h.Model, Adapter: h.Adapter}, h.Upstream, h.StartedAt)
	}
	b.hostTold(now, from)
}

// hostTold notes that a host need not be waited for any more.
func (b *Broker) hostTold(now time.Time, host string) {
	if !b.untold[host] {
		return
	}
	delete(b.untold, host)
	if len(b.untold) == 0 {
		b.handleLeading(now, assign.HostsReported{})
	}
}

// untoldHosts returns the hosts that may run requests which a new lead has yet to
// hear of: those that the lead before it knew, but for that one.
func (b *Broker) untoldHosts(before *leaseView) map[string]bool {
	untold := map[string]bool{}
	for _, h := range b.hosts {
		if h.Name != b.options.Host && h.Name != before.host {
			untold[h.Name] = true
		}
	}
	return untold
}
