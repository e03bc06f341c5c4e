package settings

import (
	"fmt"
	"strings"
)

// Problem is one error in the settings.
type Problem struct {
	// File and Line are the position of the field, Line counting from 1. Both are zero
	// if the settings do not come from a file.
	File string
	Line int
	// Field is the field's path, such as "listen.callers". It is empty if the file
	// cannot be parsed.
	Field string
	// Want describes the expected value.
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

// Problems holds all errors in the settings, in the order of the file.
type Problems []Problem

// Error implements the error interface, with one problem per line.
func (p Problems) Error() string {
	lines := make([]string, 0, len(p))
	for _, problem := range p {
		lines = append(lines, problem.Error())
	}
	return strings.Join(lines, "\n")
}
