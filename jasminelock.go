// Package jasminelock serves very many LoRA adapters of shared base models. It
// stands between callers and model engines or plain services.
//
// An embedder gets the same host as the daemon jasminelockd:
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

// New returns a host that listens but does not yet serve. Its log goes to
// standard error as the settings say.
func New(s *settings.Settings) (*Host, error) {
	return daemon.New(s, NewLogger(s.Log))
}

// NewLogger returns the logger that the settings describe.
func NewLogger(l settings.Log) hclog.Logger {
	return hclog.New(&hclog.LoggerOptions{Name: "jasminelock", Level: hclog.LevelFromString(l.Level), JSONFormat: l.JSON})
}
