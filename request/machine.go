// Package request implements the state machine of one request: its current state, and what is
// known of whether an upstream executed it.
//
// The machine is the only source of what an error response says about execution. It imports no
// clock and no network.
package request

import (
	"fmt"

	"github.com/jasminelock/jasminelock/apierr"
)

// State is the state of a request.
type State uint8

// The states, in the order in which a request passes through them. Done and Failed are final.
const (
	// Received is the state of a request that has been parsed.
	Received State = iota
	// Authorised is the state of a request whose key may use the resources that it names.
	Authorised
	// Reserved is the state of a request for which tokens are set aside from its
	// organisation's rate.
	Reserved
	// Claiming is the state of a request whose idempotency key is being recorded.
	Claiming
	// Queued is the state of a request that waits for an upstream.
	Queued
	// BackingOff is the state of a request that waits before it is retried.
	BackingOff
	// Dispatched is the state of a request that has been sent to an upstream.
	Dispatched
	// Streaming is the state of a request whose answer has started to arrive.
	Streaming
	// Done is the state of a request whose answer is complete.
	Done
	// Failed is the state of a request that has ended in an error.
	Failed
)

var stateNames = [...]string{
	"received", "authorised", "reserved", "claiming", "queued", "backing_off", "dispatched", "streaming", "done", "failed",
}

// String returns the state's name in logs.
func (s State) String() string { return stateNames[s] }

// successors lists the states that may follow each state. Final states have none.
var successors = map[State][]State{
	Received:   {Authorised, Failed},
	Authorised: {Reserved, Failed},
	Reserved:   {Claiming, Queued, BackingOff, Failed},
	Claiming:   {Queued, BackingOff, Done, Failed},
	Queued:     {Dispatched, Failed},
	BackingOff: {Queued, Failed},
	Dispatched: {Streaming, Queued, BackingOff, Done, Failed},
	Streaming:  {Done, Failed},
}

// Outcome is the result of one attempt.
type Outcome uint8

// The outcomes of an attempt.
const (
	// Completed means that the whole answer was received.
	Completed Outcome = iota
	// NotExecuted means that the attempt did not reach the upstream, or that the upstream
	// reported that it did not execute it.
	NotExecuted
	// Lost means that the attempt was sent and it is not known whether it was executed.
	Lost
	// Interrupted means that the answer was interrupted after it had started.
	Interrupted
	// Errored means that the attempt was executed, and that its answer is an error or cannot be relayed.
	Errored
	// Rejected means that the upstream refused the request as invalid.
	Rejected
	// CallerLeft means that the attempt was cancelled because the caller had disconnected.
	CallerLeft
)

var outcomeNames = [...]string{"completed", "not_executed", "lost", "cut", "errored", "rejected", "caller_left"}

// String returns the outcome's name in logs.
func (o Outcome) String() string { return outcomeNames[o] }

// Machine is the state machine of one request. The zero value is a request that has been
// received and not executed. A Machine must not be used concurrently.
type Machine struct {
	state    State
	ran      apierr.Ran
	attempts int
}

// State returns the current state.
func (m *Machine) State() State { return m.state }

// Ran returns what is known of the request's execution.
func (m *Machine) Ran() apierr.Ran { return m.ran }

// Attempts returns how many times the request was dispatched.
func (m *Machine) Attempts() int { return m.attempts }

// Final reports whether the request is in a final state.
func (m *Machine) Final() bool { return m.state == Done || m.state == Failed }

// TransitionTo moves the machine to state s. It panics if s may not follow the current state.
func (m *Machine) TransitionTo(s State) {
	for _, allowed := range successors[m.state] {
		if s == allowed {
			m.enter(s)
			return
		}
	}
	panic(fmt.Sprintf("request: invalid transition: state %s may not follow state %s", s, m.state))
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

// AttemptEnded records what an attempt's outcome shows about execution. It does not change the
// state: the caller then moves the machine to Queued, BackingOff, Done or Failed. ranBefore is
// the value of Ran when the attempt was dispatched. If no answer had started, an
// attempt that was not executed or was rejected restores that value, so that the uncertainty
// of earlier attempts remains.
func (m *Machine) AttemptEnded(o Outcome, ranBefore apierr.Ran) {
	switch o {
	case NotExecuted, Rejected:
		if m.state == Dispatched {
			m.ran = ranBefore
		}
	case Completed, Interrupted, Errored:
		m.ran = apierr.HasRun
	case Lost, CallerLeft:
		m.ran = max(m.ran, apierr.MayHaveRun)
	}
}

// MayRetry reports whether the request may be dispatched again. It may not once its
// answer has started. A request that is not repeatable may only be dispatched again if no
// upstream can have executed it.
func (m *Machine) MayRetry(repeatable, answerStarted bool) bool {
	if answerStarted {
		return false
	}
	return repeatable || m.ran == apierr.NotRun
}
