// Command jasminelock-entry runs one entry host on the users' platform.
package main

import (
	"context"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/jasminelock/jasminelock/daemoncmd"
	"github.com/jasminelock/jasminelock/host"
	"github.com/jasminelock/jasminelock/settings"
)

// settingsVariable holds the path of the settings file.
const settingsVariable = "JASMINELOCK_CONFIG"

func main() {
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	os.Exit(run(os.Args[1:], signals, os.Stdout, os.Stderr))
}

// run runs the command and returns its exit code.
func run(args []string, signals <-chan os.Signal, stdout, stderr io.Writer) int {
	d := daemoncmd.Daemon[*settings.Entry]{
		Use:   "jasminelock-entry [--config FILE]",
		Short: "Run one entry host on the users' platform",
		Long: "Run one entry host on the users' platform. SIGTERM or SIGINT starts a graceful shutdown, SIGHUP reads the\n" +
			"settings again. Exit codes: 1 the host could not run, 2 the settings are not valid.",
		DefaultConfig: os.Getenv(settingsVariable),
		Load:   settings.LoadEntry,
		Serve:  func(s *settings.Entry, path string) error { return serve(s, path, signals) },
	}
	return d.Run(args, stdout, stderr)
}

// serve serves until a signal has ended the host.
func serve(s *settings.Entry, path string, signals <-chan os.Signal) error {
	h, err := host.New(s)
	if err != nil {
		return err
	}
	go func() {
		for sig := range signals {
			if sig == syscall.SIGHUP {
				h.Reload(path)
				continue
			}
			h.Drain()
		}
	}()
	return h.Run(context.Background())
}
