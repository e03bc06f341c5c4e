// Package membership maintains the member list: the hosts of the fleet with their
// availability zones, addresses and states.
//
// Each host exchanges heartbeats with a few others. Entries are flooded along these
// pairs when they change. Heartbeats then compare hashes of the member lists, so that
// entries of a lost message are sent again. A silent host is probed through other
// hosts, then suspected, and marked gone once two witnesses suspect it; a live host
// refutes this with a higher incarnation.
//
// The package is a pure state machine: its inputs are messages and the current time,
// its outputs are messages. It imports no network, operating system or clock.
package membership

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/jasminelock/jasminelock/store"
	"github.com/jasminelock/jasminelock/wire"
)

// Protocol timing.
const (
	// TickInterval is how often Tick must be called.
	TickInterval = 100 * time.Millisecond
	// PingInterval is the interval of regular heartbeats to the same host.
	PingInterval = time.Second
	// probeAfter is the silence after which a contact that is not a target is sent a
	// probe, indirectProbeAfter the silence after which other hosts are requested to
	// probe the contact.
	probeAfter         = 2 * time.Second
	indirectProbeAfter = 3 * time.Second
	// SuspectAfter is the silence after which a contact is suspected.
	SuspectAfter = 4 * time.Second
	// GoneAfter is how long a quorum of witnesses must suspect a host before the host
	// is marked gone.
	GoneAfter = 4 * time.Second
	// localPauseThreshold is the time between two ticks from which this host concludes
	// that it was paused itself.
	localPauseThreshold = 1500 * time.Millisecond
	// contactRetention is how long a contact is monitored after its last regular
	// heartbeat.
	contactRetention = 10 * time.Second
	// goneRetention is how long the entry of a gone host is kept, and probed if this
	// host declared it gone.
	goneRetention = 10 * time.Minute
	// refuteInterval is the minimum time between a refutation and the next one caused by
	// a Suspicion.
	refuteInterval = 500 * time.Millisecond
	// goneGracePeriod is how long a report that a host is gone can be refuted before it
	// takes effect.
	goneGracePeriod = 2 * time.Second
	// maxHostListLag is the assumed maximum lag of the platform's host list. The absence
	// of a younger entry from the list has no meaning.
	maxHostListLag = 30 * time.Second
	// probeRequestTTL is how long a ProbeRequest is answered after its receipt.
	probeRequestTTL = 2 * time.Second
)

// Protocol sizes.
const (
	// witnessQuorum is the number of witnesses needed to mark a host gone.
	witnessQuorum = 2
	// indirectProbes is the number of hosts requested to probe a silent one.
	indirectProbes = 3
	// probesPerRound is the maximum number of hosts probed in each round that are not
	// present members but may exist.
	probesPerRound = 2
	// maxEntries bounds the member list in case a faulty host invents names.
	maxEntries = 4096
	// maxEntriesPerFrame bounds the entries of one MemberListUpdate.
	maxEntriesPerFrame = 64
)

// maxIncarnation is the highest accepted incarnation. Entries above it are ignored, so
// that every accepted incarnation can be refuted by a higher one.
const maxIncarnation = 1 << 62

// hostListWitness is the witness name of the platform's host list. No host can have
// this name.
const hostListWitness = "host-list:"

// entry is one host of the member list.
type entry struct {
	wire.HostEntry
	// witnesses are the names of the hosts that suspect this incarnation.
	witnesses map[string]bool
	// quorumAt is when the number of witnesses reached the quorum, zero if it has not.
	quorumAt time.Time
	// pendingGone is a report, received at pendingGoneAt, that the host is gone. The host
	// can refute it during goneGracePeriod.
	pendingGone   *wire.HostEntry
	pendingGoneAt time.Time
	// goneAt is when this host marked the entry gone.
	goneAt time.Time
	// declaredGone means that this host itself declared the entry gone.
	declaredGone bool
	// incarnationSeenAt is when the member list first contained this incarnation.
	incarnationSeenAt time.Time
	load              uint32
}

// contact is a host with which heartbeats have been exchanged.
type contact struct {
	// lastHeardAt is when the host was last known to be alive, from its own message or
	// from the Alive message of another host.
	lastHeardAt time.Time
	// pingReceivedAt is when its last regular Ping was received, zero if it sends none.
	pingReceivedAt time.Time
	sentPings      [maxSentPings]sentPing
	// mismatches counts consecutive heartbeats whose member list hash differs from that
	// of this host.
	mismatches   int
	digestSentAt time.Time
}

// sentPing is a Ping that may still be acknowledged.
type sentPing struct {
	sequence uint32
	sentAt   time.Time
}

const maxSentPings = 4

// Machine is the protocol's state machine for one host. It is not safe for concurrent
// use.
type Machine struct {
	self     *entry
	entries  map[string]*entry
	contacts map[string]*contact
	// hostList holds the other hosts of the platform's host list by name.
	hostList map[string]store.Host
	// hostListSeen means that the host list has been received at least once.
	hostListSeen bool
	// targets are the names of the hosts to which this host sends regular heartbeats.
	targets []string
	// probeRequesters are the hosts that requested a probe, by the name of the probed
	// host.
	probeRequesters map[string][]probeRequester
	// pendingUpdates are the entries to flood at the next Tick, by name.
	pendingUpdates map[string]pendingUpdate
	// startedAt is when the machine was created.
	startedAt    time.Time
	rand         *rand.Rand
	sequence     uint32
	lastTickAt   time.Time
	nextRoundAt  time.Time
	refutedAt    time.Time
	version      uint64
	targetsStale bool
	// bucketHashes caches the hash of each bucket, nil if they must be recomputed.
	bucketHashes []uint64
	outbox       []wire.Outgoing
}

// pendingUpdate is an entry to flood and the host that sent it, "" for this host.
type pendingUpdate struct {
	entry wire.HostEntry
	from  string
}

// probeRequester is a host that requested a probe of another.
type probeRequester struct {
	name        string
	requestedAt time.Time
}

// New returns the machine of a host whose member list contains only itself.
func New(now time.Time, self wire.HostEntry, random *rand.Rand) *Machine {
	own := &entry{HostEntry: self, incarnationSeenAt: now}
	own.State = wire.HostJoining
	return &Machine{
		self:            own,
		entries:         map[string]*entry{self.Name: own},
		contacts:        map[string]*contact{},
		hostList:        map[string]store.Host{},
		probeRequesters: map[string][]probeRequester{},
		pendingUpdates:  map[string]pendingUpdate{},
		rand:            random,
		startedAt:       now,
		lastTickAt:      now,
		nextRoundAt:     now,
		version:         1,
	}
}

// Member is a host of the member list.
type Member struct {
	wire.HostEntry
	// Suspected means that at least one witness suspects the host.
	Suspected bool
	// Load is the number of requests that the host was processing at its last
	// heartbeat, LoadUnknown if the host is not a contact.
	Load int
}

// LoadUnknown is the load of a host that is not a contact.
const LoadUnknown = -1

// Version returns a number that increases with every change of Members, except for
// changes of a Load.
func (m *Machine) Version() uint64 { return m.version }

// Members returns the member list without gone hosts, ordered by name. It always
// includes this host.
func (m *Machine) Members() []Member {
	members := make([]Member, 0, len(m.entries))
	for name, e := range m.entries {
		if e.State == wire.HostGone && e != m.self {
			continue
		}
		load := LoadUnknown
		if _, ok := m.contacts[name]; ok || e == m.self {
			load = int(e.load)
		}
		members = append(members, Member{HostEntry: e.HostEntry, Suspected: len(e.witnesses) > 0, Load: load})
	}
	slices.SortFunc(members, func(a, b Member) int { return strings.Compare(a.Name, b.Name) })
	return members
}

// Incarnation returns this host's own incarnation.
func (m *Machine) Incarnation() uint64 { return m.self.Incarnation }

// Contacts returns the names of the hosts with which regular heartbeats are exchanged
// in at least one direction, in order. Gone hosts are left out.
func (m *Machine) Contacts() []string {
	names := make([]string, 0, len(m.contacts))
	for name, c := range m.contacts {
		regular := !c.pingReceivedAt.IsZero() || slices.Contains(m.targets, name)
		if e, ok := m.entries[name]; ok && regular && e.State != wire.HostGone {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// Address returns the URL at which a host accepts links from its peers, and whether it
// is known. It falls back to the platform's host list.
func (m *Machine) Address(name string) (string, bool) {
	if e, ok := m.entries[name]; ok && e.PeerURL != "" {
		return e.PeerURL, true
	}
	h, ok := m.hostList[name]
	return h.PeerURL, ok && h.PeerURL != ""
}

// SetState sets this host's state. A return to an earlier state, as by a host that is
// no longer ready, starts a new incarnation.
func (m *Machine) SetState(s wire.HostState) {
	if m.self.State == s {
		return
	}
	if s < m.self.State {
		m.self.Incarnation++
	}
	m.self.State = s
	m.recordChange(m.self, "")
}

// SetLoad sets the number of requests that this host is processing.
func (m *Machine) SetLoad(requests int) {
	m.self.load = uint32(max(requests, 0))
}

// recordChange queues a changed entry for flooding and invalidates the state derived
// from the entries.
func (m *Machine) recordChange(e *entry, from string) {
	m.pendingUpdates[e.Name] = pendingUpdate{e.HostEntry, from}
	m.version++
	m.targetsStale = true
	m.bucketHashes = nil
}

// SetHostList sets the platform's list of hosts, which lags behind. Unknown hosts on the
// list are probed; a suspected host missing from the list gains the list as a witness.
func (m *Machine) SetHostList(hosts []store.Host) {
	m.hostList = make(map[string]store.Host, len(hosts))
	m.hostListSeen = true
	for _, h := range hosts {
		if h.Name != m.self.Name {
			m.hostList[h.Name] = h
		}
	}
}

// joinTimeout is how long a host that reaches no host of the list waits before it
// counts as joined.
const joinTimeout = 5 * time.Second

// Joined reports whether the member list can be used: it contains another host, or the
// platform's host list has been read and either names no other host or joinTimeout has
// passed.
func (m *Machine) Joined(now time.Time) bool {
	for _, e := range m.entries {
		if e != m.self && e.State != wire.HostGone {
			return true
		}
	}
	standalone := len(m.hostList) == 0 || now.Sub(m.startedAt) >= joinTimeout
	return m.hostListSeen && standalone
}

// send queues a message to a host.
func (m *Machine) send(to string, message wire.Message) {
	m.outbox = append(m.outbox, wire.Outgoing{To: to, Message: message})
}

// drainOutbox returns the queued messages and empties the queue.
func (m *Machine) drainOutbox() []wire.Outgoing {
	messages := m.outbox
	m.outbox = nil
	return messages
}
