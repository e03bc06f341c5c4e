package limit

import (
	"errors"
	"slices"
	"strings"
	"time"

	"github.com/jasminelock/jasminelock/store"
	"github.com/jasminelock/jasminelock/wire"
)

// The rows of the limiter in the table service.
const (
	table = "limits"
	// headKey is the row whose version is the epoch of the latest view. It is
	// small since every member reads it often.
	headKey = "head"
	// viewKey is the row of the latest view, written together with the head.
	viewKey = "view"
	// createdPrefix starts the key of the row that an organisation's first
	// burst is given out with.
	createdPrefix = "created/"
)

type storeKind uint8

const (
	readHead storeKind = iota
	readView
	writeView
	createOrg
)

// storeCall is a call of the table service that has not been answered.
type storeCall struct {
	kind   storeKind
	sentAt time.Time
	org    string         // of createOrg
	view   wire.LimitView // of writeView
}

// storeCalls are the calls of the table service under way.
type storeCalls struct {
	last    StoreCallID
	pending map[StoreCallID]storeCall
	// headAt is when the last head row that was read had been asked for.
	headAt   time.Time
	nextHead time.Time
}

func newStoreCalls() storeCalls {
	return storeCalls{pending: map[StoreCallID]storeCall{}}
}

func (s *storeCalls) has(kind storeKind) bool {
	for _, c := range s.pending {
		if c.kind == kind {
			return true
		}
	}
	return false
}

func (l *LeaderLimiter) call(c storeCall) StoreCallID {
	c.sentAt = l.now
	l.store.last++
	l.store.pending[l.store.last] = c
	return l.store.last
}

func (l *LeaderLimiter) read(kind storeKind, key string) {
	if !l.store.has(kind) {
		l.out = append(l.out, Read{ID: l.call(storeCall{kind: kind}), Table: table, Key: key})
	}
}

// wantHead reads the head row soon.
func (l *LeaderLimiter) wantHead() { l.store.nextHead = time.Time{} }

func (l *LeaderLimiter) tickStore(now time.Time) {
	if now.Before(l.store.nextHead) {
		return
	}
	interval := headInterval
	if !l.isMember() {
		interval = joinInterval
	}
	l.store.nextHead = now.Add(l.jitter(interval))
	l.read(readHead, headKey)
}

// jitter returns a duration between three quarters of d and d.
func (l *LeaderLimiter) jitter(d time.Duration) time.Duration {
	return d - time.Duration(l.rand.Int64N(int64(d/4)+1))
}

func (l *LeaderLimiter) isMember() bool { return l.view != nil && l.view.members.has(l.self) }

// HandleStoreResult implements Limiter.
func (l *LeaderLimiter) HandleStoreResult(now time.Time, e StoreResult) []Decision {
	now = l.at(now)
	c, ok := l.store.pending[e.ID]
	if !ok {
		return nil
	}
	delete(l.store.pending, e.ID)
	switch c.kind {
	case readHead:
		l.onHead(c, e)
	case readView:
		l.onView(now, c, e)
	case writeView:
		l.onViewWritten(now, c, e)
	case createOrg:
		l.onCreated(now, c.org, e)
	}
	return l.take()
}

// onHead takes the latest epoch. It is evidence that this host's view was the
// latest when the question was sent.
func (l *LeaderLimiter) onHead(c storeCall, e StoreResult) {
	latest := e.Row.Version
	if errors.Is(e.Err, store.ErrNotFound) {
		latest = 0
	} else if e.Err != nil {
		return
	}
	l.store.headAt = c.sentAt
	switch {
	case latest > l.epoch():
		l.read(readView, viewKey)
	case latest == l.epoch():
		l.fence.provenByStore(c.sentAt)
		l.serveQueued(l.now)
	}
}

// epoch is the epoch of this host's view, 0 for none.
func (l *LeaderLimiter) epoch() int64 {
	if l.view == nil {
		return 0
	}
	return l.view.epoch
}

func (l *LeaderLimiter) onView(now time.Time, c storeCall, e StoreResult) {
	if e.Err != nil {
		return
	}
	m, err := wire.Decode(e.Row.Value)
	if err != nil {
		return
	}
	v, ok := m.(*wire.LimitView)
	if !ok {
		return
	}
	l.adopt(now, v)
	if l.view.epoch == v.Epoch {
		l.fence.provenByStore(c.sentAt)
		l.serveQueued(now)
	}
}

// tickPropose writes a next view if members have gone or this host is none.
func (l *LeaderLimiter) tickPropose(now time.Time) {
	if !l.wantsNext(now) || l.store.has(writeView) || now.Before(l.nextJoin) {
		return
	}
	l.nextJoin = now.Add(l.jitter(joinInterval))
	if now.Sub(l.store.headAt) > headInterval {
		l.wantHead()
		return
	}
	if l.view == nil {
		l.propose(&wire.LimitView{Epoch: 1, Members: []wire.LimitMember{l.self}})
		return
	}
	if !l.isMember() && now.Before(l.joinAlone) {
		l.announce(now)
		return
	}
	if l.fence.settled(now, l.view) {
		l.propose(l.nextView(now))
	}
}

// announce tells the first members that this host is new. They write it into the
// next view together with others.
func (l *LeaderLimiter) announce(now time.Time) {
	told := 0
	for _, m := range l.view.members.list {
		if told < toldOfNewcomer && !l.hosts.gone(now, m.Host) {
			told++
			l.send(m.Host, l.probe(0))
		}
	}
}

// wantsNext says that this host would write another view.
func (l *LeaderLimiter) wantsNext(now time.Time) bool {
	switch {
	case l.store.headAt.IsZero():
		return false
	case l.leaving:
		return l.isMember() && !l.holdsAny()
	case !l.isMember():
		return l.hosts.seen[l.self.Host]
	}
	wait := l.rankWait(now)
	return l.anyGone(now.Add(-wait)) || wait == 0 && l.anyNew()
}

// anyNew says that a listed host has asked to become a member.
func (l *LeaderLimiter) anyNew() bool {
	for host := range l.newcomers {
		if l.hosts.seen[host] {
			return true
		}
	}
	return false
}

// holdsAny says that this host holds a part of a budget in flight, which the
// members of the next view would not be told of.
func (l *LeaderLimiter) holdsAny() bool {
	for _, own := range l.held {
		if own.held > 0 {
			return true
		}
	}
	return false
}

// anyGone says that a member has to be left out. A host that finds most members
// missing waits longer.
func (l *LeaderLimiter) anyGone(now time.Time) bool {
	gone := 0
	for _, m := range l.view.members.list {
		if l.hosts.gone(now, m.Host) {
			gone++
		}
	}
	if len(l.view.members.list)-gone < l.view.members.majority() {
		return gone > 0 && l.anyGoneSince(now.Add(-minorityGoneAfter))
	}
	return gone > 0
}

func (l *LeaderLimiter) anyGoneSince(now time.Time) bool {
	return slices.ContainsFunc(l.view.members.list, func(m wire.LimitMember) bool {
		return l.hosts.gone(now, m.Host)
	})
}

// rankWait is how long this host leaves the write to the members before it.
// Should two write at once, the row's version lets one of them through.
func (l *LeaderLimiter) rankWait(now time.Time) time.Duration {
	var wait time.Duration
	for _, m := range l.view.members.list {
		if m == l.self {
			break
		}
		if !l.hosts.gone(now, m.Host) {
			wait += rankDelay
		}
	}
	return wait
}

// nextView is the view without the members that are gone, with this host unless
// it is leaving, and with the newcomers that have asked.
func (l *LeaderLimiter) nextView(now time.Time) *wire.LimitView {
	fresh := map[string]uint64{}
	if !l.leaving {
		fresh[l.self.Host] = l.self.Incarnation
	}
	for host, incarnation := range l.newcomers {
		if host != l.self.Host && l.hosts.seen[host] {
			fresh[host] = incarnation
		}
	}
	var members []wire.LimitMember
	for _, m := range l.view.members.list {
		if _, replaced := fresh[m.Host]; !replaced && m != l.self && !l.hosts.gone(now, m.Host) {
			members = append(members, m)
		}
	}
	for host, incarnation := range fresh {
		members = append(members, wire.LimitMember{Host: host, Incarnation: incarnation})
	}
	slices.SortFunc(members, func(a, b wire.LimitMember) int { return strings.Compare(a.Host, b.Host) })
	return &wire.LimitView{Epoch: l.view.epoch + 1, Members: members, Previous: l.view.members.list}
}

func (l *LeaderLimiter) propose(v *wire.LimitView) {
	raw, err := wire.Encode(v)
	if err != nil {
		return
	}
	l.out = append(l.out, Commit{ID: l.call(storeCall{kind: writeView, view: *v}), Txn: store.Txn{
		Conditions: []store.Condition{{Table: table, Key: headKey, Version: v.Epoch - 1}},
		Writes:     []store.Write{{Table: table, Key: headKey, Value: []byte(l.self.Host)}, {Table: table, Key: viewKey, Value: raw}},
	}})
}

// onViewWritten joins the view written, or looks at what there is: after a
// conflict or a lost answer only the row tells.
func (l *LeaderLimiter) onViewWritten(now time.Time, c storeCall, e StoreResult) {
	if e.Err != nil {
		l.wantHead()
		return
	}
	l.adopt(now, &c.view)
	if l.view.epoch != c.view.Epoch {
		return
	}
	l.fence.provenByStore(c.sentAt)
	notice := l.probe(0)
	for _, m := range c.view.Members {
		if m != l.self {
			l.send(m.Host, notice)
		}
	}
	for _, m := range c.view.Previous {
		if !l.view.members.hasHost(m.Host) {
			l.send(m.Host, notice)
		}
	}
}

// toldOfNewcomer is how many members a new host tells.
const toldOfNewcomer = 2

// create asks whether an organisation's first burst is still to be given out.
func (l *LeaderLimiter) create(org string) {
	key := createdPrefix + org
	l.out = append(l.out, Commit{ID: l.call(storeCall{kind: createOrg, org: org}), Txn: store.Txn{
		Conditions: []store.Condition{{Table: table, Key: key, Version: 0}},
		Writes:     []store.Write{{Table: table, Key: key, Value: []byte(l.self.Host)}},
	}})
}

// onCreated gives out an organisation's first burst, as of when the bucket began, if this host's write was
// the first ever. If that is not known, the bucket fills at its rate.
func (l *LeaderLimiter) onCreated(now time.Time, org string, e StoreResult) {
	a, ok := l.accounts[org]
	if !ok || !a.creating {
		return
	}
	a.creating = false
	if e.Err == nil {
		a.credit(now, a.slacks.since, float64(a.rate.BurstTokens))
	}
	l.serveQueued(now)
}
