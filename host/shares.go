package host

import (
	"encoding/json"
	"net/http"
)

// listShares answers with what organisations get of the ranked services whose requests this host assigns, as JSON. The
// figures are no metrics, since the number of series would grow with the organisations.
func (h *Host) listShares(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(h.broker.OrganisationShares()); err != nil {
		h.log.Debug("list of shares not written", "error", err)
	}
}
