// Command jasminelock is the operators' command line.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"github.com/jasminelock/jasminelock/configstore"
	"github.com/jasminelock/jasminelock/record"
	"github.com/jasminelock/jasminelock/store"
)

// Exit codes.
const (
	// exitFailed is returned for every error that has no code below.
	exitFailed = 1
	// exitInvalid is returned if the command line or the records are invalid.
	exitInvalid = 2
	// exitConflict is returned if a record has changed since it was read.
	exitConflict = 3
	// exitUnavailable is returned if the platform did not answer. Nothing was written.
	exitUnavailable = 4
	// exitUnknown is returned if the outcome is unknown: the change may have been made.
	exitUnknown = 5
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	code := run(ctx, os.Args[1:], os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}

// run executes one command line and returns its exit code.
func run(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	root := &cobra.Command{Use: "jasminelock", Short: "Operate a jasminelock fleet", SilenceUsage: true, SilenceErrors: true}
	o := &options{}
	root.PersistentFlags().StringVar(&o.platform, "platform", os.Getenv("JASMINELOCK_PLATFORM"), "base address of the platform's services")
	root.PersistentFlags().StringVar(&o.output, "output", formatTable, "output format, json or table")
	root.PersistentFlags().StringVar(&o.operator, "operator", os.Getenv("USER"), "name to record with a change")
	root.AddCommand(applyCommand(o), checkCommand(o), getCommand(o), historyCommand(o), keyCommand(o), explainCommand(o), traceCommand(), statusCommand(o), demoCommand(), benchCommand())
	root.SetArgs(args)
	root.SetOut(stdout)
	root.SetErr(stderr)
	err := root.ExecuteContext(ctx)
	if err != nil {
		_, _ = fmt.Fprintln(stderr, "Error:", err)
	}
	return exitCode(err)
}

func exitCode(err error) int {
	var conflict *configstore.ConflictError
	var unknown *configstore.UnknownOutcomeError
	var references *configstore.ReferenceError
	var reused *configstore.OperationReusedError
	var invalid *invalidError
	var problems record.Problems
	switch {
	case err == nil:
		return 0
	case errors.As(err, &unknown):
		return exitUnknown
	case errors.As(err, &conflict):
		return exitConflict
	case errors.As(err, &references), errors.As(err, &invalid), errors.As(err, &problems), errors.As(err, &reused):
		return exitInvalid
	case errors.Is(err, store.ErrUnavailable):
		return exitUnavailable
	}
	return exitFailed
}

// invalidError reports an invalid command line or file.
type invalidError struct{ text string }

// Error implements the error interface.
func (e *invalidError) Error() string { return e.text }

func invalid(format string, args ...any) error {
	return &invalidError{fmt.Sprintf(format, args...)}
}
