package membership

import (
	"slices"
	"time"

	"github.com/jasminelock/jasminelock/wire"
)

// Tick lets time pass. It must be called every TickInterval.
func (m *Machine) Tick(now time.Time) []wire.Outgoing {
	m.noticePause(now)
	m.settleClaims(now)
	if m.retarget {
		m.targets = m.pickTargets()
		m.retarget = false
		m.version++
	}
	m.flood()
	if !now.Before(m.nextPing) {
		m.nextPing = now.Add(PingInterval)
		m.round(now)
	}
	m.tickedAt = now
	return m.take()
}

// noticePause gives every host a fresh start where this one was paused: it was
// not they who were silent.
func (m *Machine) noticePause(now time.Time) {
	if now.Sub(m.tickedAt) < pauseGap {
		return
	}
	for _, c := range m.contacts {
		c.heardAt = now
		if !c.pingedUsAt.IsZero() {
			c.pingedUsAt = now
		}
	}
	for _, e := range m.entries {
		if !e.suspectedAt.IsZero() {
			e.suspectedAt = now
		}
	}
	clear(m.askers)
}

// settleClaims acts on news of hosts gone that was not refuted.
func (m *Machine) settleClaims(now time.Time) {
	for _, e := range m.entries {
		if e.claim == nil || now.Sub(e.claimedAt) < goneGrace {
			continue
		}
		e.HostEntry, e.claim, e.goneAt = *e.claim, nil, now
		m.version++
		m.retarget = true
		m.hashes = nil
	}
}

// flood tells the contacts what has changed.
func (m *Machine) flood() {
	if len(m.changed) == 0 {
		return
	}
	for _, name := range m.neighbours() {
		var entries []wire.HostEntry
		for _, c := range m.changed {
			if c.from != name {
				entries = append(entries, c.entry)
			}
		}
		m.sendEntries(name, entries)
	}
	clear(m.changed)
}

// neighbours returns the contacts and the targets, ordered by name.
func (m *Machine) neighbours() []string {
	names := append(m.Contacts(), m.targets...)
	slices.Sort(names)
	return slices.Compact(names)
}

// round sends heartbeats and looks for silent hosts. It runs every PingInterval.
func (m *Machine) round(now time.Time) {
	for _, name := range m.targets {
		m.ping(now, name, false)
	}
	for _, name := range m.probes() {
		m.ping(now, name, true)
	}
	m.forget(now)
	for _, name := range m.Contacts() {
		m.watch(now, name)
	}
	m.leaveOut(now)
}

func (m *Machine) ping(now time.Time, name string, probe bool) {
	m.sequence++
	c := m.contact(now, name)
	c.pings[m.sequence%pingsKept] = sentPing{m.sequence, now}
	m.send(name, &wire.Ping{HeartbeatState: m.pulse(m.sequence), Probe: probe})
}

// probes picks hosts that are not on the roster but may be there: named by the
// host list, or gone and perhaps back.
func (m *Machine) probes() []string {
	var names []string
	for name := range m.hinted {
		if _, known := m.entries[name]; !known {
			names = append(names, name)
		}
	}
	for name, e := range m.entries {
		if e.leftOut && e.State == wire.HostGone {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	m.rand.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
	return names[:min(len(names), probesPerRound)]
}

// forget drops contacts that heartbeats are no longer exchanged with, and
// hosts that have long been gone.
func (m *Machine) forget(now time.Time) {
	for name, c := range m.contacts {
		e, known := m.entries[name]
		stranger := !known || e.State == wire.HostGone
		switch {
		case stranger && now.Sub(c.heardAt) > SuspectAfter,
			!stranger && now.Sub(c.heardAt) > contactKeep && !slices.Contains(m.targets, name):
			delete(m.contacts, name)
			m.version++
		case now.Sub(c.pingedUsAt) > contactKeep:
			m.setPinged(c, time.Time{})
		}
	}
	for name, e := range m.entries {
		if e != m.self && e.State == wire.HostGone && now.Sub(e.goneAt) > goneKeep {
			delete(m.entries, name)
		}
	}
}

// watch asks after a silent contact, and then suspects it.
func (m *Machine) watch(now time.Time, name string) {
	c, e := m.contacts[name], m.entries[name]
	silent := now.Sub(c.heardAt)
	if silent < probeAfter {
		return
	}
	if !slices.Contains(m.targets, name) {
		m.ping(now, name, true)
	}
	if silent < inquireAfter {
		return
	}
	if silent < SuspectAfter {
		m.inquire(name)
		return
	}
	if !e.witnesses[m.self.Name] {
		m.witness(now, e, m.self.Name)
	}
	m.inquire(name)
	for _, other := range m.neighbours() {
		m.send(other, &wire.Suspicion{Host: name, Incarnation: e.Incarnation, Witness: m.self.Name})
	}
}

// inquire asks a few others whether they can reach a host.
func (m *Machine) inquire(name string) {
	var others []string
	for other, e := range m.entries {
		if other != name && e != m.self && e.State != wire.HostGone && !e.witnesses[m.self.Name] {
			others = append(others, other)
		}
	}
	slices.Sort(others)
	m.rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	for _, other := range others[:min(len(others), inquiries)] {
		m.send(other, &wire.ProbeRequest{Host: name})
	}
}

// leaveOut marks the hosts as gone that enough witnesses have suspected for
// long enough.
func (m *Machine) leaveOut(now time.Time) {
	for _, name := range m.suspects() {
		e := m.entries[name]
		if m.unlisted(now, e) && !e.witnesses[hostListWitness] {
			m.witness(now, e, hostListWitness)
		}
		if len(e.witnesses) < m.needed() {
			e.suspectedAt = time.Time{}
			continue
		}
		if e.suspectedAt.IsZero() {
			e.suspectedAt = now
		}
		if now.Sub(e.suspectedAt) < GoneAfter {
			continue
		}
		e.State = wire.HostGone
		e.goneAt, e.leftOut, e.claim = now, true, nil
		m.note(e, "")
	}
}

// unlisted reports whether the platform's host list would name the host, were
// it there.
func (m *Machine) unlisted(now time.Time, e *entry) bool {
	_, listed := m.hinted[e.Name]
	return m.hintSeen && !listed && now.Sub(e.since) > hostListLag
}

// suspects returns the hosts that somebody suspects, ordered by name.
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
