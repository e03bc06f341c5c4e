package host

import (
	"github.com/hashicorp/go-hclog"

	"github.com/jasminelock/jasminelock/settings"
)

// Reload reads the settings file at path again. The log level takes effect at once, all
// other settings at the next start. If the file is invalid, nothing changes.
func (h *Host) Reload(path string) {
	s, err := settings.LoadEntry(path)
	if err != nil {
		h.log.Error("settings not reloaded; previous settings stay in force", "error", err)
		return
	}
	h.log.SetLevel(hclog.LevelFromString(s.Log.Level))
	h.log.Info("settings reloaded")
}
