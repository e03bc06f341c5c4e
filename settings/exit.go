package settings

import (
	"errors"
	"fmt"
	"io"
	"os"
)

// Exit codes of a daemon.
const (
	// ExitFailed means that the host could not run or that it interrupted requests.
	ExitFailed = 1
	// ExitSettings means that the settings are not valid or a file does not exist.
	ExitSettings = 2
)

// ReportExit writes the error with which a daemon ended, if any, and returns the exit code.
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
