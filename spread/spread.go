// Package spread distributes every accepted configuration change to every host,
// and reports until when this host's configuration may be taken as current.
//
// Two hosts of each availability zone read the table service often; the others
// read it seldom. A host relays each change to the hosts with which it exchanges
// heartbeats, and these relay it to theirs. Heartbeats carry the revision in
// force, so that a host that missed a change can pull it. A host without state
// pulls a compressed snapshot of all records from another host.
//
// A revision is a store.Position, ordered by era and number. After a restore of
// the store from a copy, hosts keep what they have until a change of the new era
// is accepted. They then replace the whole configuration, since the restored
// store may lack changes of the older era: no change of one era is applied to a
// configuration of another.
//
// The package is a pure state machine: its inputs are messages, answers of the
// table service and the current time; its outputs are decisions. It uses no
// network, no operating system and no clock.
package spread

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/jasminelock/jasminelock/record"
	"github.com/jasminelock/jasminelock/store"
	"github.com/jasminelock/jasminelock/wire"
)

// Intervals and timeouts of the protocol.
const (
	// DefaultReadInterval is the interval at which a reader reads the head, which is
	// the newest revision in the table service.
	DefaultReadInterval = 500 * time.Millisecond
	// slowReadInterval is the interval at which the other hosts read the head.
	slowReadInterval = 10 * time.Second
	// unconfirmedReadInterval replaces slowReadInterval when the configuration has not
	// been confirmed for unconfirmedAfter.
	unconfirmedReadInterval = 2 * time.Second
	unconfirmedAfter        = 4 * time.Second
	// readTimeout is the time after which an unanswered read counts as failed. It is
	// short enough for the failure to reach every host within failedReadLifetime.
	readTimeout = 3 * time.Second
	// pullInterval is the minimum interval between two pulls from the same host.
	pullInterval = 500 * time.Millisecond
	// ConfirmationLifetime is how long a confirmation is valid. It bounds how long a
	// partitioned host keeps accepting a withdrawn key.
	ConfirmationLifetime = 10 * time.Second
	// failedReadLifetime is how long a failed read counts as evidence that the table
	// service is down.
	failedReadLifetime = 10 * time.Second
	// snapshotTimeout is the time without a snapshot part after which a fetch is
	// abandoned.
	snapshotTimeout = 3 * time.Second
)

// Decision is an action that the caller of Machine must carry out.
type Decision interface{ isDecision() }

// Send sends a message to another host.
type Send struct{ wire.Outgoing }

// ReadStore requests a read of the head and of the changes after revision After.
// The caller passes the answer to Machine.HandleStoreAnswer.
type ReadStore struct {
	ID    uint64
	After store.Position
}

// ApplyConfig requests that a configuration be put in force.
type ApplyConfig struct {
	Config *record.Config
	// Problems has one error for each record that was skipped because it is invalid,
	// and any error of updating the archive.
	Problems []error
}

func (Send) isDecision()        {}
func (ReadStore) isDecision()   {}
func (ApplyConfig) isDecision() {}

// StoreAnswer is the table service's answer to a ReadStore.
type StoreAnswer struct {
	ID uint64
	// Head is the newest revision. Changes are the changes after ReadStore.After, in
	// order and without gaps, but possibly only the first of them.
	Head    store.Position
	Changes []Change
	// Era is the era of the store in which the head and the changes were read.
	Era int64
	// Err is non-nil if the service could not be read.
	Err error
}

// Host is a host of the member list.
type Host struct {
	Name string
	Zone string
	// Suspected hosts do not count as readers of the table service.
	Suspected bool
}

// Machine is the protocol state of one host. It is not safe for concurrent use.
type Machine struct {
	self         Host
	readInterval time.Duration
	rand         *rand.Rand

	config  *record.Config
	changes changeLog
	archive archive

	members  []Host
	contacts []string
	// peerRevisions is the highest revision that each other host is known to have.
	peerRevisions map[string]store.Position
	// pendingChanges holds changes that arrived before their predecessors, by revision.
	pendingChanges map[store.Position]Change
	assemblies     map[string]*assembly
	lastPullAt     map[string]time.Time
	fetch          *fetch
	// rebuild collects the configuration of a restored store, nil if none is being read.
	rebuild *rebuild

	reader   bool
	nextRead time.Time
	readID   uint64
	// readSentAt is when the outstanding read was sent; zero if there is none.
	readSentAt time.Time

	freshness freshness
	decisions []Decision
}

// New returns the machine of a host that has no configuration yet.
func New(self Host, readInterval time.Duration, random *rand.Rand) *Machine {
	return &Machine{
		self: self, readInterval: readInterval, rand: random, config: record.NewConfig(),
		members: []Host{self}, peerRevisions: map[string]store.Position{}, pendingChanges: map[store.Position]Change{},
		assemblies: map[string]*assembly{}, lastPullAt: map[string]time.Time{},
		freshness: newFreshness(self),
	}
}

// Revision returns the revision in force.
func (m *Machine) Revision() store.Position { return m.config.Revision }

// IsReader reports whether this host is one of the readers of its zone, which read
// the table service at the configured read interval.
func (m *Machine) IsReader() bool { return m.reader }

// ArchiveBytes returns the size of the compressed records in bytes.
func (m *Machine) ArchiveBytes() int { return m.archive.bytes() }

// SetMembers sets the hosts of the member list, this host included, and the names of
// the hosts with which this host exchanges heartbeats.
func (m *Machine) SetMembers(hosts []Host, contacts []string) {
	m.members = hosts
	m.contacts = contacts
	m.reader = isReader(m.self, hosts)
	m.freshness.addZones(requiredZones(m.self, hosts))
	for name := range m.peerRevisions {
		if !slices.Contains(contacts, name) {
			delete(m.peerRevisions, name)
			delete(m.assemblies, name)
			delete(m.lastPullAt, name)
		}
	}
}

func (m *Machine) send(to string, message wire.Message) {
	m.decisions = append(m.decisions, Send{wire.Outgoing{To: to, Message: message}})
}

func (m *Machine) takeDecisions() []Decision {
	out := m.decisions
	m.decisions = nil
	return out
}

// Receive handles a message from another host. It ignores message types that do
// not belong to this protocol.
func (m *Machine) Receive(now time.Time, from string, message wire.Message) []Decision {
	switch message := message.(type) {
	case *wire.ConfigChange:
		m.onChange(now, from, message)
	case *wire.ConfigPull:
		m.onPull(from, message)
	case *wire.SnapshotOffer:
		m.onSnapshotOffer(now, from, message)
	case *wire.SnapshotPull:
		m.onSnapshotPull(from, message)
	case *wire.SnapshotPart:
		m.onSnapshotPart(now, from, message)
	}
	return m.takeDecisions()
}

// HandlePeerRevision handles the revision in a heartbeat from another host. A revision above the
// one in force leads to a pull.
func (m *Machine) HandlePeerRevision(now time.Time, from string, revision store.Position) []Decision {
	if revision > m.peerRevisions[from] {
		m.peerRevisions[from] = revision
	}
	if revision > m.config.Revision {
		m.pull(now, from)
	}
	return m.takeDecisions()
}

// pull requests the changes after pullBase from a host, at most once in
// pullInterval.
func (m *Machine) pull(now time.Time, from string) {
	if at, ok := m.lastPullAt[from]; ok && now.Sub(at) < pullInterval {
		return
	}
	m.lastPullAt[from] = now
	m.send(from, &wire.ConfigPull{After: m.pullBase()})
}

// pullBase returns the revision after which changes are needed.
func (m *Machine) pullBase() store.Position {
	if m.fetch != nil && m.fetch.complete() {
		return max(m.fetch.lowestRevision(), m.config.Revision)
	}
	return m.config.Revision
}

func (m *Machine) onPull(from string, p *wire.ConfigPull) {
	if p.After >= m.config.Revision {
		return
	}
	changes, kept := m.changes.after(p.After)
	if !kept {
		m.send(from, &wire.SnapshotOffer{Revision: m.config.Revision, Buckets: archiveBuckets})
		return
	}
	bytes := 0
	for _, c := range changes {
		for _, frame := range c.frames() {
			m.send(from, frame)
		}
		if bytes += c.bytes(); bytes > maxPartBytes {
			return // the host pulls the remaining changes later
		}
	}
}

func (m *Machine) onChange(now time.Time, from string, part *wire.ConfigChange) {
	if part.Revision <= m.config.Revision {
		m.peerRevisions[from] = max(m.peerRevisions[from], part.Revision)
		return
	}
	changeParts, ok := m.assemblies[from]
	if !ok {
		changeParts = &assembly{}
		m.assemblies[from] = changeParts
	}
	records, complete := changeParts.add(part)
	if !complete {
		return
	}
	m.peerRevisions[from] = max(m.peerRevisions[from], part.Revision)
	m.addPending(Change{Revision: part.Revision, Records: records})
	m.advance()
	if m.config.Revision < part.Revision {
		m.pull(now, from)
	}
}

// maxRevisionsAhead bounds how far above pullBase the revision of a pending change
// may be.
const maxRevisionsAhead = 256

func (m *Machine) addPending(c Change) {
	if c.Revision > m.config.Revision && c.Revision <= m.pullBase()+maxRevisionsAhead {
		m.pendingChanges[c.Revision] = c
	}
}

// advance installs the fetched snapshot if it is usable, then the pending changes
// that follow the revision in force without a gap.
func (m *Machine) advance() {
	m.advanceFetched()
	var ready []Change
	for next := m.config.Revision + 1; ; next++ {
		c, ok := m.pendingChanges[next]
		if !ok {
			break
		}
		ready = append(ready, c)
	}
	m.install(ready)
}

// install puts in force the changes that follow the present revision without a gap.
// It ignores all others, so that the revision never decreases.
func (m *Machine) install(changes []Change) {
	before := m.config.Revision
	var records []wire.ConfigRecord
	next := before
	for _, c := range changes {
		if c.Revision != next+1 {
			continue
		}
		next = c.Revision
		records = append(records, c.Records...)
		m.changes.add(c)
	}
	if next == before {
		return
	}
	config, problems := m.config.Apply(next, envelopes(records))
	if err := m.archive.put(records); err != nil {
		problems = append(problems, err)
	}
	m.activate(config, problems)
	m.relay(before)
}

// activate puts a configuration in force and drops the pending changes that it
// contains.
func (m *Machine) activate(config *record.Config, problems []error) {
	m.config = config
	m.rebuild = nil
	m.decisions = append(m.decisions, ApplyConfig{Config: config, Problems: problems})
	for r := range m.pendingChanges {
		if r <= config.Revision {
			delete(m.pendingChanges, r)
		}
	}
}

// maxRelayedChanges bounds the changes that are pushed to contacts at once. A host
// that is further behind pulls them.
const maxRelayedChanges = 16

// relay sends the changes after a revision to the contacts that are not known to
// have them.
func (m *Machine) relay(before store.Position) {
	changes, kept := m.changes.after(before)
	if !kept || len(changes) > maxRelayedChanges {
		return
	}
	for _, name := range m.contacts {
		for _, c := range changes {
			if m.peerRevisions[name] >= c.Revision || c.bytes() > maxPartBytes {
				continue // a large change is left to pulls, so that each pair of hosts transfers it once
			}
			for _, frame := range c.frames() {
				m.send(name, frame)
			}
			m.peerRevisions[name] = c.Revision
		}
	}
}
