package membership

import (
	"slices"
	"time"

	"github.com/jasminelock/jasminelock/wire"
)

// Tick runs the periodic work and returns the messages to send. It must be called
// every TickInterval.
func (m *Machine) Tick(now time.Time) []wire.Outgoing {
	m.handleLocalPause(now)
	m.applyPendingGone(now)
	if m.targetsStale {
		m.targets = m.pickTargets()
		m.targetsStale = false
		m.version++
	}
	m.floodUpdates()
	if !now.Before(m.nextRoundAt) {
		m.nextRoundAt = now.Add(PingInterval)
		m.runRound(now)
	}
	m.lastTickAt = now
	return m.drainOutbox()
}

// handleLocalPause restarts the timers of all contacts and suspected hosts if this host
// was paused, because their silence was then caused by this host.
func (m *Machine) handleLocalPause(now time.Time) {
	if now.Sub(m.lastTickAt) < localPauseThreshold {
		return
	}
	for _, c := range m.contacts {
		c.lastHeardAt = now
		if !c.pingReceivedAt.IsZero() {
			c.pingReceivedAt = now
		}
	}
	for _, e := range m.entries {
		if !e.quorumAt.IsZero() {
			e.quorumAt = now
		}
	}
	clear(m.probeRequesters)
}

// applyPendingGone marks hosts gone whose reported departure was not refuted within
// goneGracePeriod.
func (m *Machine) applyPendingGone(now time.Time) {
	for _, e := range m.entries {
		if e.pendingGone == nil || now.Sub(e.pendingGoneAt) < goneGracePeriod {
			continue
		}
		e.HostEntry, e.pendingGone, e.goneAt = *e.pendingGone, nil, now
		m.version++
		m.targetsStale = true
		m.bucketHashes = nil
	}
}

// floodUpdates sends the changed entries to all neighbours except the one that sent
// the entry.
func (m *Machine) floodUpdates() {
	if len(m.pendingUpdates) == 0 {
		return
	}
	for _, name := range m.neighbours() {
		var entries []wire.HostEntry
		for _, c := range m.pendingUpdates {
			if c.from != name {
				entries = append(entries, c.entry)
			}
		}
		m.sendEntries(name, entries)
	}
	clear(m.pendingUpdates)
}

// neighbours returns the contacts and the targets, ordered by name.
func (m *Machine) neighbours() []string {
	names := append(m.Contacts(), m.targets...)
	slices.Sort(names)
	return slices.Compact(names)
}

// runRound sends heartbeats and probes and checks for silent hosts. It runs every
// PingInterval.
func (m *Machine) runRound(now time.Time) {
	for _, name := range m.targets {
		m.ping(now, name, false)
	}
	for _, name := range m.pickProbes() {
		m.ping(now, name, true)
	}
	m.removeExpired(now)
	for _, name := range m.Contacts() {
		m.checkContact(now, name)
	}
	m.declareGoneHosts(now)
}

func (m *Machine) ping(now time.Time, name string, probe bool) {
	m.sequence++
	c := m.getOrAddContact(now, name)
	c.sentPings[m.sequence%maxSentPings] = sentPing{m.sequence, now}
	m.send(name, &wire.Ping{HeartbeatState: m.heartbeatState(m.sequence), Probe: probe})
}

// pickProbes returns up to probesPerRound hosts, chosen at random, that are not present
// members but may exist: unknown hosts of the platform's host list, and hosts that
// this host declared gone, which may have returned.
func (m *Machine) pickProbes() []string {
	var names []string
	for name := range m.hostList {
		if _, known := m.entries[name]; !known {
			names = append(names, name)
		}
	}
	for name, e := range m.entries {
		if e.declaredGone && e.State == wire.HostGone {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	m.rand.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
	return names[:min(len(names), probesPerRound)]
}

// removeExpired removes contacts with which heartbeats are no longer exchanged, and
// entries of hosts that have been gone for longer than goneRetention.
func (m *Machine) removeExpired(now time.Time) {
	for name, c := range m.contacts {
		e, known := m.entries[name]
		absent := !known || e.State == wire.HostGone
		switch {
		case absent && now.Sub(c.lastHeardAt) > SuspectAfter,
			!absent && now.Sub(c.lastHeardAt) > contactRetention && !slices.Contains(m.targets, name):
			delete(m.contacts, name)
			m.version++
		case now.Sub(c.pingReceivedAt) > contactRetention:
			m.setPingReceived(c, time.Time{})
		}
	}
	for name, e := range m.entries {
		if e != m.self && e.State == wire.HostGone && now.Sub(e.goneAt) > goneRetention {
			delete(m.entries, name)
		}
	}
}

// checkContact handles a silent contact: it probes the contact directly, then through
// other hosts, and finally suspects it.
func (m *Machine) checkContact(now time.Time, name string) {
	c, e := m.contacts[name], m.entries[name]
	silent := now.Sub(c.lastHeardAt)
	if silent < probeAfter {
		return
	}
	if !slices.Contains(m.targets, name) {
		m.ping(now, name, true)
	}
	if silent < indirectProbeAfter {
		return
	}
	if silent < SuspectAfter {
		m.probeIndirectly(name)
		return
	}
	if !e.witnesses[m.self.Name] {
		m.addWitness(now, e, m.self.Name)
	}
	m.probeIndirectly(name)
	for _, other := range m.neighbours() {
		m.send(other, &wire.Suspicion{Host: name, Incarnation: e.Incarnation, Witness: m.self.Name})
	}
}

// probeIndirectly requests a few randomly chosen hosts to probe a host.
func (m *Machine) probeIndirectly(name string) {
	var others []string
	for other, e := range m.entries {
		if other != name && e != m.self && e.State != wire.HostGone && !e.witnesses[m.self.Name] {
			others = append(others, other)
		}
	}
	slices.Sort(others)
	m.rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	for _, other := range others[:min(len(others), indirectProbes)] {
		m.send(other, &wire.ProbeRequest{Host: name})
	}
}

// declareGoneHosts marks the hosts gone that a quorum of witnesses has suspected for
// GoneAfter.
func (m *Machine) declareGoneHosts(now time.Time) {
	for _, name := range m.suspects() {
		e := m.entries[name]
		if m.missingFromHostList(now, e) && !e.witnesses[hostListWitness] {
			m.addWitness(now, e, hostListWitness)
		}
		if len(e.witnesses) < m.requiredWitnesses() {
			e.quorumAt = time.Time{}
			continue
		}
		if e.quorumAt.IsZero() {
			e.quorumAt = now
		}
		if now.Sub(e.quorumAt) < GoneAfter {
			continue
		}
		e.State = wire.HostGone
		e.goneAt, e.declaredGone, e.pendingGone = now, true, nil
		m.recordChange(e, "")
	}
}

// missingFromHostList reports whether the platform's host list does not contain the host
// although its entry is older than maxHostListLag.
func (m *Machine) missingFromHostList(now time.Time, e *entry) bool {
	_, listed := m.hostList[e.Name]
	return m.hostListSeen && !listed && now.Sub(e.incarnationSeenAt) > maxHostListLag
}

// suspects returns the names, in order, of the hosts with at least one witness.
func (m *Machine) suspects() []string {
	var names []string
	for name, e := range m.entries {
		if len(e.witnesses) > 0 && e.State != wire.HostGone {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}
