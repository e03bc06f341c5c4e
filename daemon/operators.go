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
	Draining bool            `json:"draining"`
	InFlight int             `json:"in_flight"`
	Adapters int             `json:"adapters"`
	Hosts    []platform.Host `json:"hosts"`
}

func (d *Daemon) operatorHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /status", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, d.Status())
	})
	mux.HandleFunc("GET /explain", d.serveExplain)
	mux.Handle("GET /metrics", d.metrics.handler())
	return mux
}

// Status returns what the host says of itself to operators.
func (d *Daemon) Status() Status {
	config := d.board.Config.Snapshot()
	return Status{
		Host: d.settings.Host, Zone: d.settings.Zone, Revision: config.Revision, Adapters: config.AdapterCount(),
		Ready: d.ready(), Draining: d.isDraining(), InFlight: d.runtime.InFlight(), Hosts: d.board.Hosts.Snapshot(),
	}
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
