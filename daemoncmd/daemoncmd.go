// Package daemoncmd implements the command line that all daemons share: the flag that names the settings
// file, the flag that only checks it, and the exit codes.
package daemoncmd

import (
	"io"

	"github.com/spf13/cobra"

	"github.com/jasminelock/jasminelock/settings"
)

// Daemon describes the command of a daemon whose settings have type S.
type Daemon[S any] struct {
	// Use, Short and Long are the usage line and the descriptions in the command's help.
	Use, Short, Long string
	// DefaultConfig is the path of the settings file if --config is not given.
	DefaultConfig string
	// Load reads and validates the settings file at path.
	Load func(path string) (S, error)
	// Serve runs the daemon and returns when it has ended.
	Serve func(s S, path string) error
}

// Run parses the arguments, loads the settings and serves, or only checks the settings if --check is
// given. It returns the exit code, as settings.ReportExit defines it.
func (d Daemon[S]) Run(args []string, stdout, stderr io.Writer) int {
	var path string
	var checkOnly bool
	cmd := &cobra.Command{
		Use: d.Use, Short: d.Short, Long: d.Long, SilenceUsage: true, SilenceErrors: true, Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			s, err := d.Load(path)
			switch {
			case err != nil:
				return err
			case checkOnly:
				cmd.Println("settings are valid")
				return nil
			}
			return d.Serve(s, path)
		},
	}
	cmd.Flags().StringVar(&path, "config", d.DefaultConfig, "settings file, JSON with comments")
	cmd.Flags().BoolVar(&checkOnly, "check", false, "check the settings and exit")
	cmd.SetArgs(args)
	cmd.SetOut(stdout)
	cmd.SetErr(stderr)
	return settings.ReportExit(stderr, cmd.Execute())
}
