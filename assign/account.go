package assign

import (
	"cmp"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/jasminelock/jasminelock/fairshare"
)

// account holds what is counted for an organisation in one rank. It is kept for some time after its last request.
type account struct {
	organisation string
	// index is the account's place in rankLine.list.
	index int
	// number is the place in the order in which organisations began to wait, which decides between equal counters.
	number uint64
	// served is the organisation's counter, copied here since estimates visit all accounts.
	served float64
	// rate is the organisation's configured rate, 0 for none.
	rate float64
	// arrivals is the rate of work of the organisation's requests, admitted or not; arrivalRate is its value as of
	// arrivalRateAt.
	arrivals      decayingRate
	arrivalRate   float64
	arrivalRateAt time.Time
	// done is the rate of the work that is begun for the organisation.
	done decayingRate
	// order holds the counters that share an organisation's turns between its adapters.
	order    *fairshare.Counters
	work     time.Duration
	count    int
	adapters map[string]*adapterAccount
	// byWork holds the adapters in the order of their work.
	byWork sumTree[*adapterAccount]
	// onTime holds the entries that had not missed their target at the last call of expire, by target; withLate holds the
	// adapters that have others.
	onTime   sumTree[*fairshare.Entry[*requestState]]
	withLate map[*adapterAccount]struct{}
	kinds    *accountTrees
}

// adapterAccount holds the waiting requests of an organisation for one adapter, in one rank.
type adapterAccount struct {
	name string
	work time.Duration
	// entries holds all entries in the order in which they are due, late those that have missed their target.
	entries, late sumTree[*fairshare.Entry[*requestState]]
}

// accountTrees are the kinds of trees in accounts. The type of their items is written out, since go vet (Go 1.26) fails on
// an alias in this cycle of types.
type accountTrees struct {
	byDue, byTarget treeKind[*fairshare.Entry[*requestState]]
	byWork          treeKind[*adapterAccount]
}

func newAccountTrees(visited *uint64) *accountTrees {
	// The priorities decide only about the shape of the trees.
	random := rand.New(rand.NewPCG(1, 1))
	measure := func(e *waitingEntry) treeSums { return treeSums{items: 1, requests: 1, work: e.Work} }
	due := func(e *waitingEntry) time.Time { return e.LastUseful }
	return &accountTrees{
		byDue:    treeKind[*waitingEntry]{compare: compareEntries, measure: measure, due: due, random: random, visited: visited},
		byTarget: treeKind[*waitingEntry]{compare: compareTarget, measure: measure, random: random, visited: visited},
		byWork:   treeKind[*adapterAccount]{compare: compareAdapterWork, measure: measureAdapter, random: random, visited: visited},
	}
}

// compareDue orders entries of the same organisation and rank by when they must be served if all are to be served in time.
// The order in which they are served is another one, since fresh requests go before late ones that can wait; but a late
// request goes first when its last useful moment is close. Entries of different queues may be equal.
func compareDue(x, y *waitingEntry) int {
	return cmp.Or(x.LastUseful.Compare(y.LastUseful), cmp.Compare(x.Sequence(), y.Sequence()))
}

// compareEntries is compareDue, and tells all entries apart.
func compareEntries(x, y *waitingEntry) int {
	return cmp.Or(compareDue(x, y), compareIDs(x, y))
}

func compareTarget(x, y *waitingEntry) int {
	return cmp.Or(x.Target.Compare(y.Target), compareIDs(x, y))
}

func compareIDs(x, y *waitingEntry) int {
	a, b := x.Value.request.ID, y.Value.request.ID
	return cmp.Or(cmp.Compare(a.Number, b.Number), strings.Compare(a.Host, b.Host))
}

func compareAdapterWork(x, y *adapterAccount) int {
	return cmp.Or(cmp.Compare(x.work, y.work), strings.Compare(x.name, y.name))
}

func measureAdapter(h *adapterAccount) treeSums {
	n := h.entries.len()
	return treeSums{items: 1, requests: n, work: h.work, requestsPerWork: float64(n) / float64(max(h.work, 1))}
}

// add counts a waiting request.
func (c *account) add(entry *waitingEntry) {
	name := adapterKey(&entry.Value.request)
	held, ok := c.adapters[name]
	if ok {
		c.byWork.remove(held)
	} else {
		due := sumTree[*waitingEntry]{kind: &c.kinds.byDue}
		held = &adapterAccount{name: name, entries: due, late: due}
		c.adapters[name] = held
	}
	c.order.AddWaiting(name)
	held.entries.insert(entry)
	held.work += entry.Work
	c.byWork.insert(held)
	c.onTime.insert(entry)
	c.work += entry.Work
	c.count++
}

// remove takes a waiting request out of the account.
func (c *account) remove(entry *waitingEntry) {
	name := adapterKey(&entry.Value.request)
	held := c.adapters[name]
	c.byWork.remove(held)
	held.entries.remove(entry)
	held.work -= entry.Work
	if !c.onTime.remove(entry) {
		held.late.remove(entry)
		if held.late.len() == 0 {
			delete(c.withLate, held)
		}
	}
	c.order.RemoveWaiting(name)
	if held.entries.len() == 0 {
		delete(c.adapters, name)
	} else {
		c.byWork.insert(held)
	}
	c.work -= entry.Work
	c.count--
}

// expire moves the entries that have missed their target to the late ones. An entry is moved once.
func (c *account) expire(now time.Time) {
	for c.onTime.len() > 0 {
		entry := c.onTime.at(0)
		if !now.After(entry.Target) {
			return
		}
		c.onTime.remove(entry)
		held := c.adapters[adapterKey(&entry.Value.request)]
		held.late.insert(entry)
		c.withLate[held] = struct{}{}
	}
}

// ahead returns the work of an organisation that has to be done before one of its entries, and the approximate number
// of requests. An entry that would put others of its organisation past their last useful moment is late itself.
func (c *account) ahead(entry *waitingEntry) (time.Duration, float64) {
	held := c.adapters[adapterKey(&entry.Value.request)]
	own := held.before(entry)
	// Each of the other adapters is served as much work as goes before the entry, or all that waits for it.
	share := own.work + 2*entry.Work
	all := c.byWork.root.total()
	less := c.byWork.before(func(h *adapterAccount) bool { return h.work >= share })
	more := treeSums{items: all.items - less.items, requestsPerWork: all.requestsPerWork - less.requestsPerWork}
	if mine := measureAdapter(held); held.work < share {
		less.work -= mine.work
		less.requests -= mine.requests
	} else {
		more.items--
		more.requestsPerWork -= mine.requestsPerWork
	}
	work := own.work + less.work + time.Duration(more.items)*share
	count := float64(own.requests + less.requests)
	if more.items > 0 {
		count += float64(share) * more.requestsPerWork
	}
	return work, count
}

// before returns the sums over the entries that are due before the given one.
func (h *adapterAccount) before(entry *waitingEntry) treeSums {
	return h.entries.before(func(other *waitingEntry) bool { return compareDue(other, entry) >= 0 })
}
