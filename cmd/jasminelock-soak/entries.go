package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/spf13/cobra"

	"github.com/jasminelock/jasminelock/soak"
)

// entriesCommand returns the command that soaks entry hosts, one run for each seed.
func entriesCommand() *cobra.Command {
	o := soak.EntryOptions{}
	var seeds uint64
	var atOnce int
	cmd := &cobra.Command{
		Use:          "entries --bin DIRECTORY",
		Short:        "Soak entry hosts of the users' platform, one run for each seed",
		SilenceUsage: true,
		Args:         cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return runSeeds(cmd, o, seeds, atOnce)
		},
	}
	f := cmd.Flags()
	f.StringVar(&o.BinDir, "bin", "", "directory of the built jasminelock-entry")
	f.StringVar(&o.WorkDir, "dir", "", "empty directory for settings and logs; a temporary one if not set")
	f.DurationVar(&o.Duration, "duration", 10*time.Second, "how long faults are injected in each run")
	f.IntVar(&o.Hosts, "hosts", 5, "number of entry hosts")
	f.IntVar(&o.Engines, "engines", 4, "number of engines")
	f.Float64Var(&o.RequestsPerSecond, "rate", 40, "requests a second")
	f.DurationVar(&o.MeanFaultInterval, "fault-every", time.Second, "mean time between faults, which may overlap")
	f.Uint64Var(&o.Seed, "seed", 1, "first seed")
	f.Uint64Var(&seeds, "seeds", 1, "number of seeds")
	f.IntVar(&atOnce, "at-once", 1, "number of runs at the same time")
	return cmd
}

// runSeeds runs each seed, at most atOnce at a time, and returns an error if any run
// failed or broke a condition.
func runSeeds(cmd *cobra.Command, o soak.EntryOptions, seeds uint64, atOnce int) error {
	if o.WorkDir == "" {
		dir, err := os.MkdirTemp("", "jasminelock-soak-")
		if err != nil {
			return err
		}
		o.WorkDir = dir
	}
	slots := make(chan struct{}, max(atOnce, 1))
	var group sync.WaitGroup
	var mu sync.Mutex
	broken := 0
	for seed := o.Seed; seed < o.Seed+seeds; seed++ {
		slots <- struct{}{}
		group.Go(func() {
			defer func() { <-slots }()
			text, ok := runSeed(cmd.Context(), o, seed)
			mu.Lock()
			defer mu.Unlock()
			cmd.Print(text)
			if !ok {
				broken++
			}
		})
	}
	group.Wait()
	if broken > 0 {
		return fmt.Errorf("%d of %d seeds: %w", broken, seeds, errConditionBroken)
	}
	return nil
}

// runSeed runs one seed in a subdirectory of its own. It returns the report and
// whether every condition held.
func runSeed(ctx context.Context, o soak.EntryOptions, seed uint64) (string, bool) {
	o.Seed, o.WorkDir = seed, filepath.Join(o.WorkDir, fmt.Sprintf("seed-%d", seed))
	if err := os.MkdirAll(o.WorkDir, 0o700); err != nil {
		return fmt.Sprintf("seed %d: %s\n", seed, err), false
	}
	log, err := os.Create(filepath.Join(o.WorkDir, "faults.log"))
	if err != nil {
		return fmt.Sprintf("seed %d: %s\n", seed, err), false
	}
	defer func() { _ = log.Close() }()
	o.Log = io.Writer(log)
	s, err := soak.RunEntryHosts(ctx, o)
	if err != nil {
		return fmt.Sprintf("seed %d: %s\n", seed, err), false
	}
	text := fmt.Sprintf("seed %d: %d requests, statuses %v, %d kinds of fault, %d crashes, %d limited replicas, %.2f served after\n",
		seed, s.Requests, s.Statuses, len(s.Faults), s.Crashes, s.LimitedReplicas, s.ServedAfterFaults)
	for _, f := range s.Violations {
		text += "  broken: " + f + "\n"
	}
	if len(s.Violations) > 0 {
		text += "  logs: " + o.WorkDir + "\n"
	}
	return text, len(s.Violations) == 0
}
