package lead

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

// memberSilence is how long a host may be silent before the lead takes it to be
// gone. A host beats several times in it.
const memberSilence = 1500 * time.Millisecond

// Bounds of calls to engines, which answer within some milliseconds. An order
// without an answer is given again, so that waiting longer gains nothing.
const (
	orderTimeout  = 150 * time.Millisecond
	reportTimeout = time.Second
)

// member is a host as the lead knows it.
type member struct {
	zone     string
	callers  string
	peerURL  string
	draining bool
	cores    float64
	heardAt  time.Time
	// passed says that the host has been told all that the tables say, missed how
	// many beats in a row said that it knows something else.
	passed bool
	missed int
}

// handleLeading brings an event to the fleet's Assigner.
func (b *Broker) handleLeading(now time.Time, ev assign.Event) {
	if b.leading == nil || b.endExpired(now) {
		return // an event before has ended it, or time has
	}
	for _, d := range b.leading.Handle(now, ev) {
		switch d := d.(type) {
		case assign.Grant, assign.Refuse:
			b.answer(d)
		case assign.Order:
			go b.order(d)
		case assign.ReadReport:
			go b.readReport(d.Upstream)
		case assign.StepDown:
			b.stopLeading(now, "an engine has had orders of another lead")
			return
		}
	}
}

// answer gives a decision to the host that asked.
func (b *Broker) answer(d assign.Decision) {
	id, m := decisionMessage(d)
	if id.Host == b.options.Host {
		b.settleOwn(d)
		return
	}
	b.sendTo(id.Host, m)
}

func (b *Broker) sendTo(host string, m wire.Message) {
	if err := b.links.Send(host, m); err != nil {
		b.log.Debug("message not sent", "host", host, "error", err)
	}
}

func (b *Broker) sendLead(m wire.Message) { b.sendTo(b.lead.host, m) }

// order gives an order to an engine.
func (b *Broker) order(o assign.Order) {
	if !b.mayOrder(o.Fence) {
		b.log.Info("order not sent", "upstream", o.Upstream.ID, "fence", o.Fence, "reason", "the lease is no longer held")
		return
	}
	ctx, cancel := context.WithTimeout(b.ctx, orderTimeout)
	defer cancel()
	result := b.options.Engines.SendOrder(ctx, o, b.options.Host)
	b.log.Info("order", "upstream", o.Upstream.ID, "evict", o.Evict, "adapter", o.Adapter.Adapter, "version", o.Version,
		"sequence", o.Sequence, "result", result.String())
	b.step(func(now time.Time) {
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
		b.log.Warn("report not read", "upstream", u.ID, "error", err)
	}
	b.step(func(now time.Time) {
		if b.leading != nil {
			b.handleLeading(now, assign.ReportReceived{Upstream: u.ID, StartedAt: u.StartedAt, Report: report})
		}
	})
}

// receiveAsLead takes a message of another host.
func (b *Broker) receiveAsLead(now time.Time, from string, m wire.Message) {
	if member, ok := b.members[from]; ok {
		member.heardAt = now
	}
	id := func(number uint64) assign.RequestID { return assign.RequestID{Host: from, Number: number} }
	switch m := m.(type) {
	case *wire.AssignRequest:
		r := askedRequest(now, from, m)
		if d, refused := b.refusal(now, &r); refused {
			b.answer(d)
			return
		}
		b.handleLeading(now, assign.RequestSubmitted{Request: r})
	case *wire.AdoptRequest:
		b.handleLeading(now, assign.RequestAdopted{Request: askedRequest(now, from, &m.AssignRequest), Upstream: m.Upstream, FirstByteReceived: m.FirstByteReceived})
	case *wire.WithdrawRequest:
		b.handleLeading(now, assign.RequestWithdrawn{ID: id(m.Number)})
	case *wire.FirstByteReceived:
		b.handleLeading(now, assign.FirstByteReceived{ID: id(m.Number)})
	case *wire.AttemptEnded:
		b.handleLeading(now, endedEvent(from, m))
	case *wire.HostHeartbeat:
		b.memberBeat(now, from, m)
	case *wire.Successor:
		b.replaced(now, m)
	case *wire.Suspects:
		b.learnSuspects(now, from, m.Suspects, 0)
	case *wire.AdapterLocations:
		b.recallHomes(now, from, m)
	}
}

func (b *Broker) memberBeat(now time.Time, from string, m *wire.HostHeartbeat) {
	old, known := b.members[from]
	if !known {
		b.log.Info("host joined", "host", from, "zone", m.Zone, "callers", m.CallerAddress)
	}
	joined := &member{zone: m.Zone, callers: m.CallerAddress, peerURL: m.PeerURL, draining: m.Draining, cores: m.Cores, heardAt: now}
	if known {
		joined.passed, joined.missed = old.passed, old.missed
	}
	b.members[from] = joined
	for _, s := range m.TokenUsages {
		if !(s.Tokens >= 0 && s.Tokens < mostSpent) {
			b.log.Warn("spent tokens not counted", "host", from, "organisation", s.Organisation, "tokens", s.Tokens)
			continue
		}
		b.leading.RecordUsage(now, now.Add(-milliseconds(s.AgeMillis)), s.Organisation, s.Tokens)
	}
	if !known || old.draining != m.Draining {
		b.rosterChanged()
	}
	if !known {
		b.tellLeaving(from)
	}
	b.noteWeak(now, "no answer yet")
	beat := b.leadBeat(now)
	if m.MemberListVersion != b.told.version {
		beat.Hosts = b.told.hosts
	}
	b.sendTo(from, beat)
	b.keepPassed(now, from, joined, m.TablesChecksum)
}

// mostSpent bounds what a host may tell to have spent at once. It is above what the
// largest fleet makes in a day.
const mostSpent = 1e12

// logStats tells how far the engines are used.
func (b *Broker) logStats(now time.Time) {
	s := b.leading.Stats(now)
	b.log.Info("assignments", "waiting", s.Waiting, "in_flight", s.InFlight, "slots_used", s.SlotsUsed, "slots_idle", s.SlotsIdle,
		"slots_moving", s.SlotsMoving, "usable", s.Usable, "reading", s.PrefillFraction, "weighings", s.OptionsEvaluated, "hosts", len(b.members)+1)
}

// dropSilent forgets the hosts that have not been heard of, and reports whether some
// were and none is left.
func (b *Broker) dropSilent(now time.Time) (alone bool) {
	b.heardOf = max(b.heardOf, len(b.members))
	for host, m := range b.members {
		if now.Sub(m.heardAt) > memberSilence {
			b.links.Drop(host)
			b.dropMember(now, host, "silent")
			alone = true
		}
	}
	return alone && len(b.members) == 0
}

// asideFor is how long a lead that hears no host leaves the lease to others. Those that
// reach the store look at it several times in that time.
const asideFor = 4 * lookEvery

// stepAside has a lead that reaches the store, but no host any more, give the lease back:
// hosts that live would decide by themselves for as long as it leads.
func (b *Broker) stepAside(now time.Time) {
	b.log.Warn("no host is heard of; the lease is left to others", "fence", b.lead.fence)
	b.lead.aside, b.asideUntil = true, now.Add(asideFor)
	b.hostsBefore = b.heardOf + 1
	b.shareChanged()
	b.wakeUp()
}

func (b *Broker) dropMember(now time.Time, host, why string) {
	if _, ok := b.members[host]; !ok {
		return
	}
	b.log.Info("host left", "host", host, "reason", why)
	delete(b.members, host)
	b.handleLeading(now, assign.HostLost{Host: host})
	b.hostTold(now, host)
	b.rosterChanged()
}

// leadBeat returns what the lead tells every host.
func (b *Broker) leadBeat(now time.Time) *wire.LeaderHeartbeat {
	beat := &wire.LeaderHeartbeat{
		Fence: b.lead.fence, LeaseVersion: b.lead.row.version, RenewalOverdue: b.lead.weak, Yields: b.lead.yields, MemberListVersion: b.told.version,
		StoreAgeMillis: b.options.Source.StoreAge().Milliseconds(), TablesChecksum: b.view.Checksum,
	}
	beat.OperatorVersion, beat.UpstreamsVersion = b.options.Source.KnownVersions()
	b.tellUsed(now, beat)
	beat.Suspects = b.beatSuspects(now)
	return beat
}

// tellUsed adds to a beat which organisations have used up their rate, as the lead
// counts it, and which have used a good part of it.
func (b *Broker) tellUsed(now time.Time, beat *wire.LeaderHeartbeat) {
	if b.view.Config == nil {
		return
	}
	b.view.Config.Organisations(func(o *catalog.Organisation) {
		part := b.leading.UsedFraction(now, o.Name)
		if b.leading.Exhausted(now, o.Name) {
			beat.Exhausted = append(beat.Exhausted, o.Name)
		}
		if part >= toldPart {
			beat.LimitUsages = append(beat.LimitUsages, wire.LimitUsage{Organisation: o.Name, Percent: uint16(math.Ceil(100 * min(part, mostPart)))})
		}
	})
	slices.Sort(beat.Exhausted)
	slices.SortFunc(beat.LimitUsages, func(x, y wire.LimitUsage) int { return strings.Compare(x.Organisation, y.Organisation) })
}

// tellTime is how long hosts may take to find a new lead and to tell it what they
// run: a look at the lease, and the opening of a link.
const tellTime = lookEvery + 150*time.Millisecond

// startLeading makes this host the lead. What the lease's row recorded is counted
// before any request is decided on.
func (b *Broker) startLeading(now time.Time, fence int64, before *leaseView) {
	b.log.Info("this host leads", "fence", fence)
	b.leading = assign.New(assign.Options{
		SendsOrders: true, Fence: fence, Share: 1, FirstInFleet: before.version == 0, Limits: b.options.Limits, Random: b.options.Random, HoldEvictions: now.Add(tellTime),
	})
	b.lastClaim, b.claimedFrom = 0, nil
	b.heardOf = 0
	b.members, b.untold = map[string]*member{}, b.untoldHosts(before)
	known := b.hosts
	b.roster, b.sums = uint64(fence)<<rosterBits, nil
	b.hosts = b.callerHosts()
	b.told = toldRoster{version: b.roster, hosts: b.hosts}
	b.seeView(now, b.handleLeading)
	b.recallUsage(now, before)
	b.follow(now, b.options.Host, fence)
	b.rosterChanged()
	b.announce(known, fence)
}

// replaced hands the hosts over to the lead that has taken the lease.
func (b *Broker) replaced(now time.Time, m *wire.Successor) {
	if m.Fence <= b.lead.fence {
		return
	}
	for host := range b.members {
		if host != m.Host {
			b.sendTo(host, m)
		}
	}
	b.stopLeading(now, "replaced by "+m.Host)
	b.succeed(now, m)
}

// stopLeading makes this host one like the others.
func (b *Broker) stopLeading(now time.Time, why string) {
	if b.leading == nil {
		return
	}
	b.log.Info("this host no longer leads", "fence", b.lead.fence, "reason", why)
	members := b.members
	b.lead.ledUntil = b.options.Clock()
	b.leading, b.members = nil, map[string]*member{}
	beat := &wire.LeaderHeartbeat{Fence: b.lead.fence, Released: true}
	for host := range members {
		b.sendTo(host, beat)
	}
	b.loseLead(now, why)
}
