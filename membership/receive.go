package membership

import (
	"time"

	"github.com/jasminelock/jasminelock/wire"
)

// Receive handles a message from another host and returns the messages to send.
// Messages of other protocols are ignored.
func (m *Machine) Receive(now time.Time, from string, message wire.Message) []wire.Outgoing {
	if from == m.self.Name {
		return nil
	}
	switch message := message.(type) {
	case *wire.Ping:
		m.onPing(now, from, message)
	case *wire.Ack:
		m.onHeartbeat(now, from, message.HeartbeatState)
		m.answerProbeRequesters(now, from)
	case *wire.MemberListUpdate:
		m.merge(now, from, message.Entries)
	case *wire.MemberListDigest:
		m.onDigest(from, message)
	case *wire.Suspicion:
		m.onSuspicion(now, message)
	case *wire.ProbeRequest:
		m.onProbeRequest(now, from, message)
	case *wire.Alive:
		m.onAlive(now, message)
	}
	return m.drainOutbox()
}

// PingSentAt returns when the Ping that an Ack answers was sent, and whether that Ping
// is still recorded. It must be called before Receive handles a later Ping from the same
// host.
func (m *Machine) PingSentAt(from string, a *wire.Ack) (time.Time, bool) {
	c, ok := m.contacts[from]
	if !ok {
		return time.Time{}, false
	}
	for _, p := range c.sentPings {
		if p.sequence == a.Sequence && !p.sentAt.IsZero() {
			return p.sentAt, true
		}
	}
	return time.Time{}, false
}

func (m *Machine) onPing(now time.Time, from string, p *wire.Ping) {
	if c := m.getOrAddContact(now, from); !p.Probe {
		m.setPingReceived(c, now)
	}
	m.send(from, &wire.Ack{HeartbeatState: m.heartbeatState(p.Sequence)})
	m.onHeartbeat(now, from, p.HeartbeatState)
}

// onHeartbeat records the sender's state and requests a comparison of the member lists
// if the sender is not known with this incarnation or the hashes differ repeatedly.
func (m *Machine) onHeartbeat(now time.Time, from string, p wire.HeartbeatState) {
	c := m.getOrAddContact(now, from)
	c.lastHeardAt = now
	e, known := m.entries[from]
	if known {
		m.updateFromHeartbeat(e, p)
	}
	if p.MemberListHash == m.memberListHash() {
		c.mismatches = 0
		return
	}
	c.mismatches++
	unrecognised := !known || e.State == wire.HostGone || e.Incarnation != p.Incarnation
	if (unrecognised || c.mismatches > 1) && now.Sub(c.digestSentAt) >= PingInterval/2 {
		c.digestSentAt = now
		m.send(from, &wire.MemberListDigest{Buckets: m.buckets(), WantDigest: true})
	}
}

// updateFromHeartbeat applies a heartbeat to the entry of its sender.
func (m *Machine) updateFromHeartbeat(e *entry, p wire.HeartbeatState) {
	e.load = p.Load
	if e.State == wire.HostGone && p.Incarnation == e.Incarnation && p.State != wire.HostGone {
		// The host does not know that it was marked gone.
		m.send(e.Name, &wire.MemberListUpdate{Entries: []wire.HostEntry{e.HostEntry}})
	}
	if e.witnesses[m.self.Name] {
		delete(e.witnesses, m.self.Name)
		m.version++
	}
}

// getOrAddContact returns the contact of the named host, adding it if necessary.
func (m *Machine) getOrAddContact(now time.Time, name string) *contact {
	c, ok := m.contacts[name]
	if !ok {
		c = &contact{lastHeardAt: now}
		m.contacts[name] = c
	}
	return c
}

// setPingReceived records the time of a regular heartbeat. A zero time records that the
// contact no longer sends any.
func (m *Machine) setPingReceived(c *contact, at time.Time) {
	if c.pingReceivedAt.IsZero() != at.IsZero() {
		m.version++ // the result of Contacts has changed
	}
	c.pingReceivedAt = at
}

func (m *Machine) heartbeatState(sequence uint32) wire.HeartbeatState {
	return wire.HeartbeatState{
		Sequence: sequence, Incarnation: m.self.Incarnation, State: m.self.State,
		MemberListHash: m.memberListHash(), Load: m.self.load,
	}
}

// merge applies the entries from another host that are newer than those known here. It
// refutes false entries about this host and ignores incarnations above maxIncarnation.
func (m *Machine) merge(now time.Time, from string, entries []wire.HostEntry) {
	for _, received := range entries {
		if received.Incarnation > maxIncarnation {
			continue
		}
		if received.Name == m.self.Name {
			m.refute(now, received.Incarnation, received.State)
			continue
		}
		m.mergeEntry(now, from, received)
	}
}

func (m *Machine) mergeEntry(now time.Time, from string, received wire.HostEntry) {
	if received.Name == "" || received.State < wire.HostJoining || received.State > wire.HostGone {
		return
	}
	e, known := m.entries[received.Name]
	switch {
	case !known && (received.State == wire.HostGone || len(m.entries) >= maxEntries):
		return
	case !known:
		e = &entry{incarnationSeenAt: now}
		m.entries[received.Name] = e
	case !supersedes(received, e.HostEntry):
		return
	case received.State == wire.HostGone:
		m.deferGone(now, from, e, received)
		return
	}
	if received.Incarnation != e.Incarnation {
		e.witnesses, e.quorumAt, e.pendingGone, e.declaredGone, e.incarnationSeenAt = nil, time.Time{}, nil, false, now
	}
	e.HostEntry = received
	m.recordChange(e, from)
}

// deferGone relays the report that a host is gone. The report takes effect here after
// goneGracePeriod, so that a live host can refute it first.
func (m *Machine) deferGone(now time.Time, from string, e *entry, received wire.HostEntry) {
	if e.pendingGone != nil && !supersedes(received, *e.pendingGone) {
		return
	}
	if e.pendingGone == nil {
		e.pendingGoneAt = now
	}
	e.pendingGone = &received
	m.pendingUpdates[e.Name] = pendingUpdate{received, from}
}

// supersedes reports whether a is newer than b: a higher incarnation or, within the same
// incarnation, a later state.
func supersedes(a, b wire.HostEntry) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation > b.Incarnation
	}
	return a.State > b.State
}

// refute raises this host's incarnation above the given one if another host has reported
// a newer entry about this host than its own.
func (m *Machine) refute(now time.Time, incarnation uint64, state wire.HostState) {
	supersedesOwn := incarnation > m.self.Incarnation || (incarnation == m.self.Incarnation && state > m.self.State)
	if !supersedesOwn {
		return
	}
	m.self.Incarnation = incarnation + 1
	m.refutedAt = now
	m.recordChange(m.self, "")
}

func (m *Machine) onSuspicion(now time.Time, s *wire.Suspicion) {
	if s.Host == m.self.Name {
		if s.Incarnation == m.self.Incarnation && now.Sub(m.refutedAt) >= refuteInterval {
			m.refute(now, s.Incarnation, wire.HostGone)
		}
		return
	}
	e, ok := m.entries[s.Host]
	if !ok || e.State == wire.HostGone || s.Incarnation != e.Incarnation || s.Witness == "" {
		return
	}
	if e.witnesses[s.Witness] || len(e.witnesses) > witnessQuorum {
		return
	}
	m.addWitness(now, e, s.Witness)
	for _, name := range m.Contacts() {
		if name != s.Witness {
			m.send(name, s)
		}
	}
}

// addWitness records that the named witness suspects the host.
func (m *Machine) addWitness(now time.Time, e *entry, name string) {
	if e.witnesses == nil {
		e.witnesses = map[string]bool{}
	}
	e.witnesses[name] = true
	m.version++
	if len(e.witnesses) >= m.requiredWitnesses() && e.quorumAt.IsZero() {
		e.quorumAt = now
	}
}

// requiredWitnesses returns the number of witnesses needed to mark a host gone. With
// only two hosts, there can be no second witness.
func (m *Machine) requiredWitnesses() int {
	hostCount := 0
	for _, e := range m.entries {
		if e.State != wire.HostGone {
			hostCount++
		}
	}
	if hostCount <= witnessQuorum {
		return 1
	}
	return witnessQuorum
}

// onProbeRequest probes a host on behalf of another.
func (m *Machine) onProbeRequest(now time.Time, from string, q *wire.ProbeRequest) {
	if q.Host == m.self.Name || q.Host == from {
		return
	}
	if _, known := m.entries[q.Host]; !known {
		return
	}
	m.probeRequesters[q.Host] = append(m.probeRequesters[q.Host], probeRequester{from, now})
	m.ping(now, q.Host, true)
}

// answerProbeRequesters sends an Alive message for a host that has just been heard to
// all hosts that requested a probe of that host within probeRequestTTL.
func (m *Machine) answerProbeRequesters(now time.Time, heard string) {
	for _, a := range m.probeRequesters[heard] {
		if now.Sub(a.requestedAt) <= probeRequestTTL {
			m.send(a.name, &wire.Alive{Host: heard})
		}
	}
	delete(m.probeRequesters, heard)
}

func (m *Machine) onAlive(now time.Time, a *wire.Alive) {
	if c, ok := m.contacts[a.Host]; ok {
		c.lastHeardAt = now
	}
	if e, ok := m.entries[a.Host]; ok && e.witnesses[m.self.Name] {
		delete(e.witnesses, m.self.Name)
		m.version++
	}
}
