// Command jasminelockd runs one host of the fleet.
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

// run executes the command line and returns its exit code.
func run(args []string, signals <-chan os.Signal, stdout, stderr io.Writer) int {
	d := daemoncmd.Daemon[*settings.Settings]{
		Use:   "jasminelockd --config host.jsonc",
		Short: "Run one jasminelock host",
		Long: "Run one jasminelock host. SIGTERM or SIGINT starts a graceful shutdown, which interrupts no request; a\n" +
			"second signal ends the requests that still run, each with an answer, and reports their number. Exit\n" +
			"codes: 1 the host could not run or interrupted requests, 2 the settings are invalid.",
		DefaultConfig: "host.jsonc",
		Load:          settings.Load,
		Serve:         func(s *settings.Settings, _ string) error { return serve(s, signals) },
	}
	return d.Run(args, stdout, stderr)
}

// serve runs the host. The first signal starts a graceful shutdown, the second
// stops the host at once.
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
