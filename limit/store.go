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
	// headKey is the key of the row whose version is the epoch of the latest view.
	// The row is small since every member reads it often.
	headKey = "head"
	// viewKey is the key of the latest view's row, written together with the head
	// row.
	viewKey = "view"
	// createdPrefix is the key prefix of the rows that record, for each
	// organisation, that its first burst has been granted.
	createdPrefix = "created/"
)

type storeKind uint8

const (
	readHead storeKind = iota
	readView
	writeView
	createOrg
)

// storeCall is a pending call of the table service.
type storeCall struct {
	kind   storeKind
	sentAt time.Time
	org    string         // of createOrg
	view   wire.LimitView // of writeView
}

// storeCalls tracks the pending calls of the table service.
type storeCalls struct {
	last    StoreCallID
	pending map[StoreCallID]storeCall
	// headAt is when the read that returned the latest head row was sent.
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

func (l *Lead) call(c storeCall) StoreCallID {
	c.sentAt = l.now
	l.store.last++
	l.store.pending[l.store.last] = c
	return l.store.last
}

func (l *Lead) read(kind storeKind, key string) {
	if !l.store.has(kind) {
		l.out = append(l.out, Read{ID: l.call(storeCall{kind: kind}), Table: table, Key: key})
	}
}

// wantHead makes the next tick read the head row.
func (l *Lead) wantHead() { l.store.nextHead = time.Time{} }

func (l *Lead) tickStore(now time.Time) {
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
func (l *Lead) jitter(d time.Duration) time.Duration {
	return d - time.Duration(l.rand.Int64N(int64(d/4)+1))
}

func (l *Lead) isMember() bool { return l.view != nil && l.view.members.has(l.self) }

// StoreEnded implements Limiter.
func (l *Lead) StoreEnded(now time.Time, e StoreEnd) []Decision {
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

// onHead handles the head row, which has the latest epoch. If that is the epoch
// of this host's view, it is evidence that the view was the latest when the query
// was sent.
func (l *Lead) onHead(c storeCall, e StoreEnd) {
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

// epoch returns the epoch of this host's view, or 0 without a view.
func (l *Lead) epoch() int64 {
	if l.view == nil {
		return 0
	}
	return l.view.epoch
}

func (l *Lead) onView(now time.Time, c storeCall, e StoreEnd) {
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

// tickPropose writes the next view if the set of members has to change.
func (l *Lead) tickPropose(now time.Time) {
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

// announce notifies the first members that this host is new. They add it to the
// next view together with other new hosts.
func (l *Lead) announce(now time.Time) {
	told := 0
	for _, m := range l.view.members.list {
		if told < toldOfNewcomer && !l.hosts.gone(now, m.Host) {
			told++
			l.send(m.Host, l.probe(0))
		}
	}
}

// wantsNext reports whether this host has a reason to write another view.
func (l *Lead) wantsNext(now time.Time) bool {
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

// anyNew reports whether a listed host has requested to become a member.
func (l *Lead) anyNew() bool {
	for host := range l.newcomers {
		if l.hosts.seen[host] {
			return true
		}
	}
	return false
}

// holdsAny reports whether this host holds a part of an in-flight budget, which
// would not be reported to the members of the next view.
func (l *Lead) holdsAny() bool {
	for _, own := range l.held {
		if own.held > 0 {
			return true
		}
	}
	return false
}

// anyGone reports whether a member has to be left out of the next view. A host
// that finds most members missing waits longer.
func (l *Lead) anyGone(now time.Time) bool {
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

func (l *Lead) anyGoneSince(now time.Time) bool {
	return slices.ContainsFunc(l.view.members.list, func(m wire.LimitMember) bool {
		return l.hosts.gone(now, m.Host)
	})
}

// rankWait returns how long this host waits for the members before it in the list
// to write the next view. If two hosts write at once, the condition on the row's
// version lets only one of them succeed.
func (l *Lead) rankWait(now time.Time) time.Duration {
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

// nextView returns the next view: the present one without the missing members,
// with this host unless it is leaving, and with the hosts that have requested to
// join.
func (l *Lead) nextView(now time.Time) *wire.LimitView {
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

func (l *Lead) propose(v *wire.LimitView) {
	raw, err := wire.Encode(v)
	if err != nil {
		return
	}
	l.out = append(l.out, Commit{ID: l.call(storeCall{kind: writeView, view: *v}), Txn: store.Txn{
		Conditions: []store.Condition{{Table: table, Key: headKey, Version: v.Epoch - 1}},
		Writes:     []store.Write{{Table: table, Key: headKey, Value: []byte(l.self.Host)}, {Table: table, Key: viewKey, Value: raw}},
	}})
}

// onViewWritten joins the view that this host has written. After an error, such
// as a conflict or a lost answer, it reads the head row to find out which view is
// the latest.
func (l *Lead) onViewWritten(now time.Time, c storeCall, e StoreEnd) {
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

// toldOfNewcomer is how many members a new host notifies.
const toldOfNewcomer = 2

// create claims an organisation's first burst with a row that may be written only
// once.
func (l *Lead) create(org string) {
	key := createdPrefix + org
	l.out = append(l.out, Commit{ID: l.call(storeCall{kind: createOrg, org: org}), Txn: store.Txn{
		Conditions: []store.Condition{{Table: table, Key: key, Version: 0}},
		Writes:     []store.Write{{Table: table, Key: key, Value: []byte(l.self.Host)}},
	}})
}

// onCreated credits an organisation's first burst, as of the time the bucket was
// created, if this host's write of the row was the first ever. After an error,
// the bucket fills at its rate only.
func (l *Lead) onCreated(now time.Time, org string, e StoreEnd) {
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
