// Command jasminelock-soak runs a whole deployment as processes on loopback
// under load and faults, and checks what must always hold. It is for tests
// only: it needs the built binaries jasminelockd and jasminelock-standin.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/spf13/cobra"

	"github.com/jasminelock/jasminelock/soak"
)

// errBroken makes the command exit with 1.
var errBroken = errors.New("a condition is broken")

func main() {
	var o soak.Options
	var deployment string
	var asJSON, verbose bool
	cmd := &cobra.Command{
		Use:          "jasminelock-soak --bin DIRECTORY",
		Short:        "Soak a deployment of processes on loopback",
		SilenceUsage: true,
		Args:         cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			o.Log = io.Discard
			if verbose {
				o.Log = os.Stderr
			}
			return run(cmd.Context(), o, deployment, asJSON)
		},
	}
	f := cmd.Flags()
	f.StringVar(&o.BinDir, "bin", "", "directory of the built binaries")
	f.StringVar(&o.WorkDir, "dir", "", "empty directory for settings and logs; a new one where empty")
	f.StringVar(&deployment, "deployment", "kretatabla", "kretatabla or hoi-go")
	f.DurationVar(&o.Duration, "duration", 10*time.Minute, "how long load and faults go on")
	f.Float64Var(&o.RequestsPerSecond, "rate", 10, "requests a second")
	f.DurationVar(&o.MeanFaultInterval, "fault-every", 8*time.Second, "mean time between faults, 0 for none")
	f.StringArrayVar(&o.OnlyFaults, "only", nil, "run this fault once, in the place of a schedule; may be given again")
	f.Uint64Var(&o.Seed, "seed", 1, "seed of load and faults")
	f.BoolVar(&asJSON, "json", false, "print JSON")
	f.BoolVar(&verbose, "verbose", false, "tell what is done on standard error")
	cmd.AddCommand(entriesCommand())
	if err := cmd.ExecuteContext(context.Background()); err != nil {
		os.Exit(1)
	}
}

func run(ctx context.Context, o soak.Options, deployment string, asJSON bool) error {
	found := false
	for _, s := range soak.Shapes() {
		if s.Name == deployment {
			o.Shape, found = s, true
		}
	}
	if !found {
		return fmt.Errorf("no deployment %q", deployment)
	}
	if o.WorkDir == "" {
		dir, err := os.MkdirTemp("", "jasminelock-soak-")
		if err != nil {
			return err
		}
		o.WorkDir = dir
	}
	sum, err := soak.Run(ctx, o)
	if err != nil {
		return err
	}
	if asJSON {
		err = json.NewEncoder(os.Stdout).Encode(sum)
	} else {
		sum.Write(os.Stdout)
	}
	if err == nil && !sum.OK() {
		err = errBroken
	}
	return err
}
