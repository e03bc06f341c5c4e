package assign

import (
	"slices"
	"time"

	"github.com/jasminelock/jasminelock/catalog"
)

// Bounds of what is looked at.
const (
	// passInterval is how often the queues are looked at for new loads and for
	// upstreams that time has freed.
	passInterval = 10 * time.Millisecond
	// maxQueuesPerPass is how many queues a pass looks at, the most urgent first.
	maxQueuesPerPass = 64
	// maxFailedTries is how many requests of a queue are tried that cannot be served,
	// since another one may be smaller or may use an upstream that the first avoids.
	maxFailedTries = 3
)

// wait has a request wait for an upstream.
func (a *Assigner) enqueue(e *requestState) {
	key := queueKey{service: e.request.Service}
	if configured := a.config.Service(e.request.Service); configured != nil && configured.Engine != nil {
		key.adapter = e.request.Adapter
	}
	a.queues.add(key, e)
}

// serveWaiting looks at the queues in the order of their first requests. Queues
// whose adapter is on its way are passed over: its arrival serves them.
func (a *Assigner) serveWaiting(now time.Time) {
	if a.queues.count == 0 || now.Sub(a.lastPassAt) < passInterval {
		return
	}
	a.lastPassAt = now
	a.queueBuffer = a.queueBuffer[:0]
	for _, q := range a.queues.byKey {
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

// isLoading reports whether the adapter of a request that waits is being loaded for
// it.
func isLoading(now time.Time, e *requestState) bool {
	s := e.slot
	return s != nil && (s.state == slotLoading || s.state == slotQueued) && s.upstream.usable(now)
}

// serveQueue has serve try the requests of a queue until some cannot be served.
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

// serveOn gives waiting requests to an upstream that may have room now: those that
// wait for what it holds, the most urgent first.
func (a *Assigner) serveOn(now time.Time, u *upstream) {
	if a.queues.count == 0 || !u.usable(now) {
		return
	}
	waiting := a.queuesFor(u)
	for len(waiting) > 0 && (u.engine == nil || u.backlog() <= maxBacklog) {
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

// queuesFor returns the queues of requests that wait for what an upstream holds.
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

// placeOn gives a waiting request to an upstream that has its adapter and room.
func (a *Assigner) placeOn(now time.Time, e *requestState, u *upstream) bool {
	if !u.accepts(now, e.request.ID.Host) || slices.Contains(e.request.Avoid, u.record.ID) {
		return false
	}
	o, ok := a.option(now, u, e, true)
	if !ok || !o.ready || o.needsLoad {
		return false
	}
	a.grant(now, e, o)
	return true
}
