package assign

import (
	"cmp"
	"slices"
	"time"

	"github.com/jasminelock/jasminelock/catalog"
)

// Intervals of orders to engines.
const (
	// pollInterval is how often an engine is asked whether a load has ended.
	pollInterval = 20 * time.Millisecond
	// leavingPatience is how long an engine may take to drop an adapter before it is
	// taken to be in use, so that another one is dropped in its place. It is about
	// what a load takes, which dropping another one would cost.
	leavingPatience = 400 * time.Millisecond
	// leavingPoll is how often an engine is asked after that whether the adapter
	// has been dropped.
	leavingPoll = 100 * time.Millisecond
	// reportLag is how old an engine's report may be. It bounds when a report
	// shows an order that was accepted.
	reportLag = 350 * time.Millisecond
	// reportRetry is when a report is asked for again that could not be read.
	reportRetry = 500 * time.Millisecond
	// unansweredRetry is when an order without an answer is given again; it is
	// doubled with each that follows.
	unansweredRetry = 5 * time.Millisecond
	// unansweredLimit is how many orders in a row may go without an answer
	// before the engine's report is read.
	unansweredLimit = 6
	// loadLost is how long a load may take before the report is read.
	loadLost = 4 * time.Second
	// orderPatience is when an order in flight is taken to be lost.
	orderPatience = 1500 * time.Millisecond
)

// orders are what one engine has been ordered and in which order.
type orders struct {
	// sequence is the number of orders that the engine has accepted, where known.
	sequence int64
	known    bool
	// reading says that the report has been asked for, at readAt at the latest.
	reading bool
	readAt  time.Time
	// inFlight is the order that has not been answered, 0 for none.
	inFlight uint64
	sent     order
	sentAt   time.Time
	// waitUntil is when the next order may be sent.
	waitUntil  time.Time
	unanswered int
	// model is the base model that is being loaded, "" for none.
	model     string
	modelPoll time.Time
	// modelOrdered says that the engine has accepted the order.
	modelOrdered bool
}

// order is an order before it has a number.
type order struct {
	evict   bool
	ref     catalog.AdapterRef
	version int64
}

// startLoad reserves a place on an engine for an adapter, in place of an idle
// one if need be.
func (a *Assigner) startLoad(now time.Time, u *upstream, ref catalog.AdapterRef) *slot {
	if u.occupied() >= u.engine.AdapterSlots {
		victim := a.victim(now, u)
		victim.state = slotEvicting
	}
	s := u.addSlot(now, ref, slotQueued)
	s.version = a.versions[ref]
	if s.cold = !u.isWarm(ref.Adapter); s.cold {
		a.cold.begin(s)
	}
	s.readyAt = now.Add(u.loadTime(ref.Adapter))
	a.sendNext(now, u)
	return s
}

// retire drops the idle adapters of which a newer version was announced. They are
// not replaced in place: the version on its way takes a place of its own.
func (a *Assigner) retire(now time.Time) {
	if !a.options.SendsOrders {
		return
	}
	for _, u := range a.upstreams {
		for _, s := range u.slots {
			a.retireSlot(now, s)
		}
	}
}

func (a *Assigner) retireSlot(now time.Time, s *slot) {
	if s.state == slotResident && s.claims == 0 && !a.holding && !a.current(s) {
		s.state = slotEvicting
		a.sendNext(now, s.upstream)
	}
}

// occupied counts the adapters that will stay.
func (u *upstream) occupied() int {
	n := 0
	for _, s := range u.slots {
		if s.state != slotEvicting {
			n++
		}
	}
	return n
}

// loadedSlots counts the adapters that take room on the engine now.
func (u *upstream) loadedSlots() int {
	n := 0
	for _, s := range u.slots {
		if s.state != slotQueued {
			n++
		}
	}
	return n
}

// sendNext sends the next order that an engine waits for. One is in flight at a
// time, since each names how many were accepted before it.
func (a *Assigner) sendNext(now time.Time, u *upstream) {
	a.touch(u)
	o := &u.orders
	if !a.options.SendsOrders || u.engine == nil || o.inFlight != 0 || now.Before(o.waitUntil) {
		return
	}
	if !o.known {
		a.readReport(now, u)
		return
	}
	next, ok := a.nextOrder(now, u)
	if !ok {
		return
	}
	a.lastOrder++
	o.inFlight, o.sent, o.sentAt = a.lastOrder, next, now
	a.decide(Order{
		Number: a.lastOrder, Upstream: u.record, Evict: next.evict, Adapter: next.ref, Version: next.version,
		Sequence: o.sequence, Fence: a.options.Fence,
	})
}

// nextOrder returns what the engine is to be ordered next: evictions make room
// for loads, then come questions whether loads and evictions have ended.
func (a *Assigner) nextOrder(now time.Time, u *upstream) (order, bool) {
	if next, ok := a.nextModelOrder(now, u); ok {
		return next, true
	}
	p := u.pending(now)
	switch {
	case p.evict != nil:
		return order{evict: true, ref: p.evict.ref}, true
	case p.load != nil && u.loadedSlots() < u.engine.AdapterSlots:
		return order{ref: p.load.ref, version: p.load.version}, true
	}
	next, ok := a.nextEviction(now, u)
	switch {
	case ok || p.asked == nil:
		return next, ok
	case p.asked.state == slotEvicting:
		return order{evict: true, ref: p.asked.ref}, true
	}
	return order{ref: p.asked.ref, version: p.asked.version}, true
}

// pending is what an engine waits for, nil for nothing.
type pending struct {
	// evict is to be ordered away, load to be ordered, the one used longest ago.
	evict, load *slot
	// asked was ordered, and it is time to ask whether that has ended: the one
	// whose time came first, so that no load keeps a place from being found free.
	asked *slot
}

func (u *upstream) pending(now time.Time) pending {
	var p pending
	first := func(to **slot, s *slot) {
		if *to == nil {
			*to = s
		}
	}
	for _, s := range u.sortedSlots() {
		switch {
		case s.state == slotEvicting && !s.leaving:
			first(&p.evict, s)
		case s.state == slotQueued:
			first(&p.load, s)
		case s.state == slotResident || now.Before(s.readyAt):
		case p.asked == nil || s.readyAt.Before(p.asked.readyAt):
			p.asked = s
		}
	}
	return p
}

// nextEviction makes room for a load that waits for it, which is needed where
// the engine held more than was known, or keeps what it was to drop since
// requests run on it.
func (a *Assigner) nextEviction(now time.Time, u *upstream) (order, bool) {
	if u.coming()-u.transit() <= u.leavingSoon(now) {
		return order{}, false
	}
	victim := a.victim(now, u)
	if victim == nil {
		return order{}, false
	}
	victim.state = slotEvicting
	return order{evict: true, ref: victim.ref}, true
}

// transit counts the adapters on their way.
func (u *upstream) transit() int {
	n := 0
	for _, s := range u.slots {
		if s.state == slotComing {
			n++
		}
	}
	return n
}

// sortedSlots returns the slots in the order in which they were last used.
func (u *upstream) sortedSlots() []*slot {
	all := make([]*slot, 0, len(u.slots))
	for _, s := range u.slots {
		all = append(all, s)
	}
	slices.SortFunc(all, func(a, b *slot) int {
		return cmp.Or(a.lastUsed.Compare(b.lastUsed), cmp.Compare(a.ref.Adapter, b.ref.Adapter))
	})
	return all
}

func (a *Assigner) orderEnded(now time.Time, ev OrderEnded) {
	u, ok := a.upstreams[ev.Upstream]
	if !ok || u.record.StartedAt != ev.StartedAt || u.orders.inFlight != ev.Order {
		return
	}
	o := &u.orders
	o.inFlight = 0
	if ev.Result != OrderUnanswered {
		o.unanswered, u.heardAt = 0, now
	}
	switch ev.Result {
	case OrderSatisfied, OrderAccepted:
		a.orderTaken(now, u, ev.Result)
	case OrderConflict, OrderInvalid:
		a.lookAgain(now, u)
	case OrderFenced:
		a.decide(StepDown{})
		o.waitUntil = now.Add(orderPatience)
	case OrderMisdirected:
		u.pause(now, longestPause)
		o.waitUntil = now.Add(longestPause)
	case OrderUnanswered:
		a.orderUnanswered(now, u)
	}
	a.sendNext(now, u)
	a.serveOn(now, u)
}

// orderTaken notes that the engine has carried an order out, or is doing so. An
// order that is given again while it is being carried out is accepted without
// being counted.
func (a *Assigner) orderTaken(now time.Time, u *upstream, result OrderResult) {
	o := &u.orders
	if o.sent.ref.Adapter == "" {
		a.modelOrderTaken(now, u, result)
		return
	}
	s := u.slots[o.sent.ref.Adapter]
	switch {
	case s == nil:
		a.lookAgain(now, u)
	case o.sent.evict && result == OrderSatisfied:
		u.dropSlot(now, s)
		o.sequence += evictAdvance
	case o.sent.evict:
		if !s.leaving {
			o.sequence++
		}
		s.leave(now)
	case result == OrderSatisfied && s.version == o.sent.version:
		a.loaded(now, s)
	case s.state == slotQueued:
		o.sequence++
		s.state, s.orderedAt = slotComing, now
		s.readyAt = now.Add(u.loadTime(s.ref.Adapter))
	default:
		s.readyAt = now.Add(pollInterval)
	}
}

// loaded notes that an adapter has arrived.
func (a *Assigner) loaded(now time.Time, s *slot) {
	if s.state == slotComing {
		a.cold.end(now, s, now.Sub(s.orderedAt))
	}
	a.cold.forget(s)
	s.state = slotResident
}

// evictAdvance is how far an eviction that is carried out at once moves the
// sequence number on.
const evictAdvance = 1

// lookAgain reads the report once it must show what was ordered last.
func (a *Assigner) lookAgain(now time.Time, u *upstream) {
	a.touch(u)
	u.orders.known = false
	u.orders.waitUntil = now.Add(reportLag)
}

// orderUnanswered gives an order again. It carries the same sequence number, so
// that only one of the two can take effect.
func (a *Assigner) orderUnanswered(now time.Time, u *upstream) {
	o := &u.orders
	o.unanswered++
	o.waitUntil = now.Add(unansweredRetry << min(o.unanswered-1, unansweredLimit))
	if o.unanswered >= unansweredLimit {
		o.unanswered = 0
		a.lookAgain(now, u)
	}
}

// doubt has the report read after the engine denied an adapter.
func (a *Assigner) doubt(now time.Time, u *upstream, s *slot) {
	if s.state == slotResident {
		u.dropSlot(now, s)
	}
	if u.engine != nil {
		a.lookAgain(now, u)
	}
}

func (a *Assigner) readReport(now time.Time, u *upstream) {
	o := &u.orders
	if !a.options.SendsOrders || (o.reading && now.Before(o.readAt)) {
		return
	}
	o.reading, o.readAt = true, now.Add(orderPatience)
	a.touch(u)
	a.decide(ReadReport{Upstream: u.record})
}

func (a *Assigner) reportRead(now time.Time, ev ReportReceived) {
	u, ok := a.upstreams[ev.Upstream]
	if !ok || u.record.StartedAt != ev.StartedAt || u.engine == nil {
		return
	}
	o := &u.orders
	o.reading = false
	if ev.Report == nil {
		a.touch(u)
		o.waitUntil = now.Add(reportRetry)
		return
	}
	u.heardAt = now
	o.known, o.sequence = true, ev.Report.Sequence
	u.reconcile(now, ev.Report)
	a.sendNext(now, u)
	a.serveWaiting(now)
}

// reconcile brings the slots in line with a report.
func (u *upstream) reconcile(now time.Time, r *Report) {
	clear(u.models)
	seen := map[string]bool{}
	for _, l := range r.Loaded {
		u.models[l.Model] = true
		for _, held := range l.Adapters {
			s := u.holdSlot(now, catalog.AdapterRef{Model: l.Model, Adapter: held.Name})
			seen[held.Name] = true
			if s.state != slotEvicting && (s.state == slotResident || s.version == held.Version || s.version == 0) {
				s.state, s.version = slotResident, held.Version
			}
		}
	}
	for _, l := range r.Loading {
		for _, held := range l.Adapters {
			s := u.holdSlot(now, catalog.AdapterRef{Model: l.Model, Adapter: held.Name})
			seen[held.Name] = true
			if s.state == slotResident || s.state == slotQueued {
				s.state, s.version, s.readyAt = slotComing, held.Version, now.Add(pollInterval)
			}
		}
	}
	for name, s := range u.slots {
		switch {
		case seen[name]:
		case s.state == slotComing:
			s.state = slotQueued
		case s.state != slotQueued:
			u.dropSlot(now, s)
		}
	}
}

// followOrders takes up what has been left alone for too long.
func (a *Assigner) followOrders(now time.Time, u *upstream) {
	if u.engine == nil {
		return
	}
	o := &u.orders
	if o.inFlight != 0 && now.Sub(o.sentAt) > orderPatience {
		o.inFlight = 0
		a.orderUnanswered(now, u)
	}
	for _, s := range u.slots {
		if s.state == slotComing && now.Sub(s.orderedAt) > loadLost && !s.orderedAt.IsZero() {
			s.orderedAt = now
			a.lookAgain(now, u)
		}
	}
	a.sendNext(now, u)
}
