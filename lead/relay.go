package lead

import (
	"slices"
	"strings"
	"time"

	"github.com/jasminelock/jasminelock/catalog"
	"github.com/jasminelock/jasminelock/watch"
	"github.com/jasminelock/jasminelock/wire"
)

// relayAge is how long ago the lead may have read the store for hosts to rely on
// it. It reads at least once a second; beyond this, hosts read for themselves.
const relayAge = 2 * time.Second

// relayState is what the lead keeps to pass on.
type relayState struct {
	// packed is the compressed configuration of the given version.
	packed  []byte
	version int64
}

// packedConfig returns the configuration as it is passed on, nil before there
// is one.
func (b *Broker) packedConfig() []byte {
	if b.view.Config == nil || b.view.RawConfig.Key == "" {
		return nil
	}
	if b.relay.packed == nil || b.relay.version != b.view.Config.Version {
		packed, err := watch.PackConfig(b.view.RawConfig)
		if err != nil {
			b.log.Error("configuration not passed on", "error", err)
			return nil
		}
		b.relay = relayState{packed: packed, version: b.view.Config.Version}
	}
	return b.relay.packed
}

// passAll tells a host all that the platform's tables say.
func (b *Broker) passAll(host string) {
	b.sendTo(host, &wire.ConfigPush{Config: b.packedConfig(), Versions: versionList(b.view.Versions, nil)})
	push := &wire.UpstreamPush{Whole: true}
	for _, u := range b.view.Upstreams {
		push.Upstreams = append(push.Upstreams, wireUpstream(u))
	}
	sortUpstreams(push.Upstreams)
	b.sendTo(host, push)
}

// passOn tells every host what has changed since the view before. That engines
// hold other adapters concerns only the lead.
func (b *Broker) passOn(before *watch.View) {
	if len(b.members) == 0 {
		return
	}
	config := &wire.ConfigPush{Versions: versionList(b.view.Versions, before.Versions)}
	if b.view.Config != nil && (before.Config == nil || b.view.Config.Version != before.Config.Version) {
		config.Config = b.packedConfig()
	}
	push := &wire.UpstreamPush{}
	for id, u := range b.view.Upstreams {
		if old, ok := before.Upstreams[id]; !ok || wireUpstream(old) != wireUpstream(u) {
			push.Upstreams = append(push.Upstreams, wireUpstream(u))
		}
	}
	for id := range before.Upstreams {
		if _, ok := b.view.Upstreams[id]; !ok {
			push.Gone = append(push.Gone, id)
		}
	}
	sortUpstreams(push.Upstreams)
	slices.Sort(push.Gone)
	for host, m := range b.members {
		if !m.passed {
			continue // it is told all of it first
		}
		if len(config.Config)+len(config.Versions) > 0 {
			b.sendTo(host, config)
		}
		if len(push.Upstreams)+len(push.Gone) > 0 {
			b.sendTo(host, push)
		}
	}
}

// versionList returns the versions that differ from those before.
func versionList(now, before catalog.Versions) []wire.AdapterVersion {
	var out []wire.AdapterVersion
	for ref, v := range now {
		if before[ref] != v {
			out = append(out, wire.AdapterVersion{Model: ref.Model, Adapter: ref.Adapter, Version: v})
		}
	}
	slices.SortFunc(out, func(x, y wire.AdapterVersion) int { return strings.Compare(x.Adapter, y.Adapter) })
	return out
}

func wireUpstream(u *catalog.Upstream) wire.Upstream {
	return wire.Upstream{
		ID: u.ID, Born: u.Born, Service: u.Service, Address: u.Address, Zone: u.Zone, Slots: u.Slots, Draining: u.Draining,
	}
}

func sortUpstreams(list []wire.Upstream) {
	slices.SortFunc(list, func(x, y wire.Upstream) int { return strings.Compare(x.ID, y.ID) })
}

// receivePush takes what the lead passes on. It is called without the lock,
// since the source hands the new view back.
func (b *Broker) receivePush(from string, m wire.Message) {
	b.mu.Lock()
	known := from == b.lead.host && b.leading == nil
	b.mu.Unlock()
	if !known {
		return
	}
	switch m := m.(type) {
	case *wire.ConfigPush:
		versions := catalog.Versions{}
		for _, v := range m.Versions {
			versions[catalog.AdapterRef{Model: v.Model, Adapter: v.Adapter}] = v.Version
		}
		b.options.Source.TakeConfig(m.Config, versions)
	case *wire.UpstreamPush:
		var listed []*catalog.Upstream
		for _, u := range m.Upstreams {
			listed = append(listed, &catalog.Upstream{
				ID: u.ID, Born: u.Born, Service: u.Service, Address: u.Address, Zone: u.Zone, Slots: u.Slots, Draining: u.Draining,
			})
		}
		b.options.Source.TakeUpstreams(m.Whole, listed, m.Gone)
		if m.Whole {
			b.mu.Lock()
			b.relayWhole = b.relayWhole || from == b.lead.host
			b.mu.Unlock()
		}
	}
}
