// Command jasminelock is the operators' command line.
package main

import (
	"context"
	"os"

	"github.com/spf13/cobra"
)

func main() {
	root := &cobra.Command{Use: "jasminelock", Short: "Operate a jasminelock fleet", SilenceUsage: true}
	root.AddCommand(applyCommand(), benchCommand(), demoCommand())
	if err := root.ExecuteContext(context.Background()); err != nil {
		os.Exit(1)
	}
}
