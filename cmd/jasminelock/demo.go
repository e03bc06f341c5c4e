package main

import (
	"errors"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"github.com/jasminelock/jasminelock"
	"github.com/jasminelock/jasminelock/demo"
	"github.com/jasminelock/jasminelock/settings"
)

var errCheckFailed = errors.New("a check of the demo failed")

func demoCommand() *cobra.Command {
	var serve bool
	var state, level string
	cmd := &cobra.Command{
		Use:   "demo",
		Short: "Run a whole deployment on loopback and check its main functions",
		Long:  "Run entry hosts in three zones with stand-ins for the platform, model engines and a plain service in\nthis process, send real requests and check the answers.",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			ctx, stop := signal.NotifyContext(cmd.Context(), syscall.SIGINT, syscall.SIGTERM)
			defer stop()
			log := jasminelock.NewLogger(settings.Log{Level: level})
			if serve {
				return demo.Serve(ctx, os.Stdout, log, state)
			}
			ok, err := demo.Run(ctx, os.Stdout, log)
			if err == nil && !ok {
				err = errCheckFailed
			}
			return err
		},
	}
	cmd.Flags().BoolVar(&serve, "serve", false, "keep running until SIGTERM or SIGINT")
	cmd.Flags().StringVar(&state, "state", "", "with --serve: file to which the addresses and keys are written as JSON")
	cmd.Flags().StringVar(&level, "log", "error", "log level of the hosts")
	return cmd
}
