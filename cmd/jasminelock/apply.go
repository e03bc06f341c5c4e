package main

import (
	"fmt"

	"github.com/spf13/cobra"

	"github.com/jasminelock/jasminelock/configstore"
)

// changeResult is the result of writing a change.
type changeResult struct {
	Revision  int64  `json:"revision"`
	Operation string `json:"operation"`
	Records   int    `json:"records"`
}

func (a changeResult) table() table {
	return table{header: []any{"REVISION", "RECORDS", "OPERATION"}, rows: [][]any{{a.Revision, a.Records, a.Operation}}}
}

func applyCommand(o *options) *cobra.Command {
	var file, operation string
	var dryRun bool
	cmd := &cobra.Command{
		Use:   "apply -f records.jsonc",
		Short: "Write records in one change",
		Long: "Write records in one atomic change. A record that states a revision is written only if it is still at\n" +
			"that revision. If the outcome of a change is unknown, send it again with the operation id that the\n" +
			"error names: it takes effect only once.",
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			f, err := readRecords(file)
			if err != nil {
				return err
			}
			for _, w := range f.warnings {
				cmd.PrintErrln("Warning:", w)
			}
			if dryRun {
				return showDryRun(cmd, o, f)
			}
			return apply(cmd, o, f, operation)
		},
	}
	cmd.Flags().StringVarP(&file, "file", "f", "", "file of records, JSON with comments")
	cmd.Flags().BoolVar(&dryRun, "dry-run", false, "check the change and show its effect without writing it")
	cmd.Flags().StringVar(&operation, "operation", "", "operation id of a change that is sent again")
	_ = cmd.MarkFlagRequired("file")
	return cmd
}

func apply(cmd *cobra.Command, o *options, f *recordFile, operation string) error {
	t, err := o.tables()
	if err != nil {
		return err
	}
	c := o.change(operation, f.records)
	revision, err := configstore.NewWriter(t, configstore.CheckReferences(t, f.records)).Write(cmd.Context(), c)
	if err != nil {
		return fmt.Errorf("apply: %w", err)
	}
	result := changeResult{Revision: revision, Operation: c.Operation, Records: len(f.records)}
	return o.show(cmd.OutOrStdout(), result, result.table())
}

func showDryRun(cmd *cobra.Command, o *options, f *recordFile) error {
	t, err := o.tables()
	if err != nil {
		return err
	}
	differences, err := diff(cmd.Context(), t, f.records)
	if err != nil {
		return err
	}
	if err := o.show(cmd.OutOrStdout(), differences, diffTable(differences)); err != nil {
		return err
	}
	return configstore.Verify(cmd.Context(), t, f.records)
}
