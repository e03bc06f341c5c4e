// Package jasminelock routes requests to a large number of LoRA adapters of shared
// base models. It runs between callers and model engines or plain services.
//
// A program that embeds the package runs the same host as the daemon jasminelockd:
//
//	s, err := settings.Load("host.jsonc")
//	host, err := jasminelock.New(s)
//	err = host.Run(ctx)
package jasminelock

import (
	"github.com/hashicorp/go-hclog"

	"github.com/jasminelock/jasminelock/daemon"
	"github.com/jasminelock/jasminelock/settings"
)

// Host is one host of the fleet.
type Host = daemon.Daemon

// New returns a host that listens but does not yet serve. It logs to standard error
// with the level and the format of the settings.
func New(s *settings.Settings) (*Host, error) {
	return daemon.New(s, NewLogger(s.Log))
}

// NewLogger returns a logger with the level and the format of the settings.
func NewLogger(l settings.Log) hclog.Logger {
	return hclog.New(&hclog.LoggerOptions{Name: "jasminelock", Level: hclog.LevelFromString(l.Level), JSONFormat: l.JSON})
}
