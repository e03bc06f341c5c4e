package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"github.com/jasminelock/jasminelock/bench"
)

// errBoundBroken makes the command exit with 1.
var errBoundBroken = errors.New("a bound is broken")

func benchCommand() *cobra.Command {
	var o bench.Options
	var asJSON bool
	cmd := &cobra.Command{
		Use:   "bench",
		Short: "Measure the policy on virtual time beside baselines",
		Args:  cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			results, err := bench.RunAll(o)
			if err != nil {
				return err
			}
			if asJSON {
				err = json.NewEncoder(os.Stdout).Encode(results)
			} else {
				err = bench.WriteTable(os.Stdout, results)
			}
			if err != nil {
				return err
			}
			return report(bench.Broken(results))
		},
	}
	f := cmd.Flags()
	f.BoolVar(&asJSON, "json", false, "print JSON")
	f.StringVar(&o.Deployment, "deployment", "", "one deployment only")
	f.StringVar(&o.Scenario, "scenario", "", "one scenario only")
	f.StringVar(&o.Policy, "policy", "", "one policy only")
	f.Uint64Var(&o.Seed, "seed", 1, "seed of the workload")
	return cmd
}

// report prints broken bounds on standard error.
func report(broken []string) error {
	if len(broken) == 0 {
		return nil
	}
	for _, b := range broken {
		fmt.Fprintln(os.Stderr, "bound broken:", b)
	}
	return errBoundBroken
}
