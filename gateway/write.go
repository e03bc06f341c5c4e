package gateway

import (
	"encoding/json"
	"net/http"

	"github.com/jasminelock/jasminelock/apierr"
)

// writeJSON writes a response with a JSON body.
func writeJSON(w http.ResponseWriter, status int, body any) {
	raw, err := json.Marshal(body)
	if err != nil {
		status = http.StatusInternalServerError
		raw = []byte(`{}`)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(raw) // an error means that the caller has disconnected
}

// writeError writes an error response with the status, body and Retry-After of its kind.
func writeError(w http.ResponseWriter, e *apierr.Error) {
	setRetryAfter(w.Header(), e)
	writeJSON(w, e.Kind.Definition().Status, e.Body())
}
