package main

import (
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/google/uuid"

	"github.com/jasminelock/jasminelock/configstore"
	"github.com/jasminelock/jasminelock/record"
	"github.com/jasminelock/jasminelock/store"
)

// Output formats.
const (
	formatTable = "table"
	formatJSON  = "json"
)

// options are the values of the flags that all commands share.
type options struct {
	platform string
	output   string
	operator string
}

// tables returns a client of the platform's table service.
func (o *options) tables() (store.TableService, error) {
	if o.platform == "" {
		return nil, invalid("want the platform's address: --platform http://ip:port, or JASMINELOCK_PLATFORM")
	}
	return store.NewClient(o.platform, store.DefaultTimeout), nil
}

// change returns a change that writes the records. It generates an operation id
// if the given one is empty.
func (o *options) change(operation string, records []record.Envelope) configstore.Change {
	if operation == "" {
		operation = uuid.NewString()
	}
	return configstore.Change{Operation: operation, Operator: o.operator, Time: time.Now().UTC().Format(time.RFC3339), Records: records}
}

// table is the output of a command as rows.
type table struct {
	header []any
	rows   [][]any
}

// show writes the value as JSON or its table as text, as --output demands.
func (o *options) show(w io.Writer, value any, t table) error {
	switch o.output {
	case formatJSON:
		e := json.NewEncoder(w)
		e.SetIndent("", "  ")
		e.SetEscapeHTML(false)
		return e.Encode(value)
	case formatTable:
		return t.write(w)
	}
	return invalid("--output: want json or table, not %q", o.output)
}

func (t table) write(w io.Writer) error {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for _, row := range append([][]any{t.header}, t.rows...) {
		for i, cell := range row {
			if i > 0 {
				_, _ = fmt.Fprint(tw, "\t")
			}
			_, _ = fmt.Fprint(tw, cell)
		}
		_, _ = fmt.Fprintln(tw)
	}
	return tw.Flush()
}
