package settings

import (
	"fmt"
	"strings"
)

// Problem is one thing that is wrong with a settings file.
type Problem struct {
	// File and Line say where, Line counting from 1. Both are empty where the
	// settings did not come from a file.
	File string
	Line int
	// Field is the field's path, such as "listen.callers". It is empty where the
	// file as a whole cannot be read.
	Field string
	// Want says what is expected.
	Want string
}

// Error implements the error interface.
func (p Problem) Error() string {
	var b strings.Builder
	if p.File != "" {
		fmt.Fprintf(&b, "%s:%d: ", p.File, p.Line)
	}
	if p.Field != "" {
		fmt.Fprintf(&b, "field %s: ", p.Field)
	}
	b.WriteString(p.Want)
	return b.String()
}

// Problems are all that is wrong, in the order of the file.
type Problems []Problem

// Error implements the error interface, with one problem a line.
func (p Problems) Error() string {
	lines := make([]string, 0, len(p))
	for _, problem := range p {
		lines = append(lines, problem.Error())
	}
	return strings.Join(lines, "\n")
}
