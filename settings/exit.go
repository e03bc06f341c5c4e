package settings

import (
	"errors"
	"fmt"
	"io"
	"os"
)

// Exit codes of a daemon.
const (
	// ExitFailed says that the host could not run, or that it cut requests.
	ExitFailed = 1
	// ExitSettings says that the settings are not valid.
	ExitSettings = 2
)

// ReportExit writes why a daemon ended and returns its exit code.
func ReportExit(w io.Writer, err error) int {
	var problems Problems
	switch {
	case err == nil:
		return 0
	case errors.As(err, &problems), errors.Is(err, os.ErrNotExist):
		_, _ = fmt.Fprintln(w, err)
		return ExitSettings
	}
	_, _ = fmt.Fprintln(w, "Error:", err)
	return ExitFailed
}
