package daemon

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/jasminelock/jasminelock/peer"
	"github.com/jasminelock/jasminelock/store"
)

// Status is what a host says of itself to operators.
type Status struct {
	Host     string       `json:"host"`
	Zone     string       `json:"zone"`
	Revision int64        `json:"revision"`
	Ready    bool         `json:"ready"`
	Draining bool         `json:"draining"`
	InFlight int          `json:"in_flight"`
	Adapters int          `json:"adapters"`
	Hosts    []store.Host `json:"hosts"`
	// Members is the hosts that have not left, as this one knows them.
	Members []MemberEntry `json:"roster"`
	// ConfirmedForSeconds is for how long the configuration may still be taken to
	// be in force. Below 0, requests with a key are refused.
	ConfirmedForSeconds float64 `json:"confirmed_for_seconds"`
	// Peers is the traffic with other hosts since the start.
	Peers peer.Counts `json:"peers"`
}

// MemberEntry is one host of the roster.
type MemberEntry struct {
	Name        string `json:"name"`
	Zone        string `json:"zone"`
	State       string `json:"state"`
	Incarnation uint64 `json:"incarnation"`
	Suspected   bool   `json:"suspected,omitempty"`
	// Load is the number of requests in flight, -1 where it is not known.
	Load int `json:"load"`
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
	s := Status{
		Host: d.settings.Host, Zone: d.settings.Zone, Revision: config.Revision, Adapters: config.AdapterCount(),
		Ready: d.ready(), Draining: d.isDraining(), InFlight: d.runtime.InFlight(), Hosts: d.board.Hosts.Snapshot(),
	}
	for _, m := range d.board.Members.Snapshot() {
		s.Members = append(s.Members, MemberEntry{
			Name: m.Name, Zone: m.Zone, State: m.State.String(), Incarnation: m.Incarnation, Suspected: m.Suspected, Load: m.Load,
		})
	}
	if until := d.freshUntil.Load(); until != nil && !until.IsZero() {
		s.ConfirmedForSeconds = time.Until(*until).Seconds()
	}
	s.Peers = d.peerCounts()
	return s
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
