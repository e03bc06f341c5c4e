package assign

import (
	"container/heap"
	"time"

	"github.com/jasminelock/jasminelock/fairshare"
)

// agingTime is the time after which a waiting request moves up by one priority. It exceeds half of the usual deadlines, so
// that routine requests do not compete with urgent ones while they still have time.
const agingTime = 10 * time.Second

// maxPriority is the least urgent priority that is told apart, maxRank the least urgent rank. State is kept for each rank,
// and priorities come from other hosts.
const (
	maxPriority = 9
	maxRank     = (maxPriority+1)*routeRanks - 1
)

// waitingEntry is a queued request of a ranked service.
type waitingEntry = fairshare.Entry[*requestState]

// requestRank is what a ranked service knows of a request.
type requestRank struct {
	// line is the order of the service, waiting the place in it while the request is queued, work the expected work,
	// lastUseful the last time at which it is of use to assign the request.
	line       *line
	waiting    *waitingEntry
	work       time.Duration
	lastUseful time.Time
	// estimatedTurn is the expected wait at admission, pushedAtAdmission the value of rankLine.pushed then. checkAt is
	// the delay at which the request is checked next, checkIndex its position in the heap of checks, counted from 1.
	estimatedTurn     time.Duration
	pushedAtAdmission time.Duration
	checkAt           time.Duration
	checkIndex        int
	// dueAtAdmission is the service's work that had been begun, or waited ahead of the request, at its admission,
	// lossesAtAdmission the value of line.losses then.
	dueAtAdmission    time.Duration
	lossesAtAdmission int
}

// line holds the waiting requests of a ranked service in the order in which they are served.
type line struct {
	service *service
	ranks   []*rankLine
	// heads orders the service's queues by their first requests, as of the last look at each queue. A queue's place is
	// updated when it reaches the front, since counters only grow.
	heads headHeap
	// count is the number of waiting requests.
	count   int
	weights weights
	// queueOptions are shared by all queues.
	queueOptions fairshare.Options[*requestState]
	rate         workRate
	// prior is the rate of work as computed at priorAt from sums.
	prior   capacityEstimate
	priorAt time.Time
	sums    capacitySums
	sweptAt time.Time
	// checkedAt is the time of the last check of waiting requests, checkedRate the greatest capacity since
	// all were checked.
	checkedAt   time.Time
	checkedRate float64
	// losses counts the losses of capacity after which all waiting requests were checked again.
	losses int
	// grants counts the requests assigned to upstreams, begun is the sum of their work.
	grants uint64
	begun  time.Duration
	stats  *rankStats
	trees  *accountTrees
}

// rankLine holds what is counted for the waiting requests of one rank.
type rankLine struct {
	counters *fairshare.Counters
	accounts map[string]*account
	// list holds the accounts in no particular order, since estimates visit all of them.
	list  []*account
	work  time.Duration
	count int
	// waiting is the number of organisations with waiting requests, interval the time between two turns of one.
	waiting  int
	interval time.Duration
	// drain is the time in which all that waits in this rank and in more urgent ones can be done.
	drain time.Duration
	// arrivals is the rate of work of the requests that are admitted.
	arrivals decayingRate
	// delay is the time by which the turns of the waiting requests may have moved back so far; checks orders the
	// requests by the delay at which they have to be checked again.
	delay  time.Duration
	checks checkHeap
	// pushed is the part of delay for which more urgent requests or a loss of capacity are the reason, pushedAt the time of
	// the last such request.
	pushed   time.Duration
	pushedAt time.Time
	// promisedUntil is the turn of the last refused caller that may return in time.
	promisedUntil time.Time
}

func newLine(s *service, w weights, stats *rankStats) *line {
	l := &line{service: s, weights: w, stats: stats, trees: newAccountTrees(&stats.visited)}
	l.queueOptions = fairshare.Options[*requestState]{
		Counters:  func(rank int) *fairshare.Counters { return l.rank(rank).counters },
		AgingTime: agingTime, AgingRanks: routeRanks, Moved: l.moved, Interval: l.interval,
	}
	return l
}

func (l *line) rank(rank int) *rankLine {
	for len(l.ranks) <= rank {
		l.ranks = append(l.ranks, &rankLine{
			counters: fairshare.NewCounters(), accounts: map[string]*account{}, arrivals: decayingRate{halfLife: arrivalHalfLife},
		})
	}
	return l.ranks[rank]
}

// add counts a request that begins to wait.
func (l *line) add(now time.Time, q *queue, e *requestState) {
	if q.ordered == nil {
		q.ordered = fairshare.NewQueue(&l.queueOptions)
	}
	entry := &waitingEntry{
		Value: e, Organisation: e.request.Organisation, Rank: e.request.Rank(), EnqueuedAt: e.request.Arrived,
		Target: e.request.Target.Add(-firstTokenTime(&e.request)), LastUseful: e.lastUseful, Work: e.work,
	}
	// A request that is of no use soon after its target, or before it, has to be treated as late before that.
	if urgent := e.lastUseful.Add(-lateTurns*l.rank(e.request.Rank()).interval - l.prior.gap); urgent.Before(entry.Target) {
		entry.Target = urgent
	}
	e.waiting = entry
	l.weights.add(entry.Organisation)
	q.ordered.Push(now, entry)
	l.count++
	l.countEntry(entry)
	l.updateHead(now, q)
}

// countEntry adds an entry to the sums of its rank.
func (l *line) countEntry(entry *waitingEntry) {
	r := l.rank(entry.CurrentRank())
	acct := l.account(r, entry.Organisation)
	if acct.count == 0 {
		r.waiting++
		l.stats.accounts++
		acct.number = l.stats.accounts
	}
	acct.add(entry)
	acct.served = r.counters.Served(entry.Organisation)
	r.work += entry.Work
	r.count++
}

// uncountEntry takes an entry out of the sums of a rank.
func (l *line) uncountEntry(entry *waitingEntry, rank int) {
	r := l.ranks[rank]
	acct := r.accounts[entry.Organisation]
	acct.remove(entry)
	if acct.count == 0 {
		r.waiting--
	}
	r.work -= entry.Work
	r.count--
}

// account returns the account of an organisation in a rank and creates it if there is none.
func (l *line) account(r *rankLine, organisation string) *account {
	acct, ok := r.accounts[organisation]
	if !ok {
		acct = &account{
			organisation: organisation, index: len(r.list), rate: l.weights.configured(organisation),
			arrivals: decayingRate{halfLife: arrivalHalfLife}, done: decayingRate{halfLife: doneHalfLife}, order: fairshare.NewCounters(), adapters: map[string]*adapterAccount{},
			byWork: sumTree[*adapterAccount]{kind: &l.trees.byWork}, onTime: sumTree[*waitingEntry]{kind: &l.trees.byTarget},
			withLate: map[*adapterAccount]struct{}{}, kinds: l.trees,
		}
		r.accounts[organisation] = acct
		r.list = append(r.list, acct)
	}
	return acct
}

// arrived counts the work of a new request, whether it is admitted or not: an organisation that sends more than its
// share uses its share.
func (l *line) arrived(now time.Time, rank int, e *requestState) {
	acct := l.account(l.rank(rank), e.request.Organisation)
	acct.arrivals.add(now, e.work.Seconds())
	acct.arrivalRateAt = time.Time{}
}

// admitted counts the work of a new request that is admitted.
func (l *line) admitted(now time.Time, rank int, e *requestState) {
	l.rank(rank).arrivals.add(now, e.work.Seconds())
}

// arrivalsAt returns the rate of work of an organisation's requests. It is computed once per passInterval, in which it
// hardly changes, since estimates visit all accounts.
func (c *account) arrivalsAt(now time.Time) float64 {
	if now.Sub(c.arrivalRateAt) >= passInterval {
		c.arrivalRate, c.arrivalRateAt = c.arrivals.rate(now), now
	}
	return c.arrivalRate
}

// prune drops the accounts of organisations that send hardly anything.
func (r *rankLine) prune(now time.Time) {
	for i := len(r.list) - 1; i >= 0; i-- {
		acct := r.list[i]
		if acct.count > 0 || acct.arrivals.rate(now) >= minArrivals {
			continue
		}
		last := len(r.list) - 1
		r.list[i] = r.list[last]
		r.list[i].index = i
		r.list[last] = nil
		r.list = r.list[:last]
		delete(r.accounts, acct.organisation)
	}
}

const (
	// doneHalfLife is the half-life of the work that the operators' page shows.
	doneHalfLife = 10 * time.Second
	// arrivalHalfLife is the half-life of the rates at which work arrives. It is about the time that requests wait.
	arrivalHalfLife = 4 * time.Second
	// minArrivals is the rate of work below which an organisation without waiting requests is no longer counted.
	minArrivals = 1e-4
)

// adapterKey names the adapter of a request within its organisation.
func adapterKey(r *Request) string { return r.Adapter.Adapter }

// moved counts an entry that has aged from a rank to its present one.
func (l *line) moved(entry *waitingEntry, from int) {
	l.uncountEntry(entry, from)
	l.countEntry(entry)
	l.ranks[from].checks.remove(entry.Value)
	l.changedRank(entry.Value, from)
}

// changedRank schedules the checks of a request that has changed its rank. What had put back the request's turn since its
// admission still counts in the new rank. A request that moves up puts back the ranks that it passes and, by fair sharing,
// the other organisations of its new rank; one that moves down has been put back itself.
func (l *line) changedRank(e *requestState, from int) {
	r, before := l.ranks[e.waiting.CurrentRank()], l.ranks[from]
	e.pushedAtAdmission = r.pushed - (before.pushed - e.pushedAtAdmission)
	if rank := e.waiting.CurrentRank(); rank < from {
		l.pushBack(rank, from, e, true)
	} else if rank > from {
		e.pushedAtAdmission--
		r.pushedAt = l.rate.at
	}
	r.scheduleCheck(e, 0)
}

// startChecks schedules the checks of a request that was queued before the service became ranked.
func (l *line) startChecks(e *requestState) {
	r := l.ranks[e.waiting.CurrentRank()]
	e.pushedAtAdmission, e.lossesAtAdmission = r.pushed, l.losses
	r.scheduleCheck(e, 0)
}

// remove takes a request out of the line.
func (l *line) remove(q *queue, e *requestState) {
	entry := e.waiting
	l.uncountEntry(entry, entry.CurrentRank())
	l.ranks[entry.CurrentRank()].checks.remove(e)
	q.ordered.Remove(entry)
	l.weights.remove(entry.Organisation)
	l.count--
	e.waiting = nil
	if l.count == 0 {
		l.rate.setSaturated(l.rate.at, false, l.prior.rate)
	}
	if q.ordered.Len() == 0 && q.headIndex > 0 {
		heap.Remove(&l.heads, q.headIndex-1)
	}
}

// charge counts the work of a request that is assigned to an upstream.
func (l *line) charge(now time.Time, e *requestState) {
	l.grants++
	l.begun += e.work
	rank, organisation := e.request.Rank(), e.request.Organisation
	if e.waiting != nil {
		rank = e.waiting.CurrentRank()
	}
	r := l.rank(rank)
	r.counters.Charge(organisation, e.work.Seconds()/l.weights.of(organisation))
	acct, ok := r.accounts[organisation]
	if ok {
		acct.served = r.counters.Served(organisation)
		acct.done.add(now, e.work.Seconds())
	}
	if ok && acct.count > 0 {
		acct.order.Charge(adapterKey(&e.request), e.work.Seconds())
	}
	l.rate.served(now, e.work)
}

// interval returns the expected time between two turns of an organisation's requests for one adapter, and the time by
// which a turn may come later, since upstreams open in turns.
func (l *line) interval(entry *waitingEntry) (interval, margin time.Duration) {
	r := l.ranks[entry.CurrentRank()]
	return r.interval * time.Duration(len(r.accounts[entry.Organisation].adapters)), l.prior.gap
}

// updateIntervals computes the time between two turns of an organisation: at the rate of work that more urgent ranks
// leave, each organisation that waits, or sends as much as its share, has a request served.
func (l *line) updateIntervals(now time.Time, rate float64) {
	total, work := rate, time.Duration(0)
	for _, r := range l.ranks {
		work += r.work
		r.drain = min(time.Duration(float64(work)/max(total, minRate)), maxKnownRetryAfter)
		r.interval = 0
		if r.count > 0 {
			mean := float64(r.work) / float64(r.count)
			r.interval = min(time.Duration(mean*r.competitors(now, rate)/max(rate, minRate)), maxInterval)
		}
		rate -= r.arrivals.rate(now)
	}
}

// competitors returns the number of organisations that use their share of a rate of work. One that uses a part of it
// counts for that part.
func (r *rankLine) competitors(now time.Time, rate float64) float64 {
	share := max(rate, minRate) / float64(max(len(r.list), 1))
	n := 0.0
	for _, acct := range r.list {
		n += min(1, (acct.arrivalsAt(now)+acct.work.Seconds())/share)
	}
	return max(n, 1)
}

// lateTurns is the number of turns before its last useful moment from which a request counts as late.
const lateTurns = 3

// maxInterval bounds the expected time between two turns of an organisation.
const maxInterval = time.Second
