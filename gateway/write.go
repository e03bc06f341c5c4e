package gateway

import (
	"encoding/json"
	"net/http"

	"github.com/jasminelock/jasminelock/apierr"
)

// writeJSON writes a whole JSON answer.
func writeJSON(w http.ResponseWriter, status int, body any) {
	raw, err := json.Marshal(body)
	if err != nil {
		status = http.StatusInternalServerError
		raw = []byte(`{}`)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(raw) // the caller has gone where this fails
}

// writeError writes a refusal as the table of kinds says.
func writeError(w http.ResponseWriter, e *apierr.Error) {
	tellRetry(w.Header(), e)
	writeJSON(w, e.Kind.Definition().Status, e.Body())
}
