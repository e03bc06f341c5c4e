package daemon

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/jasminelock/jasminelock/core"
	"github.com/jasminelock/jasminelock/gateway"
	"github.com/jasminelock/jasminelock/sched"
	"github.com/jasminelock/jasminelock/wire"
)

// ticketBuffer is the number of decisions that a ticket can hold. The core has
// at most two open for one request: a Dispatch and, after it, a Finish.
const ticketBuffer = 4

// Runtime hands events to the core, one at a time, and the core's decisions to
// those who carry them out. It implements gateway.Runtime.
type Runtime struct {
	log     hclog.Logger
	metrics *daemonMetrics
	nextID  atomic.Uint64
	work    *workQueues
	// send queues a message for another host. It never waits.
	send func(m wire.Outgoing)

	// mu is the state lock of the lock order in package blackboard. It guards
	// core and tickets.
	mu      sync.Mutex
	core    *core.Core
	tickets map[sched.RequestID]*ticket
}

type ticket struct {
	id        sched.RequestID
	decisions chan core.Decision
}

// ID implements gateway.Ticket.
func (t *ticket) ID() sched.RequestID { return t.id }

// Decisions implements gateway.Ticket.
func (t *ticket) Decisions() <-chan core.Decision { return t.decisions }

func newRuntime(log hclog.Logger, m *daemonMetrics, c *core.Core, work *workQueues, send func(wire.Outgoing)) *Runtime {
	return &Runtime{log: log, metrics: m, core: c, work: work, send: send, tickets: map[sched.RequestID]*ticket{}}
}

// NewTicket implements gateway.Runtime.
func (r *Runtime) NewTicket() gateway.Ticket {
	return &ticket{id: sched.RequestID(r.nextID.Add(1)), decisions: make(chan core.Decision, ticketBuffer)}
}

// Submit implements gateway.Runtime.
func (r *Runtime) Submit(t gateway.Ticket, req core.Request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.tickets[req.ID] = t.(*ticket)
	r.handle(core.RequestArrived{Request: req})
}

// Handle implements gateway.Runtime.
func (r *Runtime) Handle(ev core.Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.handle(ev)
}

// View runs f while no event is handled.
func (r *Runtime) View(f func(c *core.Core)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f(r.core)
}

// handle is called with mu held. It does not wait for anything: decisions on
// requests go to their tickets, all others to the work queues.
func (r *Runtime) handle(ev core.Event) {
	r.metrics.event(ev)
	for _, d := range r.core.Handle(time.Now(), ev) {
		logDecision(r.log, d)
		r.metrics.decision(d)
		switch d := d.(type) {
		case core.Dispatch:
			r.tell(d.ID, d)
		case core.Claim:
			r.tell(d.ID, d)
		case core.Finish:
			r.tell(d.ID, d)
			delete(r.tickets, d.ID)
		case core.Send:
			r.send(d.Outgoing)
		default:
			r.work.add(d)
		}
	}
}

func (r *Runtime) tell(id sched.RequestID, d core.Decision) {
	if t, ok := r.tickets[id]; ok {
		t.decisions <- d
	}
}

// InFlight returns how many requests have not ended.
func (r *Runtime) InFlight() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.tickets)
}
