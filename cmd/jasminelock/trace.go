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
		Long: "Print one request's life from the logs of entry hosts: the information known before its end, with its\n" +
			"age, and how it ended. Name the logs of all hosts, since another host may have made a decision. Ages are\n" +
			"computed from the timestamps of the lines and are off by the difference between the hosts' clocks.",
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
