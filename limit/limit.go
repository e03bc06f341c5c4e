// Package limit counts each organisation's rate and burst in tokens over all
// hosts together.
package limit

import (
	"time"

	"github.com/jasminelock/jasminelock/record"
	"github.com/jasminelock/jasminelock/store"
	"github.com/jasminelock/jasminelock/wire"
)

// Verdict is the answer to a reservation.
type Verdict struct {
	// OK says that the tokens were set aside.
	OK bool
	// Pending says that a Resolved decision with this Ticket will bring the verdict,
	// within MaxWait.
	Pending   bool
	Ticket Ticket
	// OverBurst says that the request can never be admitted: it costs more than
	// the organisation's burst.
	OverBurst bool
	// Exhausted says that the organisation's tokens are known to be used up. A
	// refusal without it means that no host in reach can tell.
	Exhausted bool
	// RetryAfter is when the same reservation is expected to succeed.
	RetryAfter time.Duration
	// Remaining and Limit are told to callers in x-ratelimit headers, in tokens.
	Remaining int64
	Limit     int64
}

// MaxWait bounds how long a reservation waits for another host's answer, all
// asks together.
const MaxWait = 500 * time.Millisecond

// Ticket names a waiting reservation on this host.
type Ticket uint64

// Decision is what a limiter wants done: Send, Read, Commit or Resolved.
type Decision interface{ isDecision() }

// Send sends a message to another host.
type Send struct{ wire.Outgoing }

// StoreCallID names a call of the table service on this host.
type StoreCallID uint64

// Read reads a row of the table service. StoreEnded brings the answer.
type Read struct {
	ID    StoreCallID
	Table string
	Key   string
}

// Commit writes a transaction. StoreEnded brings the answer.
type Commit struct {
	ID  StoreCallID
	Txn store.Txn
}

// Resolved brings the verdict of a reservation that had to wait.
type Resolved struct {
	Ticket  Ticket
	Verdict Verdict
}

func (Send) isDecision()     {}
func (Read) isDecision()     {}
func (Commit) isDecision()   {}
func (Resolved) isDecision() {}

// StoreResult is the answer to a Read or a Commit. Err is one of the platform's
// errors; after any other than store.ErrConflict a commit may have taken
// effect.
type StoreResult struct {
	ID  StoreCallID
	Row store.Row
	Err error
}

// Limiter decides whether an organisation may spend tokens on this host.
// Implementations are driven by one goroutine at a time and import no clock.
type Limiter interface {
	// Configure takes the rates of a new configuration.
	Configure(now time.Time, rates map[string]*record.Rate) []Decision
	// UpdateHosts takes the names of the hosts that are live, this one included.
	UpdateHosts(now time.Time, hosts []string) []Decision
	// Reserve sets tokens aside for a request.
	Reserve(now time.Time, org string, tokens int64) (Verdict, []Decision)
	// Settle replaces a reservation by what was used. Less gives the rest back.
	Settle(now time.Time, org string, reserved, used int64) []Decision
	// Receive takes a message from another host.
	Receive(now time.Time, from string, m wire.Message) []Decision
	// HandleStoreResult takes the answer of the table service.
	HandleStoreResult(now time.Time, e StoreResult) []Decision
	// Leave says that this host is about to stop: it passes on what it keeps for
	// others, and goes on answering until it stops.
	Leave(now time.Time) []Decision
	// Tick lets time pass.
	Tick(now time.Time) []Decision
}
