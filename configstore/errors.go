package configstore

import (
	"fmt"

	"github.com/jasminelock/jasminelock/record"
	"github.com/jasminelock/jasminelock/store"
)

// ConflictError means that a record has changed since the operator read it.
// Nothing was written.
type ConflictError struct {
	Ref      record.Ref
	Expected store.Position
	Found    store.Position
}

// Error implements the error interface.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("conflict: record %s is at revision %d, not %d: read it again", e.Ref, e.Found, e.Expected)
}

// UnknownOutcomeError means that a commit was sent, that its reply was lost, and
// that it could not be determined whether the commit took effect.
type UnknownOutcomeError struct {
	Operation string
	Cause     error
}

// Error implements the error interface.
func (e *UnknownOutcomeError) Error() string {
	return fmt.Sprintf("the change may have been made: send it again with operation id %s, it will not be made twice (%s)", e.Operation, e.Cause)
}

// Unwrap returns the error that left the outcome unknown.
func (e *UnknownOutcomeError) Unwrap() error { return e.Cause }

// OperationReusedError means that an operation id was used for a different change.
// Nothing was written.
type OperationReusedError struct {
	Operation string
	Revision  store.Position
}

// Error implements the error interface.
func (e *OperationReusedError) Error() string {
	return fmt.Sprintf("operation id %s belongs to another change, of revision %d", e.Operation, e.Revision)
}

// ReferenceError lists the problems that the change would introduce: invalid records
// or, if there are none, references to missing records and secrets shared by two
// keys. Nothing was written.
type ReferenceError struct{ Problems []error }

// Error implements the error interface, with one problem a line.
func (e *ReferenceError) Error() string {
	text := "the change would introduce invalid records or references:"
	for _, p := range e.Problems {
		text += "\n" + p.Error()
	}
	return text
}
