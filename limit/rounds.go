package limit

import (
	"maps"
	"slices"
	"time"

	"github.com/jasminelock/jasminelock/wire"
)

// sparePart is the part of the members that may be gone for a round to succeed,
// besides those that are not asked.
const sparePart = 8

// askedForView is how many hosts a new one asks for their view in a round.
const askedForView = 3

// tickRound asks other hosts for their view: all members where the table
// service does not answer, and those of the previous view that have not joined
// this one while that is still of use.
func (l *LeaderLimiter) tickRound(now time.Time) {
	if now.Before(l.nextRound) {
		return
	}
	if l.view == nil {
		l.nextRound = now.Add(l.jitter(joinInterval))
		l.seekView(now)
		return
	}
	outage := l.isMember() && l.storeSilent(now)
	if !outage && !l.wantsVotes(now) {
		return
	}
	interval := roundInterval
	if outage {
		interval = outageInterval
	}
	l.nextRound = now.Add(l.jitter(interval))
	probe := l.probe(l.fence.startRound(now))
	asked := map[string]bool{l.self.Host: true}
	ask := func(m wire.LimitMember) {
		if !asked[m.Host] {
			asked[m.Host] = true
			l.send(m.Host, probe)
		}
	}
	if outage {
		for _, m := range l.someMembers() {
			ask(m)
		}
	}
	for _, m := range l.view.previous.list {
		if !l.fence.joined[m] {
			ask(m)
		}
	}
	l.confirmSelf()
}

// probe returns the question of a round, 0 for a mere notice of this host's view.
func (l *LeaderLimiter) probe(round uint64) *wire.LimitProbe {
	return &wire.LimitProbe{
		Round: round, Incarnation: l.self.Incarnation, Epoch: l.epoch(), WantView: l.storeSilent(l.now),
	}
}

// storeSilent says that the table service has not answered for a while.
func (l *LeaderLimiter) storeSilent(now time.Time) bool { return now.Sub(l.store.headAt) > 2*headInterval }

// seekView asks some hosts for their view where the table service is silent.
func (l *LeaderLimiter) seekView(now time.Time) {
	if !l.storeSilent(now) {
		return
	}
	asked := 0
	for _, name := range slices.Sorted(maps.Keys(l.hosts.seen)) {
		if name != l.self.Host && asked < askedForView {
			asked++
			l.send(name, l.probe(0))
		}
	}
}

// someMembers returns a majority of the members and a few more, other ones each
// time, so that some may be gone.
func (l *LeaderLimiter) someMembers() []wire.LimitMember {
	all := l.view.members.list
	n := min(len(all), l.view.members.majority()+len(all)/sparePart+1)
	first := l.rand.IntN(len(all))
	return slices.Concat(all, all)[first : first+n]
}

// wantsVotes says that it is of use to know who has joined this view.
func (l *LeaderLimiter) wantsVotes(now time.Time) bool {
	if l.wantsNext(now) && !l.fence.settled(now, l.view) {
		return true
	}
	return l.fence.majorityAt.IsZero() && l.awaitsOthers()
}

// awaitsOthers says that this host may lead organisations of which it does not
// know what the lead before has spent.
func (l *LeaderLimiter) awaitsOthers() bool {
	if !l.isMember() {
		return false
	}
	isNew := !l.view.previous.has(l.self)
	for _, m := range l.view.previous.list {
		if _, done := l.handedOver[m]; !done && (isNew || !l.view.members.has(m)) {
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

// onProbe tells another host which view this host has joined.
func (l *LeaderLimiter) onProbe(from string, m *wire.LimitProbe) {
	epoch := l.epoch()
	l.send(from, &wire.LimitProbeAnswer{Round: m.Round, Incarnation: l.self.Incarnation, Epoch: epoch})
	switch {
	case m.WantView && m.Epoch < epoch:
		l.send(from, l.view.message())
	case m.Epoch > epoch:
		l.wantHead()
		if l.storeSilent(l.now) {
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
		return // the probe has told it
	case m.Epoch == l.view.epoch && m.Round == l.fence.round:
		l.fence.confirm(l.view, member)
	case m.Epoch > l.view.epoch:
		l.wantHead()
	}
	l.fence.join(now, l.view, member)
	l.serveQueued(now)
}
