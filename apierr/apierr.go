// Package apierr defines the kinds of errors that callers can receive, and the table with
// the response of each kind. No other kinds exist.
//
// Every error response of the project is an *Error. Its Kind selects a row of the table;
// its Ran is what is known about the request's execution. The table limits the values of
// Ran that a kind may have, so that a kind that means "not run" cannot be used once a byte
// of the request may have left the host.
package apierr

import (
	"fmt"
	"time"
)

// Ran is what is known about the execution of a request by an upstream.
type Ran uint8

// The values of Ran, in the order in which a request can have them.
const (
	// NotRun means that the request was not sent to any upstream, or that the upstream
	// reported that it did not execute it.
	NotRun Ran = iota
	// MayHaveRun means that the request was sent to an upstream and that it is not known
	// whether it was executed.
	MayHaveRun
	// HasRun means that an upstream executed the request, completely or in part.
	HasRun
)

// String returns the name in error bodies and logs, "unknown" for an undefined value.
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

// Error is an error response to a caller.
type Error struct {
	// Kind selects the row of the table of kinds.
	Kind Kind
	// Ran is what is known about the request's execution.
	Ran Ran
	// Detail is appended to the kind's message. It must not contain a key or a prompt.
	Detail string
	// Param is the name of the invalid request field in the OpenAI error body, "" for none.
	Param string
	// RetryAfter is the time after which the caller may retry. Zero leaves the choice to
	// the code that writes the response: a default, or no Retry-After header.
	RetryAfter time.Duration
}

// New returns an error of the given kind with Ran set to NotRun. The format and its
// arguments make the detail.
func New(kind Kind, format string, args ...any) *Error {
	return &Error{Kind: kind, Ran: NotRun, Detail: fmt.Sprintf(format, args...)}
}

// WithRan returns a copy of the error with Ran set to ran. It panics if the kind's row does
// not allow ran.
func (e *Error) WithRan(ran Ran) *Error {
	if !e.Kind.Definition().Allows(ran) {
		panic(fmt.Sprintf("apierr: an error of kind %s must not have ran = %s", e.Kind, ran))
	}
	c := *e
	c.Ran = ran
	return &c
}

// WithRetryAfter returns a copy of the error with RetryAfter set to d.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	c := *e
	c.RetryAfter = d
	return &c
}

// WithParam returns a copy of the error with Param set to the name of the invalid field.
func (e *Error) WithParam(param string) *Error {
	c := *e
	c.Param = param
	return &c
}

// Message returns the message in the error body: the kind's message, and the detail if
// there is one.
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
