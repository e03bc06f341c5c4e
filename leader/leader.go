package leader

import (
	"context"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/jasminelock/jasminelock/assign"
	"github.com/jasminelock/jasminelock/catalog"
	"github.com/jasminelock/jasminelock/wire"
)

// memberTimeout is how long a host may be silent before the leader drops it. It spans several heartbeats.
const memberTimeout = 1500 * time.Millisecond

// Timeouts of calls to engines, which answer within some milliseconds. An order without an answer is issued again,
// so that a longer timeout gains nothing.
const (
	orderTimeout  = 150 * time.Millisecond
	reportTimeout = time.Second
)

// member is a host as the leader knows it.
type member struct {
	zone     string
	callers  string
	peerURL  string
	draining bool
	cores    float64
	heardAt  time.Time
	// relayed is set once the complete tables have been relayed to the host. mismatches counts the consecutive
	// heartbeats that reported a different view.
	relayed    bool
	mismatches int
	// rateLimits is set if the host understands announcements of rate limits.
	rateLimits bool
}

// handleLeading passes an event to the fleet's Assigner and carries out its decisions.
func (b *Broker) handleLeading(now time.Time, ev assign.Event) {
	if b.leading == nil || b.stopIfExpired(now) {
		return // an earlier event or the lease's expiry has ended this host's term
	}
	for _, d := range b.leading.Handle(now, ev) {
		switch d := d.(type) {
		case assign.Grant, assign.Refuse:
			b.sendDecision(d)
		case assign.Order:
			go b.sendOrder(d)
		case assign.ReadReport:
			go b.readReport(d.Upstream)
		case assign.StepDown:
			b.stopLeading(now, "an engine has received orders of another leader")
			return
		}
	}
}

// sendDecision sends a decision to the host that submitted the request.
func (b *Broker) sendDecision(d assign.Decision) {
	id, m := decisionMessage(d)
	if id.Host == b.options.Host {
		b.deliverLocal(d)
		return
	}
	b.sendTo(id.Host, m)
}

func (b *Broker) sendTo(host string, m wire.Message) {
	if err := b.links.Send(host, m); err != nil {
		b.log.Debug("message not sent", "host", host, "error", err)
	}
}

func (b *Broker) sendToLeader(m wire.Message) { b.sendTo(b.leader.host, m) }

// sendOrder sends an order to an engine, unless this host no longer holds the lease.
func (b *Broker) sendOrder(o assign.Order) {
	allowed, held := b.mayOrder(&o)
	switch {
	case held:
		return
	case !allowed:
		b.log.Info("order not sent", "upstream", o.Upstream.ID, "fence", o.Fence, "reason", "the lease is no longer held")
		return
	}
	ctx, cancel := context.WithTimeout(b.ctx, orderTimeout)
	defer cancel()
	result := b.options.Engines.SendOrder(ctx, o, b.options.Host)
	b.log.Info("order", "upstream", o.Upstream.ID, "evict", o.Evict, "adapter", o.Adapter.Adapter, "version", o.Version,
		"sequence", o.Sequence, "result", result.String())
	b.update(func(now time.Time) {
		if b.leading != nil {
			b.handleLeading(now, assign.OrderEnded{Upstream: o.Upstream.ID, StartedAt: o.Upstream.StartedAt, Order: o.Number, Result: result})
		}
	})
}

func (b *Broker) readReport(u *catalog.Upstream) {
	ctx, cancel := context.WithTimeout(b.ctx, reportTimeout)
	defer cancel()
	report, err := b.options.Engines.ReadReport(ctx, u)
	if err != nil {
		b.log.Warn("engine report not read", "upstream", u.ID, "error", err)
	}
	b.update(func(now time.Time) {
		if b.leading != nil {
			b.handleLeading(now, assign.ReportReceived{Upstream: u.ID, StartedAt: u.StartedAt, Report: report})
		}
	})
}

// receiveAsLeader handles a message of another host.
func (b *Broker) receiveAsLeader(now time.Time, from string, m wire.Message) {
	if member, ok := b.members[from]; ok {
		member.heardAt = now
	}
	requestID := func(number uint64) assign.RequestID { return assign.RequestID{Host: from, Number: number} }
	switch m := m.(type) {
	case *wire.AssignRequest:
		r := decodeRequest(now, from, m)
		if d, refused := b.refuseOrTry(now, &r); refused {
			b.sendDecision(d)
			return
		}
		b.handleLeading(now, assign.RequestSubmitted{Request: r})
	case *wire.AdoptRequest:
		b.handleLeading(now, assign.RequestAdopted{Request: decodeRequest(now, from, &m.AssignRequest), Upstream: m.Upstream, FirstByteReceived: m.FirstByteReceived})
	case *wire.WithdrawRequest:
		b.handleLeading(now, assign.RequestWithdrawn{ID: requestID(m.Number)})
	case *wire.FirstByteReceived:
		b.receiveFirstByte(now, requestID(m.Number), m)
	case *wire.AttemptEnded:
		b.handleLeading(now, endedEvent(from, m))
	case *wire.HostHeartbeat:
		b.receiveHostHeartbeat(now, from, m)
	case *wire.Successor:
		b.handOver(now, m)
	case *wire.RateLimitReport:
		b.receiveRateLimitReport(now, from, m)
	case *wire.AdapterLocations:
		b.restoreLocations(now, from, m)
	}
}

func (b *Broker) receiveHostHeartbeat(now time.Time, from string, m *wire.HostHeartbeat) {
	old, known := b.members[from]
	if !known {
		b.log.Info("host joined", "host", from, "zone", m.Zone, "callers", m.CallerAddress)
	}
	updated := &member{zone: m.Zone, callers: m.CallerAddress, peerURL: m.PeerURL, draining: m.Draining, cores: m.Cores, heardAt: now, rateLimits: m.RateLimitVersion != 0}
	if known {
		updated.relayed, updated.mismatches = old.relayed, old.mismatches
	}
	b.members[from] = updated
	for _, s := range m.TokenUsages {
		if !(s.Tokens >= 0 && s.Tokens < maxSpentTokens) {
			b.log.Warn("reported usage is out of range; ignoring it", "host", from, "organisation", s.Organisation, "tokens", s.Tokens)
			continue
		}
		b.leading.RecordUsage(now, now.Add(-milliseconds(s.AgeMillis)), s.Organisation, s.Tokens)
	}
	if !known || old.draining != m.Draining {
		b.memberListChanged()
	}
	if !known {
		b.reportLeaving(from)
	}
	b.markRenewalOverdue(now, "no answer to the renewal yet")
	b.hearOfEra(now, m.StoreEra)
	heartbeat := b.leaderHeartbeat(now)
	heartbeat.WantsTables = b.wantsTables(now, from, m)
	if m.MemberListVersion != b.announced.version {
		heartbeat.Hosts = b.announced.hosts
	}
	b.sendTo(from, heartbeat)
	if !known {
		b.reportRefusals(now, from) // the host knows by the heartbeat that this one leads
	}
	b.syncMember(now, from, updated, m.TablesChecksum)
	b.syncRateLimits(now, from, m.RateLimitVersion)
}

// maxSpentTokens bounds the usage of one entry of a host's heartbeat, in tokens. It exceeds what the largest fleet
// produces in a day.
const maxSpentTokens = 1e12

// logStats logs a summary of the assignments and of the engines' use.
func (b *Broker) logStats(now time.Time) {
	s := b.leading.Stats(now)
	b.log.Info("assignments", "waiting", s.Waiting, "in_flight", s.InFlight, "slots_used", s.SlotsUsed, "slots_idle", s.SlotsIdle,
		"slots_moving", s.SlotsMoving, "usable", s.Usable, "reading", s.PrefillFraction, "weighings", s.OptionsEvaluated, "hosts", len(b.members)+1)
}

// dropSilentMembers drops the hosts that have been silent for memberTimeout. It reports true if it has dropped
// some and no member is left.
func (b *Broker) dropSilentMembers(now time.Time) (noMembers bool) {
	b.maxMembers = max(b.maxMembers, len(b.members))
	for host, m := range b.members {
		if now.Sub(m.heardAt) > memberTimeout {
			b.links.Disconnect(host)
			b.dropMember(now, host, "silent")
			noMembers = true
		}
	}
	return noMembers && len(b.members) == 0
}

// stepAsideTime is how long a leader that has lost all members does not claim the lease. Hosts that reach the
// store read the lease several times within it.
const stepAsideTime = 4 * leaseReadInterval

// stepAside makes a leader that reaches the store, but no host, release the lease. If the other hosts are running,
// each would assign requests by itself for as long as this host leads.
func (b *Broker) stepAside(now time.Time) {
	b.log.Warn("contact lost with all hosts; releasing the lease", "fence", b.leader.fence)
	b.leader.steppingAside, b.noClaimUntil = true, now.Add(stepAsideTime)
	b.lastHostCount = b.maxMembers + 1
	b.updateFleetShare()
	b.wakeRun()
}

func (b *Broker) dropMember(now time.Time, host, reason string) {
	if _, ok := b.members[host]; !ok {
		return
	}
	b.log.Info("host left", "host", host, "reason", reason)
	delete(b.members, host)
	b.handleLeading(now, assign.HostLost{Host: host})
	b.hostReported(now, host)
	b.memberListChanged()
}

// leaderHeartbeat returns a heartbeat to a member. Member list changes are added by the caller.
func (b *Broker) leaderHeartbeat(now time.Time) *wire.LeaderHeartbeat {
	heartbeat := &wire.LeaderHeartbeat{
		Fence: b.leader.fence, LeaseVersion: b.leader.row.version, RenewalOverdue: b.leader.renewalOverdue,
		Yields: b.leader.yielding, MemberListVersion: b.announced.version,
		StoreAgeMillis: b.options.Source.StoreAge().Milliseconds(), TablesChecksum: b.view.Checksum,
		RateLimitVersion: b.rateLimits.version, StoreEra: b.era.number,
	}
	heartbeat.OperatorVersion, heartbeat.UpstreamsVersion = b.options.Source.KnownVersions()
	b.addUsage(now, heartbeat)
	heartbeat.Suspects, heartbeat.DecidesSuspects, heartbeat.ReadsFirstByteLoad = b.heartbeatSuspects(now), true, true
	return heartbeat
}

// addUsage adds to a heartbeat the organisations that have exhausted their rate, and those that have used at least
// minReportedUsage of it, as accounted for by the leader.
func (b *Broker) addUsage(now time.Time, heartbeat *wire.LeaderHeartbeat) {
	if b.view.Config == nil {
		return
	}
	b.view.Config.Organisations(func(o *catalog.Organisation) {
		used := b.leading.UsedFraction(now, o.Name)
		if b.leading.Exhausted(now, o.Name) {
			heartbeat.Exhausted = append(heartbeat.Exhausted, o.Name)
		}
		if used >= minReportedUsage {
			heartbeat.LimitUsages = append(heartbeat.LimitUsages, wire.LimitUsage{
				Organisation: o.Name, Percent: uint16(math.Ceil(100 * min(used, maxReportedUsage))),
			})
		}
	})
	slices.Sort(heartbeat.Exhausted)
	slices.SortFunc(heartbeat.LimitUsages, func(x, y wire.LimitUsage) int { return strings.Compare(x.Organisation, y.Organisation) })
}

// followerReportTime is how long hosts may take to find a new leader and to report their running requests to it:
// one interval of reading the lease, and the opening of a link.
const followerReportTime = leaseReadInterval + 150*time.Millisecond

// startLeading makes this host the leader. The usage recorded in the lease's row is restored before any request is
// assigned.
func (b *Broker) startLeading(now time.Time, fence int64, before *leaseView) {
	b.log.Info("this host leads", "fence", fence)
	b.leader.termFence, b.leader.reclaiming, b.heldOrders = fence, false, nil
	b.leading = assign.New(assign.Options{
		SendsOrders: true, Fence: fence, Share: 1, FirstInFleet: before.version == 0 && (!before.outdated() || !b.leader.hasLostLeader), Limits: b.options.Limits, Scheduling: b.options.Scheduling, LearnPace: b.options.LearnPace,
		Random: b.options.Random, HoldEvictions: now.Add(followerReportTime),
	})
	b.lastClaimID, b.claimedLease = 0, nil
	b.maxMembers = 0
	b.members, b.unreportedHosts = map[string]*member{}, b.expectedReports(before)
	knownHosts := b.hosts
	b.memberListVersion, b.pastSums = uint64(fence)<<memberListBits, nil
	b.hosts = b.callerHosts()
	b.announced = memberList{version: b.memberListVersion, hosts: b.hosts}
	b.applyView(now, b.handleLeading)
	b.startRateLimits(now, fence)
	b.rateLimits.managed = true
	b.restoreUsage(now, before)
	b.updateRefusals(now)
	b.follow(now, b.options.Host, fence)
	b.memberListChanged()
	b.announce(knownHosts, fence)
}

// handOver notifies the members of the new holder of the lease, and follows it.
func (b *Broker) handOver(now time.Time, m *wire.Successor) {
	if m.Fence <= b.leader.fence {
		return
	}
	for host := range b.members {
		if host != m.Host {
			b.sendTo(host, m)
		}
	}
	b.stopLeading(now, "replaced by "+m.Host)
	b.followSuccessor(now, m)
}

// stopLeading makes this host a follower again and notifies its members.
func (b *Broker) stopLeading(now time.Time, reason string) {
	if b.leading == nil {
		return
	}
	b.log.Info("this host no longer leads", "fence", b.leader.fence, "reason", reason)
	members := b.members
	b.keepRefusals(now)
	b.leader.ledUntil = b.options.Clock()
	b.leading, b.members = nil, map[string]*member{}
	b.leader.reclaiming, b.heldOrders = false, nil
	heartbeat := &wire.LeaderHeartbeat{Fence: b.leader.fence, Released: true}
	for host := range members {
		b.sendTo(host, heartbeat)
	}
	b.loseLeader(now, reason)
}
