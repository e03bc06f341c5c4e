package leader

import (
	"time"

	"github.com/jasminelock/jasminelock/assign"
)

// Ticket tracks one request.
type Ticket struct {
	request assign.Request
	// decisions is buffered for all decisions that can arrive before one is read.
	decisions chan assign.Decision
	// atLeader is set if the request was submitted to the leader, not to this host's own Assigner.
	atLeader          bool
	decided           bool
	upstream          string
	upstreamStartedAt int64
	firstByteReceived bool
	// load is what the upstream stated in the header of the present attempt's answer, nil if nothing. loadPassedOn is
	// set once it has been passed on with the first byte.
	load         *assign.Load
	loadPassedOn bool
	// grantedAt is when the request was last assigned an upstream.
	grantedAt time.Time
	// submittedAt is when the request was last submitted, by Options.Clock. held is the part of the time since then
	// for which the leader held the request before it assigned it, rateLimited whether it did so under a rate limit.
	submittedAt time.Duration
	held        time.Duration
	rateLimited bool
}

// Decisions returns the channel on which each Broker.RequestAssignment is answered with an assign.Grant or an
// assign.Refuse.
func (t *Ticket) Decisions() <-chan assign.Decision { return t.decisions }

// NewTicket returns a ticket for a request that has not been submitted yet.
func (b *Broker) NewTicket() *Ticket {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.lastNumber++
	t := &Ticket{decisions: make(chan assign.Decision, 8)}
	t.request.ID = assign.RequestID{Host: b.options.Host, Number: b.lastNumber}
	b.tickets[b.lastNumber] = t
	return t
}
