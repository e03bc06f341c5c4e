package lead

import (
	"time"

	"github.com/jasminelock/jasminelock/apierr"
	"github.com/jasminelock/jasminelock/assign"
	"github.com/jasminelock/jasminelock/wire"
)

// leadSilence is how long the lead may be silent before a host goes on by itself.
const leadSilence = 800 * time.Millisecond

// Receive takes a message of another host. It does not wait.
func (b *Broker) Receive(from string, m wire.Message) {
	switch m.(type) {
	case *wire.ConfigPush, *wire.UpstreamPush:
		b.receivePush(from, m)
		return
	}
	b.step(func(now time.Time) {
		if beat, ok := m.(*wire.LeaderHeartbeat); ok {
			b.receiveBeat(now, from, beat)
			return
		}
		if from == b.lead.host {
			b.lead.heardAt = now
		}
		switch m := m.(type) {
		case *wire.Successor:
			b.receiveSuccessor(now, from, m)
		case *wire.UpstreamLeaving:
			// A host that has just joined hears this before it knows that from leads.
			b.noteLeaving(now, upstreamStart{m.Upstream, m.StartedAt}, from)
		case *wire.Grant:
			b.receiveGrant(from, m)
		case *wire.Refuse:
			b.receiveRefuse(m)
		default:
			if b.leading != nil {
				b.receiveAsLead(now, from, m)
			}
		}
	})
}

// LinkLost takes that the last link to a host has ended.
func (b *Broker) LinkLost(host string) {
	if b.ctx.Err() != nil {
		return // this host is stopping
	}
	b.step(func(now time.Time) {
		if b.leading != nil {
			b.dropMember(now, host, linkEnded)
		}
		if host == b.lead.host {
			b.loseLead(now, linkEnded)
		}
	})
}

func (b *Broker) receiveGrant(from string, m *wire.Grant) {
	t, ok := b.tickets[m.Number]
	if !ok || t.settled || !t.toLead {
		// Nobody waits for it any more: the upstream is free again.
		b.sendTo(from, &wire.AttemptEnded{Number: m.Number, Outcome: uint8(assign.CallerLeft)})
		return
	}
	b.settle(t, assign.Grant{
		ID: t.request.ID, Upstream: m.Upstream, StartedAt: m.StartedAt, Version: m.Version, Rule: m.Rule, Expected: milliseconds(m.ExpectedMillis),
	})
}

func (b *Broker) receiveRefuse(m *wire.Refuse) {
	kind := apierr.Kind(m.Kind)
	if !kind.Known() {
		b.log.Warn("refusal of an unknown kind", "kind", m.Kind, "rule", m.Rule)
		kind = apierr.QueueFull
	}
	if t, ok := b.tickets[m.Number]; ok && t.toLead {
		b.settle(t, assign.Refuse{ID: t.request.ID, Kind: kind, RetryAfter: milliseconds(m.RetryAfterMillis), Rule: m.Rule})
	}
}

// receiveBeat takes what the lead tells.
func (b *Broker) receiveBeat(now time.Time, from string, m *wire.LeaderHeartbeat) {
	switch {
	case m.Released:
		if from == b.lead.host {
			b.lead.row.released = true
			b.loseLead(now, "released")
		}
		return
	case m.Fence < b.lead.fence:
		return // a lead that has been replaced and does not know it
	case b.leading != nil && from != b.options.Host:
		b.stopLeading(now, "another host leads with a newer lease")
	}
	if b.lead.host != from {
		b.follow(now, from, m.Fence)
	}
	b.noteLead(now, from, m)
	b.noteRelay(m)
}

// noteRelay notes whether this host knows all that the lead does, so that it
// need not read the store. A change that was missed shows in the checksum.
func (b *Broker) noteRelay(m *wire.LeaderHeartbeat) {
	same := m.TablesChecksum == b.view.Checksum && b.view.Config != nil
	switch {
	case same:
		b.inStep, b.unlike = true, 0
	case b.unlike < missedBeats:
		b.unlike++
	default:
		b.inStep = false
	}
	b.options.Source.SetRelayed(b.inStep && b.fresh(m))
	if same {
		b.options.Source.SetKnownVersions(m.OperatorVersion, m.UpstreamsVersion)
	}
}

// fresh reports whether the lead has read the store so lately that this host can rely
// on it. One that may take over reads for itself as soon as the lead is weak.
func (b *Broker) fresh(m *wire.LeaderHeartbeat) bool {
	age := milliseconds(m.StoreAgeMillis)
	return (!m.RenewalOverdue && age < relayAge) || (!b.strong() && age < b.options.MaxPropagation-readReserve)
}

// noteLead takes what a beat says of the lead, of the hosts and of rates.
func (b *Broker) noteLead(now time.Time, from string, m *wire.LeaderHeartbeat) {
	if (m.RenewalOverdue && !b.lead.weak) || (m.Yields && !b.lead.yields) {
		b.wakeUp()
	}
	b.lead.fence, b.lead.heardAt, b.lead.weak, b.lead.yields = m.Fence, now, m.RenewalOverdue, m.Yields
	if m.LeaseVersion > b.lead.row.version && from == b.lead.row.host {
		b.lead.row.version, b.lead.row.since = m.LeaseVersion, now
	}
	b.takeRoster(m)
	b.noteUsed(now, m.LimitUsages)
	b.learnSuspects(now, from, m.Suspects, 0)
	clear(b.exhausted)
	for _, name := range m.Exhausted {
		b.exhausted[name] = true
	}
}

// succeed turns to the lead that has replaced another one. It is followed once
// it has answered.
func (b *Broker) succeed(now time.Time, m *wire.Successor) {
	if m.Fence <= b.lead.fence || m.Host == b.options.Host {
		return
	}
	b.lead.row = leaseView{host: m.Host, url: m.URL, secret: b.lead.row.secret, version: m.Fence, since: now}
	b.sendTo(m.Host, b.hostBeat())
}

// receiveSuccessor takes that the lease has another holder, as the one that was
// replaced says, or the new one itself.
func (b *Broker) receiveSuccessor(now time.Time, from string, m *wire.Successor) {
	switch {
	case b.leading != nil:
		b.replaced(now, m)
	case m.Fence <= b.lead.fence:
	case from == b.lead.host || from == m.Host:
		b.loseLead(now, "replaced by "+m.Host)
		b.succeed(now, m)
	}
}

// follow takes a lead: it is told what runs, and asked for what waits.
func (b *Broker) follow(now time.Time, host string, fence int64) {
	if host != b.options.Host {
		b.log.Info("lead found", "lead", host, "fence", fence)
	}
	b.lead.host, b.lead.fence, b.lead.heardAt, b.lead.everHeard = host, fence, now, true
	b.lead.weak, b.lead.yields, b.lead.aside, b.lead.ledSince = false, false, false, now
	b.hostsBefore = 0
	b.tellUsage(now)
	b.tellSuspects(now)
	for _, t := range b.tickets {
		if t.upstream != "" && b.needsLead(t.request.Service) {
			b.adopt(now, t)
		}
	}
	b.tellHomes(now)
	b.tellLeaving(host)
	for _, t := range b.tickets {
		if t.upstream == "" && !t.settled && t.request.Service != "" && b.needsLead(t.request.Service) {
			b.handleLocal(now, assign.RequestWithdrawn{ID: t.request.ID})
			b.send(now, t)
		}
	}
}

// tellUsage tells a new lead what organisations have used through this host.
func (b *Broker) tellUsage(now time.Time) {
	clear(b.spent)
	beat := b.hostBeat()
	b.local.EachUsage(now, 0, func(organisation string, at time.Time, tokens float64) {
		if b.leading != nil {
			b.leading.RecordUsage(now, at, organisation, tokens)
			return
		}
		beat.TokenUsages = append(beat.TokenUsages, wire.TokenUsage{Organisation: organisation, Tokens: tokens, AgeMillis: now.Sub(at).Milliseconds()})
	})
	if b.leading == nil {
		b.sendLead(beat)
	}
}

// adopt tells the lead of a request that is already with an upstream.
func (b *Broker) adopt(now time.Time, t *Ticket) {
	if !t.toLead {
		return // this host's own Assigner follows it to its end
	}
	if b.leading != nil {
		b.handleLeading(now, assign.RequestAdopted{Request: t.request, Upstream: t.upstream, FirstByteReceived: t.started})
		return
	}
	b.sendLead(&wire.AdoptRequest{AssignRequest: *askMessage(now, &t.request), Upstream: t.upstream, FirstByteReceived: t.started})
}

// loseLead goes on without a lead: what waits for one is decided here.
func (b *Broker) loseLead(now time.Time, why string) {
	if b.lead.host == "" {
		return
	}
	if b.lead.host != b.options.Host {
		b.log.Warn("lead lost", "lead", b.lead.host, "reason", why)
	}
	b.lead.lost, b.aloneSince = true, now
	b.lead.host, b.unlike = "", 0
	b.awaitSuccessor(now, why)
	for _, t := range b.tickets {
		if !t.settled && t.toLead {
			b.send(now, t)
		}
	}
}

// shareChanged gives this host its part of the fleet's limits for the time
// without a lead, and has it read the tables by whether it may lead.
func (b *Broker) shareChanged() {
	b.local.SetShare(1 / float64(max(len(b.hosts), b.hostsBefore, 1)))
	b.options.Source.SetLowLatency(b.leading != nil || b.strong())
}

// Hosts returns the hosts that callers may be sent to.
func (b *Broker) Hosts() []wire.CallerHost {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.hosts
}

// Drain has callers sent elsewhere, and gives the lease back where this host
// holds it.
func (b *Broker) Drain() {
	b.step(func(time.Time) {
		b.draining = true
		if b.leading != nil {
			b.rosterChanged()
			return
		}
		if b.lead.host != "" {
			b.sendLead(b.hostBeat())
		}
	})
}

// hostBeat returns what this host tells the lead.
func (b *Broker) hostBeat() *wire.HostHeartbeat {
	beat := &wire.HostHeartbeat{
		Zone: b.options.Zone, CallerAddress: b.options.CallerAddress, Draining: b.draining, Cores: b.options.Cores, MemberListVersion: b.roster,
		PeerURL: b.options.PeerURL, TablesChecksum: b.view.Checksum,
	}
	for name, tokens := range b.spent {
		beat.TokenUsages = append(beat.TokenUsages, wire.TokenUsage{Organisation: name, Tokens: tokens})
	}
	clear(b.spent)
	return beat
}
