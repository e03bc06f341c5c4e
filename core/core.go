// Package core makes every decision of a host: events go in, decisions come out.
//
// The daemon, the tests and the policy benchmark drive the same Core. It holds the state machine of
// each request and composes the limiter and the scheduler. It imports no network or operating-system
// package, reads no clock and starts no goroutine. Handle must be called by one goroutine at a time.
package core

import (
	"math/rand/v2"
	"time"

	"github.com/jasminelock/jasminelock/apierr"
	"github.com/jasminelock/jasminelock/blackboard"
	"github.com/jasminelock/jasminelock/limit"
	"github.com/jasminelock/jasminelock/record"
	"github.com/jasminelock/jasminelock/sched"
)

// Core is the decision logic of one host.
type Core struct {
	board        *blackboard.Board
	limiter      limit.Limiter
	scheduler    sched.Scheduler
	config       *record.Config
	requests     map[sched.RequestID]*entry
	budget       loadBudget
	reservations reservations
	draining     bool
	// leavingUntil is when this host ends, zero if it is not leaving.
	leavingUntil time.Time
	// stopping is set once every request must end.
	stopping bool
	// freshness is how long the configuration may be used as being in force.
	freshness freshness
	// memberListSeen is set by the first MembersUpdated. From then on, the member list and not the host
	// list determines which hosts are live.
	memberListSeen bool

	random     *rand.Rand
	retries    retryBudget
	backingOff []sched.RequestID
	crashes    crashDetector
}

// Options are the components and settings of a Core.
type Options struct {
	Board     *blackboard.Board
	Limiter   limit.Limiter
	Scheduler sched.Scheduler
	// Random adds jitter to retry waits. Nil selects a source with a fixed seed.
	Random *rand.Rand
	// Host is the name of this host in the host list.
	Host string
}

// New returns a core with an empty configuration.
func New(o Options) *Core {
	c := &Core{
		board:     o.Board,
		limiter:   o.Limiter,
		scheduler: o.Scheduler,
		config:    record.NewConfig(),
		requests:  map[sched.RequestID]*entry{},
		random:    o.Random,
		retries:   newRetryBudget(),
		crashes:   newCrashDetector(o.Host),
	}
	if c.random == nil {
		c.random = rand.New(rand.NewPCG(1, 1))
	}
	c.budget = newLoadBudget(o.Limiter)
	c.scheduler.SetBudget(&c.budget)
	c.reservations.pending = map[limit.Ticket]pendingReservation{}
	return c
}

// Handle applies an event and returns the decisions to carry out, in order.
func (c *Core) Handle(now time.Time, ev Event) []Decision {
	var out decisions
	switch e := ev.(type) {
	case requestEvent:
		c.onRequestEvent(now, e, &out)
	case upstreamEvent:
		c.onUpstreamEvent(now, e, &out)
	case fleetEvent:
		c.onFleetEvent(now, e, &out)
	}
	c.applyLimiter(c.budget.takePending(), &out)
	c.applyResolved(now, &out)
	return out
}

// InFlight returns the number of requests that have not ended.
func (c *Core) InFlight() int { return len(c.requests) }

// Explain returns the decision that a request would get now, without changing any state.
func (c *Core) Explain(now time.Time, r Request) (sched.Reason, *apierr.Error) {
	e := &entry{request: r}
	if err := c.authorise(now, e); err != nil {
		return sched.Reason{Rule: "authorise"}, err
	}
	return c.scheduler.Explain(now, e.schedRequest), nil
}
