// Package core is the seam of every decision that a host makes: events go in,
// decisions come out.
//
// The daemon, the tests and the policy benchmark drive the same Core. It holds
// each request's state machine and composes the limiter and the scheduler. It
// imports no network, no operating system and no clock, and it starts no
// goroutine. Handle must be called by one goroutine at a time.
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

// Core is one host's decisions.
type Core struct {
	board     *blackboard.Board
	limiter   limit.Limiter
	scheduler sched.Scheduler
	config    *record.Config
	requests  map[sched.RequestID]*entry
	budget    loadBudget
	waiting   waiting
	draining  bool
	// freshness says until when the configuration may be taken to be in force.
	freshness freshness
	// rosterSeen says that the roster, not the host list, tells who is live.
	rosterSeen bool

	random     *rand.Rand
	retries    retryBudget
	backingOff []sched.RequestID
	crashes    crashWatch
}

// Options are the parts that a Core is made of.
type Options struct {
	Board     *blackboard.Board
	Limiter   limit.Limiter
	Scheduler sched.Scheduler
	// Random spreads retries. Nil takes a source with a fixed seed.
	Random *rand.Rand
	// Host is this host's name among those of the host list.
	Host string
}

// New returns a core without configuration.
func New(o Options) *Core {
	c := &Core{
		board:     o.Board,
		limiter:   o.Limiter,
		scheduler: o.Scheduler,
		config:    record.NewConfig(),
		requests:  map[sched.RequestID]*entry{},
		random:    o.Random,
		retries:   newRetryBudget(),
		crashes:   newCrashWatch(o.Host),
	}
	if c.random == nil {
		c.random = rand.New(rand.NewPCG(1, 1))
	}
	c.budget = newLoadBudget(o.Limiter)
	c.scheduler.SetBudget(&c.budget)
	c.waiting.tickets = map[limit.Ticket]waitingRequest{}
	return c
}

// Handle takes an event and returns what is to be done, in order.
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
	c.limited(c.budget.take(), &out)
	c.onResolved(now, &out)
	return out
}

// InFlight returns how many requests have not ended.
func (c *Core) InFlight() int { return len(c.requests) }

// Explain says how a request would be decided now, without deciding it.
func (c *Core) Explain(now time.Time, r Request) (sched.Reason, *apierr.Error) {
	e := &entry{request: r}
	if err := c.authorise(now, e); err != nil {
		return sched.Reason{Rule: "authorise"}, err
	}
	return c.scheduler.Explain(now, e.work), nil
}
