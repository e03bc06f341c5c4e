// Command jasminelock is the operators' command line.
package main

import (
	"os"

	"github.com/spf13/cobra"
)

func main() {
	root := &cobra.Command{Use: "jasminelock", Short: "Operate a jasminelock fleet", SilenceUsage: true}
	root.AddCommand(applyCommand(), benchCommand())
	if err := root.Execute(); err != nil {
		os.Exit(1)
	}
}
