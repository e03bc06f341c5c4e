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

// passTime is how long a change may be on its way to a host and back in a beat.
const passTime = 2 * beatEvery

// pastSum is a checksum of what the lead knew until a change.
type pastSum struct {
	sum   uint64
	until time.Time
}

// knows reports whether a host knows what the lead has passed on, but for what is
// on its way.
func (b *Broker) knows(now time.Time, sum uint64) bool {
	return sum == b.view.Sum || slices.ContainsFunc(b.sums, func(p pastSum) bool { return p.sum == sum && now.Sub(p.until) < passTime })
}

// noteSum remembers what the lead knew until now.
func (b *Broker) noteSum(now time.Time, sum uint64) {
	b.sums = slices.DeleteFunc(b.sums, func(p pastSum) bool { return now.Sub(p.until) >= passTime })
	b.sums = append(b.sums, pastSum{sum, now})
}

// keepPassed has a host told all that the tables say where it knows something
// else: at first, and when it has missed a change.
func (b *Broker) keepPassed(now time.Time, host string, m *member, sum uint64) {
	switch {
	case b.view.Config == nil:
	case b.knows(now, sum):
		m.passed, m.missed = true, 0
	case m.passed && m.missed < missedBeats:
		m.missed++
	default:
		m.passed, m.missed = true, 0
		b.passAll(host)
	}
}

// missedBeats is how many beats in a row may tell that a host knows something
// else before it is told all again.
const missedBeats = 2

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
func (b *Broker) passOn(now time.Time, before *watch.View) {
	b.noteSum(now, before.Sum)
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
		Models: strings.Join(u.Models(), modelSeparator),
	}
}

// modelSeparator separates the names of models in a message.
const modelSeparator = "\n"

func listedUpstream(u *wire.Upstream) *catalog.Upstream {
	out := &catalog.Upstream{
		ID: u.ID, Born: u.Born, Service: u.Service, Address: u.Address, Zone: u.Zone, Slots: u.Slots, Draining: u.Draining,
	}
	for name := range strings.SplitSeq(u.Models, modelSeparator) {
		if name != "" {
			out.Loaded = append(out.Loaded, catalog.Loaded{Model: name})
		}
	}
	return out
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
		for i := range m.Upstreams {
			listed = append(listed, listedUpstream(&m.Upstreams[i]))
		}
		b.options.Source.TakeUpstreams(m.Whole, listed, m.Gone)
	}
}
