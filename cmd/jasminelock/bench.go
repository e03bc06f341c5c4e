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
	var asJSON, atSize bool
	cmd := &cobra.Command{
		Use:   "bench",
		Short: "Measure the policy on virtual time beside baselines",
		Args:  cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			if atSize {
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
			return report(bench.Broken(results))
		},
	}
	f := cmd.Flags()
	f.BoolVar(&asJSON, "json", false, "print JSON")
	f.BoolVar(&atSize, "capacity", false, "measure what the mechanisms of a host cost, and work it out at the size to design for")
	f.StringVar(&o.Deployment, "deployment", "", "these deployments only, comma between")
	f.StringVar(&o.Scenario, "scenario", "", "these scenarios only")
	f.StringVar(&o.Policy, "policy", "", "these policies only")
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

// report prints the broken bounds on standard error and returns errBoundBroken if
// there are any.
func report(broken []string) error {
	if len(broken) == 0 {
		return nil
	}
	for _, b := range broken {
		fmt.Fprintln(os.Stderr, "bound broken:", b)
	}
	return errBoundBroken
}
