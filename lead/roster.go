package lead

import (
	"slices"
	"strings"
	"time"

	"github.com/jasminelock/jasminelock/wire"
)

// rosterBits leave room for the versions of one lead's list of hosts.
const rosterBits = 20

// rosterChanged tells every host who is there, soon: hosts join and leave
// together.
func (b *Broker) rosterChanged() {
	b.roster++
	b.hosts = b.callerHosts()
	b.shareChanged()
	if b.rosterDue {
		return
	}
	b.rosterDue = true
	time.AfterFunc(rosterDelay, func() {
		b.step(func(now time.Time) {
			b.rosterDue = false
			if b.leading != nil {
				b.tellRoster(now)
			}
		})
	})
}

// rosterDelay is how long changes of the list of hosts are gathered.
const rosterDelay = 50 * time.Millisecond

// toldRoster is a list of hosts that others were told.
type toldRoster struct {
	version uint64
	hosts   []wire.CallerHost
}

// tellRoster tells every host what has changed since they were told last. One
// that has missed that says so with its next beat.
func (b *Broker) tellRoster(now time.Time) {
	before := b.told
	b.told = toldRoster{version: b.roster, hosts: b.hosts}
	beat := b.leadBeat(now)
	beat.MemberListBase = before.version
	beat.Hosts, beat.RemovedHosts = rosterChanges(before.hosts, b.hosts)
	for host := range b.members {
		b.sendTo(host, beat)
	}
}

// rosterChanges returns the hosts that are new or have changed, and the names of
// those that are gone.
func rosterChanges(before, now []wire.CallerHost) (changed []wire.CallerHost, gone []string) {
	old := map[string]wire.CallerHost{}
	for _, h := range before {
		old[h.Name] = h
	}
	for _, h := range now {
		if known, ok := old[h.Name]; !ok || known != h {
			changed = append(changed, h)
		}
		delete(old, h.Name)
	}
	for name := range old {
		gone = append(gone, name)
	}
	slices.Sort(gone)
	return changed, gone
}

// takeRoster takes what a beat says of the hosts.
func (b *Broker) takeRoster(m *wire.LeaderHeartbeat) {
	switch {
	case m.MemberListVersion == b.roster:
		return
	case m.MemberListBase == 0 && len(m.Hosts) > 0:
		b.hosts = m.Hosts
	case m.MemberListBase != 0 && m.MemberListBase == b.roster:
		b.hosts = changedRoster(b.hosts, m.Hosts, m.RemovedHosts)
	default:
		return // this host's next beat says what it has
	}
	b.roster = m.MemberListVersion
	b.shareChanged()
}

// changedRoster returns a list with changes applied, in the order of names.
func changedRoster(hosts, changed []wire.CallerHost, gone []string) []wire.CallerHost {
	out := slices.Clone(changed)
	for _, h := range hosts {
		replaced := slices.ContainsFunc(changed, func(c wire.CallerHost) bool { return c.Name == h.Name })
		if !replaced && !slices.Contains(gone, h.Name) {
			out = append(out, h)
		}
	}
	slices.SortFunc(out, byName)
	return out
}

func byName(x, y wire.CallerHost) int { return strings.Compare(x.Name, y.Name) }

// callerHosts returns the hosts that callers may be sent to.
func (b *Broker) callerHosts() []wire.CallerHost {
	var hosts []wire.CallerHost
	if !b.draining {
		hosts = append(hosts, wire.CallerHost{
			Name: b.options.Host, Zone: b.options.Zone, CallerAddress: b.options.CallerAddress, Cores: b.options.Cores, PeerURL: b.options.PeerURL,
		})
	}
	for name, m := range b.members {
		if !m.draining {
			hosts = append(hosts, wire.CallerHost{Name: name, Zone: m.zone, CallerAddress: m.callers, Cores: m.cores, PeerURL: m.peerURL})
		}
	}
	slices.SortFunc(hosts, byName)
	return hosts
}
