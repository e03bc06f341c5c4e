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
	// headKey is the key of the row whose version is the epoch of the latest
	// view. The row is small since every member reads it often.
	headKey = "head"
	// viewKey is the key of the latest view's row, written together with the head
	// row.
	viewKey = "view"
	// createdPrefix is the key prefix of the rows that record, for each
	// organisation, that its first burst has been granted.
	createdPrefix = "created/"
)

type storeOp uint8

const (
	readHead storeOp = iota
	readView
	writeView
	claimBurst
)

// storeCall is a pending call of the table service.
type storeCall struct {
	op     storeOp
	sentAt time.Time
	org    string         // of claimBurst
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

func (s *storeCalls) has(op storeOp) bool {
	for _, c := range s.pending {
		if c.op == op {
			return true
		}
	}
	return false
}

func (l *LeaderLimiter) addStoreCall(c storeCall) StoreCallID {
	c.sentAt = l.now
	l.store.last++
	l.store.pending[l.store.last] = c
	return l.store.last
}

func (l *LeaderLimiter) readRow(op storeOp, key string) {
	if !l.store.has(op) {
		l.decisions = append(l.decisions, Read{ID: l.addStoreCall(storeCall{op: op}), Table: table, Key: key})
	}
}

// scheduleHeadRead makes the next tick read the head row.
func (l *LeaderLimiter) scheduleHeadRead() { l.store.nextHead = time.Time{} }

func (l *LeaderLimiter) tickStore(now time.Time) {
	if now.Before(l.store.nextHead) {
		return
	}
	interval := headReadInterval
	if !l.isMember() {
		interval = joinInterval
	}
	l.store.nextHead = now.Add(l.jitter(interval))
	l.readRow(readHead, headKey)
}

// jitter returns a duration between three quarters of d and d.
func (l *LeaderLimiter) jitter(d time.Duration) time.Duration {
	return d - time.Duration(l.rand.Int64N(int64(d/4)+1))
}

func (l *LeaderLimiter) isMember() bool { return l.view != nil && l.view.members.has(l.self) }

// HandleStoreResult implements Limiter.
func (l *LeaderLimiter) HandleStoreResult(now time.Time, e StoreResult) []Decision {
	now = l.advanceTo(now)
	c, ok := l.store.pending[e.ID]
	if !ok {
		return nil
	}
	delete(l.store.pending, e.ID)
	switch c.op {
	case readHead:
		l.onHead(c, e)
	case readView:
		l.onView(now, c, e)
	case writeView:
		l.onViewWritten(now, c, e)
	case claimBurst:
		l.onFirstBurstClaimed(now, c.org, e)
	}
	return l.takeDecisions()
}

// onHead handles the head row, which has the latest epoch. If that is the epoch
// of this host's view, it is evidence that the view was the latest when the query
// was sent.
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
		l.readRow(readView, viewKey)
	case latest == l.epoch():
		l.fence.confirmByStore(c.sentAt)
		l.retryQueued(l.now)
	}
}

// epoch returns the epoch of this host's view, or 0 without a view.
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
	l.adoptView(now, v)
	if l.view.epoch == v.Epoch {
		l.fence.confirmByStore(c.sentAt)
		l.retryQueued(now)
	}
}

// tickPropose writes the next view if the set of members has to change.
func (l *LeaderLimiter) tickPropose(now time.Time) {
	if !l.needsNextView(now) || l.store.has(writeView) || now.Before(l.nextJoin) {
		return
	}
	l.nextJoin = now.Add(l.jitter(joinInterval))
	if now.Sub(l.store.headAt) > headReadInterval {
		l.scheduleHeadRead()
		return
	}
	if l.view == nil {
		l.propose(&wire.LimitView{Epoch: 1, Members: []wire.LimitMember{l.self}})
		return
	}
	if !l.isMember() && now.Before(l.joinAloneAt) {
		l.announceSelf(now)
		return
	}
	if l.fence.replaceable(now, l.view) {
		l.propose(l.nextView(now))
	}
}

// announceSelf notifies the first members that this host is new. They add it to
// the next view together with other new hosts.
func (l *LeaderLimiter) announceSelf(now time.Time) {
	notified := 0
	for _, m := range l.view.members.list {
		if notified < announceLimit && !l.hosts.isGone(now, m.Host) {
			notified++
			l.send(m.Host, l.probe(0))
		}
	}
}

// needsNextView reports whether this host has a reason to write another view.
func (l *LeaderLimiter) needsNextView(now time.Time) bool {
	switch {
	case l.store.headAt.IsZero():
		return false
	case l.leaving:
		return l.isMember() && !l.holdsInFlight()
	case !l.isMember():
		return l.hosts.listed[l.self.Host]
	}
	delay := l.rankWait(now)
	return l.anyGone(now.Add(-delay)) || delay == 0 && l.anyNewHost()
}

// anyNewHost reports whether a listed host has requested to become a member.
func (l *LeaderLimiter) anyNewHost() bool {
	for host := range l.newcomers {
		if l.hosts.listed[host] {
			return true
		}
	}
	return false
}

// holdsInFlight reports whether this host holds a part of an in-flight budget,
// which would not be reported to the members of the next view.
func (l *LeaderLimiter) holdsInFlight() bool {
	for _, holding := range l.holdings {
		if holding.held > 0 {
			return true
		}
	}
	return false
}

// anyGone reports whether a member has to be left out of the next view. A host
// that finds most members missing waits longer.
func (l *LeaderLimiter) anyGone(now time.Time) bool {
	missing := 0
	for _, m := range l.view.members.list {
		if l.hosts.isGone(now, m.Host) {
			missing++
		}
	}
	if len(l.view.members.list)-missing < l.view.members.majority() {
		return missing > 0 && l.anyGoneSince(now.Add(-minorityGoneAfter))
	}
	return missing > 0
}

func (l *LeaderLimiter) anyGoneSince(now time.Time) bool {
	return slices.ContainsFunc(l.view.members.list, func(m wire.LimitMember) bool {
		return l.hosts.isGone(now, m.Host)
	})
}

// rankWait returns how long this host waits for the members before it in the list
// to write the next view. If two hosts write at once, the condition on the row's
// version lets only one of them succeed.
func (l *LeaderLimiter) rankWait(now time.Time) time.Duration {
	var wait time.Duration
	for _, m := range l.view.members.list {
		if m == l.self {
			break
		}
		if !l.hosts.isGone(now, m.Host) {
			wait += rankDelay
		}
	}
	return wait
}

// nextView returns the next view: the present one without the missing members,
// with this host unless it is leaving, and with the hosts that have requested to
// join.
func (l *LeaderLimiter) nextView(now time.Time) *wire.LimitView {
	joining := map[string]uint64{}
	if !l.leaving {
		joining[l.self.Host] = l.self.Incarnation
	}
	for host, incarnation := range l.newcomers {
		if host != l.self.Host && l.hosts.listed[host] {
			joining[host] = incarnation
		}
	}
	var members []wire.LimitMember
	for _, m := range l.view.members.list {
		if _, replaced := joining[m.Host]; !replaced && m != l.self && !l.hosts.isGone(now, m.Host) {
			members = append(members, m)
		}
	}
	for host, incarnation := range joining {
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
	l.decisions = append(l.decisions, Commit{ID: l.addStoreCall(storeCall{op: writeView, view: *v}), Txn: store.Txn{
		Conditions: []store.Condition{{Table: table, Key: headKey, Version: v.Epoch - 1}},
		Writes:     []store.Write{{Table: table, Key: headKey, Value: []byte(l.self.Host)}, {Table: table, Key: viewKey, Value: raw}},
	}})
}

// onViewWritten joins the view that this host has written. After an error, such
// as a conflict or a lost answer, it reads the head row to find out which view is
// the latest.
func (l *LeaderLimiter) onViewWritten(now time.Time, c storeCall, e StoreResult) {
	if e.Err != nil {
		l.scheduleHeadRead()
		return
	}
	l.adoptView(now, &c.view)
	if l.view.epoch != c.view.Epoch {
		return
	}
	l.fence.confirmByStore(c.sentAt)
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

// announceLimit is how many members a new host notifies.
const announceLimit = 2

// claimFirstBurst claims an organisation's first burst with a row that may be
// written only once.
func (l *LeaderLimiter) claimFirstBurst(org string) {
	key := createdPrefix + org
	l.decisions = append(l.decisions, Commit{ID: l.addStoreCall(storeCall{op: claimBurst, org: org}), Txn: store.Txn{
		Conditions: []store.Condition{{Table: table, Key: key, Version: 0}},
		Writes:     []store.Write{{Table: table, Key: key, Value: []byte(l.self.Host)}},
	}})
}

// onFirstBurstClaimed credits an organisation's first burst, as of the time the
// bucket was created, if this host's write of the row was the first ever. After
// an error, the bucket fills at its rate only.
func (l *LeaderLimiter) onFirstBurstClaimed(now time.Time, org string, e StoreResult) {
	a, ok := l.accounts[org]
	if !ok || !a.burstPending {
		return
	}
	a.burstPending = false
	if e.Err == nil {
		a.credit(now, a.slacks.since, float64(a.rate.BurstTokens))
	}
	l.retryQueued(now)
}
