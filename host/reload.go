package host

import (
	"github.com/hashicorp/go-hclog"

	"github.com/jasminelock/jasminelock/settings"
)

// Reload reads the settings again. The log level takes effect at once; all else
// takes effect at the next start.
func (h *Host) Reload(path string) {
	s, err := settings.LoadEntry(path)
	if err != nil {
		h.log.Error("settings not read; those read before stay in force", "error", err)
		return
	}
	h.log.SetLevel(hclog.LevelFromString(s.Log.Level))
	h.log.Info("settings read again")
}
