package assign

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/jasminelock/jasminelock/catalog"
	"github.com/jasminelock/jasminelock/fairshare"
)

// queueKey identifies a queue: its requests can be served by the same upstreams. The adapter is empty for a plain
// service.
type queueKey struct {
	service string
	adapter catalog.AdapterRef
}

// queue holds the requests that wait for one adapter. A request that cannot be served blocks those behind it, but
// no other queue.
type queue struct {
	key queueKey
	// entries are sorted as of the last call of sort; requests queued since are at the end. They are not used in a
	// ranked service, whose requests are in ordered.
	entries []*requestState
	ordered *fairshare.Queue[*requestState]
	// head is the place of the first request of ordered, as of the last look at the queue, and headIndex the queue's
	// position in the heap of the service's queues, counted from 1; 0 if it is not in the heap.
	head      headKey
	headIndex int
}

// queues holds all queued requests.
type queues struct {
	byKey map[queueKey]*queue
	// count is the number of queued requests, unranked that of those in services that are not ranked; promptTokens is
	// the sum of their prompt tokens per service.
	count        int
	unranked     int
	promptTokens map[string]int
}

func newQueues() queues { return queues{byKey: map[queueKey]*queue{}, promptTokens: map[string]int{}} }

// add queues a request, in the line of its service if the service is ranked.
func (q *queues) add(now time.Time, key queueKey, l *line, e *requestState) {
	waiting, ok := q.byKey[key]
	if !ok {
		waiting = &queue{key: key}
		q.byKey[key] = waiting
	}
	e.queue = waiting
	if l != nil {
		l.add(now, waiting, e)
	} else {
		waiting.entries = append(waiting.entries, e)
		q.unranked++
	}
	q.count++
	q.promptTokens[key.service] += e.request.PromptTokens
}

// remove takes a request out of its queue. It does nothing if the request is not queued.
func (q *queues) remove(e *requestState) {
	waiting := e.queue
	if waiting == nil {
		return
	}
	if e.waiting != nil {
		e.line.remove(waiting, e)
	} else {
		i := slices.Index(waiting.entries, e)
		waiting.entries = slices.Delete(waiting.entries, i, i+1)
		q.unranked--
	}
	if waiting.len() == 0 {
		delete(q.byKey, waiting.key)
	}
	e.queue = nil
	q.count--
	q.promptTokens[waiting.key.service] -= e.request.PromptTokens
}

// each calls f for every queued request. f may remove the request.
func (q *queues) each(f func(e *requestState)) {
	for _, waiting := range q.byKey {
		entries := slices.Clone(waiting.entries)
		if waiting.ordered != nil {
			waiting.ordered.Each(func(entry *waitingEntry) { entries = append(entries, entry.Value) })
		}
		for _, e := range entries {
			f(e)
		}
	}
}

// len returns the number of requests in the queue.
func (q *queue) len() int {
	n := len(q.entries)
	if q.ordered != nil {
		n += q.ordered.Len()
	}
	return n
}

// sort orders the requests by whether they can still meet their target, then by priority and arrival.
func (q *queue) sort(now time.Time) {
	if len(q.entries) > 1 {
		slices.SortStableFunc(q.entries, func(x, y *requestState) int { return compareWaiting(now, x, y) })
	}
}

// compareWaiting compares two queued requests by urgency.
func compareWaiting(now time.Time, x, y *requestState) int {
	return cmp.Or(
		cmp.Compare(lateness(now, x), lateness(now, y)),
		cmp.Compare(x.request.Priority, y.request.Priority),
		x.request.Arrived.Compare(y.request.Arrived),
		strings.Compare(x.request.ID.Host, y.request.ID.Host),
		cmp.Compare(x.request.ID.Number, y.request.ID.Number),
	)
}

// lateness is 1 for a request that has missed its target for the first token, otherwise 0.
func lateness(now time.Time, e *requestState) int {
	if now.After(e.request.Target) {
		return 1
	}
	return 0
}
