package leader

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/jasminelock/jasminelock/catalog"
	"github.com/jasminelock/jasminelock/watch"
	"github.com/jasminelock/jasminelock/wire"
)

// maxRelayAge is the maximum time since the leader's last read of the store at which hosts rely on the leader. The
// leader reads the store at least once a second; beyond maxRelayAge, hosts read it themselves.
const maxRelayAge = 2 * time.Second

// readReserve is the part of Options.MaxPropagation kept for a host's own read of the tables: a heartbeat, and a read
// that fails once.
const readReserve = heartbeatInterval + 900*time.Millisecond

// relayState is what the leader caches to relay the tables.
type relayState struct {
	// config is the compressed configuration of version configVersion.
	config        []byte
	configVersion int64
	// upstreams are the compressed upstreams of the view with checksum upstreamsSum.
	upstreams    []byte
	upstreamsSum uint64
	// budget is the number of bytes that may be spent on full relays (of the complete tables), as of budgetAt.
	budget   float64
	budgetAt time.Time
}

// packedConfig returns the configuration in its compressed form, nil if there is none.
func (b *Broker) packedConfig() []byte {
	if b.view.Config == nil || b.view.RawConfig.Key == "" {
		return nil
	}
	if b.relay.config == nil || b.relay.configVersion != b.view.Config.Version {
		packed, err := watch.PackConfig(b.view.RawConfig)
		if err != nil {
			b.log.Error("configuration cannot be compressed; not relayed", "error", err)
			return nil
		}
		b.relay.config, b.relay.configVersion = packed, b.view.Config.Version
	}
	return b.relay.config
}

// maxRelayDelay is how long a relayed change and the heartbeat that confirms it may take.
const maxRelayDelay = 2 * heartbeatInterval

// pastSum is the checksum of an earlier view of the leader, and the time at which the next view replaced it.
type pastSum struct {
	sum   uint64
	until time.Time
}

// inSyncWith reports whether a host with the given checksum has the leader's view, or one that the leader had less
// than maxRelayDelay ago.
func (b *Broker) inSyncWith(now time.Time, sum uint64) bool {
	return sum == b.view.Checksum || slices.ContainsFunc(b.pastSums, func(p pastSum) bool {
		return p.sum == sum && now.Sub(p.until) < maxRelayDelay
	})
}

// recordSum records the checksum of the view that is replaced at now.
func (b *Broker) recordSum(now time.Time, sum uint64) {
	b.pastSums = slices.DeleteFunc(b.pastSums, func(p pastSum) bool { return now.Sub(p.until) >= maxRelayDelay })
	b.pastSums = append(b.pastSums, pastSum{sum, now})
}

// syncMember relays the complete tables to a host whose view differs: when the host joins, and when it has missed
// a change.
func (b *Broker) syncMember(now time.Time, host string, m *member, sum uint64) {
	switch {
	case b.view.Config == nil:
	case b.inSyncWith(now, sum):
		m.relayed, m.mismatches = true, 0
	case b.learning(now):
		// The copy's tables would make a host that has lived through the restore forget which upstreams have left.
	case m.relayed && m.mismatches < maxMismatches:
		m.mismatches++
	case b.takeRelayBudget(now):
		m.relayed, m.mismatches = true, 0
		b.relayAll(host)
	}
}

// maxMismatches is the number of consecutive heartbeats that may report a different view before the complete
// tables are relayed again.
const maxMismatches = 2

// takeRelayBudget reports whether a full relay is within the budget, and charges it. It keeps the leader from
// relaying the tables to many hosts at once. The other hosts read the store and receive the tables at their
// next heartbeats.
func (b *Broker) takeRelayBudget(now time.Time) bool {
	r := &b.relay
	r.budget = min(r.budget+now.Sub(r.budgetAt).Seconds()*fullRelayRate, fullRelayRate*heartbeatInterval.Seconds())
	r.budgetAt = now
	if r.budget <= 0 {
		return false
	}
	r.budget -= float64(len(b.packedConfig()) + len(b.packedUpstreams()) + fullRelayOverhead)
	return true
}

const (
	// fullRelayRate is the maximum rate of full relays, in bytes per second: a tenth of a strong host's link.
	fullRelayRate = 2.5e6
	// fullRelayOverhead is the cost of a full relay beyond the tables' own bytes.
	fullRelayOverhead = 4 << 10
)

// relayAll relays the complete tables to a host.
func (b *Broker) relayAll(host string) {
	b.sendTo(host, b.configPush(b.packedConfig(), nil))
	b.sendTo(host, &wire.UpstreamPush{Complete: true, Packed: b.packedUpstreams(), UpstreamsVersion: b.view.UpstreamsVersion})
}

// packedUpstreams returns the upstreams in their compressed form.
func (b *Broker) packedUpstreams() []byte {
	if b.relay.upstreams == nil || b.relay.upstreamsSum != b.view.Checksum {
		var list []wire.Upstream
		for _, u := range b.view.Upstreams {
			list = append(list, wireUpstream(u))
		}
		sortUpstreams(list)
		packed, err := wire.PackUpstreams(list)
		if err != nil {
			b.log.Error("upstreams cannot be compressed", "error", err)
		}
		b.relay.upstreams, b.relay.upstreamsSum = packed, b.view.Checksum
	}
	return b.relay.upstreams
}

// relayChanges relays the changes since the previous view to every host. Changes of the adapters that engines hold
// are not relayed, since only the leader needs them.
func (b *Broker) relayChanges(now time.Time, before *watch.View) {
	b.recordSum(now, before.Checksum)
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
		if old, ok := before.Upstreams[id]; !ok || entryDiffers(old, u) {
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
	b.compressUpstreams(push)
	for host, m := range b.members {
		if !m.relayed {
			continue // the complete tables are relayed to it first
		}
		// The upstreams go first: with the configuration, a host that has started after a restore of the store counts as
		// knowing the tables.
		if len(push.Upstreams)+len(push.Packed)+len(push.RemovedUpstreams) > 0 {
			b.sendTo(host, push)
		}
		if evacuations || len(config.Config)+len(config.Versions) > 0 {
			b.sendTo(host, config)
		}
	}
}

// compressUpstreams compresses the upstreams of a change if there are many, as when a service starts.
func (b *Broker) compressUpstreams(push *wire.UpstreamPush) {
	if len(push.Upstreams) < minCompressed {
		return
	}
	packed, err := wire.PackUpstreams(push.Upstreams)
	if err != nil {
		b.log.Error("changed upstreams cannot be compressed; relaying them uncompressed", "error", err)
		return
	}
	push.Packed, push.Upstreams = packed, nil
}

// minCompressed is the minimum number of upstreams that are sent compressed; for fewer, it gains nothing.
const minCompressed = 8

// configPush returns a push of the operator's table: a compressed configuration, which may be empty, the versions
// that differ from before, and all evacuations.
func (b *Broker) configPush(packed []byte, before catalog.Versions) *wire.ConfigPush {
	return &wire.ConfigPush{
		Config: packed, Versions: changedVersions(b.view.Versions, before),
		EvacuatedZones: slices.Sorted(maps.Keys(b.view.Evacuated.Zones)), EvacuatedVersion: b.view.Evacuated.StoreVersion,
		KnowsPriorEra: b.view.Evacuated.Continuous,
	}
}

// changedVersions returns the adapter versions that differ from before.
func changedVersions(now, before catalog.Versions) []wire.AdapterVersion {
	var out []wire.AdapterVersion
	for ref, v := range now {
		if before[ref] != v {
			out = append(out, wire.AdapterVersion{Model: ref.Model, Adapter: ref.Adapter, Version: v})
		}
	}
	slices.SortFunc(out, func(x, y wire.AdapterVersion) int { return strings.Compare(x.Adapter, y.Adapter) })
	return out
}

// entryDiffers reports whether two entries of an upstream differ for other hosts. During a slow start, the
// remaining time changes with each entry and is ignored.
func entryDiffers(old, u *catalog.Upstream) bool {
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

func decodeUpstream(u *wire.Upstream) *catalog.Upstream {
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

// receivePush handles tables relayed by the leader. It must be called without the lock, since the source calls
// back with the new view.
func (b *Broker) receivePush(from string, m wire.Message) {
	b.mu.Lock()
	known := from == b.leader.host && b.leading == nil
	asked := b.leading != nil && b.era.askedFor == from
	b.mu.Unlock()
	if push, ok := m.(*wire.ConfigPush); ok && asked && push.KnowsPriorEra {
		b.options.Source.LearnTables(priorTables(push))
		return
	}
	if !known {
		return
	}
	switch m := m.(type) {
	case *wire.ConfigPush:
		evacuated := watch.Evacuations{Zones: map[string]bool{}, StoreVersion: m.EvacuatedVersion, Continuous: m.KnowsPriorEra}
		for _, zone := range m.EvacuatedZones {
			evacuated.Zones[zone] = true
		}
		b.options.Source.ApplyRelayedConfig(m.Config, decodeVersions(m.Versions), evacuated)
	case *wire.UpstreamPush:
		b.applyUpstreams(m)
	}
}

func decodeVersions(list []wire.AdapterVersion) catalog.Versions {
	versions := catalog.Versions{}
	for _, v := range list {
		versions[catalog.AdapterRef{Model: v.Model, Adapter: v.Adapter}] = v.Version
	}
	return versions
}

// applyUpstreams applies relayed upstreams. Once it has received all of them, this host relies on the leader's
// relay; with its own reads, it would be ahead of the leader again at once.
func (b *Broker) applyUpstreams(m *wire.UpstreamPush) {
	list := m.Upstreams
	if len(m.Packed) > 0 {
		var err error
		if list, err = wire.UnpackUpstreams(m.Packed); err != nil {
			b.log.Error("relayed upstreams cannot be decoded; ignoring them", "error", err)
			return
		}
	}
	if m.Complete {
		b.mu.Lock()
		b.inSync, b.mismatches = true, 0
		renewalOverdue := b.leader.renewalOverdue
		b.mu.Unlock()
		b.options.Source.SetRelayed(!renewalOverdue)
	}
	var listed []*catalog.Upstream
	for i := range list {
		listed = append(listed, decodeUpstream(&list[i]))
	}
	b.options.Source.ApplyRelayedUpstreams(watch.RelayedUpstreams{StoreVersion: m.UpstreamsVersion, Whole: m.Complete, Listed: listed, Gone: m.RemovedUpstreams})
}
