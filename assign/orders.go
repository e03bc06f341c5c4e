package assign

import (
	"cmp"
	"slices"
	"time"

	"github.com/jasminelock/jasminelock/catalog"
)

// Intervals and time limits of orders to engines.
const (
	// pollInterval is the interval at which an engine is polled for the end of a load.
	pollInterval = 20 * time.Millisecond
	// evictTimeout is the time after which an adapter that the engine has not dropped is considered in use, so
	// that another one is evicted instead. It is about the duration of a load, which is the cost of evicting
	// another adapter.
	evictTimeout = 400 * time.Millisecond
	// slowEvictPollInterval is the interval at which an engine is polled for the end of an eviction after
	// evictTimeout.
	slowEvictPollInterval = 100 * time.Millisecond
	// maxReportLag is the maximum age of the state in an engine's report. It bounds the time until a report shows
	// an accepted order.
	maxReportLag = 350 * time.Millisecond
	// reportRetryDelay is the time after which a report that could not be read is requested again.
	reportRetryDelay = 500 * time.Millisecond
	// unansweredRetryDelay is the time after which an unanswered order is sent again. It doubles with each further
	// unanswered order.
	unansweredRetryDelay = 5 * time.Millisecond
	// maxUnanswered is the number of consecutive unanswered orders after which the engine's report is read.
	maxUnanswered = 6
	// loadTimeout is the duration of a load after which the report is read.
	loadTimeout = 4 * time.Second
	// orderTimeout is the time after which an order in flight is considered lost.
	orderTimeout = 1500 * time.Millisecond
)

// orders is the state of the orders to one engine.
type orders struct {
	// sequence is the number of orders that the engine has accepted. It is valid if sequenceKnown is set.
	sequence      int64
	sequenceKnown bool
	// reportRequested is true while a report is awaited; at reportDeadline it may be requested again.
	reportRequested bool
	reportDeadline  time.Time
	// inFlight is the number of the unanswered order, 0 if there is none.
	inFlight uint64
	sent     order
	sentAt   time.Time
	// notBefore is the earliest time at which the next order may be sent.
	notBefore time.Time
	// pacedUntil is the earliest time at which the engine's rate limit leaves room for the next order.
	pacedUntil time.Time
	unanswered int
	// loadingModel is the base model that is being loaded, "" if there is none.
	loadingModel string
	modelPollAt  time.Time
	// modelOrderAccepted is true if the engine has accepted the order to load loadingModel.
	modelOrderAccepted bool
}

// order is an order that has not been numbered yet.
type order struct {
	evict   bool
	ref     catalog.AdapterRef
	version int64
}

// startLoad reserves a slot on an engine for an adapter, and evicts an idle adapter if no slot is free.
func (a *Assigner) startLoad(now time.Time, u *upstream, ref catalog.AdapterRef) *slot {
	if u.keptSlots() >= u.engine.AdapterSlots {
		victim := a.victim(now, u)
		victim.state = slotEvicting
	}
	u.service.lastLoadAt = now
	s := u.addSlot(now, ref, slotQueued)
	s.version = a.versions[ref]
	if s.cold = !u.isWarm(ref.Adapter); s.cold {
		a.coldLoads.start(s)
	}
	s.readyAt = now.Add(u.loadTime(ref.Adapter))
	a.sendNext(now, u)
	return s
}

// retireOldVersions evicts the idle adapters of which a newer version has been announced. They are not replaced in
// place: the newer version takes a slot of its own.
func (a *Assigner) retireOldVersions(now time.Time) {
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
	if s.state == slotResident && s.claims == 0 && !a.evictionsHeld && !a.isCurrent(s) {
		s.state = slotEvicting
		a.sendNext(now, s.upstream)
	}
}

// keptSlots counts the adapters that are not being evicted.
func (u *upstream) keptSlots() int {
	n := 0
	for _, s := range u.slots {
		if s.state != slotEvicting {
			n++
		}
	}
	return n
}

// loadedSlots counts the adapters that occupy a slot on the engine now.
func (u *upstream) loadedSlots() int {
	n := 0
	for _, s := range u.slots {
		if s.state != slotQueued {
			n++
		}
	}
	return n
}

// sendNext sends the next order to an engine, if there is one. Only one order is in flight at a time, because each
// order names the number of orders accepted before it.
func (a *Assigner) sendNext(now time.Time, u *upstream) {
	a.invalidateWakeup(u)
	o := &u.orders
	if !a.options.SendsOrders || u.engine == nil || o.inFlight != 0 || now.Before(u.nextOrderAt(now)) {
		return
	}
	if !o.sequenceKnown {
		a.readReport(now, u)
		return
	}
	next, ok := a.nextOrder(now, u)
	if !ok {
		return
	}
	a.lastOrderNumber++
	o.inFlight, o.sent, o.sentAt = a.lastOrderNumber, next, now
	u.rateLimit.Take(now)
	o.pacedUntil = now.Add(u.orderDelay(now))
	a.emit(Order{
		Number: a.lastOrderNumber, Upstream: u.record, Evict: next.evict, Adapter: next.ref, Version: next.version,
		Sequence: o.sequence, Fence: a.options.Fence,
	})
}

// nextOrder returns the next order for an engine: evictions, which make room for loads, then loads, then repeated
// orders, which ask whether loads and evictions have ended.
func (a *Assigner) nextOrder(now time.Time, u *upstream) (order, bool) {
	if next, ok := a.nextModelOrder(now, u); ok {
		return next, true
	}
	p := u.pendingOrders(now)
	switch {
	case p.evict != nil:
		return order{evict: true, ref: p.evict.ref}, true
	case p.load != nil && u.loadedSlots() < u.engine.AdapterSlots:
		return order{ref: p.load.ref, version: p.load.version}, true
	}
	next, ok := a.nextEviction(now, u)
	switch {
	case ok || p.poll == nil:
		return next, ok
	case p.poll.state == slotEvicting:
		return order{evict: true, ref: p.poll.ref}, true
	}
	return order{ref: p.poll.ref, version: p.poll.version}, true
}

// pendingOrders holds the slots of an engine that need an order, nil where there is none.
type pendingOrders struct {
	// evict is the slot to evict and load the slot to load; of several, the least recently used.
	evict, load *slot
	// poll is the slot whose accepted order is to be repeated to ask whether it has been carried out. Of several
	// it is the one that was due first, so that no load delays the detection of a free slot.
	poll *slot
}

func (u *upstream) pendingOrders(now time.Time) pendingOrders {
	var p pendingOrders
	first := func(to **slot, s *slot) {
		if *to == nil {
			*to = s
		}
	}
	for _, s := range u.sortedSlots() {
		switch {
		case s.state == slotEvicting && !s.evictAccepted:
			first(&p.evict, s)
		case s.state == slotQueued:
			first(&p.load, s)
		case s.state == slotResident || now.Before(s.readyAt):
		case p.poll == nil || s.readyAt.Before(p.poll.readyAt):
			p.poll = s
		}
	}
	return p
}

// nextEviction makes room for a load that has no free slot. This happens if the engine held more adapters than
// were known, or if it keeps an adapter that it was ordered to drop because requests still use it.
func (a *Assigner) nextEviction(now time.Time, u *upstream) (order, bool) {
	if u.pendingLoads()-u.loadsInFlight() <= u.recentEvicts(now) {
		return order{}, false
	}
	victim := a.victim(now, u)
	if victim == nil {
		return order{}, false
	}
	victim.state = slotEvicting
	return order{evict: true, ref: victim.ref}, true
}

// loadsInFlight counts the adapters that the engine is loading.
func (u *upstream) loadsInFlight() int {
	n := 0
	for _, s := range u.slots {
		if s.state == slotLoading {
			n++
		}
	}
	return n
}

// sortedSlots returns the slots, the least recently used first.
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
		o.unanswered, u.lastHeardAt = 0, now
	}
	switch ev.Result {
	case OrderSatisfied, OrderAccepted:
		a.orderApplied(now, u, ev.Result)
	case OrderConflict, OrderInvalid:
		a.scheduleReport(now, u)
	case OrderFenced:
		a.emit(StepDown{})
		o.notBefore = now.Add(orderTimeout)
	case OrderMisdirected:
		u.pause(now, maxFailurePause)
		o.notBefore = now.Add(maxFailurePause)
	case OrderUnanswered:
		a.orderUnanswered(now, u)
	}
	a.sendNext(now, u)
	a.serveOn(now, u)
}

// orderApplied records that the engine has carried out an order, or is doing so. An order that is repeated while
// it is being carried out is accepted without being counted again.
func (a *Assigner) orderApplied(now time.Time, u *upstream, result OrderResult) {
	o := &u.orders
	if o.sent.ref.Adapter == "" {
		a.modelOrderApplied(now, u, result)
		return
	}
	s := u.slots[o.sent.ref.Adapter]
	switch {
	case s == nil:
		a.scheduleReport(now, u)
	case o.sent.evict && result == OrderSatisfied:
		u.removeSlot(now, s)
		o.sequence += evictSequenceStep
	case o.sent.evict:
		if !s.evictAccepted {
			o.sequence++
		}
		s.acceptEvict(now)
	case result == OrderSatisfied && s.version == o.sent.version:
		a.loaded(now, s)
	case s.state == slotQueued:
		o.sequence++
		s.state, s.orderedAt = slotLoading, now
		s.readyAt = now.Add(u.loadTime(s.ref.Adapter))
	default:
		s.readyAt = now.Add(pollInterval)
	}
}

// loaded records that an adapter has been loaded.
func (a *Assigner) loaded(now time.Time, s *slot) {
	if s.state == slotLoading {
		a.coldLoads.complete(now, s, now.Sub(s.orderedAt))
	}
	a.coldLoads.discard(s)
	s.state = slotResident
}

// evictSequenceStep is the amount by which an eviction that is carried out at once advances the sequence number.
const evictSequenceStep = 1

// scheduleReport requests the report as soon as it must show the last order.
func (a *Assigner) scheduleReport(now time.Time, u *upstream) {
	a.invalidateWakeup(u)
	u.orders.sequenceKnown = false
	u.orders.notBefore = now.Add(maxReportLag)
}

// orderUnanswered schedules the retry of an order. The retry carries the same sequence number, so that only one of
// the two can take effect.
func (a *Assigner) orderUnanswered(now time.Time, u *upstream) {
	o := &u.orders
	o.unanswered++
	o.notBefore = now.Add(unansweredRetryDelay << min(o.unanswered-1, maxUnanswered))
	if o.unanswered >= maxUnanswered {
		o.unanswered = 0
		a.scheduleReport(now, u)
	}
}

// adapterDenied removes a slot whose adapter the engine has answered that it does not hold, and schedules a read of
// the report.
func (a *Assigner) adapterDenied(now time.Time, u *upstream, s *slot) {
	if s.state == slotResident {
		u.removeSlot(now, s)
	}
	if u.engine != nil {
		a.scheduleReport(now, u)
	}
}

func (a *Assigner) readReport(now time.Time, u *upstream) {
	o := &u.orders
	if !a.options.SendsOrders || (o.reportRequested && now.Before(o.reportDeadline)) {
		return
	}
	o.reportRequested, o.reportDeadline = true, now.Add(orderTimeout)
	a.invalidateWakeup(u)
	u.rateLimit.Take(now)
	a.emit(ReadReport{Upstream: u.record})
}

func (a *Assigner) reportReceived(now time.Time, ev ReportReceived) {
	u, ok := a.upstreams[ev.Upstream]
	if !ok || u.record.StartedAt != ev.StartedAt || u.engine == nil {
		return
	}
	o := &u.orders
	o.reportRequested = false
	if ev.Report == nil {
		a.invalidateWakeup(u)
		o.notBefore = now.Add(reportRetryDelay)
		return
	}
	u.lastHeardAt = now
	o.sequenceKnown, o.sequence = true, ev.Report.Sequence
	u.reconcile(now, ev.Report)
	a.sendNext(now, u)
	a.serveWaiting(now)
}

// reconcile updates the slots to match a report.
func (u *upstream) reconcile(now time.Time, r *Report) {
	clear(u.models)
	seen := map[string]bool{}
	for _, l := range r.Loaded {
		u.models[l.Model] = true
		for _, held := range l.Adapters {
			s := u.ensureSlot(now, catalog.AdapterRef{Model: l.Model, Adapter: held.Name})
			seen[held.Name] = true
			if s.state != slotEvicting && (s.state == slotResident || s.version == held.Version || s.version == 0) {
				s.state, s.version = slotResident, held.Version
			}
		}
	}
	for _, l := range r.Loading {
		for _, held := range l.Adapters {
			s := u.ensureSlot(now, catalog.AdapterRef{Model: l.Model, Adapter: held.Name})
			seen[held.Name] = true
			if s.state == slotResident || s.state == slotQueued {
				s.state, s.version, s.readyAt = slotLoading, held.Version, now.Add(pollInterval)
			}
		}
	}
	for name, s := range u.slots {
		switch {
		case seen[name]:
		case s.state == slotLoading:
			s.state = slotQueued
		case s.state != slotQueued:
			u.removeSlot(now, s)
		}
	}
}

// checkOrders handles orders and loads that have timed out, then sends the next order.
func (a *Assigner) checkOrders(now time.Time, u *upstream) {
	if u.engine == nil {
		return
	}
	o := &u.orders
	if o.inFlight != 0 && now.Sub(o.sentAt) > orderTimeout {
		o.inFlight = 0
		a.orderUnanswered(now, u)
	}
	for _, s := range u.slots {
		if s.state == slotLoading && now.Sub(s.orderedAt) > loadTimeout && !s.orderedAt.IsZero() {
			s.orderedAt = now
			a.scheduleReport(now, u)
		}
	}
	a.sendNext(now, u)
}
