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

// ticketBuffer is the number of decisions that a ticket buffers, so that sending one does not block. At
// most two are pending for one request: a Dispatch and the Finish that follows it.
const ticketBuffer = 4

// Runtime passes events to the core, one at a time, and dispatches the core's decisions to the tickets,
// the peer links and the work queues that execute them. It implements gateway.Runtime.
type Runtime struct {
	log     hclog.Logger
	metrics *daemonMetrics
	nextID  atomic.Uint64
	work    *workQueues
	// send queues a message for another host. It never blocks.
	send func(m wire.Outgoing)

	// mu is the state lock in the lock order of package blackboard. It guards core and tickets.
	mu      sync.Mutex
	core    *core.Core
	tickets map[sched.RequestID]*ticket
}

// ticket receives the decisions on one request.
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

// View calls f with the core while no event is being handled. f must neither block nor keep c.
func (r *Runtime) View(f func(c *core.Core)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f(r.core)
}

// handle passes an event to the core and forwards the resulting decisions: those on a request to its
// ticket, messages to the peer links, all others to the work queues. It is called with mu held and never
// blocks.
func (r *Runtime) handle(ev core.Event) {
	r.metrics.recordEvent(ev)
	for _, d := range r.core.Handle(time.Now(), ev) {
		logDecision(r.log, d)
		r.metrics.countDecision(d)
		switch d := d.(type) {
		case core.Dispatch:
			r.deliver(d.ID, d)
		case core.Claim:
			r.deliver(d.ID, d)
		case core.Finish:
			r.deliver(d.ID, d)
			delete(r.tickets, d.ID)
		case core.Send:
			r.send(d.Outgoing)
		default:
			r.work.add(d)
		}
	}
}

// deliver sends a decision to the ticket of its request, if the request has not ended.
func (r *Runtime) deliver(id sched.RequestID, d core.Decision) {
	if t, ok := r.tickets[id]; ok {
		t.decisions <- d
	}
}

// InFlight returns the number of requests that have not ended.
func (r *Runtime) InFlight() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.tickets)
}
