package record

import (
	"fmt"
	"strings"
)

// DecodeError describes an invalid field of a record and the value expected there.
type DecodeError struct {
	Ref   Ref
	Field string
	Want  string
	// Duplicates is the record that has the value already, the zero Ref if the problem is another one.
	Duplicates Ref
}

// Error implements the error interface.
func (e *DecodeError) Error() string {
	return fmt.Sprintf("record %s: field %s: want %s", e.Ref, e.Field, e.Want)
}

// Problems are all problems found in a record.
type Problems []*DecodeError

// Error implements the error interface, with one line for each problem.
func (p Problems) Error() string {
	lines := make([]string, 0, len(p))
	for _, one := range p {
		lines = append(lines, one.Error())
	}
	return strings.Join(lines, "\n")
}
