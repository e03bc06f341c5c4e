// Package apierr holds the closed list of errors that a caller can be given,
// and the one table that says how each is answered.
//
// Every refusal in the project is an *Error. Its Kind selects a row of the
// table; its Ran says what is known of the request's execution. The table
// limits which values of Ran a kind may carry, so that a kind which claims
// "not run" cannot be used once a byte may have left the host.
package apierr

import (
	"fmt"
	"time"
)

// Ran says what is known of whether a request was executed by an upstream.
type Ran uint8

// The values of Ran, in the order in which a request can pass through them.
const (
	// NotRun means that no upstream has been given the request, or that the
	// upstream it was given to has said that it did not execute it.
	NotRun Ran = iota
	// MayHaveRun means that an upstream was given the request and its outcome
	// is not known.
	MayHaveRun
	// HasRun means that an upstream has executed the request, wholly or in part.
	HasRun
)

// String returns the name used in error bodies and logs.
func (r Ran) String() string {
	switch r {
	case NotRun:
		return "not_run"
	case MayHaveRun:
		return "may_have_run"
	case HasRun:
		return "ran"
	}
	return "unknown"
}

// Error is a refusal or a failure as it is told to a caller.
type Error struct {
	// Kind selects the row of the table.
	Kind Kind
	// Ran is what is known of the request's execution.
	Ran Ran
	// Detail is added to the kind's message. It must not hold a key or a prompt.
	Detail string
	// Param names the request field at fault, in the OpenAI error body.
	Param string
	// RetryAfter is when to come back, counted from now. Zero means that the
	// answer carries no Retry-After header.
	RetryAfter time.Duration
}

// New returns an error of the given kind for a request that has not run.
func New(kind Kind, format string, args ...any) *Error {
	return &Error{Kind: kind, Ran: NotRun, Detail: fmt.Sprintf(format, args...)}
}

// WithRan returns a copy of the error that carries ran.
// It panics where the kind's row does not allow ran.
func (e *Error) WithRan(ran Ran) *Error {
	if !e.Kind.Definition().Allows(ran) {
		panic(fmt.Sprintf("apierr: kind %s may not say %s", e.Kind, ran))
	}
	c := *e
	c.Ran = ran
	return &c
}

// WithRetryAfter returns a copy of the error that tells the caller when to
// come back.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	c := *e
	c.RetryAfter = d
	return &c
}

// WithParam returns a copy of the error that names the request field at fault.
func (e *Error) WithParam(param string) *Error {
	c := *e
	c.Param = param
	return &c
}

// Message is the text told to the caller.
func (e *Error) Message() string {
	m := e.Kind.Definition().Message
	if e.Detail == "" {
		return m
	}
	return m + ": " + e.Detail
}

// Error implements the error interface.
func (e *Error) Error() string {
	return fmt.Sprintf("%s (%s): %s", e.Kind, e.Ran, e.Message())
}
