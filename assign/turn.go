package assign

import (
	"container/heap"
	"fmt"
	"time"
)

const (
	// maxServiceFraction is the maximum fraction of a request's time that it is assumed to need on the upstream. The
	// expected output may be far from the real one.
	maxServiceFraction = 0.5
	// turnTolerance is the fraction by which the estimated turn may be wrong: a request is admitted only if its turn may come
	// later by that much. After a loss of capacity, a waiting request is displaced only if its turn comes too late by more
	// than that and the time of two requests, since the measured rate of work follows within seconds.
	turnTolerance = 0.05
	// usualBacklog is the time for which a request usually waits on its engine for the prompts assigned before it.
	usualBacklog = 120 * time.Millisecond
	// firstEventReserve is how much later than usual a first token may come after a late assignment.
	firstEventReserve = 130 * time.Millisecond
	// minCheckInterval is the time after which a waiting request is checked again at the earliest.
	minCheckInterval = 10 * time.Millisecond
	// minRate is the lowest rate of work, in units of time per time, that estimates assume.
	minRate = 1e-3
)

// lastUseful returns the last time at which it is of use to assign a request to an upstream: its deadline less the time
// needed to serve it.
func (a *Assigner) lastUseful(now time.Time, s *service, e *requestState) time.Time {
	r := &e.request
	need := a.capacity(now, s).requestTime
	if configured := a.config.Service(s.name); configured != nil && configured.Engine != nil {
		output := r.ExpectedOutput
		if output == 0 {
			output = r.OutputTokens / 2
		}
		need = time.Duration(r.PromptTokens)*assumedPrefillPerToken + time.Duration(output)*typicalTokenTime
	}
	last := r.Deadline.Add(-min(max(need, 0), time.Duration(maxServiceFraction*float64(r.Deadline.Sub(r.Arrived)))))
	if first := r.FirstEventDeadline; !first.IsZero() {
		wait := firstTokenTime(r) + firstEventReserve
		if bound := first.Add(-min(wait, time.Duration(maxServiceFraction*float64(first.Sub(r.Arrived))))); bound.Before(last) {
			last = bound
		}
	}
	if !a.options.SendsOrders && !a.heldAdapter(s, e) {
		// No order makes an upstream ready for the request.
		from := r.Arrived
		if r.Admitted {
			from = now
		}
		if bound := from.Add(maxWaitWithoutOrders); bound.Before(last) {
			return bound
		}
	}
	return last
}

// firstTokenTime is the usual time from the assignment of a request to its first token.
func firstTokenTime(r *Request) time.Duration {
	if r.PromptTokens == 0 {
		return 0
	}
	return time.Duration(r.PromptTokens)*assumedPrefillPerToken + usualBacklog
}

// turnEstimate is the expected time until a request's turn, and what is ahead of the request.
type turnEstimate struct {
	rank int
	wait time.Duration
	// ahead is the work of the requests that go before, count their approximate number. present is the part of ahead that
	// waits already.
	ahead   time.Duration
	present time.Duration
	count   float64
	// request is the work of the request itself, in seconds.
	request float64
}

// perRequest returns the time that passes for each request that goes before.
func (t turnEstimate) perRequest() time.Duration {
	return time.Duration(float64(t.wait) / max(t.count, 1))
}

// String describes the estimate in logs.
func (t turnEstimate) String() string {
	return fmt.Sprintf("rank %d, turn in %d ms, %.0f requests with %d ms of work ahead", t.rank, t.wait.Milliseconds(), t.count, t.ahead.Milliseconds())
}

// workRate returns the rate of work of a service: what its upstreams state, or else what is measured.
func (a *Assigner) workRate(now time.Time, s *service) float64 {
	c := a.capacity(now, s)
	if _, _, limited := s.fleetRate(now); limited {
		return max(c.rate, minRate)
	}
	return s.line.rate.estimate(now, c.rate)
}

// estimateTurn estimates the turn of a queued request.
func (a *Assigner) estimateTurn(now time.Time, s *service, e *requestState, future arrivalForecast) turnEstimate {
	c := a.capacity(now, s)
	t := s.line.estimate(now, e.waiting, a.workRate(now, s), future)
	if _, _, limited := s.fleetRate(now); !limited {
		t.wait += s.line.rate.untilNext(now, c.rate)
	}
	t.wait = min(max(t.wait, c.opensIn, s.rateWait(now, int(t.count))), maxKnownRetryAfter)
	if !s.accepts(now, e.request.ID.Host) {
		t.wait = max(t.wait, s.hostRetryDelay(now, e.request.ID.Host))
	}
	if e.queue.key.adapter.Adapter != "" && !a.heldAdapter(s, e) {
		t.wait = max(t.wait, a.loadWait(now, e))
	}
	return t
}

// loadWait returns the expected time until the adapter of a request is loaded.
func (a *Assigner) loadWait(now time.Time, e *requestState) time.Duration {
	if e.slot != nil {
		return max(e.slot.readyAt.Sub(now), 0)
	}
	return coldLoad
}

// arrivalForecast states whether an estimate includes the requests that are likely to arrive and go first. It does when a
// request is admitted, so that the request is served, and does not when an admitted request is to be displaced.
type arrivalForecast bool

const (
	withArrivals    arrivalForecast = true
	withoutArrivals arrivalForecast = false
)

// maxEstimateSteps bounds the steps in which an estimate counts the work that arrives while the request waits.
const maxEstimateSteps = 5

// estimate returns the turn of an entry at a rate of work.
func (l *line) estimate(now time.Time, entry *waitingEntry, rate float64, future arrivalForecast) turnEstimate {
	rank := entry.CurrentRank()
	r := l.ranks[rank]
	acct := r.accounts[entry.Organisation]
	own, ownCount := acct.ahead(entry)
	t := turnEstimate{rank: rank, request: entry.Work.Seconds()}
	for range maxEstimateSteps {
		before, arriving := t.wait, t.wait
		if future == withoutArrivals {
			arriving = 0
		}
		t.ahead, t.count = own, ownCount
		for _, urgent := range l.ranks[:rank] {
			t.ahead += urgent.work + time.Duration(urgent.arrivals.rate(now)*float64(arriving))
			t.count += float64(urgent.count)
		}
		l.addShares(now, r, acct, own, arriving, &t)
		if arriving == 0 {
			t.present = t.ahead
		}
		t.wait = min(time.Duration(float64(t.ahead)/rate), maxKnownRetryAfter)
		if t.wait-before < estimatePrecision || future == withoutArrivals {
			break
		}
	}
	return t
}

// estimatePrecision is the change of the estimate below which no further step is made.
const estimatePrecision = 5 * time.Millisecond

// addShares adds what fair sharing gives to the other organisations of a rank before an organisation's counter has
// grown by the given work: each is served until its counter has passed that value, but no more than waits or arrives.
func (l *line) addShares(now time.Time, r *rankLine, acct *account, own, arriving time.Duration, t *turnEstimate) {
	scale := l.weights.scale()
	weight := func(c *account) float64 {
		if scale == 0 || c.rate == 0 {
			return 1
		}
		return c.rate * scale
	}
	wait, clock := arriving.Seconds(), r.counters.Clock()
	turn := acct.served + own.Seconds()/weight(acct)
	for _, other := range r.list {
		served := other.served
		if other.count == 0 {
			served = max(served, clock)
		}
		if other == acct || served > turn {
			continue
		}
		work, request := other.work.Seconds(), t.request
		if other.count > 0 {
			request = work / float64(other.count)
		}
		part := min(work+other.arrivalsAt(now)*wait, (turn-served)*weight(other)+request)
		t.ahead += time.Duration(part * float64(time.Second))
		t.count += part / request
	}
}

// scheduleCheck schedules the next check of a request, after its turn may have moved back by the given time.
func (r *rankLine) scheduleCheck(e *requestState, slack time.Duration) {
	e.checkAt = r.delay + max(slack, minCheckInterval)
	if e.checkIndex > 0 {
		heap.Fix(&r.checks, e.checkIndex-1)
		return
	}
	heap.Push(&r.checks, e)
}

// checkHeap orders requests by the delay at which they have to be checked.
type checkHeap []*requestState

// Len implements heap.Interface.
func (h checkHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h checkHeap) Less(i, j int) bool { return h[i].checkAt < h[j].checkAt }

// Swap implements heap.Interface.
func (h checkHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].checkIndex, h[j].checkIndex = i+1, j+1
}

// Push implements heap.Interface.
func (h *checkHeap) Push(x any) {
	e := x.(*requestState) //nolint:errcheck,forcetypeassert // only scheduleCheck pushes
	*h = append(*h, e)
	e.checkIndex = len(*h)
}

// Pop implements heap.Interface.
func (h *checkHeap) Pop() any {
	last := len(*h) - 1
	e := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	e.checkIndex = 0
	return e
}

// remove takes a request out of the heap. It does nothing if the request is not in it.
func (h *checkHeap) remove(e *requestState) {
	if e.checkIndex > 0 {
		heap.Remove(h, e.checkIndex-1)
	}
}
