package main

import (
	"os"

	"github.com/spf13/cobra"

	"github.com/jasminelock/jasminelock/logtrace"
)

// traceCommand returns the command that prints one request's life from the logs
// of hosts.
func traceCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "trace ID FILE...",
		Short: "Print one request's life from the logs of entry hosts",
		Long: "Print one request's life from the logs of entry hosts: what was known before its end, with its age, and\n" +
			"how it ended. Give the logs of all hosts, since another one may have decided. Ages are reckoned from the\n" +
			"times of day of the lines, which differ between hosts as far as their clocks do.",
		Args: cobra.MinimumNArgs(2),
		RunE: func(cmd *cobra.Command, args []string) error {
			var all []logtrace.Line
			for _, path := range args[1:] {
				lines, err := readLog(path)
				if err != nil {
					return err
				}
				all = append(all, lines...)
			}
			life, err := logtrace.Trace(all, args[0])
			if err != nil {
				return err
			}
			life.Write(cmd.OutOrStdout())
			return nil
		},
	}
}

func readLog(path string) ([]logtrace.Line, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer func() { _ = f.Close() }()
	return logtrace.Read(f)
}
