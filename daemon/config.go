package daemon

import (
	"context"
	"time"

	"github.com/jasminelock/jasminelock/configstore"
	"github.com/jasminelock/jasminelock/core"
)

// watchConfig reads the table service and brings new configurations to the core.
func (d *Daemon) watchConfig(ctx context.Context) {
	reader := configstore.NewReader(d.platform)
	every(ctx, time.Duration(d.settings.Platform.PollInterval), func() {
		config, problems, err := reader.Poll(ctx)
		if err != nil {
			d.log.Warn("configuration not read", "error", err)
			return
		}
		for _, p := range problems {
			d.log.Error("record left out", "error", p)
		}
		if config != nil {
			d.log.Info("configuration", "revision", config.Revision)
			d.runtime.Handle(core.ConfigSeen{Config: config})
		}
	})
}
