package daemon

import (
	"encoding/json"
	"net/http"

	"github.com/jasminelock/jasminelock/platform"
)

// Status is what a host says of itself to operators.
type Status struct {
	Host     string          `json:"host"`
	Zone     string          `json:"zone"`
	Revision int64           `json:"revision"`
	Ready    bool            `json:"ready"`
	InFlight int             `json:"in_flight"`
	Hosts    []platform.Host `json:"hosts"`
}

func (d *Daemon) operatorHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /status", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(d.Status())
	})
	return mux
}

// Status returns what the host says of itself to operators.
func (d *Daemon) Status() Status {
	return Status{
		Host: d.settings.Host, Zone: d.settings.Zone, Revision: d.board.Config.Snapshot().Revision,
		Ready: d.ready(), InFlight: d.runtime.InFlight(), Hosts: d.board.Hosts.Snapshot(),
	}
}
