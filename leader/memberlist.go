package leader

import (
	"slices"
	"strings"
	"time"

	"github.com/jasminelock/jasminelock/wire"
)

// memberListBits is the number of low bits of a member list's version that count the changes of one leader's list.
const memberListBits = 20

// memberListChanged updates the member list and sends its changes to every host after memberListDelay. The delay
// batches hosts that join and leave together.
func (b *Broker) memberListChanged() {
	b.memberListVersion++
	b.hosts = b.callerHosts()
	b.updateFleetShare()
	if b.memberListDue {
		return
	}
	b.memberListDue = true
	time.AfterFunc(memberListDelay, func() {
		b.update(func(now time.Time) {
			b.memberListDue = false
			if b.leading != nil {
				b.sendMemberList(now)
			}
		})
	})
}

// memberListDelay is how long changes of the member list are batched.
const memberListDelay = 50 * time.Millisecond

// memberList is a version of the member list that has been sent to hosts.
type memberList struct {
	version uint64
	hosts   []wire.CallerHost
}

// sendMemberList sends every host the changes since the last sent version. A host that has missed that version
// reports an older one with its next heartbeat.
func (b *Broker) sendMemberList(now time.Time) {
	before := b.announced
	b.announced = memberList{version: b.memberListVersion, hosts: b.hosts}
	heartbeat := b.leaderHeartbeat(now)
	heartbeat.MemberListBase = before.version
	heartbeat.Hosts, heartbeat.RemovedHosts = diffHosts(before.hosts, b.hosts)
	for host := range b.members {
		b.sendTo(host, heartbeat)
	}
}

// diffHosts returns the hosts that are new or have changed, and the names of those that are gone.
func diffHosts(before, now []wire.CallerHost) (changed []wire.CallerHost, gone []string) {
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

// applyMemberList applies the member list of a heartbeat, or its changes.
func (b *Broker) applyMemberList(m *wire.LeaderHeartbeat) {
	switch {
	case m.MemberListVersion == b.memberListVersion:
		return
	case m.MemberListBase == 0 && len(m.Hosts) > 0:
		b.hosts = m.Hosts
	case m.MemberListBase != 0 && m.MemberListBase == b.memberListVersion:
		b.hosts = patchHosts(b.hosts, m.Hosts, m.RemovedHosts)
	default:
		return // the version in this host's next heartbeat makes the leader send the whole list
	}
	b.memberListVersion = m.MemberListVersion
	b.updateFleetShare()
}

// patchHosts returns a list with the changes applied, sorted by name.
func patchHosts(hosts, changed []wire.CallerHost, gone []string) []wire.CallerHost {
	out := slices.Clone(changed)
	for _, h := range hosts {
		replaced := slices.ContainsFunc(changed, func(c wire.CallerHost) bool { return c.Name == h.Name })
		if !replaced && !slices.Contains(gone, h.Name) {
			out = append(out, h)
		}
	}
	slices.SortFunc(out, compareNames)
	return out
}

func compareNames(x, y wire.CallerHost) int { return strings.Compare(x.Name, y.Name) }

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
	slices.SortFunc(hosts, compareNames)
	return hosts
}
