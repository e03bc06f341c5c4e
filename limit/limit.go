// Package limit enforces each organisation's rate and burst, in tokens, across
// all hosts of the fleet.
package limit

import (
	"time"

	"github.com/jasminelock/jasminelock/record"
	"github.com/jasminelock/jasminelock/store"
	"github.com/jasminelock/jasminelock/wire"
)

// Verdict is the result of a reservation.
type Verdict struct {
	// OK reports whether the tokens were reserved.
	OK bool
	// Pending reports that the result is pending: a Resolved decision with the same
	// Ticket delivers it within MaxWait.
	Pending bool
	Ticket  Ticket
	// OverBurst reports that the request can never be admitted, since it costs
	// more than the organisation's burst.
	OverBurst bool
	// Exhausted reports that the organisation's tokens are known to be used up. A
	// refusal without Exhausted means that no reachable host knows the balance.
	Exhausted bool
	// RetryAfter is the time after which the same reservation is expected to
	// succeed.
	RetryAfter time.Duration
	// Remaining and Limit are sent to callers in x-ratelimit headers, in tokens.
	Remaining int64
	Limit     int64
}

// MaxWait bounds how long a reservation waits for answers of other hosts,
// retries included.
const MaxWait = 500 * time.Millisecond

// Ticket identifies a pending reservation on this host.
type Ticket uint64

// Decision is an action that a limiter requests from its caller: Send, Read,
// Commit or Resolved.
type Decision interface{ isDecision() }

// Send sends a message to another host.
type Send struct{ wire.Outgoing }

// StoreCallID identifies a call of the table service on this host.
type StoreCallID uint64

// Read reads a row of the table service. The result is passed to
// HandleStoreResult.
type Read struct {
	ID    StoreCallID
	Table string
	Key   string
}

// Commit writes a transaction to the table service. The result is passed to
// HandleStoreResult.
type Commit struct {
	ID  StoreCallID
	Txn store.Txn
}

// Resolved delivers the result of a pending reservation.
type Resolved struct {
	Ticket  Ticket
	Verdict Verdict
}

func (Send) isDecision()     {}
func (Read) isDecision()     {}
func (Commit) isDecision()   {}
func (Resolved) isDecision() {}

// StoreResult is the result of a Read or a Commit. Err is one of the platform's
// errors. After any error other than store.ErrConflict, the commit may still
// have taken effect.
type StoreResult struct {
	ID  StoreCallID
	Row store.Row
	Err error
}

// Limiter decides whether an organisation may spend tokens on this host.
// Implementations are called by one goroutine at a time and read no clock.
type Limiter interface {
	// Configure applies the rates of a new configuration, by organisation.
	Configure(now time.Time, rates map[string]*record.Rate) []Decision
	// UpdateHosts updates the names of the live hosts, this host included.
	UpdateHosts(now time.Time, hosts []string) []Decision
	// Reserve reserves tokens for a request.
	Reserve(now time.Time, org string, tokens int64) (Verdict, []Decision)
	// Settle replaces a reservation by the tokens actually used. Unused tokens
	// are returned.
	Settle(now time.Time, org string, reserved, used int64) []Decision
	// Receive handles a message from another host.
	Receive(now time.Time, from string, m wire.Message) []Decision
	// HandleStoreResult handles the result of a table service call.
	HandleStoreResult(now time.Time, e StoreResult) []Decision
	// Leave announces that this host is about to stop: the limiter hands over the
	// state that it keeps for other hosts, and answers until the host stops.
	Leave(now time.Time) []Decision
	// Tick runs the timers that are due.
	Tick(now time.Time) []Decision
}
