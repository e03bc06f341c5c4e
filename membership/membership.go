// Package membership keeps the roster: which hosts there are, where, and in
// which state.
//
// Each host exchanges heartbeats with a few others. Entries are flooded over
// those pairs when they change, and compared by hashes afterwards, so that a
// lost message is made up for. A host that is silent is asked after through
// others, then suspected, and left out once two witnesses suspect it; a living
// host refutes that with a higher incarnation.
//
// The package is a pure state machine: messages and the time go in, messages
// come out. It imports no network, no operating system and no clock.
package membership

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/jasminelock/jasminelock/store"
	"github.com/jasminelock/jasminelock/wire"
)

// Times of the protocol.
const (
	// TickInterval is how often Tick must be called.
	TickInterval = 100 * time.Millisecond
	// PingInterval is the time between two heartbeats to the same host.
	PingInterval = time.Second
	// probeAfter is the silence after which a host that sends heartbeats is sent
	// one, inquireAfter the silence after which it is asked after through others.
	probeAfter   = 2 * time.Second
	inquireAfter = 3 * time.Second
	// SuspectAfter is the silence after which a host is suspected.
	SuspectAfter = 4 * time.Second
	// GoneAfter is how long a host may be suspected by enough witnesses before
	// it is left out.
	GoneAfter = 4 * time.Second
	// pauseGap is the time between two ticks that tells a host that it was
	// itself paused.
	pauseGap = 1500 * time.Millisecond
	// contactKeep is how long a host that no longer sends regular heartbeats is
	// watched.
	contactKeep = 10 * time.Second
	// goneKeep is how long a host that is gone is remembered and asked whether
	// it is back.
	goneKeep = 10 * time.Minute
	// refuteInterval bounds how often this host raises its incarnation.
	refuteInterval = 500 * time.Millisecond
	// goneGrace is how long news that a host is gone may be refuted before it is
	// acted on.
	goneGrace = 2 * time.Second
	// hostListLag is how old an entry must be before its absence from the
	// platform's host list tells anything.
	hostListLag = 30 * time.Second
	// inquiryKeep is how long an answer to an Inquiry is waited for.
	inquiryKeep = 2 * time.Second
)

// Sizes of the protocol.
const (
	// witnessesNeeded is how many witnesses leave a host out.
	witnessesNeeded = 2
	// inquiries is how many hosts are asked after a silent one.
	inquiries = 3
	// probesPerRound is how many hosts that are not on the roster, but may be
	// there, get a heartbeat in each round.
	probesPerRound = 2
	// maxEntries bounds the roster, against a faulty host that invents names.
	maxEntries = 4096
	// entriesPerFrame bounds a RosterUpdate.
	entriesPerFrame = 64
)

// maxIncarnation bounds what is believed of an incarnation, so that each can be
// refuted by a higher one.
const maxIncarnation = 1 << 62

// hostListWitness is the platform's host list as a witness. No host can have
// this name.
const hostListWitness = "host-list:"

// entry is one host of the roster.
type entry struct {
	wire.HostEntry
	// witnesses suspect this incarnation.
	witnesses map[string]bool
	// suspectedAt is when the last witness that was needed was heard of.
	suspectedAt time.Time
	// claim is news that the host is gone, heard at claimedAt. The host may still
	// refute it.
	claim     *wire.HostEntry
	claimedAt time.Time
	// goneAt is when the entry was first taken to be gone.
	goneAt time.Time
	// leftOut says that this host found the other to be gone.
	leftOut bool
	// since is when the roster first had this incarnation.
	since time.Time
	load  uint32
}

// contact is a host that heartbeats have been exchanged with.
type contact struct {
	// heardAt is when the host was last heard, directly or through another.
	heardAt time.Time
	// pingedUsAt is when its last regular Ping came, zero where it sends none.
	pingedUsAt time.Time
	pings      [pingsKept]sentPing
	// differs counts the successive heartbeats with another roster than ours.
	differs  int
	digestAt time.Time
}

// sentPing is a Ping that may still be answered.
type sentPing struct {
	sequence uint32
	at       time.Time
}

const pingsKept = 4

// Machine is one host's part of the protocol. It is driven by one goroutine at
// a time.
type Machine struct {
	self     *entry
	entries  map[string]*entry
	contacts map[string]*contact
	// hinted are the hosts of the platform's host list by name.
	hinted map[string]store.Host
	// hintSeen says that the host list has been read at least once.
	hintSeen bool
	// targets are the hosts that this one sends heartbeats to.
	targets []string
	// askers are the hosts that wait for news of another, by its name.
	askers map[string][]asker
	// changed are the entries to be flooded, by name.
	changed map[string]change
	// startedAt is when the machine was made.
	startedAt time.Time
	rand      *rand.Rand
	sequence  uint32
	tickedAt  time.Time
	nextPing  time.Time
	refuted   time.Time
	version   uint64
	retarget  bool
	// hashes are those of the buckets, nil where they must be reckoned anew.
	hashes []uint64
	out    []wire.Outgoing
}

// change is an entry to be flooded, and the host it came from.
type change struct {
	entry wire.HostEntry
	from  string
}

// asker is a host that asked after another.
type asker struct {
	name string
	at   time.Time
}

// New returns the machine of a host that knows only itself.
func New(now time.Time, self wire.HostEntry, random *rand.Rand) *Machine {
	own := &entry{HostEntry: self, since: now}
	own.State = wire.HostJoining
	return &Machine{
		self:      own,
		entries:   map[string]*entry{self.Name: own},
		contacts:  map[string]*contact{},
		hinted:    map[string]store.Host{},
		askers:    map[string][]asker{},
		changed:   map[string]change{},
		rand:      random,
		startedAt: now,
		tickedAt:  now,
		nextPing:  now,
		version:   1,
	}
}

// Member is a host as the roster shows it.
type Member struct {
	wire.HostEntry
	// Suspected says that some host cannot reach it.
	Suspected bool
	// Load is the number of requests it worked on when last heard. Known only
	// of hosts that this one exchanges heartbeats with, else LoadUnknown.
	Load int
}

// LoadUnknown is the load of a host that is not a contact.
const LoadUnknown = -1

// Version grows with every change of Members.
func (m *Machine) Version() uint64 { return m.version }

// Members returns the roster without hosts that are gone, ordered by name.
// This host is always among them.
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

// Contacts returns the hosts that heartbeats are exchanged with, ordered by
// name.
func (m *Machine) Contacts() []string {
	names := make([]string, 0, len(m.contacts))
	for name, c := range m.contacts {
		regular := !c.pingedUsAt.IsZero() || slices.Contains(m.targets, name)
		if e, ok := m.entries[name]; ok && regular && e.State != wire.HostGone {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// Address returns where a host accepts links.
func (m *Machine) Address(name string) (string, bool) {
	if e, ok := m.entries[name]; ok && e.PeerURL != "" {
		return e.PeerURL, true
	}
	h, ok := m.hinted[name]
	return h.PeerURL, ok && h.PeerURL != ""
}

// SetState moves this host to a state. Going back, as a host does that is no
// longer ready, starts a new incarnation.
func (m *Machine) SetState(s wire.HostState) {
	if m.self.State == s {
		return
	}
	if s < m.self.State {
		m.self.Incarnation++
	}
	m.self.State = s
	m.note(m.self, "")
}

// SetLoad notes the number of requests that this host works on.
func (m *Machine) SetLoad(requests int) {
	m.self.load = uint32(max(requests, 0))
}

// note remembers that an entry has changed, so that it is told to others.
func (m *Machine) note(e *entry, from string) {
	m.changed[e.Name] = change{e.HostEntry, from}
	m.version++
	m.retarget = true
	m.hashes = nil
}

// SetHostList takes the platform's list, which lags. It names hosts to get in
// touch with, and a host that it no longer names has one witness against it.
func (m *Machine) SetHostList(hosts []store.Host) {
	m.hinted = make(map[string]store.Host, len(hosts))
	m.hintSeen = true
	for _, h := range hosts {
		if h.Name != m.self.Name {
			m.hinted[h.Name] = h
		}
	}
}

// joinTimeout is how long a host that finds nobody waits for others.
const joinTimeout = 5 * time.Second

// Joined reports whether the roster tells who there is: another host has been
// heard, or there seems to be none.
func (m *Machine) Joined(now time.Time) bool {
	for _, e := range m.entries {
		if e != m.self && e.State != wire.HostGone {
			return true
		}
	}
	alone := len(m.hinted) == 0 || now.Sub(m.startedAt) >= joinTimeout
	return m.hintSeen && alone
}

// send queues a message.
func (m *Machine) send(to string, message wire.Message) {
	m.out = append(m.out, wire.Outgoing{To: to, Message: message})
}

// take returns the messages that were queued.
func (m *Machine) take() []wire.Outgoing {
	out := m.out
	m.out = nil
	return out
}
