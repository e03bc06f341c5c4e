package leader

import (
	"time"

	"github.com/jasminelock/jasminelock/apierr"
	"github.com/jasminelock/jasminelock/assign"
	"github.com/jasminelock/jasminelock/store"
	"github.com/jasminelock/jasminelock/wire"
)

// leaderTimeout is how long the leader may be silent before a host drops it and assigns requests by itself.
const leaderTimeout = 800 * time.Millisecond

// Receive handles a message of another host. It does not block.
func (b *Broker) Receive(from string, m wire.Message) {
	switch m.(type) {
	case *wire.ConfigPush, *wire.UpstreamPush:
		b.receivePush(from, m)
		return
	}
	b.update(func(now time.Time) {
		if heartbeat, ok := m.(*wire.LeaderHeartbeat); ok {
			b.receiveHeartbeat(now, from, heartbeat)
			return
		}
		if from == b.leader.host {
			b.leader.heardAt = now
		}
		switch m := m.(type) {
		case *wire.Successor:
			b.receiveSuccessor(now, from, m)
		case *wire.UpstreamLeaving:
			// A host that has just joined receives this before it knows that the sender leads.
			b.recordLeaving(now, upstreamIncarnation{m.Upstream, m.StartedAt}, from)
		case *wire.RateLimits:
			b.receiveRateLimits(now, from, m)
		case *wire.RateLimitReport:
			if b.leading != nil {
				b.receiveAsLeader(now, from, m)
			} else {
				b.receiveSpreadRateLimits(now, from, m)
			}
		case *wire.Suspects:
			b.receiveSuspects(now, from, m)
		case *wire.Grant:
			b.receiveGrant(from, m)
		case *wire.Refuse:
			b.receiveRefuse(m)
		default:
			if b.leading != nil {
				b.receiveAsLeader(now, from, m)
			}
		}
	})
}

// LinkLost records that the last link to a host has ended.
func (b *Broker) LinkLost(host string) {
	if b.ctx.Err() != nil {
		return // this host is stopping
	}
	b.update(func(now time.Time) {
		if b.leading != nil {
			b.dropMember(now, host, reasonLinkEnded)
		}
		if host == b.leader.host {
			b.loseLeader(now, reasonLinkEnded)
		}
	})
}

func (b *Broker) receiveGrant(from string, m *wire.Grant) {
	t, ok := b.tickets[m.Number]
	if !ok || t.decided || !t.atLeader {
		// The request no longer waits for an assignment; free the upstream's slot.
		b.sendTo(from, &wire.AttemptEnded{Number: m.Number, Outcome: uint8(assign.CallerLeft)})
		return
	}
	b.deliver(t, assign.Grant{
		ID: t.request.ID, Upstream: m.Upstream, StartedAt: m.StartedAt, Version: m.Version, Rule: m.Rule, Expected: milliseconds(m.ExpectedMillis),
		Held: milliseconds(m.HeldMillis), RateLimit: rateState(m.RateLimit), Ranked: m.Ranked, Turn: milliseconds(m.TurnMillis),
	})
}

func (b *Broker) receiveRefuse(m *wire.Refuse) {
	kind := apierr.Kind(m.Kind)
	if !kind.Known() {
		b.log.Warn("refusal has an unknown kind; treating it as queue_full", "kind", m.Kind, "rule", m.Rule)
		kind = apierr.QueueFull
	}
	if t, ok := b.tickets[m.Number]; ok && t.atLeader {
		b.deliver(t, assign.Refuse{ID: t.request.ID, Kind: kind, RetryAfter: milliseconds(m.RetryAfterMillis), Rule: m.Rule, Detail: m.Detail, RateLimit: rateState(m.RateLimit)})
	}
}

// receiveHeartbeat handles a heartbeat of the leader.
func (b *Broker) receiveHeartbeat(now time.Time, from string, m *wire.LeaderHeartbeat) {
	switch {
	case m.Released:
		if from == b.leader.host {
			b.leader.row.released = true
			b.loseLeader(now, "released")
		}
		return
	case m.Fence < b.leader.fence:
		return // a replaced leader that does not know it yet
	case b.leading != nil && from != b.options.Host:
		b.stopLeading(now, "another host leads with a newer lease")
	}
	if b.leader.host != from {
		b.rateLimits.managed = m.RateLimitVersion != 0
		b.follow(now, from, m.Fence)
	}
	b.applyHeartbeat(now, from, m)
	b.updateInSync(m)
}

// updateInSync records whether this host's view equals the leader's, in which case it need not read the store. A
// missed change shows as a different checksum.
func (b *Broker) updateInSync(m *wire.LeaderHeartbeat) {
	same := m.TablesChecksum == b.view.Checksum && b.view.Config != nil
	switch {
	case same:
		b.inSync, b.mismatches = true, 0
	case b.mismatches < maxMismatches:
		b.mismatches++
	default:
		b.inSync = false
	}
	b.options.Source.SetRelayed(b.inSync && b.leaderFresh(m))
	if same {
		b.options.Source.SetKnownVersions(m.OperatorVersion, m.UpstreamsVersion)
	}
}

// leaderFresh reports whether the leader has read the store recently enough for this host to rely on it. A host
// that may take over reads the store itself as soon as the leader's renewal is overdue.
func (b *Broker) leaderFresh(m *wire.LeaderHeartbeat) bool {
	age := milliseconds(m.StoreAgeMillis)
	return (!m.RenewalOverdue && age < maxRelayAge) || (!b.strong() && age < b.options.MaxPropagation-readReserve)
}

// applyHeartbeat records what a heartbeat reports of the leader, the hosts, and the organisations' rates.
func (b *Broker) applyHeartbeat(now time.Time, from string, m *wire.LeaderHeartbeat) {
	if (m.RenewalOverdue && !b.leader.renewalOverdue) || (m.Yields && !b.leader.yielding) {
		b.wakeRun()
	}
	b.leader.fence, b.leader.heardAt, b.leader.renewalOverdue, b.leader.yielding = m.Fence, now, m.RenewalOverdue, m.Yields
	if m.LeaseVersion > b.leader.row.version && from == b.leader.row.host {
		b.leader.row.version, b.leader.row.firstSeenAt = m.LeaseVersion, now
		b.leader.row.era, b.leader.row.writtenIn = store.EraOf(m.LeaseVersion), store.EraOf(m.LeaseVersion)
	}
	b.hearOfEra(now, m.StoreEra)
	if m.WantsTables {
		b.pushKnownTables(from)
	}
	b.applyMemberList(m)
	b.updateOrganisationShares(now, m.LimitUsages)
	b.suspects.leaderDecides, b.leader.readsFirstByteLoad = m.DecidesSuspects, m.ReadsFirstByteLoad
	b.mergeSuspects(now, from, m.Suspects)
	clear(b.exhausted)
	for _, name := range m.Exhausted {
		b.exhausted[name] = true
	}
}

// followSuccessor records the leader that has replaced another one and sends it a heartbeat. This host follows the
// new leader once it has answered.
func (b *Broker) followSuccessor(now time.Time, m *wire.Successor) {
	if m.Fence <= b.leader.fence || m.Host == b.options.Host {
		return
	}
	b.leader.row = leaseView{host: m.Host, url: m.URL, secret: b.leader.row.secret, version: m.Fence, firstSeenAt: now, era: store.EraOf(m.Fence), writtenIn: store.EraOf(m.Fence)}
	b.sendTo(m.Host, b.hostHeartbeat())
}

// receiveSuccessor handles the notice that the lease has a new holder. It is sent by the replaced leader or by the
// new one.
func (b *Broker) receiveSuccessor(now time.Time, from string, m *wire.Successor) {
	switch {
	case b.leading != nil:
		b.handOver(now, m)
	case m.Fence <= b.leader.fence:
	case from == b.leader.host || from == m.Host:
		b.loseLeader(now, "replaced by "+m.Host)
		b.followSuccessor(now, m)
	}
}

// follow makes host the leader of this host, reports this host's usage, suspects, running requests and adapter
// locations to it, and submits the waiting requests to it.
func (b *Broker) follow(now time.Time, host string, fence int64) {
	if host != b.options.Host {
		b.log.Info("lead found", "lead", host, "fence", fence)
	}
	b.leader.host, b.leader.fence, b.leader.heardAt, b.leader.startupDone = host, fence, now, true
	b.leader.renewalOverdue, b.leader.yielding, b.leader.steppingAside, b.leader.ledSince = false, false, false, now
	b.lastHostCount = 0
	b.setRateLimitsManaged(now, b.rateLimits.managed)
	b.reportRateLimits(now)
	b.reportUsage(now)
	b.reportSuspects(now)
	for _, t := range b.tickets {
		if t.upstream != "" && b.needsLeader(t.request.Service) {
			b.reportRunning(now, t)
		}
	}
	b.reportLocations(now)
	b.reportLeaving(host)
	b.submitToLeader(now)
}

// reportUsage reports to a new leader the tokens that organisations have used through this host.
func (b *Broker) reportUsage(now time.Time) {
	clear(b.unreportedUsage)
	heartbeat := b.hostHeartbeat()
	b.local.EachUsage(now, 0, func(organisation string, at time.Time, tokens float64) {
		if b.leading != nil {
			b.leading.RecordUsage(now, at, organisation, tokens)
			return
		}
		heartbeat.TokenUsages = append(heartbeat.TokenUsages, wire.TokenUsage{
			Organisation: organisation, Tokens: tokens, AgeMillis: now.Sub(at).Milliseconds(),
		})
	})
	if b.leading == nil {
		b.sendToLeader(heartbeat)
	}
}

// reportRunning reports a request that has already been assigned to an upstream to a new leader.
func (b *Broker) reportRunning(now time.Time, t *Ticket) {
	if !t.atLeader {
		return // this host's own Assigner tracks it to its end
	}
	if b.leading != nil {
		b.handleLeading(now, assign.RequestAdopted{Request: t.request, Upstream: t.upstream, FirstByteReceived: t.firstByteReceived})
		return
	}
	b.sendToLeader(&wire.AdoptRequest{AssignRequest: *requestMessage(now, &t.request), Upstream: t.upstream, FirstByteReceived: t.firstByteReceived})
}

// loseLeader continues without a leader: requests that wait for its assignment are submitted again.
func (b *Broker) loseLeader(now time.Time, reason string) {
	if b.leader.host == "" {
		return
	}
	if b.leader.host != b.options.Host {
		b.log.Warn("lead lost", "lead", b.leader.host, "reason", reason)
	}
	b.leader.hasLostLeader, b.leaderlessSince = true, now
	b.leader.host, b.mismatches = "", 0
	b.suspects.leaderDecides = false
	b.updateRefusals(now)
	b.setRateLimitsManaged(now, false)
	b.awaitSuccessor(now, reason)
	for _, t := range b.tickets {
		if !t.decided && t.atLeader {
			t.request.Admitted = true
			b.submit(now, t)
		}
	}
}

// updateFleetShare sets this host's share of the fleet's limits for the time without a leader, and whether it
// reads the tables with low latency, as a host that leads or may lead does.
func (b *Broker) updateFleetShare() {
	b.local.SetShare(1 / float64(max(len(b.hosts), b.lastHostCount, 1)))
	b.updateRateLimitShares(time.Now())
	b.options.Source.SetLowLatency(b.leading != nil || b.strong())
}

// Hosts returns the hosts that callers may be sent to.
func (b *Broker) Hosts() []wire.CallerHost {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.hosts
}

// Drain makes the fleet send callers to other hosts, and releases the lease if this host holds it.
func (b *Broker) Drain() {
	b.update(func(time.Time) {
		b.draining = true
		if b.leading != nil {
			b.memberListChanged()
			return
		}
		if b.leader.host != "" {
			b.sendToLeader(b.hostHeartbeat())
		}
	})
}

// hostHeartbeat returns a heartbeat to the leader. It moves the unreported usage into the heartbeat.
func (b *Broker) hostHeartbeat() *wire.HostHeartbeat {
	heartbeat := &wire.HostHeartbeat{
		Zone: b.options.Zone, CallerAddress: b.options.CallerAddress, Draining: b.draining, Cores: b.options.Cores, MemberListVersion: b.memberListVersion,
		PeerURL: b.options.PeerURL, TablesChecksum: b.view.Checksum, RateLimitVersion: b.rateLimits.version,
		StoreEra: b.era.number, KnowsPriorEra: b.view.Evacuated.Continuous,
	}
	for name, tokens := range b.unreportedUsage {
		heartbeat.TokenUsages = append(heartbeat.TokenUsages, wire.TokenUsage{Organisation: name, Tokens: tokens})
	}
	clear(b.unreportedUsage)
	return heartbeat
}
