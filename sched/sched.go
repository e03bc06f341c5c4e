// Package sched decides which upstream runs each request, in which order waiting requests are
// dispatched, and which adapters are loaded on which engine.
//
// It is a deterministic state machine: events and the current time go in, decisions come out.
// It imports no network, no operating system and no clock.
package sched

import (
	"time"

	"github.com/jasminelock/jasminelock/apierr"
	"github.com/jasminelock/jasminelock/record"
	"github.com/jasminelock/jasminelock/request"
	"github.com/jasminelock/jasminelock/upstream"
	"github.com/jasminelock/jasminelock/wire"
)

// RequestID identifies a request on this host.
type RequestID uint64

// OrderID identifies an order on this host.
type OrderID uint64

// Request holds the properties of a request that scheduling depends on.
type Request struct {
	ID           RequestID
	Organisation string
	// Adapter is the requested adapter with its version, for an engine. It is empty for a
	// request to a plain service.
	Adapter record.AdapterRef
	// Model is the base model that an engine must run, empty for a plain service.
	Model string
	// Pool is the pool of plain services, empty for an engine's request.
	Pool     string
	Priority record.Priority
	// Tokens is the expected cost in tokens, prompt and answer together.
	Tokens int64
	// Prefix is a hash of the start of the prompt, 0 if there is none.
	Prefix uint64
	// Deadline is when the caller stops waiting.
	Deadline time.Time
	// Avoid lists the names of upstreams on which the request has failed.
	Avoid []string
}

// AttemptEnd reports that an upstream no longer works on a request.
type AttemptEnd struct {
	ID       RequestID
	Upstream string
	Outcome  request.Outcome
	// NotLoaded reports that the engine did not have the adapter loaded.
	NotLoaded bool
	// FirstToken is the time from dispatch to the start of the answer, 0 if no answer started.
	FirstToken time.Duration
}

// OrderEnd reports how an order ended. Err is nil after success.
type OrderEnd struct {
	ID  OrderID
	Err error
}

// Operation is the kind of an order to an engine.
type Operation uint8

// The operations of an order.
const (
	Load Operation = iota
	Unload
	SetRole
)

// String returns the operation's name in logs.
func (o Operation) String() string {
	return [...]string{"load", "unload", "role"}[o]
}

// Alternative is an upstream that was considered for a decision.
type Alternative struct {
	Upstream string
	// Expected is the expected time to the first token.
	Expected time.Duration
	// Note is the upstream's state that counted for or against it, such as "resident" or
	// "leaving".
	Note string
}

// Reason is why a decision was made. It is logged, and returned by Explain.
type Reason struct {
	// Rule is the name of the rule that determined the decision.
	Rule string
	// Alternatives are the upstreams that were considered, best first.
	Alternatives []Alternative
}

// Decision is an action that the caller of the scheduler must carry out.
type Decision interface{ isDecision() }

// Dispatch sends a request to an upstream.
type Dispatch struct {
	ID       RequestID
	Upstream string
	Why      Reason
}

// Drop ends a waiting request with an error.
type Drop struct {
	ID  RequestID
	Err *apierr.Error
	Why Reason
}

// Order sends an order to an engine.
type Order struct {
	ID        OrderID
	Upstream  string
	Operation Operation
	Adapter   record.AdapterRef
	Role      string
	// Fence is the fencing number of the lease under which the order is issued.
	Fence int64
	// Deadline is the time by which the order must have ended; zero means no limit. After this
	// time the order is not sent, and it is cancelled if it is still running.
	Deadline time.Time
	Why      Reason
}

// Send sends a message to another host.
type Send struct{ wire.Outgoing }

// ClaimLease claims a lease from the table service or renews it.
type ClaimLease struct {
	Resource string
	TTL      time.Duration
	// Fence is the fencing number of the lease that is held, 0 for a new claim.
	Fence int64
}

func (Dispatch) isDecision()   {}
func (Drop) isDecision()       {}
func (Order) isDecision()      {}
func (Send) isDecision()       {}
func (ClaimLease) isDecision() {}

// LeaseResult is the result of a ClaimLease.
type LeaseResult struct {
	Resource string
	Granted  bool
	// Fence is the lease's fencing number. It increases with every new holder.
	Fence int64
	// SentAt is when the claim was sent. The lease is valid for TTL from then on.
	SentAt time.Time
	TTL    time.Duration
	// Holder is the host that holds the lease if it was not granted, "" if it is not known.
	Holder string
}

// BudgetAnswer is the result of Budget.TakeLoad.
type BudgetAnswer uint8

// The results of Budget.TakeLoad.
const (
	// BudgetRefused means that no budget is available now. An immediate retry is of no use.
	BudgetRefused BudgetAnswer = iota
	// BudgetRequested means that budget has been requested from another host. When that host has
	// answered, a Tick follows and TakeLoad is called again.
	BudgetRequested
	// BudgetTaken means that the budget of one load has been reserved.
	BudgetTaken
)

// Budget is the weight store's limit on loads, which all hosts share.
type Budget interface {
	// TakeLoad reserves the budget of one load of the model, or returns why it does not.
	TakeLoad(now time.Time, model string) BudgetAnswer
	// LoadEnded releases the in-flight place of a load for which TakeLoad returned
	// BudgetTaken.
	LoadEnded(now time.Time, model string)
}

// Scheduler turns events into decisions. Its methods must not be called concurrently.
type Scheduler interface {
	// SetBudget sets the budget. It is called once, before any other method.
	SetBudget(b Budget)
	// Configure applies a new configuration.
	Configure(now time.Time, c *record.Config) []Decision
	// Members applies the list of live hosts, which includes this one.
	Members(now time.Time, hosts []string) []Decision
	// Enqueue adds a request, either new or to be retried.
	Enqueue(now time.Time, r Request) []Decision
	// Cancel removes a waiting request.
	Cancel(now time.Time, id RequestID) []Decision
	// LoadReported applies an upstream's load report.
	LoadReported(now time.Time, name string, r upstream.Report) []Decision
	// CacheUpdated applies an engine's cache events.
	CacheUpdated(now time.Time, name string, events []upstream.CacheEvent) []Decision
	// Unreachable records that an upstream's report could not be read.
	Unreachable(now time.Time, name string) []Decision
	// AttemptEnded records the end of an attempt.
	AttemptEnded(now time.Time, e AttemptEnd) []Decision
	// OrderEnded records the end of an order.
	OrderEnded(now time.Time, e OrderEnd) []Decision
	// LeaseUpdated applies the result of a ClaimLease.
	LeaseUpdated(now time.Time, l LeaseResult) []Decision
	// Receive handles a message from another host.
	Receive(now time.Time, from string, m wire.Message) []Decision
	// Tick does the periodic work that is due at the given time.
	Tick(now time.Time) []Decision
	// Explain returns the reason of the decision that would be made for the request now,
	// without making it.
	Explain(now time.Time, r Request) Reason
}
