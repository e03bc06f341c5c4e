// Command jasminelockd runs one host.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"github.com/jasminelock/jasminelock"
	"github.com/jasminelock/jasminelock/settings"
)

// Exit codes.
const (
	exitFailed   = 1
	exitSettings = 2
)

func main() {
	var path string
	var check bool
	code := 0
	cmd := &cobra.Command{
		Use:          "jasminelockd --config host.jsonc",
		Short:        "Run one jasminelock host",
		SilenceUsage: true,
		Long: "Run one jasminelock host. SIGTERM or SIGINT starts a graceful shutdown, which cuts no request; a\n" +
			"second one ends the host at once and says how many requests were cut. Exit codes: 1 the host could\n" +
			"not run or cut requests, 2 the settings are not valid.",
		Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			s, err := settings.Load(path)
			if err != nil {
				code = exitSettings
				return err
			}
			if check {
				fmt.Println("settings are valid")
				return nil
			}
			return run(s)
		},
	}
	cmd.Flags().StringVar(&path, "config", "host.jsonc", "settings file, JSON with comments")
	cmd.Flags().BoolVar(&check, "check", false, "check the settings and exit")
	if err := cmd.Execute(); err != nil {
		os.Exit(max(code, exitFailed))
	}
}

// run serves until the first signal, which starts a graceful shutdown. A
// second signal ends it at once.
func run(s *settings.Settings) error {
	host, err := jasminelock.New(s)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		host.Drain()
		<-signals
		cancel()
	}()
	return host.Run(ctx)
}
