package core

import (
	"time"

	"github.com/jasminelock/jasminelock/apierr"
	"github.com/jasminelock/jasminelock/limit"
	"github.com/jasminelock/jasminelock/record"
	"github.com/jasminelock/jasminelock/sched"
	"github.com/jasminelock/jasminelock/wire"
)

// Decision is an action that the core requests. The types of this file are the complete list.
type Decision interface{ isDecision() }

// Dispatch sends a request to an upstream.
type Dispatch struct {
	ID       sched.RequestID
	Upstream *record.Upstream
	// Adapter is the adapter version that the engine runs the request on.
	Adapter record.AdapterRef
	// Route is the route of a call to a plain service, nil for an engine.
	Route *record.Route
	// Attempt is the number of the attempt, from 1.
	Attempt int
	// Repeatable is set if the request may be executed more than once.
	Repeatable bool
	Quota      Quota
	Why        sched.Reason
}

// Claim requests that the idempotency key of a request be recorded before its dispatch.
type Claim struct {
	ID  sched.RequestID
	Key string
	// Organisation owns the key: two organisations may use the same key.
	Organisation string
	// Fingerprint distinguishes the request from another one with the same key.
	Fingerprint Fingerprint
	Deadline    time.Time
	Quota       Quota
}

// Finish ends a request. Err is nil if the complete answer was delivered.
type Finish struct {
	ID    sched.RequestID
	Err   *apierr.Error
	Quota Quota
	Why   sched.Reason
}

// Order sends an order to an engine.
type Order struct {
	Upstream *record.Upstream
	// Source is the name of the adapter in the weight store, set for a load.
	Source string
	Order  sched.Order
}

// Send sends a message to another host.
type Send struct{ wire.Outgoing }

// ClaimLease claims a lease in the table service.
type ClaimLease struct{ sched.ClaimLease }

// StoreRead reads a row of the table service on behalf of the limiter.
type StoreRead struct{ limit.Read }

// StoreCommit commits a transaction to the table service on behalf of the limiter.
type StoreCommit struct{ limit.Commit }

func (Dispatch) isDecision()    {}
func (Claim) isDecision()       {}
func (StoreRead) isDecision()   {}
func (StoreCommit) isDecision() {}
func (Finish) isDecision()      {}
func (Order) isDecision()       {}
func (Send) isDecision()        {}
func (ClaimLease) isDecision()  {}

// decisions collects the decisions that result from one event.
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
