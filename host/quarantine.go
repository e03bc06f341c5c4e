package host

import (
	"encoding/hex"
	"encoding/json"
	"net/http"

	"github.com/jasminelock/jasminelock/quarantine"
)

// listRefusals answers with the requests and parts of prompts that are refused since they crash upstreams, as JSON.
func (h *Host) listRefusals(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(h.broker.RefusalInfos()); err != nil {
		h.log.Debug("list of refusals not written", "error", err)
	}
}

// liftRefusal lifts the refusal with the key of the path, on every host. It answers with 204, 400 for a malformed key
// or 404 for one that is not refused here.
func (h *Host) liftRefusal(w http.ResponseWriter, r *http.Request) {
	raw, err := hex.DecodeString(r.PathValue("key"))
	if err != nil || len(raw) != len(quarantine.Key{}) {
		http.Error(w, "the key is not 64 hexadecimal digits", http.StatusBadRequest)
		return
	}
	key := quarantine.Key(raw)
	for _, refusal := range h.broker.Refusals() {
		if refusal.Key == key {
			h.broker.LiftRefusal(key)
			w.WriteHeader(http.StatusNoContent)
			return
		}
	}
	http.Error(w, "the key is not refused by this host", http.StatusNotFound)
}
