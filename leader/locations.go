package leader

import (
	"cmp"
	"slices"
	"time"

	"github.com/jasminelock/jasminelock/assign"
	"github.com/jasminelock/jasminelock/catalog"
	"github.com/jasminelock/jasminelock/wire"
)

// Bounds of the adapter locations that a host keeps for the next leader.
const (
	// locationTTL is how long an engine is assumed to keep an adapter in its memory.
	locationTTL = time.Minute
	// maxLocations is the maximum number of adapters kept.
	maxLocations = 2000
)

// adapterLocation is the engine that the last request for an adapter was assigned to.
type adapterLocation struct {
	upstream  string
	startedAt int64
	usedAt    time.Time
}

// recordLocation records the engine that serves an adapter.
func (b *Broker) recordLocation(now time.Time, ref catalog.AdapterRef, g *assign.Grant) {
	if ref.Adapter == "" {
		return
	}
	if len(b.locations) > 2*maxLocations {
		b.dropOldLocations(now)
	}
	b.locations[ref] = adapterLocation{upstream: g.Upstream, startedAt: g.StartedAt, usedAt: now}
}

func (b *Broker) dropOldLocations(now time.Time) {
	for ref, h := range b.locations {
		if now.Sub(h.usedAt) > locationTTL {
			delete(b.locations, ref)
		}
	}
	if len(b.locations) > maxLocations {
		clear(b.locations) // the next requests add them again
	}
}

// reportLocations reports to a new leader which engines held which adapters, the latest last. The report follows
// that of the running requests and is sent even if it is empty, since it completes this host's reports.
func (b *Broker) reportLocations(now time.Time) {
	b.dropOldLocations(now)
	refs := make([]catalog.AdapterRef, 0, len(b.locations))
	for ref := range b.locations {
		refs = append(refs, ref)
	}
	slices.SortFunc(refs, func(x, y catalog.AdapterRef) int {
		return cmp.Or(b.locations[x].usedAt.Compare(b.locations[y].usedAt), cmp.Compare(x.Adapter, y.Adapter))
	})
	m := &wire.AdapterLocations{}
	for _, ref := range refs {
		h := b.locations[ref]
		if b.leading != nil {
			b.leading.RestoreAdapterLocation(now, ref, h.upstream, h.startedAt)
			continue
		}
		m.Locations = append(m.Locations, wire.AdapterLocation{Model: ref.Model, Adapter: ref.Adapter, Upstream: h.upstream, StartedAt: h.startedAt})
	}
	if b.leading == nil {
		b.sendToLeader(m)
	}
}

// restoreLocations handles a host's report of adapter locations. The host has reported its running requests
// before.
func (b *Broker) restoreLocations(now time.Time, from string, m *wire.AdapterLocations) {
	for _, h := range m.Locations {
		b.leading.RestoreAdapterLocation(now, catalog.AdapterRef{Model: h.Model, Adapter: h.Adapter}, h.Upstream, h.StartedAt)
	}
	b.hostReported(now, from)
}

// hostReported records that a host's reports are complete, or that they are no longer awaited.
func (b *Broker) hostReported(now time.Time, host string) {
	if !b.unreportedHosts[host] {
		return
	}
	delete(b.unreportedHosts, host)
	if len(b.unreportedHosts) == 0 {
		b.handleLeading(now, assign.HostsReported{})
	}
}

// expectedReports returns the hosts whose running requests a new leader does not know yet: those that the previous
// leader announced, other than itself and this host.
func (b *Broker) expectedReports(before *leaseView) map[string]bool {
	expected := map[string]bool{}
	for _, h := range b.hosts {
		if h.Name != b.options.Host && h.Name != before.host {
			expected[h.Name] = true
		}
	}
	return expected
}
