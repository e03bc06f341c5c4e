package assign

import (
	"time"
)

// Weights for the choice of an upstream by its remaining work. Costs are added to the expected time to the first token.
const (
	// remainingDecodeWeight is the weight of the work of the tokens that are left to decode on the engine. It is low,
	// since that work hardly delays a first token; more than 0.2 sent requests to slow engines with few streams.
	remainingDecodeWeight = 0.05
	// maxWorkBacklog is maxBacklog for engines that are chosen by work. It is shorter, since the pace of an engine may
	// change before it begins with a request that was assigned in advance.
	maxWorkBacklog = 250 * time.Millisecond
	// maxRequestTime bounds the expected time of a request to a plain service.
	maxRequestTime = time.Minute
	// freeSlotWeight is the weight of the work on a plain upstream beside the wait of those that find no free slot: other
	// hosts may just have taken a slot. With 1, requests went to idle slow upstreams instead of fast ones with free slots.
	freeSlotWeight = 0.25
	// fullBatchWait is the typical time until an engine whose batch other hosts have filled runs another request.
	fullBatchWait = 200 * time.Millisecond
	// minRemainingFraction is the fraction of its time that a request to a plain service is taken to need still, for
	// as long as it runs.
	minRemainingFraction = 0.2
)

// workCost returns the cost of serving a request on an engine, and whether the request can be assigned now.
func (a *Assigner) workCost(now time.Time, u *upstream, e *requestState) (cost time.Duration, ready bool) {
	backlogWork, prefillWork := u.remainingPrefill(now), u.prefillWork(u.uncachedTokens(now, &e.request))
	ownBacklog := u.timeFor(now, backlogWork)
	if !a.options.SendsOrders {
		// Without a leader, other hosts send requests to the engine too. That is no reason to send none, since without
		// requests there are no reports.
		backlogWork += fractionOf(u.prefillWork(typicalPromptTokens), u.othersWaiting.expected(now))
		if float64(len(u.running))+u.others.expected(now) >= float64(u.engine.BatchSize) {
			backlogWork += fullBatchWait
		}
	}
	backlog := u.timeFor(now, backlogWork)
	firstToken := u.timeFor(now, backlogWork+prefillWork+firstTokenOverhead)
	prefill := firstToken - backlog
	decode := time.Duration(a.expectedTokensOf(e)) * u.tokenTime(now)
	cost = firstToken + u.timeFor(now, fractionOf(u.decodeWork(now), remainingDecodeWeight))
	if late := firstToken + decode - e.request.Deadline.Sub(now); late > 0 {
		cost += late // the answer would be cut off
	}
	return cost, ownBacklog <= maxWorkBacklog && u.mayPrefill(now, prefill)
}

// expectedTokensOf returns the expected output of a request, which is estimated once.
func (a *Assigner) expectedTokensOf(e *requestState) int {
	if e.expectedTokens == 0 {
		e.expectedTokens = max(a.expectedTokens(&e.request), 1)
	}
	return e.expectedTokens
}

// slotCount returns the number of requests that the upstream runs at once.
func (u *upstream) slotCount() int { return max(u.record.Slots, 1) }

// plainWorkCost returns the expected time in which a plain service answers a request.
func (a *Assigner) plainWorkCost(now time.Time, u *upstream, e *requestState) time.Duration {
	own := a.expectedRequestTimeOf(e)
	ahead := u.remainingPlainWork(now) + fractionOf(own, u.others.expected(now))
	slots := float64(u.slotCount())
	queued := max(float64(len(u.running))+u.others.expected(now)+1-slots, 0)
	return u.timeFor(now, own+fractionOf(own, queued/slots)+fractionOf(ahead, freeSlotWeight/slots))
}

// expectedRequestTimeOf returns the expected time of a request, which is estimated once.
func (a *Assigner) expectedRequestTimeOf(e *requestState) time.Duration {
	if e.expectedTime == 0 {
		e.expectedTime = max(a.expectedRequestTime(&e.request), 1)
	}
	return e.expectedTime
}

// remainingPlainWork returns the work, at usual pace, that is left of the requests that run on the upstream.
func (u *upstream) remainingPlainWork(now time.Time) time.Duration {
	total, speed := time.Duration(0), 1/u.pace.current(now)
	for _, e := range u.running {
		total += max(e.expectedTime-fractionOf(now.Sub(e.grantedAt), speed), fractionOf(e.expectedTime, minRemainingFraction))
	}
	return total
}

// othersLoad is the number of requests that other hosts have sent to an upstream: an average, and the latest figure,
// which counts the less the older it is.
type othersLoad struct {
	average, latest float64
	at              time.Time
}

const (
	// othersWeight is the weight of a new figure in the average.
	othersWeight = 0.2
	// othersLoadAge is the age at which a figure counts as little as the average. Requests to plain services last some
	// tens of milliseconds.
	othersLoadAge = 150 * time.Millisecond
)

func (l *othersLoad) record(now time.Time, n float64) {
	if l.at.IsZero() {
		l.average = n
	}
	l.average += othersWeight * (n - l.average)
	l.latest, l.at = n, now
}

func (l *othersLoad) expected(now time.Time) float64 {
	age := float64(now.Sub(l.at)) / float64(othersLoadAge)
	return l.average + (l.latest-l.average)*max(0, 1-age)
}
