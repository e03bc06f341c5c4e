// Package sched decides which upstream runs each request, in which order
// waiting requests are served, and which adapters are loaded where.
//
// It is a pure state machine: events and the time go in, decisions come out.
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

// RequestID names a request on this host.
type RequestID uint64

// OrderID names an order on this host.
type OrderID uint64

// Request is what the scheduler needs to know of a request.
type Request struct {
	ID           RequestID
	Organisation string
	// Adapter with its version, for an engine. Empty for a plain service.
	Adapter record.AdapterRef
	// Model is the base model of an engine's request.
	Model string
	// Pool is the pool of a plain service's request.
	Pool     string
	Priority record.Priority
	// Tokens is the expected cost, prompt and answer together.
	Tokens int64
	// Prefix is a hash of the start of the prompt, 0 where there is none.
	Prefix uint64
	// Deadline is when the caller stops waiting.
	Deadline time.Time
	// Avoid names upstreams that have failed the request.
	Avoid []string
}

// AttemptEnd tells the scheduler that an upstream no longer works on a request.
type AttemptEnd struct {
	ID       RequestID
	Upstream string
	Outcome  request.Outcome
	// NotLoaded says that the engine did not know the adapter.
	NotLoaded bool
	// FirstToken is the time from dispatch to the start of the answer, 0 if none.
	FirstToken time.Duration
}

// OrderEnd tells the scheduler how an order ended.
type OrderEnd struct {
	ID  OrderID
	Err error
}

// Operation is what an order asks of an engine.
type Operation uint8

// The operations.
const (
	Load Operation = iota
	Unload
	SetRole
)

// String returns the operation's name in logs.
func (o Operation) String() string {
	return [...]string{"load", "unload", "role"}[o]
}

// Alternative is an upstream that a decision weighed.
type Alternative struct {
	Upstream string
	// Expected is the expected time to the first token.
	Expected time.Duration
	// Note says what spoke for or against it, such as "resident" or "leaving".
	Note string
}

// Reason says why a decision was made. It is logged and shown by explain.
type Reason struct {
	// Rule names the rule that decided.
	Rule string
	// Alternatives are the upstreams weighed, best first.
	Alternatives []Alternative
}

// Decision is what the scheduler wants done.
type Decision interface{ isDecision() }

// Dispatch gives a request to an upstream.
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

// Order gives an engine an order.
type Order struct {
	ID        OrderID
	Upstream  string
	Operation Operation
	Adapter   record.AdapterRef
	Role      string
	// Fence is the fencing number of the lease the order is given under.
	Fence int64
	// Deadline is when the order must have ended, zero for no bound. It is not
	// sent after that, and given up if it still runs.
	Deadline time.Time
	Why    Reason
}

// Send sends a message to another host.
type Send struct{ wire.Outgoing }

// ClaimLease asks for a lease of the table service, or for its renewal.
type ClaimLease struct {
	Resource string
	TTL      time.Duration
	// Fence is the fencing number held, 0 for a new claim.
	Fence int64
}

func (Dispatch) isDecision()   {}
func (Drop) isDecision()       {}
func (Order) isDecision()      {}
func (Send) isDecision()       {}
func (ClaimLease) isDecision() {}

// LeaseResult is the answer to a ClaimLease.
type LeaseResult struct {
	Resource string
	Granted  bool
	// Fence is the lease's fencing number. It grows with every new holder.
	Fence int64
	// SentAt is when the claim was sent. The lease is valid for TTL from then.
	SentAt time.Time
	TTL    time.Duration
	// Holder is who holds the lease where it was not granted.
	Holder string
}

// BudgetAnswer is the answer to Budget.TakeLoad.
type BudgetAnswer uint8

// The answers of a budget.
const (
	// BudgetRefused says that there is no budget now. Asking again soon is of
	// no use.
	BudgetRefused BudgetAnswer = iota
	// BudgetRequested says that another host is being asked. A Tick follows its
	// answer, and TakeLoad is then called again.
	BudgetRequested
	// BudgetTaken says that one load was set aside.
	BudgetTaken
)

// Budget is the weight store's budget of loads, shared by all hosts.
type Budget interface {
	// TakeLoad sets one load of the model aside, or says why it does not.
	TakeLoad(now time.Time, model string) BudgetAnswer
	// LoadEnded gives back the place in flight of a load that TakeLoad gave.
	LoadEnded(now time.Time, model string)
}

// Scheduler is driven by one goroutine at a time.
type Scheduler interface {
	// SetBudget is called once, before all else.
	SetBudget(b Budget)
	// Configure takes a new configuration.
	Configure(now time.Time, c *record.Config) []Decision
	// Members takes the hosts that are live, this one included.
	Members(now time.Time, hosts []string) []Decision
	// Enqueue takes a request, new or to be tried again.
	Enqueue(now time.Time, r Request) []Decision
	// Cancel forgets a waiting request.
	Cancel(now time.Time, id RequestID) []Decision
	// LoadReported takes an upstream's load report.
	LoadReported(now time.Time, name string, r upstream.Report) []Decision
	// CacheUpdated takes an engine's cache events.
	CacheUpdated(now time.Time, name string, events []upstream.CacheEvent) []Decision
	// Unreachable says that an upstream's report could not be read.
	Unreachable(now time.Time, name string) []Decision
	// AttemptEnded says that an attempt has ended.
	AttemptEnded(now time.Time, e AttemptEnd) []Decision
	// OrderEnded says that an order has ended.
	OrderEnded(now time.Time, e OrderEnd) []Decision
	// LeaseUpdated takes the answer to a ClaimLease.
	LeaseUpdated(now time.Time, l LeaseResult) []Decision
	// Receive takes a message from another host.
	Receive(now time.Time, from string, m wire.Message) []Decision
	// Tick lets time pass.
	Tick(now time.Time) []Decision
	// Explain says how the request would be decided now, without deciding it.
	Explain(now time.Time, r Request) Reason
}
