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
	// locationTTL is how long an engine is taken to keep an adapter in its memory.
	locationTTL = time.Minute
	// maxLocations bounds the adapters remembered, the oldest of which are told last.
	maxLocations = 2000
)

// adapterLocation is the engine that a request for an adapter was sent to last.
type adapterLocation struct {
	upstream  string
	startedAt int64
	usedAt    time.Time
}

// noteHome remembers which engine serves an adapter.
func (b *Broker) recordLocation(now time.Time, ref catalog.AdapterRef, g *assign.Grant) {
	if ref.Adapter == "" {
		return
	}
	if len(b.locations) > 2*maxLocations {
		b.dropOldLocations(now)
	}
	b.locations[ref] = adapterLocation{upstream: g.Upstream, startedAt: g.Born, usedAt: now}
}

func (b *Broker) dropOldLocations(now time.Time) {
	for ref, h := range b.locations {
		if now.Sub(h.usedAt) > locationTTL {
			delete(b.locations, ref)
		}
	}
	if len(b.locations) > maxLocations {
		clear(b.locations) // they come back with the next requests
	}
}

// tellHomes tells a new lead which engines held which adapters, the latest last.
// It comes after what the host runs, also where there is nothing to say.
func (b *Broker) reportLocations(now time.Time) {
	b.dropOldLocations(now)
	refs := make([]catalog.AdapterRef, 0, len(b.locations))
	for ref := range b.locations {
		refs = append(refs, ref)
	}
	slices.SortFunc(refs, func(x, y catalog.AdapterRef) int {
		return cmp.Or(b.locations[x].usedAt.Compare(b.locations[y].usedAt), cmp.Compare(x.Adapter, y.Adapter))
	})
	m := &wire.Homes{}
	for _, ref := range refs {
		h := b.locations[ref]
		if b.leading != nil {
			b.leading.RecallHome(now, ref, h.upstream, h.startedAt)
			continue
		}
		m.Homes = append(m.Homes, wire.Home{Model: ref.Model, Adapter: ref.Adapter, Upstream: h.upstream, Born: h.startedAt})
	}
	if b.leading == nil {
		b.sendToLeader(m)
	}
}

// recallHomes takes what a host tells. It has told what it runs before.
func (b *Broker) restoreLocations(now time.Time, from string, m *wire.Homes) {
	for _, h := range m.Homes {
		b.leading.RecallHome(now, catalog.AdapterRef{Model: h.Model, Adapter: h.Adapter}, h.Upstream, h.Born)
	}
	b.hostReported(now, from)
}

// hostTold notes that a host need not be waited for any more.
func (b *Broker) hostReported(now time.Time, host string) {
	if !b.unreportedHosts[host] {
		return
	}
	delete(b.unreportedHosts, host)
	if len(b.unreportedHosts) == 0 {
		b.handleLeading(now, assign.HostsTold{})
	}
}

// untoldHosts returns the hosts that may run requests which a new lead has yet to
// hear of: those that the lead before it knew, but for that one.
func (b *Broker) expectedReports(before *leaseView) map[string]bool {
	expected := map[string]bool{}
	for _, h := range b.hosts {
		if h.Name != b.options.Host && h.Name != before.host {
			expected[h.Name] = true
		}
	}
	return expected
}
