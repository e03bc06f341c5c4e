package assign

import (
	"slices"
	"time"

	"github.com/jasminelock/jasminelock/catalog"
)

// Bounds on the work of a pass over the queues.
const (
	// passInterval is the minimum interval between passes, which start new loads and use upstreams that have
	// become available with time.
	passInterval = 10 * time.Millisecond
	// maxQueuesPerPass is the number of queues tried in a pass, the most urgent first.
	maxQueuesPerPass = 64
	// maxFailedTries is the number of requests of a queue that are tried without success. Further requests are
	// tried because they may be smaller, or may use an upstream that the first one avoids.
	maxFailedTries = 3
)

// enqueue adds a request to the queue of its service and adapter.
func (a *Assigner) enqueue(now time.Time, e *requestState) {
	key := queueKey{service: e.request.Service}
	if configured := a.config.Service(e.request.Service); configured != nil && configured.Engine != nil {
		key.adapter = e.request.Adapter
	}
	e.line = a.service(e.request.Service).line
	a.queues.add(now, key, e.line, e)
}

// serveWaiting tries the queues in the order of their first requests. Queues whose adapter is being loaded are
// skipped: the end of the load serves them.
func (a *Assigner) serveWaiting(now time.Time) {
	if a.queues.count == 0 || now.Sub(a.lastPassAt) < passInterval {
		return
	}
	a.lastPassAt = now
	for _, s := range a.services {
		if a.lineOf(now, s) != nil {
			a.serveLine(now, s)
		}
	}
	if a.queues.unranked == 0 {
		return
	}
	a.queueBuffer = a.queueBuffer[:0]
	for _, q := range a.queues.byKey {
		if q.ordered != nil {
			continue
		}
		q.sort(now)
		if !isLoading(now, q.entries[0]) {
			a.queueBuffer = append(a.queueBuffer, q)
		}
	}
	slices.SortFunc(a.queueBuffer, func(x, y *queue) int { return compareWaiting(now, x.entries[0], y.entries[0]) })
	for _, q := range a.queueBuffer[:min(len(a.queueBuffer), maxQueuesPerPass)] {
		a.serveQueue(q, func(e *requestState) bool { return a.place(now, e) })
	}
}

// isLoading reports whether the adapter of a queued request is being loaded for it.
func isLoading(now time.Time, e *requestState) bool {
	s := e.slot
	return s != nil && (s.state == slotLoading || s.state == slotQueued) && s.upstream.usable(now)
}

// serveQueue calls serve for the requests of a queue until maxFailedTries of them could not be served.
func (a *Assigner) serveQueue(q *queue, serve func(e *requestState) bool) {
	for i, failed := 0, 0; i < len(q.entries) && failed < maxFailedTries; {
		e := q.entries[i]
		if !serve(e) {
			i++
			failed++
			continue
		}
		a.queues.remove(e)
	}
}

// serveOn assigns queued requests to an upstream that may have room now, the most urgent first. Only requests for
// models and adapters on the upstream are considered.
func (a *Assigner) serveOn(now time.Time, u *upstream) {
	if a.queues.count == 0 || !u.usable(now) {
		return
	}
	if a.lineOf(now, u.service) != nil {
		a.serveRankedOn(now, u)
		return
	}
	waiting := a.queuesFor(u)
	for len(waiting) > 0 && (u.engine == nil || u.hasBacklogRoom(now)) {
		first := slices.MinFunc(waiting, func(x, y *queue) int { return compareWaiting(now, x.entries[0], y.entries[0]) })
		served := false
		a.serveQueue(first, func(e *requestState) bool {
			if served {
				return false // another queue may be more urgent now
			}
			served = a.placeOn(now, e, u)
			return served
		})
		if !served || len(first.entries) == 0 {
			waiting = slices.DeleteFunc(waiting, func(q *queue) bool { return q == first })
		}
	}
}

// queuesFor returns the queues of the models and adapters that an upstream holds.
func (a *Assigner) queuesFor(u *upstream) []*queue {
	a.queueBuffer = a.queueBuffer[:0]
	add := func(ref catalog.AdapterRef) {
		if q, ok := a.queues.byKey[queueKey{u.record.Service, ref}]; ok {
			a.queueBuffer = append(a.queueBuffer, q)
		}
	}
	if u.engine == nil {
		add(catalog.AdapterRef{})
		return a.queueBuffer
	}
	for model := range u.models {
		add(catalog.AdapterRef{Model: model})
	}
	for _, s := range u.slots {
		if s.state == slotResident {
			add(s.ref)
		}
	}
	return a.queueBuffer
}

// placeOn assigns a queued request to an upstream if the upstream holds its adapter and has room. Each assignment may
// use up what the upstream's limits allow.
func (a *Assigner) placeOn(now time.Time, e *requestState, u *upstream) bool {
	if !u.usable(now) || !u.accepts(now, e.request.ID.Host) || slices.Contains(e.request.Avoid, u.record.ID) {
		return false
	}
	o, ok := a.option(now, u, e, true)
	if !ok || !o.ready || o.needsLoad {
		return false
	}
	a.grant(now, e, o)
	return true
}
