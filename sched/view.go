package sched

import (
	"math"
	"slices"
	"time"

	"github.com/jasminelock/jasminelock/record"
	"github.com/jasminelock/jasminelock/sched/fair"
)

// waitingRequest is a request that no upstream has been given.
type waitingRequest struct {
	request Request
	group   *requestGroup
	entry   *fair.Entry[*waitingRequest]
}

// requestGroup is what requests are queued for: one adapter version, or one pool of
// plain services.
type requestGroup struct {
	ref   record.AdapterRef
	name  string
	model string
	// organisation owns the adapter; held counts its slots.
	organisation string
	ownerSlots   *orgSlots
	slots        []*slot
	queue        *fair.Queue[*waitingRequest]
	// demand counts requests, old ones less and less.
	demand decayingCount
	// failures counts loads that have failed one after another.
	failures int
	// retryAt is when an upstream may be asked again after a failed load.
	retryAt map[string]time.Time
	// remote is the load that another host was asked for, nil where there is none.
	remote *remoteLoad
	// askedBy are the other hosts' loads that this host's load ends.
	requestedBy []loadKey
	lastUsed    time.Time
	// coldSince is when the oldest waiting request began to wait for a load.
	coldSince time.Time
}

// slotState is where an adapter stands on an engine.
type slotState uint8

const (
	slotLoading slotState = iota
	slotResident
	slotEvicting // an order to evict it has been given
)

// slot is one adapter on one engine, or one pool's place on a plain service.
type slot struct {
	group *requestGroup
	view  *upstreamView
	state slotState
	// since is when the state was entered.
	stateSince time.Time
	// order is this host's open order, 0 where there is none.
	orderID OrderID
	// inFlight counts this host's requests.
	inFlight int
	// busy says that the last report counted requests.
	busy bool
	// use is this host's grant, where another host owns the upstream.
	grant useGrant
	// grantedUntil is when the last grant given to another host has run out.
	peerGrantsUntil time.Time
	// doubtUntil is the earliest report that can prove the adapter idle.
	maybeBusyUntil time.Time
	lastUsed       time.Time
}

// upstreamView is what this host knows of an upstream.
type upstreamView struct {
	record *record.Upstream
	// lease is that of the upstream's group, nil for a plain service.
	lease       *leaseState
	incarnation string
	reportedAt  time.Time
	// provenAt is when a report came that was made less than reportLag before.
	freshReportAt time.Time
	unreachable   bool
	// inFlight counts this host's requests, others those of other hosts.
	inFlight       int
	othersInFlight int
	slots          map[*requestGroup]*slot
	// gone holds when adapters were unloaded, since reports lag behind.
	unloadedAt map[*requestGroup]time.Time
	// loading is the group that a slot is being freed or filled for.
	loading *requestGroup
	// fullUntil is when to ask again after the engine had no slot.
	noSlotUntil time.Time
	// first and hold are the usual times to the first token and to the end.
	firstTokenTime average
	serviceTime    average
	// prefixes are the prompt prefixes believed to be cached.
	prefixes prefixCache
	// role is the role last reported.
	role string
	// raised is the fencing number of this host that the engine has accepted.
	raisedFence int64
	// raising is the open order that raises it.
	raiseOrder OrderID
	// price is what a slot costs, as its owner last told.
	price slotPrice
}

// slotPrice is what a slot of an engine costs: the demand for the adapter that
// would have to go.
type slotPrice struct {
	at     time.Time
	free   int
	demand float64
	// blocked says that nothing can go now.
	blocked bool
}

// room returns how many more requests the upstream can run at once.
func (v *upstreamView) freeCapacity() int {
	if v.record.MaxBatch <= 0 {
		return math.MaxInt32
	}
	return v.record.MaxBatch - v.inFlight - v.othersInFlight
}

// usable reports whether the upstream may get new work.
func (v *upstreamView) usable(now time.Time) bool {
	return !v.record.Leaving && !v.unreachable && !v.reportedAt.IsZero() && now.Sub(v.reportedAt) <= reportMaxAge
}

// free returns how many adapter slots are empty.
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

// averageDivisor is the part of each new value, as one in so many.
const averageDivisor = 8

func (a *average) add(d time.Duration) {
	if *a == 0 {
		*a = average(d)
		return
	}
	*a += (average(d) - *a) / averageDivisor
}

// or returns the average, or fallback where nothing has been added.
func (a average) orDefault(fallback time.Duration) time.Duration {
	if a == 0 {
		return fallback
	}
	return time.Duration(a)
}

// demandHalfLife is when a past request counts half.
const demandHalfLife = 300 * time.Second

// demandMeanLifeSeconds turns a decayed count into a rate a second.
const demandMeanLifeSeconds = float64(demandHalfLife) / float64(time.Second) / math.Ln2

// decayingCount is a count that halves with time.
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

// prefixLimit bounds the prefixes remembered of one engine.
const prefixLimit = 256

// prefixCache is a bounded set of prompt prefixes, the oldest leaving first.
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

// Idle adapters are forgotten, so that memory follows what is in use and not
// what has ever been asked for.
const (
	sweepInterval = time.Minute
	idleGroupTTL  = 30 * time.Minute
)

// sweep forgets the adapters that nothing holds, waits for or has used of late.
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
