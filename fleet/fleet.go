// Package fleet combines the membership protocol and the distribution of the
// configuration on one host. Both use the same heartbeats.
//
// It is a pure state machine: its inputs are messages, answers of the platform and
// the current time; its outputs are decisions. It uses no network, no operating
// system and no clock.
package fleet

import (
	"math/rand/v2"
	"time"

	"github.com/jasminelock/jasminelock/membership"
	"github.com/jasminelock/jasminelock/spread"
	"github.com/jasminelock/jasminelock/store"
	"github.com/jasminelock/jasminelock/wire"
)

// TickInterval is the interval at which Tick must be called.
const TickInterval = membership.TickInterval

// Node is the protocol state of one host. It is not safe for concurrent use.
type Node struct {
	membership *membership.Machine
	spread     *spread.Machine
	// memberListVersion is the version of the member list last passed to spread.
	memberListVersion uint64
}

// Options configure a Node.
type Options struct {
	// Self is the member list entry of this host. Its incarnation must be greater than
	// that of every earlier start of the same host, as far as the host can tell.
	Self wire.HostEntry
	// ReadInterval is the interval at which a reader reads the head of the table
	// service.
	ReadInterval time.Duration
	Random       *rand.Rand
}

// New returns a node that knows only its own host and has no configuration.
func New(now time.Time, o Options) *Node {
	return &Node{
		membership: membership.New(now, o.Self, o.Random),
		spread:     spread.New(spread.Host{Name: o.Self.Name, Zone: o.Self.Zone}, o.ReadInterval, o.Random),
	}
}

// Members returns the member list without hosts that are gone.
func (n *Node) Members() []membership.Member { return n.membership.Members() }

// Joined reports whether another host is known, or there seems to be none.
func (n *Node) Joined(now time.Time) bool { return n.membership.Joined(now) }

// MemberListVersion returns a version that increases with every change of Members.
func (n *Node) MemberListVersion() uint64 { return n.membership.Version() }

// Contacts returns the names of the hosts with which this host exchanges heartbeats.
func (n *Node) Contacts() []string { return n.membership.Contacts() }

// Address returns the URL at which a host accepts links.
func (n *Node) Address(name string) (string, bool) { return n.membership.Address(name) }

// Revision returns the revision in force.
func (n *Node) Revision() int64 { return n.spread.Revision() }

// IsReader reports whether this host is one of the readers of its zone, which read the
// table service at the configured read interval.
func (n *Node) IsReader() bool { return n.spread.IsReader() }

// FreshUntil returns the time until which the configuration may be taken as current.
func (n *Node) FreshUntil() time.Time { return n.spread.FreshUntil() }

// ConfirmedAt returns the last time at which the revision in force was known to be
// the newest.
func (n *Node) ConfirmedAt() time.Time { return n.spread.ConfirmedAt() }

// ArchiveBytes returns the size of the compressed records in bytes.
func (n *Node) ArchiveBytes() int { return n.spread.ArchiveBytes() }

// SetState sets the lifecycle state of this host.
func (n *Node) SetState(s wire.HostState) { n.membership.SetState(s) }

// SetLoad sets the number of requests in progress on this host.
func (n *Node) SetLoad(requests int) { n.membership.SetLoad(requests) }

// SetHostList sets the platform's host list. The request for the list was sent at
// sentAt.
func (n *Node) SetHostList(sentAt time.Time, hosts []store.Host) {
	n.membership.SetHostList(hosts)
	zones := make([]string, 0, len(hosts))
	for _, h := range hosts {
		zones = append(zones, h.Zone)
	}
	n.spread.SetHostListZones(sentAt, zones)
}

// Tick handles expired timeouts and sends the heartbeats that are due.
func (n *Node) Tick(now time.Time) []spread.Decision {
	messages := n.membership.Tick(now)
	n.syncMembers()
	return append(n.addConfigState(now, messages), n.spread.Tick(now)...)
}

// HandleStoreAnswer handles the table service's answer to a spread.ReadStore.
func (n *Node) HandleStoreAnswer(now time.Time, a spread.StoreAnswer) []spread.Decision {
	return n.spread.HandleStoreAnswer(now, a)
}

// Receive handles a message from another host. It ignores message types that belong
// neither to the membership protocol nor to the distribution of the configuration.
func (n *Node) Receive(now time.Time, from string, m wire.Message) []spread.Decision {
	var decisions []spread.Decision
	switch m := m.(type) {
	case *wire.Ping:
		decisions = n.spread.HandlePeerRevision(now, from, m.Revision)
	case *wire.Ack:
		if sentAt, ok := n.membership.PingSentAt(from, m); ok {
			n.spread.HandleAck(now, sentAt, m)
		}
		decisions = n.spread.HandlePeerRevision(now, from, m.Revision)
	}
	decisions = append(decisions, n.spread.Receive(now, from, m)...)
	messages := n.membership.Receive(now, from, m)
	n.syncMembers()
	return append(decisions, n.addConfigState(now, messages)...)
}

// syncMembers passes the member list to spread if it has changed.
func (n *Node) syncMembers() {
	if n.memberListVersion == n.membership.Version() {
		return
	}
	n.memberListVersion = n.membership.Version()
	members := n.membership.Members()
	hosts := make([]spread.Host, 0, len(members))
	for _, m := range members {
		hosts = append(hosts, spread.Host{Name: m.Name, Zone: m.Zone, Suspected: m.Suspected})
	}
	n.spread.SetMembers(hosts, n.membership.Contacts())
}

// addConfigState fills in the configuration fields of the heartbeats among the
// messages, and returns a decision to send each message.
func (n *Node) addConfigState(now time.Time, messages []wire.Outgoing) []spread.Decision {
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
