// Package fleet is one host's part in acting as one with the others: the
// roster and the spread of the configuration, over the same heartbeats.
//
// It is a pure state machine: messages, answers of the platform and the time
// go in, decisions come out. It imports no network, no operating system and no
// clock.
package fleet

import (
	"math/rand/v2"
	"time"

	"github.com/jasminelock/jasminelock/membership"
	"github.com/jasminelock/jasminelock/spread"
	"github.com/jasminelock/jasminelock/store"
	"github.com/jasminelock/jasminelock/wire"
)

// TickInterval is how often Tick must be called.
const TickInterval = membership.TickInterval

// Node is one host. It is driven by one goroutine at a time.
type Node struct {
	roster *membership.Machine
	spread *spread.Machine
	// seen is the version of the roster that the spread works from.
	seen uint64
}

// Options are what a Node is made of.
type Options struct {
	// Self is the host's entry. Its incarnation must be above that of an
	// earlier start of the same host, as far as the host can tell.
	Self wire.HostEntry
	// ReadInterval is how often a reader reads the head of the table service.
	ReadInterval time.Duration
	Random       *rand.Rand
}

// New returns a host that knows only itself and has no configuration.
func New(now time.Time, o Options) *Node {
	return &Node{
		roster: membership.New(now, o.Self, o.Random),
		spread: spread.New(spread.Host{Name: o.Self.Name, Zone: o.Self.Zone}, o.ReadInterval, o.Random),
	}
}

// Members returns the roster without hosts that are gone.
func (n *Node) Members() []membership.Member { return n.roster.Members() }

// Joined reports whether the roster tells who there is.
func (n *Node) Joined(now time.Time) bool { return n.roster.Joined(now) }

// MemberListVersion grows with every change of Members.
func (n *Node) MemberListVersion() uint64 { return n.roster.Version() }

// Contacts returns the hosts that heartbeats are exchanged with.
func (n *Node) Contacts() []string { return n.roster.Contacts() }

// Address returns where a host accepts links.
func (n *Node) Address(name string) (string, bool) { return n.roster.Address(name) }

// Revision returns the revision in force.
func (n *Node) Revision() int64 { return n.spread.Revision() }

// IsReader reports whether this host reads the table service often.
func (n *Node) IsReader() bool { return n.spread.IsReader() }

// FreshUntil returns until when the configuration may be taken to be in force.
func (n *Node) FreshUntil() time.Time { return n.spread.FreshUntil() }

// ConfirmedAt returns when the revision in force was last known to be the newest.
func (n *Node) ConfirmedAt() time.Time { return n.spread.ConfirmedAt() }

// ArchiveBytes returns the memory that the packed records take.
func (n *Node) ArchiveBytes() int { return n.spread.ArchiveBytes() }

// SetState moves this host to a state of its life.
func (n *Node) SetState(s wire.HostState) { n.roster.SetState(s) }

// SetLoad notes the number of requests that this host works on.
func (n *Node) SetLoad(requests int) { n.roster.SetLoad(requests) }

// SetHostList takes the platform's host list, asked for at sentAt.
func (n *Node) SetHostList(sentAt time.Time, hosts []store.Host) {
	n.roster.SetHostList(hosts)
	zones := make([]string, 0, len(hosts))
	for _, h := range hosts {
		zones = append(zones, h.Zone)
	}
	n.spread.SetHostListZones(sentAt, zones)
}

// Tick lets time pass.
func (n *Node) Tick(now time.Time) []spread.Decision {
	messages := n.roster.Tick(now)
	n.follow()
	return append(n.stamped(now, messages), n.spread.Tick(now)...)
}

// HandleStoreAnswer takes the table service's answer to a spread.ReadStore.
func (n *Node) HandleStoreAnswer(now time.Time, a spread.StoreAnswer) []spread.Decision {
	return n.spread.HandleStoreAnswer(now, a)
}

// Receive takes a message of another host. Those that are not about the roster
// or the configuration are ignored.
func (n *Node) Receive(now time.Time, from string, m wire.Message) []spread.Decision {
	var decisions []spread.Decision
	switch m := m.(type) {
	case *wire.Ping:
		decisions = n.spread.HandlePeerRevision(now, from, m.Revision)
	case *wire.Ack:
		if sentAt, ok := n.roster.PingSentAt(from, m); ok {
			n.spread.HandleAck(now, sentAt, m)
		}
		decisions = n.spread.HandlePeerRevision(now, from, m.Revision)
	}
	decisions = append(decisions, n.spread.Receive(now, from, m)...)
	messages := n.roster.Receive(now, from, m)
	n.follow()
	return append(decisions, n.stamped(now, messages)...)
}

// follow brings a changed roster to the spread.
func (n *Node) follow() {
	if n.seen == n.roster.Version() {
		return
	}
	n.seen = n.roster.Version()
	members := n.roster.Members()
	hosts := make([]spread.Host, 0, len(members))
	for _, m := range members {
		hosts = append(hosts, spread.Host{Name: m.Name, Zone: m.Zone, Suspected: m.Suspected})
	}
	n.spread.SetMembers(hosts, n.roster.Contacts())
}

// stamped adds to heartbeats what they carry of the configuration.
func (n *Node) stamped(now time.Time, messages []wire.Outgoing) []spread.Decision {
	decisions := make([]spread.Decision, 0, len(messages))
	for _, m := range messages {
		switch heartbeat := m.Message.(type) {
		case *wire.Ping:
			heartbeat.Revision = n.spread.Revision()
		case *wire.Ack:
			n.spread.FillAck(now, m.To, heartbeat)
		}
		decisions = append(decisions, spread.Send{Outgoing: m})
	}
	return decisions
}
