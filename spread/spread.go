// Package spread brings every accepted configuration to every host, and tells
// whether this host's own is still known to be the newest.
//
// Few hosts of each zone read the table service often; the others read it
// seldom. A change is passed on to the hosts that heartbeats are exchanged
// with, and by them to theirs. Heartbeats carry the revision in force, so that
// a host which missed a change asks for it. A host without state asks another
// for all records, packed.
//
// The package is a pure state machine: messages, answers of the table service
// and the time go in, decisions come out. It imports no network, no operating
// system and no clock.
package spread

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/jasminelock/jasminelock/record"
	"github.com/jasminelock/jasminelock/wire"
)

// Times of the protocol.
const (
	// DefaultReadInterval is how often a reader reads the head.
	DefaultReadInterval = 500 * time.Millisecond
	// slowReadInterval is how often a host that is no reader reads the head.
	slowReadInterval = 10 * time.Second
	// searchInterval is how often it reads once nobody has confirmed the
	// configuration for searchAfter.
	searchInterval = 2 * time.Second
	searchAfter    = 4 * time.Second
	// readTimeout is when a read that has not been answered counts as failed. It
	// leaves a report the time to reach every host before it is too old.
	readTimeout = 3 * time.Second
	// pullInterval bounds how often one host is asked for changes.
	pullInterval = 500 * time.Millisecond
	// ConfirmationLifetime is how long a confirmation is good for. It bounds how long a
	// host that is cut off goes on with a withdrawn key.
	ConfirmationLifetime = 10 * time.Second
	// reportFor is how long a failed read of the table service tells that it is
	// down.
	reportFor = 10 * time.Second
	// snapshotTimeout is when a host that does not send its records is given up.
	snapshotTimeout = 3 * time.Second
)

// Decision is what the machine wants done.
type Decision interface{ isDecision() }

// Send sends a message to another host.
type Send struct{ wire.Outgoing }

// ReadStore reads the head and the changes after a revision. StoreRead brings
// the answer.
type ReadStore struct {
	ID    uint64
	After int64
}

// ApplyConfig puts a configuration in force.
type ApplyConfig struct {
	Config *record.Config
	// Problems are records that were left out since they are not valid.
	Problems []error
}

func (Send) isDecision()      {}
func (ReadStore) isDecision() {}
func (ApplyConfig) isDecision()   {}

// StoreAnswer is the table service's answer to a ReadStore.
type StoreAnswer struct {
	ID uint64
	// Head is the newest revision, Changes those that follow the one asked for,
	// without gaps, possibly not all of them.
	Head    int64
	Changes []Change
	// Err says that the service could not be read.
	Err error
}

// Host is a host of the roster.
type Host struct {
	Name string
	Zone string
	// Suspected hosts are not relied on to read the table service.
	Suspected bool
}

// Machine is one host's part of the protocol. It is driven by one goroutine at
// a time.
type Machine struct {
	self         Host
	readInterval time.Duration
	rand         *rand.Rand

	config  *record.Config
	changes changeLog
	archive archive

	members  []Host
	contacts []string
	// held is the revision that each contact is known to have.
	held map[string]int64
	// waiting are changes that arrived before their predecessors.
	waiting map[int64]Change
	parts   map[string]*assembly
	pulled  map[string]time.Time
	fetch   *fetch

	reader   bool
	nextRead time.Time
	readID   uint64
	// readAt is when the read that is open was sent, zero where none is.
	readAt time.Time

	fresh freshness
	out   []Decision
}

// New returns the machine of a host without configuration.
func New(self Host, readInterval time.Duration, random *rand.Rand) *Machine {
	return &Machine{
		self: self, readInterval: readInterval, rand: random, config: record.NewConfig(),
		members: []Host{self}, held: map[string]int64{}, waiting: map[int64]Change{},
		parts: map[string]*assembly{}, pulled: map[string]time.Time{},
		fresh: newFreshness(self),
	}
}

// Revision returns the revision in force.
func (m *Machine) Revision() int64 { return m.config.Revision }

// IsReader reports whether this host reads the table service often.
func (m *Machine) IsReader() bool { return m.reader }

// ArchiveBytes returns the memory that the packed records take.
func (m *Machine) ArchiveBytes() int { return m.archive.bytes() }

// SetMembers takes the hosts of the roster, this one included, and the contacts.
func (m *Machine) SetMembers(hosts []Host, contacts []string) {
	m.members = hosts
	m.contacts = contacts
	m.reader = isReader(m.self, hosts)
	m.fresh.moreZones(needs(m.self, hosts))
	for name := range m.held {
		if !slices.Contains(contacts, name) {
			delete(m.held, name)
			delete(m.parts, name)
			delete(m.pulled, name)
		}
	}
}

func (m *Machine) send(to string, message wire.Message) {
	m.out = append(m.out, Send{wire.Outgoing{To: to, Message: message}})
}

func (m *Machine) take() []Decision {
	out := m.out
	m.out = nil
	return out
}

// Receive takes a message of another host. Messages that are not the
// package's are ignored.
func (m *Machine) Receive(now time.Time, from string, message wire.Message) []Decision {
	switch message := message.(type) {
	case *wire.ConfigChange:
		m.onChange(now, from, message)
	case *wire.ConfigPull:
		m.onPull(from, message)
	case *wire.SnapshotOffer:
		m.onOffer(now, from, message)
	case *wire.SnapshotPull:
		m.onSnapshotPull(from, message)
	case *wire.SnapshotPart:
		m.onSnapshotPart(now, from, message)
	}
	return m.take()
}

// HandlePeerRevision takes the revision that a heartbeat of another host carried.
func (m *Machine) HandlePeerRevision(now time.Time, from string, revision int64) []Decision {
	if revision > m.held[from] {
		m.held[from] = revision
	}
	if revision > m.config.Revision {
		m.pull(now, from)
	}
	return m.take()
}

// pull asks a host for what follows the revision in force.
func (m *Machine) pull(now time.Time, from string) {
	if at, ok := m.pulled[from]; ok && now.Sub(at) < pullInterval {
		return
	}
	m.pulled[from] = now
	m.send(from, &wire.ConfigPull{After: m.base()})
}

// base is the revision whose successors are wanted.
func (m *Machine) base() int64 {
	if m.fetch != nil && m.fetch.complete() {
		return max(m.fetch.base(), m.config.Revision)
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
		if bytes += c.bytes(); bytes > partBytes {
			return // the host asks for the rest
		}
	}
}

func (m *Machine) onChange(now time.Time, from string, part *wire.ConfigChange) {
	if part.Revision <= m.config.Revision {
		m.held[from] = max(m.held[from], part.Revision)
		return
	}
	a, ok := m.parts[from]
	if !ok {
		a = &assembly{}
		m.parts[from] = a
	}
	records, whole := a.add(part)
	if !whole {
		return
	}
	m.held[from] = max(m.held[from], part.Revision)
	m.learn(Change{Revision: part.Revision, Records: records})
	m.advance()
	if m.config.Revision < part.Revision {
		m.pull(now, from)
	}
}

// maxAhead bounds how far ahead of its predecessors a change may be kept.
const maxAhead = 256

func (m *Machine) learn(c Change) {
	if c.Revision > m.config.Revision && c.Revision <= m.base()+maxAhead {
		m.waiting[c.Revision] = c
	}
}

// advance puts in force what follows the present revision without a gap.
func (m *Machine) advance() {
	m.advanceFetched()
	var ready []Change
	for next := m.config.Revision + 1; ; next++ {
		c, ok := m.waiting[next]
		if !ok {
			break
		}
		ready = append(ready, c)
	}
	m.install(ready)
}

// install puts changes in force that follow the present revision. Others are
// ignored, so that the revision never goes back.
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
	m.force(config, problems)
	m.relay(before)
}

// force puts a configuration in force.
func (m *Machine) force(config *record.Config, problems []error) {
	m.config = config
	m.out = append(m.out, ApplyConfig{Config: config, Problems: problems})
	for r := range m.waiting {
		if r <= config.Revision {
			delete(m.waiting, r)
		}
	}
}

// maxRelayed bounds the changes that are passed on without being asked for. A
// host that is further behind asks.
const maxRelayed = 16

// relay passes the changes after a revision on to contacts that are not known
// to have them.
func (m *Machine) relay(before int64) {
	changes, kept := m.changes.after(before)
	if !kept || len(changes) > maxRelayed {
		return
	}
	for _, name := range m.contacts {
		for _, c := range changes {
			if m.held[name] >= c.Revision || c.bytes() > partBytes {
				continue // a large change is asked for, so that it passes each pair once
			}
			for _, frame := range c.frames() {
				m.send(name, frame)
			}
			m.held[name] = c.Revision
		}
	}
}
