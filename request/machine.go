// Package request holds the state machine of one request: which steps it has
// passed, and what is known of whether an upstream executed it.
//
// The machine is the only source of what a refusal says about execution. It
// imports no clock and no network.
package request

import (
	"fmt"

	"github.com/jasminelock/jasminelock/apierr"
)

// State is a step of a request's life.
type State uint8

// The states, in order. Failed and Done are final.
const (
	// Received requests have been parsed.
	Received State = iota
	// Authorised requests have a key that may use what they ask for.
	Authorised
	// Reserved requests have tokens set aside from their organisation's rate.
	Reserved
	// Claiming requests wait for their idempotency key to be recorded.
	Claiming
	// Queued requests wait for an upstream.
	Queued
	// BackingOff requests wait before they are tried again.
	BackingOff
	// Dispatched requests have been given to an upstream.
	Dispatched
	// Streaming requests have received the start of an answer.
	Streaming
	// Done requests have had their whole answer.
	Done
	// Failed requests have had their final error.
	Failed
)

var stateNames = [...]string{"received", "authorised", "reserved", "claiming", "queued", "backing_off", "dispatched", "streaming", "done", "failed"}

// String returns the state's name in logs.
func (s State) String() string { return stateNames[s] }

// next lists the states that may follow each state.
var next = map[State][]State{
	Received:   {Authorised, Failed},
	Authorised: {Reserved, Failed},
	Reserved:   {Claiming, Queued, BackingOff, Failed},
	Claiming:   {Queued, BackingOff, Done, Failed},
	Queued:     {Dispatched, Failed},
	BackingOff: {Queued, Failed},
	Dispatched: {Streaming, Queued, BackingOff, Done, Failed},
	Streaming:  {Done, Failed},
}

// Outcome is how one attempt ended.
type Outcome uint8

// The outcomes of an attempt.
const (
	// Completed attempts gave the whole answer.
	Completed Outcome = iota
	// NotExecuted attempts did not reach the upstream, or the upstream said
	// that it did not execute them.
	NotExecuted
	// Lost attempts were sent and nothing is known of their execution.
	Lost
	// Interrupted attempts broke off after the start of the answer.
	Interrupted
	// Errored attempts were executed and ended in the upstream's own error.
	Errored
	// Rejected attempts were refused by the upstream as not valid.
	Rejected
	// CallerLeft attempts were cancelled since the caller had disconnected.
	CallerLeft
)

var outcomeNames = [...]string{"completed", "not_executed", "lost", "cut", "errored", "rejected", "caller_left"}

// String returns the outcome's name in logs.
func (o Outcome) String() string { return outcomeNames[o] }

// Machine is one request's state. The zero value is a received request that
// has not run. It must not be used by two goroutines at once.
type Machine struct {
	state    State
	ran      apierr.Ran
	attempts int
}

// State returns the current state.
func (m *Machine) State() State { return m.state }

// Ran returns what is known of the request's execution.
func (m *Machine) Ran() apierr.Ran { return m.ran }

// Attempts returns how many times the request was given to an upstream.
func (m *Machine) Attempts() int { return m.attempts }

// Final reports whether the request has ended.
func (m *Machine) Final() bool { return m.state == Done || m.state == Failed }

// TransitionTo moves the machine to a state. It panics where the state may not follow.
func (m *Machine) TransitionTo(s State) {
	for _, allowed := range next[m.state] {
		if s == allowed {
			m.enter(s)
			return
		}
	}
	panic(fmt.Sprintf("request: %s may not follow %s", s, m.state))
}

func (m *Machine) enter(s State) {
	m.state = s
	if s == Dispatched {
		m.attempts++
		m.ran = max(m.ran, apierr.MayHaveRun)
	}
	if s == Streaming {
		m.ran = apierr.HasRun
	}
}

// AttemptEnded records what an attempt's outcome says of execution. It changes
// no state: the caller then moves to Queued, Done or Failed.
// An attempt that was not executed takes back only its own doubt: before is
// the value of Ran when the attempt was dispatched.
func (m *Machine) AttemptEnded(o Outcome, before apierr.Ran) {
	switch o {
	case NotExecuted, Rejected:
		if m.state == Dispatched {
			m.ran = before
		}
	case Completed, Interrupted, Errored:
		m.ran = apierr.HasRun
	case Lost, CallerLeft:
		m.ran = max(m.ran, apierr.MayHaveRun)
	}
}

// MayRetry reports whether the request may be given to an upstream again.
func (m *Machine) MayRetry(repeatable, answerStarted bool) bool {
	if answerStarted {
		return false
	}
	return repeatable || m.ran == apierr.NotRun
}
