package limit

import (
	"maps"
	"slices"
	"time"

	"github.com/jasminelock/jasminelock/wire"
)

// spareDivisor is the divisor for the additional members that a round probes:
// one in spareDivisor, rounded down, and one more. A round still succeeds if that
// many of the probed members are unreachable.
const spareDivisor = 8

// maxViewProbes is how many hosts a new host probes for their view in a round.
const maxViewProbes = 3

// tickProbes probes other hosts for their view: a majority of the members and a
// few more while the table service does not answer, and the members of the
// previous view that have not joined this one while that is still needed.
func (l *LeaderLimiter) tickProbes(now time.Time) {
	if now.Before(l.nextRound) {
		return
	}
	if l.view == nil {
		l.nextRound = now.Add(l.jitter(joinInterval))
		l.probeForView(now)
		return
	}
	outage := l.isMember() && l.storeUnresponsive(now)
	if !outage && !l.needsJoins(now) {
		return
	}
	interval := roundInterval
	if outage {
		interval = outageInterval
	}
	l.nextRound = now.Add(l.jitter(interval))
	probe := l.probe(l.fence.startRound(now))
	probed := map[string]bool{l.self.Host: true}
	sendProbe := func(m wire.LimitMember) {
		if !probed[m.Host] {
			probed[m.Host] = true
			l.send(m.Host, probe)
		}
	}
	if outage {
		for _, m := range l.sampleMembers() {
			sendProbe(m)
		}
	}
	for _, m := range l.view.previous.list {
		if !l.fence.joined[m] {
			sendProbe(m)
		}
	}
	l.confirmSelf()
}

// probe returns the probe of a round. Round 0 only announces this host's view.
func (l *LeaderLimiter) probe(round uint64) *wire.LimitProbe {
	return &wire.LimitProbe{
		Round: round, Incarnation: l.self.Incarnation, Epoch: l.epoch(), WantView: l.storeUnresponsive(l.now),
	}
}

// storeUnresponsive reports whether the table service has answered none of the
// head reads sent within the last 2*headReadInterval.
func (l *LeaderLimiter) storeUnresponsive(now time.Time) bool {
	return now.Sub(l.store.headAt) > 2*headReadInterval
}

// probeForView probes some hosts for their view while the table service does not
// answer.
func (l *LeaderLimiter) probeForView(now time.Time) {
	if !l.storeUnresponsive(now) {
		return
	}
	probed := 0
	for _, name := range slices.Sorted(maps.Keys(l.hosts.listed)) {
		if name != l.self.Host && probed < maxViewProbes {
			probed++
			l.send(name, l.probe(0))
		}
	}
}

// sampleMembers returns a majority of the members and a few more, so that some
// may be unreachable. The selection is random and differs between calls.
func (l *LeaderLimiter) sampleMembers() []wire.LimitMember {
	all := l.view.members.list
	n := min(len(all), l.view.members.majority()+len(all)/spareDivisor+1)
	first := l.rand.IntN(len(all))
	return slices.Concat(all, all)[first : first+n]
}

// needsJoins reports whether this host still needs to know which members of the
// previous view have joined this one.
func (l *LeaderLimiter) needsJoins(now time.Time) bool {
	if l.needsNextView(now) && !l.fence.replaceable(now, l.view) {
		return true
	}
	return l.fence.majorityAt.IsZero() && l.awaitsHandover()
}

// awaitsHandover reports whether this host may lead organisations for which it
// does not know the tokens spent by the previous leader.
func (l *LeaderLimiter) awaitsHandover() bool {
	if !l.isMember() {
		return false
	}
	isNew := !l.view.previous.has(l.self)
	for _, m := range l.view.previous.list {
		if _, done := l.handedOverAt[m]; !done && (isNew || !l.view.members.has(m)) {
			return true
		}
	}
	return false
}

func (l *LeaderLimiter) confirmSelf() {
	if l.isMember() {
		l.fence.confirm(l.view, l.self)
	}
}

// onProbe answers a probe with the epoch of this host's view.
func (l *LeaderLimiter) onProbe(from string, m *wire.LimitProbe) {
	epoch := l.epoch()
	l.send(from, &wire.LimitProbeAnswer{Round: m.Round, Incarnation: l.self.Incarnation, Epoch: epoch})
	switch {
	case m.WantView && m.Epoch < epoch:
		l.send(from, l.view.message())
	case m.Epoch > epoch:
		l.scheduleHeadRead()
		if l.storeUnresponsive(l.now) {
			l.send(from, l.probe(0))
		}
	}
	if l.view != nil && !l.view.members.has(wire.LimitMember{Host: from, Incarnation: m.Incarnation}) {
		l.newcomers[from] = m.Incarnation
	}
}

func (l *LeaderLimiter) onProbeAnswer(now time.Time, from string, m *wire.LimitProbeAnswer) {
	if l.view == nil {
		return
	}
	member := wire.LimitMember{Host: from, Incarnation: m.Incarnation}
	switch {
	case m.Epoch < l.view.epoch:
		return // the probe has already announced the newer view to that host
	case m.Epoch == l.view.epoch && m.Round == l.fence.round:
		l.fence.confirm(l.view, member)
	case m.Epoch > l.view.epoch:
		l.scheduleHeadRead()
	}
	l.fence.recordJoin(now, l.view, member)
	l.retryQueued(now)
}
