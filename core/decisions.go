package core

import (
	"time"

	"github.com/jasminelock/jasminelock/apierr"
	"github.com/jasminelock/jasminelock/limit"
	"github.com/jasminelock/jasminelock/record"
	"github.com/jasminelock/jasminelock/sched"
	"github.com/jasminelock/jasminelock/wire"
)

// Decision is what the core wants done. The types of this file are
// the closed list.
type Decision interface{ isDecision() }

// Dispatch gives a request to an upstream.
type Dispatch struct {
	ID       sched.RequestID
	Upstream *record.Upstream
	// Adapter is the adapter version that an engine runs the request on.
	Adapter record.AdapterRef
	// Route is the route of a plain service's call, nil for an engine.
	Route *record.Route
	// Attempt counts the request's attempts, from 1.
	Attempt int
	// Repeatable says that the request may be executed more than once.
	Repeatable bool
	Quota      Quota
	Why        sched.Reason
}

// Claim asks that a request's idempotency key be recorded before dispatch.
type Claim struct {
	ID  sched.RequestID
	Key string
	// Organisation owns the key: two organisations may use the same one.
	Organisation string
	// Fingerprint tells the request from another one under the same key.
	Fingerprint Fingerprint
	Deadline    time.Time
	Quota       Quota
}

// Finish ends a request: Err is nil where the whole answer was given.
type Finish struct {
	ID    sched.RequestID
	Err   *apierr.Error
	Quota Quota
	Why   sched.Reason
}

// Order gives an engine an order.
type Order struct {
	Upstream *record.Upstream
	// Source is the adapter's name in the weight store, for a load.
	Source string
	Order  sched.Order
}

// Send sends a message to another host.
type Send struct{ wire.Outgoing }

// ClaimLease asks the table service for a lease.
type ClaimLease struct{ sched.ClaimLease }

// StoreRead reads a row of the table service for the limiter.
type StoreRead struct{ limit.Read }

// StoreCommit writes a transaction of the table service for the limiter.
type StoreCommit struct{ limit.Commit }

func (Dispatch) isDecision()    {}
func (Claim) isDecision()       {}
func (StoreRead) isDecision()   {}
func (StoreCommit) isDecision() {}
func (Finish) isDecision()      {}
func (Order) isDecision()       {}
func (Send) isDecision()        {}
func (ClaimLease) isDecision()  {}

// decisions collects the decisions of one event.
type decisions []Decision

func (d *decisions) addLimiter(from []limit.Decision) {
	for _, l := range from {
		switch l := l.(type) {
		case limit.Send:
			*d = append(*d, Send{l.Outgoing})
		case limit.Read:
			*d = append(*d, StoreRead{l})
		case limit.Commit:
			*d = append(*d, StoreCommit{l})
		}
	}
}

func (d *decisions) finish(e *entry, err *apierr.Error, rule string) {
	*d = append(*d, Finish{ID: e.request.ID, Err: err, Quota: e.quota, Why: sched.Reason{Rule: rule}})
}
