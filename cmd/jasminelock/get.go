package main

import (
	"fmt"
	"slices"
	"strings"

	"github.com/spf13/cobra"

	"github.com/jasminelock/jasminelock/configstore"
	"github.com/jasminelock/jasminelock/record"
)

func getCommand(o *options) *cobra.Command {
	return &cobra.Command{
		Use:   "get [kind[/name]]",
		Short: "Show records",
		Long:  "Show records. The output of --output json can be edited and passed to apply, which refuses the change\nif a record has been changed since it was read.",
		Args:  cobra.MaximumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			var kind record.Kind
			name, named := "", false
			if len(args) == 1 {
				k, n, found := strings.Cut(args[0], "/")
				kind, name, named = record.Kind(k), n, found
			}
			if kind != "" && !slices.Contains(record.Kinds(), kind) {
				return invalid("kind %q: want one of %v", kind, record.Kinds())
			}
			records, err := o.fetch(cmd, record.Ref{Kind: kind, Name: name}, named)
			if err != nil {
				return err
			}
			return o.show(cmd.OutOrStdout(), records, recordTable(records))
		},
	}
}

// fetch returns the record ref if named is true, else all records of ref's kind,
// or of every kind if the kind is empty. Deleted records are left out; asking for
// one by name is an error.
func (o *options) fetch(cmd *cobra.Command, ref record.Ref, named bool) ([]record.Envelope, error) {
	t, err := o.tables()
	if err != nil {
		return nil, err
	}
	if named {
		e, err := configstore.Get(cmd.Context(), t, ref)
		if err != nil || e.Deleted {
			return nil, fmt.Errorf("record %s: %w", ref, notFound(err))
		}
		return []record.Envelope{e}, nil
	}
	records := []record.Envelope{}
	err = configstore.List(cmd.Context(), t, ref.Kind, func(page []record.Envelope) error {
		for _, e := range page {
			if !e.Deleted {
				records = append(records, e)
			}
		}
		return nil
	})
	return records, err
}

func recordTable(records []record.Envelope) table {
	t := table{header: []any{"KIND", "NAME", "SCHEMA", "REVISION", "SPEC"}}
	for _, e := range records {
		t.rows = append(t.rows, []any{e.Kind, e.Name, e.Schema, e.Revision, string(e.Spec)})
	}
	return t
}

// historyLimit is the default number of changes shown.
const historyLimit = 20

func historyCommand(o *options) *cobra.Command {
	var limit int
	cmd := &cobra.Command{
		Use:   "history",
		Short: "Show the newest changes",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			t, err := o.tables()
			if err != nil {
				return err
			}
			changes, err := configstore.History(cmd.Context(), t, limit)
			if err != nil {
				return err
			}
			return o.show(cmd.OutOrStdout(), changes, historyTable(changes))
		},
	}
	cmd.Flags().IntVar(&limit, "limit", historyLimit, "number of changes")
	return cmd
}

func historyTable(changes []configstore.Change) table {
	t := table{header: []any{"REVISION", "TIME", "OPERATOR", "OPERATION", "RECORDS"}}
	for _, c := range changes {
		names := make([]string, 0, len(c.Records))
		for _, e := range c.Records {
			names = append(names, e.Ref().String())
		}
		t.rows = append(t.rows, []any{c.Revision, c.Time, c.Operator, c.Operation, strings.Join(names, " ")})
	}
	return t
}
