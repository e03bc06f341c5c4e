package lead

import (
	"maps"
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

// readReserve is what remains for a read of the tables where hosts rely on the lead
// for as long as what must be in force allows: a beat, and a read that fails once.
const readReserve = beatEvery + 900*time.Millisecond

// relayState is what the lead keeps to pass on.
type relayState struct {
	// config is the compressed configuration of the given version.
	config        []byte
	configVersion int64
	// upstreams are the compressed upstreams of the view with the given checksum.
	upstreams    []byte
	upstreamsSum uint64
	// budget is how many bytes may be passed on to hosts that are told all, as of
	// budgetAt.
	budget   float64
	budgetAt time.Time
}

// packedConfig returns the configuration as it is passed on, nil before there
// is one.
func (b *Broker) packedConfig() []byte {
	if b.view.Config == nil || b.view.RawConfig.Key == "" {
		return nil
	}
	if b.relay.config == nil || b.relay.configVersion != b.view.Config.Version {
		packed, err := watch.PackConfig(b.view.RawConfig)
		if err != nil {
			b.log.Error("configuration not passed on", "error", err)
			return nil
		}
		b.relay.config, b.relay.configVersion = packed, b.view.Config.Version
	}
	return b.relay.config
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
	return sum == b.view.Checksum || slices.ContainsFunc(b.sums, func(p pastSum) bool { return p.sum == sum && now.Sub(p.until) < passTime })
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
	case b.mayPass(now):
		m.passed, m.missed = true, 0
		b.passAll(host)
	}
}

// missedBeats is how many beats in a row may tell that a host knows something
// else before it is told all again.
const missedBeats = 2

// mayPass keeps the lead from telling many hosts all at once. The others read the
// store, and ask again with their next beats.
func (b *Broker) mayPass(now time.Time) bool {
	r := &b.relay
	r.budget = min(r.budget+now.Sub(r.budgetAt).Seconds()*passRate, passRate*beatEvery.Seconds())
	r.budgetAt = now
	if r.budget <= 0 {
		return false
	}
	r.budget -= float64(len(b.packedConfig()) + len(b.packedUpstreams()) + passOverhead)
	return true
}

const (
	// passRate is how many bytes a second are passed on to hosts that are told all, a
	// tenth of a strong host's link.
	passRate = 2.5e6
	// passOverhead is what telling a host costs beside the bytes of the tables.
	passOverhead = 4 << 10
)

// passAll tells a host all that the platform's tables say.
func (b *Broker) passAll(host string) {
	b.sendTo(host, b.configPush(b.packedConfig(), nil))
	b.sendTo(host, &wire.UpstreamPush{Complete: true, Packed: b.packedUpstreams(), UpstreamsVersion: b.view.UpstreamsVersion})
}

// packedUpstreams returns the upstreams as they are passed on.
func (b *Broker) packedUpstreams() []byte {
	if b.relay.upstreams == nil || b.relay.upstreamsSum != b.view.Checksum {
		var list []wire.Upstream
		for _, u := range b.view.Upstreams {
			list = append(list, wireUpstream(u))
		}
		sortUpstreams(list)
		packed, err := wire.PackUpstreams(list)
		if err != nil {
			b.log.Error("upstreams not passed on", "error", err)
		}
		b.relay.upstreams, b.relay.upstreamsSum = packed, b.view.Checksum
	}
	return b.relay.upstreams
}

// passOn tells every host what has changed since the view before. That engines
// hold other adapters concerns only the lead.
func (b *Broker) passOn(now time.Time, before *watch.View) {
	b.noteSum(now, before.Checksum)
	if len(b.members) == 0 {
		return
	}
	config := b.configPush(nil, before.Versions)
	evacuations := !maps.Equal(b.view.Evacuated.Zones, before.Evacuated.Zones)
	if b.view.Config != nil && (before.Config == nil || b.view.Config.Version != before.Config.Version) {
		config.Config = b.packedConfig()
	}
	push := &wire.UpstreamPush{UpstreamsVersion: b.view.UpstreamsVersion}
	for id, u := range b.view.Upstreams {
		if old, ok := before.Upstreams[id]; !ok || listsOther(old, u) {
			push.Upstreams = append(push.Upstreams, wireUpstream(u))
		}
	}
	for id := range before.Upstreams {
		if _, ok := b.view.Upstreams[id]; !ok {
			push.RemovedUpstreams = append(push.RemovedUpstreams, id)
		}
	}
	sortUpstreams(push.Upstreams)
	slices.Sort(push.RemovedUpstreams)
	b.packChanges(push)
	for host, m := range b.members {
		if !m.passed {
			continue // it is told all of it first
		}
		if evacuations || len(config.Config)+len(config.Versions) > 0 {
			b.sendTo(host, config)
		}
		if len(push.Upstreams)+len(push.Packed)+len(push.RemovedUpstreams) > 0 {
			b.sendTo(host, push)
		}
	}
}

// packChanges compresses the upstreams of a change that are many, as when a service
// starts.
func (b *Broker) packChanges(push *wire.UpstreamPush) {
	if len(push.Upstreams) < packedFrom {
		return
	}
	packed, err := wire.PackUpstreams(push.Upstreams)
	if err != nil {
		b.log.Error("upstreams not compressed", "error", err)
		return
	}
	push.Packed, push.Upstreams = packed, nil
}

// packedFrom is how many upstreams are told compressed. A few are not worth it.
const packedFrom = 8

// configPush returns what is told of the operator's table: a compressed configuration,
// which may be empty, the versions that differ from those before, and all evacuations.
func (b *Broker) configPush(packed []byte, before catalog.Versions) *wire.ConfigPush {
	return &wire.ConfigPush{
		Config: packed, Versions: versionList(b.view.Versions, before),
		EvacuatedZones: slices.Sorted(maps.Keys(b.view.Evacuated.Zones)), EvacuatedVersion: b.view.Evacuated.StoreVersion,
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

// listsOther reports whether two entries of an upstream differ for other hosts. While it
// takes few requests, the time that is left changes with each entry and is not told.
func listsOther(old, u *catalog.Upstream) bool {
	x, y := wireUpstream(old), wireUpstream(u)
	same := (x.SlowStartMillis > 0) == (y.SlowStartMillis > 0)
	x.SlowStartMillis, y.SlowStartMillis = 0, 0
	return x != y || !same
}

func wireUpstream(u *catalog.Upstream) wire.Upstream {
	return wire.Upstream{
		ID: u.ID, StartedAt: u.StartedAt, Service: u.Service, Address: u.Address, Zone: u.Zone, Slots: u.Slots, Draining: u.Draining,
		Models: strings.Join(u.Models(), modelSeparator), SlowStartMillis: u.SlowStartRemaining.Milliseconds(),
	}
}

// modelSeparator separates the names of models in a message.
const modelSeparator = "\n"

func listedUpstream(u *wire.Upstream) *catalog.Upstream {
	out := &catalog.Upstream{
		ID: u.ID, StartedAt: u.StartedAt, Service: u.Service, Address: u.Address, Zone: u.Zone, Slots: u.Slots, Draining: u.Draining,
		SlowStartRemaining: milliseconds(u.SlowStartMillis),
	}
	for name := range strings.SplitSeq(u.Models, modelSeparator) {
		if name != "" {
			out.Loaded = append(out.Loaded, catalog.LoadedModel{Model: name})
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
		evacuated := watch.Evacuations{Zones: map[string]bool{}, StoreVersion: m.EvacuatedVersion}
		for _, zone := range m.EvacuatedZones {
			evacuated.Zones[zone] = true
		}
		b.options.Source.ApplyRelayedConfig(m.Config, versions, evacuated)
	case *wire.UpstreamPush:
		b.takeUpstreams(m)
	}
}

// takeUpstreams takes upstreams. From all of them on, this host goes by what the
// lead passes on, or it would be ahead of the lead again at once.
func (b *Broker) takeUpstreams(m *wire.UpstreamPush) {
	list := m.Upstreams
	if len(m.Packed) > 0 {
		var err error
		if list, err = wire.UnpackUpstreams(m.Packed); err != nil {
			b.log.Error("upstreams passed on cannot be read", "error", err)
			return
		}
	}
	if m.Complete {
		b.mu.Lock()
		b.inStep, b.unlike = true, 0
		weak := b.lead.weak
		b.mu.Unlock()
		b.options.Source.SetRelayed(!weak)
	}
	var listed []*catalog.Upstream
	for i := range list {
		listed = append(listed, listedUpstream(&list[i]))
	}
	b.options.Source.ApplyRelayedUpstreams(watch.RelayedUpstreams{StoreVersion: m.UpstreamsVersion, Whole: m.Complete, Listed: listed, Gone: m.RemovedUpstreams})
}
