package assign

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/jasminelock/jasminelock/catalog"
)

// queueKey names what requests of one queue wait for: the same upstreams can serve
// them. The adapter is empty for a plain service.
type queueKey struct {
	service string
	adapter catalog.AdapterRef
}

// queue is the requests that wait for one adapter. A request that cannot be served
// holds up those behind it and no others.
type queue struct {
	key queueKey
	// entries are in the order of the last sort, later ones after them.
	entries []*requestState
}

// queues are all requests that wait.
type queues struct {
	byKey map[queueKey]*queue
	// count is how many requests wait, tokens what their prompts hold for each
	// service.
	count        int
	promptTokens map[string]int
}

func newQueues() queues { return queues{byKey: map[queueKey]*queue{}, promptTokens: map[string]int{}} }

func (q *queues) add(key queueKey, e *requestState) {
	one, ok := q.byKey[key]
	if !ok {
		one = &queue{key: key}
		q.byKey[key] = one
	}
	one.entries = append(one.entries, e)
	e.queue = one
	q.count++
	q.promptTokens[key.service] += e.request.PromptTokens
}

// remove takes a request out of its queue. It is passed over where it waits in none.
func (q *queues) remove(e *requestState) {
	one := e.queue
	if one == nil {
		return
	}
	i := slices.Index(one.entries, e)
	one.entries = slices.Delete(one.entries, i, i+1)
	if len(one.entries) == 0 {
		delete(q.byKey, one.key)
	}
	e.queue = nil
	q.count--
	q.promptTokens[one.key.service] -= e.request.PromptTokens
}

// each calls f for every request that waits. f may remove it.
func (q *queues) each(f func(e *requestState)) {
	for _, one := range q.byKey {
		for _, e := range slices.Clone(one.entries) {
			f(e)
		}
	}
}

// sort puts the requests that can still be in time first, then goes by priority and
// arrival.
func (q *queue) sort(now time.Time) {
	if len(q.entries) > 1 {
		slices.SortStableFunc(q.entries, func(x, y *requestState) int { return compareWaiting(now, x, y) })
	}
}

// compareWaiting orders two requests that wait.
func compareWaiting(now time.Time, x, y *requestState) int {
	return cmp.Or(
		cmp.Compare(lateness(now, x), lateness(now, y)),
		cmp.Compare(x.request.Priority, y.request.Priority),
		x.request.Arrived.Compare(y.request.Arrived),
		strings.Compare(x.request.ID.Host, y.request.ID.Host),
		cmp.Compare(x.request.ID.Number, y.request.ID.Number),
	)
}

// lateness is 1 for a request whose first token cannot come in time any more.
func lateness(now time.Time, e *requestState) int {
	if now.After(e.request.Target) {
		return 1
	}
	return 0
}
