package assign

import (
	"slices"
	"time"

	"github.com/jasminelock/jasminelock/catalog"
)

// Bounds of what is looked at.
const (
	// passEvery is how often the queues are looked at for new loads and for
	// upstreams that time has freed.
	passEvery = 10 * time.Millisecond
	// queuesAtOnce is how many queues a pass looks at, the most urgent first.
	queuesAtOnce = 64
	// triedAtOnce is how many requests of a queue are tried that cannot be served,
	// since another one may be smaller or may use an upstream that the first avoids.
	triedAtOnce = 3
)

// wait has a request wait for an upstream.
func (a *Assigner) wait(e *entry) {
	key := queueKey{service: e.request.Service}
	if configured := a.config.Service(e.request.Service); configured != nil && configured.Engine != nil {
		key.adapter = e.request.Adapter
	}
	a.queues.add(key, e)
}

// serveWaiting looks at the queues in the order of their first requests. Queues
// whose adapter is on its way are passed over: its arrival serves them.
func (a *Assigner) serveWaiting(now time.Time) {
	if a.queues.count == 0 || now.Sub(a.passedAt) < passEvery {
		return
	}
	a.passedAt = now
	a.heads = a.heads[:0]
	for _, q := range a.queues.byKey {
		q.sort(now)
		if !onItsWay(now, q.entries[0]) {
			a.heads = append(a.heads, q)
		}
	}
	slices.SortFunc(a.heads, func(x, y *queue) int { return before(now, x.entries[0], y.entries[0]) })
	for _, q := range a.heads[:min(len(a.heads), queuesAtOnce)] {
		a.serveQueue(q, func(e *entry) bool { return a.place(now, e) })
	}
}

// onItsWay reports whether the adapter of a request that waits is being loaded for
// it.
func onItsWay(now time.Time, e *entry) bool {
	s := e.slot
	return s != nil && (s.state == slotComing || s.state == slotQueued) && s.upstream.usable(now)
}

// serveQueue has serve try the requests of a queue until some cannot be served.
func (a *Assigner) serveQueue(q *queue, serve func(e *entry) bool) {
	for i, failed := 0, 0; i < len(q.entries) && failed < triedAtOnce; {
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
		first := slices.MinFunc(waiting, func(x, y *queue) int { return before(now, x.entries[0], y.entries[0]) })
		served := false
		a.serveQueue(first, func(e *entry) bool {
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
	a.heads = a.heads[:0]
	add := func(ref catalog.AdapterRef) {
		if q, ok := a.queues.byKey[queueKey{u.record.Service, ref}]; ok {
			a.heads = append(a.heads, q)
		}
	}
	if u.engine == nil {
		add(catalog.AdapterRef{})
		return a.heads
	}
	for model := range u.models {
		add(catalog.AdapterRef{Model: model})
	}
	for _, s := range u.slots {
		if s.state == slotResident {
			add(s.ref)
		}
	}
	return a.heads
}

// placeOn gives a waiting request to an upstream that has its adapter and room.
func (a *Assigner) placeOn(now time.Time, e *entry, u *upstream) bool {
	if !u.mayAsk(now, e.request.ID.Host) || slices.Contains(e.request.Avoid, u.record.ID) {
		return false
	}
	o, ok := a.option(now, u, e, true)
	if !ok || !o.grant || o.load {
		return false
	}
	a.give(now, e, o)
	return true
}
