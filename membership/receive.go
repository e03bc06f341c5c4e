package membership

import (
	"time"

	"github.com/jasminelock/jasminelock/wire"
)

// Receive takes a message of another host. Messages that are not the
// package's are ignored.
func (m *Machine) Receive(now time.Time, from string, message wire.Message) []wire.Outgoing {
	if from == m.self.Name {
		return nil
	}
	switch message := message.(type) {
	case *wire.Ping:
		m.onPing(now, from, message)
	case *wire.Ack:
		m.onPulse(now, from, message.HeartbeatState)
		m.answerAskers(now, from)
	case *wire.MemberListUpdate:
		m.merge(now, from, message.Entries)
	case *wire.MemberListDigest:
		m.onDigest(from, message)
	case *wire.Suspicion:
		m.onSuspicion(now, message)
	case *wire.ProbeRequest:
		m.onInquiry(now, from, message)
	case *wire.Alive:
		m.onAlive(now, message)
	}
	return m.take()
}

// PingSentAt returns when the Ping that an Ack answers was sent. It must be
// asked for before Receive takes a later Ping of the same host.
func (m *Machine) PingSentAt(from string, a *wire.Ack) (time.Time, bool) {
	c, ok := m.contacts[from]
	if !ok {
		return time.Time{}, false
	}
	for _, p := range c.pings {
		if p.sequence == a.Sequence && !p.at.IsZero() {
			return p.at, true
		}
	}
	return time.Time{}, false
}

func (m *Machine) onPing(now time.Time, from string, p *wire.Ping) {
	if c := m.contact(now, from); !p.Probe {
		m.setPinged(c, now)
	}
	m.send(from, &wire.Ack{HeartbeatState: m.pulse(p.Sequence)})
	m.onPulse(now, from, p.HeartbeatState)
}

// onPulse takes what a heartbeat says of its sender.
func (m *Machine) onPulse(now time.Time, from string, p wire.HeartbeatState) {
	c := m.contact(now, from)
	c.heardAt = now
	e, known := m.entries[from]
	if known {
		m.heardOf(e, p)
	}
	if p.MemberListHash == m.hash() {
		c.differs = 0
		return
	}
	c.differs++
	stranger := !known || e.State == wire.HostGone || e.Incarnation != p.Incarnation
	if (stranger || c.differs > 1) && now.Sub(c.digestAt) >= PingInterval/2 {
		c.digestAt = now
		m.send(from, &wire.MemberListDigest{Buckets: m.buckets(), WantDigest: true})
	}
}

// heardOf takes a heartbeat of a host that the roster knows.
func (m *Machine) heardOf(e *entry, p wire.HeartbeatState) {
	e.load = p.Load
	if e.State == wire.HostGone && p.Incarnation == e.Incarnation && p.State != wire.HostGone {
		// The host does not know that it was left out.
		m.send(e.Name, &wire.MemberListUpdate{Entries: []wire.HostEntry{e.HostEntry}})
	}
	if e.witnesses[m.self.Name] {
		delete(e.witnesses, m.self.Name)
		m.version++
	}
}

// contact returns the named host's contact and makes one where there is none.
func (m *Machine) contact(now time.Time, name string) *contact {
	c, ok := m.contacts[name]
	if !ok {
		c = &contact{heardAt: now}
		m.contacts[name] = c
	}
	return c
}

// setPinged notes a regular heartbeat, or with a zero time that they have ended.
func (m *Machine) setPinged(c *contact, at time.Time) {
	if c.pingedUsAt.IsZero() != at.IsZero() {
		m.version++ // the contacts have changed
	}
	c.pingedUsAt = at
}

func (m *Machine) pulse(sequence uint32) wire.HeartbeatState {
	return wire.HeartbeatState{
		Sequence: sequence, Incarnation: m.self.Incarnation, State: m.self.State,
		MemberListHash: m.hash(), Load: m.self.load,
	}
}

// merge takes entries of another host and keeps those that are newer.
func (m *Machine) merge(now time.Time, from string, entries []wire.HostEntry) {
	for _, received := range entries {
		if received.Incarnation > maxIncarnation {
			continue
		}
		if received.Name == m.self.Name {
			m.refute(now, received.Incarnation, received.State)
			continue
		}
		m.mergeOne(now, from, received)
	}
}

func (m *Machine) mergeOne(now time.Time, from string, received wire.HostEntry) {
	if received.Name == "" || received.State < wire.HostJoining || received.State > wire.HostGone {
		return
	}
	e, known := m.entries[received.Name]
	switch {
	case !known && (received.State == wire.HostGone || len(m.entries) >= maxEntries):
		return
	case !known:
		e = &entry{since: now}
		m.entries[received.Name] = e
	case !newer(received, e.HostEntry):
		return
	case received.State == wire.HostGone:
		m.claimGone(now, from, e, received)
		return
	}
	if received.Incarnation != e.Incarnation {
		e.witnesses, e.suspectedAt, e.claim, e.leftOut, e.since = nil, time.Time{}, nil, false, now
	}
	e.HostEntry = received
	m.note(e, from)
}

// claimGone passes news on that a host is gone. It takes effect after a grace,
// so that a host which lives can refute it first.
func (m *Machine) claimGone(now time.Time, from string, e *entry, received wire.HostEntry) {
	if e.claim != nil && !newer(received, *e.claim) {
		return
	}
	if e.claim == nil {
		e.claimedAt = now
	}
	e.claim = &received
	m.changed[e.Name] = change{received, from}
}

// newer reports whether a says more than b.
func newer(a, b wire.HostEntry) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation > b.Incarnation
	}
	return a.State > b.State
}

// refute answers news of this host that is not true.
func (m *Machine) refute(now time.Time, incarnation uint64, state wire.HostState) {
	wrong := incarnation > m.self.Incarnation || (incarnation == m.self.Incarnation && state > m.self.State)
	if !wrong {
		return
	}
	m.self.Incarnation = incarnation + 1
	m.refuted = now
	m.note(m.self, "")
}

func (m *Machine) onSuspicion(now time.Time, s *wire.Suspicion) {
	if s.Host == m.self.Name {
		if s.Incarnation == m.self.Incarnation && now.Sub(m.refuted) >= refuteInterval {
			m.refute(now, s.Incarnation, wire.HostGone)
		}
		return
	}
	e, ok := m.entries[s.Host]
	if !ok || e.State == wire.HostGone || s.Incarnation != e.Incarnation || s.Witness == "" {
		return
	}
	if e.witnesses[s.Witness] || len(e.witnesses) > witnessesNeeded {
		return
	}
	m.witness(now, e, s.Witness)
	for _, name := range m.Contacts() {
		if name != s.Witness {
			m.send(name, s)
		}
	}
}

// witness counts a witness against a host.
func (m *Machine) witness(now time.Time, e *entry, name string) {
	if e.witnesses == nil {
		e.witnesses = map[string]bool{}
	}
	e.witnesses[name] = true
	m.version++
	if len(e.witnesses) >= m.needed() && e.suspectedAt.IsZero() {
		e.suspectedAt = now
	}
}

// needed returns how many witnesses leave a host out. Where there are only two
// hosts, one can have no second witness.
func (m *Machine) needed() int {
	present := 0
	for _, e := range m.entries {
		if e.State != wire.HostGone {
			present++
		}
	}
	if present <= witnessesNeeded {
		return 1
	}
	return witnessesNeeded
}

// onInquiry finds out whether a host can be reached from here.
func (m *Machine) onInquiry(now time.Time, from string, q *wire.ProbeRequest) {
	if q.Host == m.self.Name || q.Host == from {
		return
	}
	if _, known := m.entries[q.Host]; !known {
		return
	}
	m.askers[q.Host] = append(m.askers[q.Host], asker{from, now})
	m.ping(now, q.Host, true)
}

// answerAskers tells those who asked that a host has just been heard.
func (m *Machine) answerAskers(now time.Time, heard string) {
	for _, a := range m.askers[heard] {
		if now.Sub(a.at) <= inquiryKeep {
			m.send(a.name, &wire.Alive{Host: heard})
		}
	}
	delete(m.askers, heard)
}

func (m *Machine) onAlive(now time.Time, a *wire.Alive) {
	if c, ok := m.contacts[a.Host]; ok {
		c.heardAt = now
	}
	if e, ok := m.entries[a.Host]; ok && e.witnesses[m.self.Name] {
		delete(e.witnesses, m.self.Name)
		m.version++
	}
}
