package sched

import (
	"math"
	"slices"
	"time"

	"github.com/jasminelock/jasminelock/fairshare"
	"github.com/jasminelock/jasminelock/record"
)

// waitingRequest is a request that has not been dispatched to an upstream.
type waitingRequest struct {
	request Request
	group   *requestGroup
	entry   *fairshare.Entry[*waitingRequest]
}

// requestGroup is the unit that requests are queued for: one adapter version, or one pool of
// plain services.
type requestGroup struct {
	ref   record.AdapterRef
	name  string
	model string
	// organisation is the owner of the adapter; ownerSlots counts the slots of all its
	// adapters.
	organisation string
	ownerSlots   *orgSlots
	slots        []*slot
	queue        *fairshare.Queue[*waitingRequest]
	// demand counts requests and decays with time.
	demand decayingCount
	// failures counts consecutive failed loads.
	failures int
	// retryAt holds, by upstream, when a load may be tried again after a failure.
	retryAt map[string]time.Time
	// remote is the load that was requested from another host, nil if there is none.
	remote *remoteLoad
	// requestedBy are the other hosts' load requests that the load running on this host
	// answers.
	requestedBy []loadKey
	lastUsed    time.Time
	// coldSince is when the oldest waiting request began to wait for a load, zero if none is
	// needed.
	coldSince time.Time
}

// slotState is the state of an adapter on an engine.
type slotState uint8

const (
	slotLoading slotState = iota
	slotResident
	slotEvicting // an order to evict the adapter is open
)

// slot is one adapter on one engine, or one pool's membership of a plain service.
type slot struct {
	group *requestGroup
	view  *upstreamView
	state slotState
	// stateSince is when the slot entered its state.
	stateSince time.Time
	// orderID is this host's open order, 0 if there is none.
	orderID OrderID
	// inFlight counts this host's requests in flight.
	inFlight int
	// busy reports whether the last report counted running or waiting requests.
	busy bool
	// grant is this host's permission to use the slot if another host owns the upstream.
	grant useGrant
	// peerGrantsUntil is when the last grant to another host expires.
	peerGrantsUntil time.Time
	// maybeBusyUntil is the earliest time at which a fresh report can prove the adapter idle.
	maybeBusyUntil time.Time
	lastUsed       time.Time
}

// upstreamView is this host's knowledge of an upstream.
type upstreamView struct {
	record *record.Upstream
	// lease is the lease of the upstream's lease group, nil for a plain service.
	lease       *leaseState
	incarnation string
	reportedAt  time.Time
	// freshReportAt is when the last report arrived that was made less than reportLag earlier.
	freshReportAt time.Time
	unreachable   bool
	// inFlight counts this host's requests in flight, othersInFlight those of other hosts.
	inFlight       int
	othersInFlight int
	slots          map[*requestGroup]*slot
	// unloadedAt holds when adapters were unloaded: a report made before that still lists
	// them.
	unloadedAt map[*requestGroup]time.Time
	// loading is the group for which a slot is being freed or loaded, nil if there is none.
	loading *requestGroup
	// noSlotUntil is when to try a load again after the engine reported that it has no free
	// slot.
	noSlotUntil time.Time
	// firstTokenTime and serviceTime are the average times from dispatch to the first token
	// and to the end.
	firstTokenTime average
	serviceTime    average
	// prefixes are the prompt prefixes that the engine is believed to have cached.
	prefixes prefixCache
	// role is the role in the last report.
	role string
	// raisedFence is this host's fencing number that the engine has accepted.
	raisedFence int64
	// raiseOrder is the open order that raises the engine's fencing number, 0 if there is
	// none.
	raiseOrder OrderID
	// price is the cost of a slot as the upstream's owner last reported it.
	price slotPrice
}

// slotPrice is the cost of a slot of an engine: the demand for the adapter that would be
// evicted.
type slotPrice struct {
	at     time.Time
	free   int
	demand float64
	// blocked means that no adapter can be evicted now.
	blocked bool
}

// freeCapacity returns how many more requests the upstream can run at once.
func (v *upstreamView) freeCapacity() int {
	if v.record.MaxBatch <= 0 {
		return math.MaxInt32
	}
	return v.record.MaxBatch - v.inFlight - v.othersInFlight
}

// usable reports whether the upstream may be given new work.
func (v *upstreamView) usable(now time.Time) bool {
	return !v.record.Leaving && !v.unreachable && !v.reportedAt.IsZero() && now.Sub(v.reportedAt) <= reportMaxAge
}

// freeSlots returns how many adapter slots are empty.
func (v *upstreamView) freeSlots() int { return v.record.AdapterSlots - len(v.slots) }

func (v *upstreamView) addSlot(g *requestGroup, state slotState, now time.Time) *slot {
	s := &slot{group: g, view: v, state: state, stateSince: now, lastUsed: now}
	v.slots[g] = s
	g.slots = append(g.slots, s)
	g.ownerSlots.add(1)
	return s
}

func (v *upstreamView) removeSlot(s *slot, now time.Time) {
	if v.slots[s.group] != s {
		return
	}
	delete(v.slots, s.group)
	s.group.ownerSlots.add(-1)
	s.group.slots = slices.DeleteFunc(s.group.slots, func(o *slot) bool { return o == s })
	v.unloadedAt[s.group] = now
}

// average is an exponentially weighted moving average of durations.
type average time.Duration

// averageDivisor is the inverse of the weight of a new value in an average.
const averageDivisor = 8

func (a *average) add(d time.Duration) {
	if *a == 0 {
		*a = average(d)
		return
	}
	*a += (average(d) - *a) / averageDivisor
}

// orDefault returns the average, or fallback if nothing has been added.
func (a average) orDefault(fallback time.Duration) time.Duration {
	if a == 0 {
		return fallback
	}
	return time.Duration(a)
}

// demandHalfLife is the age at which a request counts half.
const demandHalfLife = 300 * time.Second

// demandMeanLifeSeconds converts a decaying count into a rate: the count divided by it is the
// rate per second.
const demandMeanLifeSeconds = float64(demandHalfLife) / float64(time.Second) / math.Ln2

// decayingCount is a count that halves with every demandHalfLife.
type decayingCount struct {
	value     float64
	updatedAt time.Time
}

func (d *decayingCount) add(now time.Time, n float64) {
	d.value = d.valueAt(now) + n
	d.updatedAt = now
}

func (d *decayingCount) valueAt(now time.Time) float64 {
	if d.value == 0 {
		return 0
	}
	return d.value * math.Exp2(-float64(now.Sub(d.updatedAt))/float64(demandHalfLife))
}

// prefixLimit is the largest number of prefixes remembered for one engine.
const prefixLimit = 256

// prefixCache is a bounded set of prompt prefixes. The oldest is evicted first.
type prefixCache struct {
	known map[uint64]struct{}
	order []uint64
	next  int
}

func (c *prefixCache) add(prefix uint64) {
	if prefix == 0 {
		return
	}
	if c.known == nil {
		c.known = map[uint64]struct{}{}
	}
	if _, ok := c.known[prefix]; ok {
		return
	}
	c.known[prefix] = struct{}{}
	if len(c.order) < prefixLimit {
		c.order = append(c.order, prefix)
		return
	}
	delete(c.known, c.order[c.next])
	c.order[c.next] = prefix
	c.next = (c.next + 1) % prefixLimit
}

func (c *prefixCache) remove(prefix uint64) { delete(c.known, prefix) }

func (c *prefixCache) has(prefix uint64) bool {
	_, ok := c.known[prefix]
	return ok && prefix != 0
}

func (c *prefixCache) clear() {
	clear(c.known)
	c.order, c.next = c.order[:0], 0
}

// Groups that have been idle for long are deleted, so that memory grows with the adapters in
// use and not with all that were ever requested.
const (
	sweepInterval = time.Minute
	idleGroupTTL  = 30 * time.Minute
)

// sweep deletes the adapter groups that have no slot, no waiting request, no open load and no
// recent use.
func (p *Policy) sweep(now time.Time) {
	if now.Sub(p.sweptAt) < sweepInterval {
		return
	}
	p.sweptAt = now
	for ref, g := range p.adapters {
		if g.idle(now) {
			delete(p.adapters, ref)
			delete(p.names, g.name)
		}
	}
}

func (g *requestGroup) idle(now time.Time) bool {
	if len(g.slots) > 0 || g.queue.Len() > 0 || g.remote != nil || len(g.requestedBy) > 0 {
		return false
	}
	return now.Sub(g.lastUsed) > idleGroupTTL
}
