package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"github.com/jasminelock/jasminelock/bench"
	"github.com/jasminelock/jasminelock/capacity"
)

// errBoundBroken makes the command exit with code 1.
var errBoundBroken = errors.New("a bound is broken")

func benchCommand() *cobra.Command {
	var o bench.Options
	var asJSON, measureCapacity bool
	cmd := &cobra.Command{
		Use:   "bench",
		Short: "Measure the policy and its baselines on virtual time",
		Args:  cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			if measureCapacity {
				return printCapacity(asJSON)
			}
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
			return reportBroken(bench.BrokenBounds(results))
		},
	}
	f := cmd.Flags()
	f.BoolVar(&asJSON, "json", false, "print JSON")
	f.BoolVar(&measureCapacity, "capacity", false, "measure the cost of a host's mechanisms and extrapolate it to the design scale")
	f.StringVar(&o.Deployment, "deployment", "", "run only these deployments, separated by commas")
	f.StringVar(&o.Scenario, "scenario", "", "run only these scenarios, separated by commas")
	f.StringVar(&o.Policy, "policy", "", "run only these policies, separated by commas")
	f.Uint64Var(&o.Seed, "seed", 1, "seed of the workload")
	return cmd
}

// printCapacity prints the tables of docs/CAPACITY.md.
func printCapacity(asJSON bool) error {
	r, err := capacity.Run(capacity.Options{})
	if err != nil {
		return err
	}
	if asJSON {
		return r.WriteJSON(os.Stdout)
	}
	return r.WriteTables(os.Stdout)
}

// reportBroken prints the broken bounds on standard error and returns errBoundBroken if
// there are any.
func reportBroken(broken []string) error {
	if len(broken) == 0 {
		return nil
	}
	for _, b := range broken {
		fmt.Fprintln(os.Stderr, "bound broken:", b)
	}
	return errBoundBroken
}
