package record

import (
	"fmt"
	"strings"
)

// DecodeError says which record and field is not valid.
type DecodeError struct {
	Ref   Ref
	Field string
	Want  string
}

// Error implements the error interface.
func (e *DecodeError) Error() string {
	return fmt.Sprintf("record %s: field %s: want %s", e.Ref, e.Field, e.Want)
}

// Problems are all that is wrong with a record.
type Problems []*DecodeError

// Error implements the error interface, with one problem a line.
func (p Problems) Error() string {
	lines := make([]string, 0, len(p))
	for _, one := range p {
		lines = append(lines, one.Error())
	}
	return strings.Join(lines, "\n")
}
