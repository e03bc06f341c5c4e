// Command jasminelockd runs one host.
package main

import (
	"context"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/jasminelock/jasminelock"
	"github.com/jasminelock/jasminelock/daemoncmd"
	"github.com/jasminelock/jasminelock/settings"
)

func main() {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	os.Exit(run(os.Args[1:], signals, os.Stdout, os.Stderr))
}

// run runs the command and returns its exit code.
func run(args []string, signals <-chan os.Signal, stdout, stderr io.Writer) int {
	d := daemoncmd.Daemon[*settings.Settings]{
		Use:   "jasminelockd --config host.jsonc",
		Short: "Run one jasminelock host",
		Long: "Run one jasminelock host. SIGTERM or SIGINT starts a graceful shutdown, which cuts no request; a\n" +
			"second one ends the host at once and says how many requests were cut. Exit codes: 1 the host could\n" +
			"not run or cut requests, 2 the settings are not valid.",
		DefaultConfig: "host.jsonc",
		Load:   settings.Load,
		Serve:  func(s *settings.Settings, _ string) error { return serve(s, signals) },
	}
	return d.Run(args, stdout, stderr)
}

// serve serves until the first signal, which starts a graceful shutdown. A
// second signal ends it at once.
func serve(s *settings.Settings, signals <-chan os.Signal) error {
	host, err := jasminelock.New(s)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		<-signals
		host.Drain()
		<-signals
		cancel()
	}()
	return host.Run(ctx)
}
