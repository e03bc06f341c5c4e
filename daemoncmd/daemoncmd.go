// Package daemoncmd is the command line that the daemons share: a settings file,
// a check of it, and exit codes.
package daemoncmd

import (
	"io"

	"github.com/spf13/cobra"

	"github.com/jasminelock/jasminelock/settings"
)

// Daemon is a daemon whose settings are an S.
type Daemon[S any] struct {
	// Use, Short and Long are what its help says.
	Use, Short, Long string
	// DefaultConfig is the settings file where none is named.
	DefaultConfig string
	// Load reads and checks settings.
	Load func(path string) (S, error)
	// Serve runs the daemon until it ends.
	Serve func(s S, path string) error
}

// Run runs the command and returns its exit code, one of those of settings.ReportExit.
func (d Daemon[S]) Run(args []string, stdout, stderr io.Writer) int {
	var path string
	var check bool
	cmd := &cobra.Command{
		Use: d.Use, Short: d.Short, Long: d.Long, SilenceUsage: true, SilenceErrors: true, Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			s, err := d.Load(path)
			switch {
			case err != nil:
				return err
			case check:
				cmd.Println("settings are valid")
				return nil
			}
			return d.Serve(s, path)
		},
	}
	cmd.Flags().StringVar(&path, "config", d.DefaultConfig, "settings file, JSON with comments")
	cmd.Flags().BoolVar(&check, "check", false, "check the settings and exit")
	cmd.SetArgs(args)
	cmd.SetOut(stdout)
	cmd.SetErr(stderr)
	return settings.ReportExit(stderr, cmd.Execute())
}
