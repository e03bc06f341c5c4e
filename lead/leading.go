package lead

import (
	"context"
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
	draining bool
	cores    float64
	heardAt  time.Time
	// passed says that the host has been told all that the tables say.
	passed bool
}

// handleLeading brings an event to the fleet's Assigner.
func (b *Broker) handleLeading(now time.Time, ev assign.Event) {
	if b.leading == nil {
		return // an event before has ended it
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
	ctx, cancel := context.WithTimeout(b.ctx, orderTimeout)
	defer cancel()
	result := b.options.Engines.Order(ctx, o, b.options.Host)
	b.log.Info("order", "upstream", o.Upstream.ID, "evict", o.Evict, "adapter", o.Adapter.Adapter, "version", o.Version,
		"sequence", o.Sequence, "result", result.String())
	b.step(func(now time.Time) {
		if b.leading != nil {
			b.handleLeading(now, assign.OrderEnded{Upstream: o.Upstream.ID, Born: o.Upstream.Born, Order: o.Number, Result: result})
		}
	})
}

func (b *Broker) readReport(u *catalog.Upstream) {
	ctx, cancel := context.WithTimeout(b.ctx, reportTimeout)
	defer cancel()
	report, err := b.options.Engines.Report(ctx, u)
	if err != nil {
		b.log.Warn("report not read", "upstream", u.ID, "error", err)
	}
	b.step(func(now time.Time) {
		if b.leading != nil {
			b.handleLeading(now, assign.ReportRead{Upstream: u.ID, Born: u.Born, Report: report})
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
	case *wire.Ask:
		b.handleLeading(now, assign.Asked{Request: askedRequest(now, from, m)})
	case *wire.Adopt:
		b.handleLeading(now, assign.Adopted{Request: askedRequest(now, from, &m.Ask), Upstream: m.Upstream, Started: m.Started})
	case *wire.Withdraw:
		b.handleLeading(now, assign.Withdrawn{ID: id(m.Number)})
	case *wire.Started:
		b.handleLeading(now, assign.Started{ID: id(m.Number)})
	case *wire.Ended:
		ended := assign.Ended{ID: id(m.Number), Outcome: assign.Outcome(m.Outcome)}
		if m.HasLoad {
			ended.Load = &assign.Load{Running: m.Running, Waiting: m.Waiting}
		}
		b.handleLeading(now, ended)
	case *wire.HostBeat:
		b.memberBeat(now, from, m)
	case *wire.Successor:
		b.replaced(now, m)
	case *wire.Homes:
		b.recallHomes(now, from, m)
	}
}

func (b *Broker) memberBeat(now time.Time, from string, m *wire.HostBeat) {
	old, known := b.members[from]
	if !known {
		b.log.Info("host joined", "host", from, "zone", m.Zone, "callers", m.Callers)
	}
	joined := &member{zone: m.Zone, callers: m.Callers, draining: m.Draining, cores: m.Cores, heardAt: now}
	if known {
		joined.passed = old.passed
	}
	b.members[from] = joined
	for _, s := range m.Spent {
		b.leading.Charge(now, now.Add(-milliseconds(s.AgeMS)), s.Organisation, s.Tokens)
	}
	if !known || old.draining != m.Draining {
		b.rosterChanged()
	}
	beat := b.leadBeat(now)
	if m.Roster != b.roster {
		beat.Hosts = b.hosts
	}
	b.sendTo(from, beat)
	if !joined.passed && b.view.Config != nil {
		joined.passed = true
		b.passAll(from)
	}
}

// rosterChanged tells every host who is there, soon: hosts join and leave
// together.
func (b *Broker) rosterChanged() {
	b.roster++
	b.hosts = b.callerHosts()
	b.shareChanged()
	if b.rosterDue {
		return
	}
	b.rosterDue = true
	time.AfterFunc(rosterDelay, func() {
		b.step(func(now time.Time) {
			b.rosterDue = false
			if b.leading != nil {
				b.tellRoster(now)
			}
		})
	})
}

// rosterDelay is how long changes of the list of hosts are gathered.
const rosterDelay = 20 * time.Millisecond

func (b *Broker) tellRoster(now time.Time) {
	beat := b.leadBeat(now)
	beat.Hosts = b.hosts
	for host := range b.members {
		b.sendTo(host, beat)
	}
}

// callerHosts returns the hosts that callers may be sent to.
func (b *Broker) callerHosts() []wire.CallerHost {
	var hosts []wire.CallerHost
	if !b.draining {
		hosts = append(hosts, wire.CallerHost{
			Name: b.options.Host, Zone: b.options.Zone, Callers: b.options.Callers, Cores: b.options.Cores,
		})
	}
	for name, m := range b.members {
		if !m.draining {
			hosts = append(hosts, wire.CallerHost{Name: name, Zone: m.zone, Callers: m.callers, Cores: m.cores})
		}
	}
	slices.SortFunc(hosts, func(x, y wire.CallerHost) int { return strings.Compare(x.Name, y.Name) })
	return hosts
}

// logStats tells how far the engines are used.
func (b *Broker) logStats(now time.Time) {
	s := b.leading.Stats(now)
	b.log.Info("assignments", "waiting", s.Waiting, "in_flight", s.InFlight, "slots_used", s.SlotsUsed, "slots_idle", s.SlotsIdle,
		"slots_moving", s.SlotsMoving, "usable", s.Usable, "reading", s.Reading, "hosts", len(b.members)+1)
}

// dropSilent forgets the hosts that have not been heard of.
func (b *Broker) dropSilent(now time.Time) {
	for host, m := range b.members {
		if now.Sub(m.heardAt) > memberSilence {
			b.links.Drop(host)
			b.dropMember(now, host, "silent")
		}
	}
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
func (b *Broker) leadBeat(now time.Time) *wire.LeadBeat {
	beat := &wire.LeadBeat{
		Fence: b.lead.fence, Renewed: b.lead.row.version, Weak: b.lead.weak, Yields: b.lead.yields, Roster: b.roster,
		StoreAgeMS: b.options.Source.Contact().Milliseconds(),
	}
	beat.Exhausted = b.exhaustedNames(now)
	return beat
}

// exhaustedNames returns the organisations whose rate is used up, as the lead
// counts it.
func (b *Broker) exhaustedNames(now time.Time) []string {
	var names []string
	if b.view.Config != nil {
		b.view.Config.Organisations(func(o *catalog.Organisation) {
			if b.leading.Exhausted(now, o.Name) {
				names = append(names, o.Name)
			}
		})
	}
	slices.Sort(names)
	return names
}

// tellTime is how long hosts may take to find a new lead and to tell it what they
// run: a look at the lease, and the opening of a link.
const tellTime = lookEvery + 150*time.Millisecond

// rosterBits leave room for the versions of one lead's list of hosts.
const rosterBits = 20

// startLeading makes this host the lead. What the lease's row recorded is counted
// before any request is decided on.
func (b *Broker) startLeading(now time.Time, fence int64, before *leaseView) {
	b.log.Info("this host leads", "fence", fence)
	b.leading = assign.New(assign.Options{
		Orders: true, Fence: fence, Share: 1, Limits: b.options.Limits, Random: b.options.Random, HoldEvictions: now.Add(tellTime),
	})
	b.members, b.untold = map[string]*member{}, b.untoldHosts(before)
	b.roster = uint64(fence) << rosterBits
	b.seeView(now, b.handleLeading)
	b.recallUsage(now, before)
	b.follow(now, b.options.Host, fence)
	b.rosterChanged()
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
	b.leading, b.members = nil, map[string]*member{}
	beat := &wire.LeadBeat{Fence: b.lead.fence, Released: true}
	for host := range members {
		b.sendTo(host, beat)
	}
	b.loseLead(now, why)
}
