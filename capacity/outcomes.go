package capacity

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/jasminelock/jasminelock/outcome"
)

// measureOutcomes measures the writes to the table service per request with an
// idempotency key.
func measureOutcomes(Options) (Measurements, error) {
	const requests = 20
	ctx := context.Background()
	table := newMemoryTable()
	store := outcome.New(table, nil) // no object store: the answers are small enough for the table
	for i := range requests {
		claim, _, apiErr := store.Begin(ctx, outcome.Request{
			Organisation: organisationName(0), Key: fmt.Sprint(i), Fingerprint: []byte("fingerprint"), Deadline: time.Now().Add(time.Minute),
		})
		if apiErr != nil {
			return nil, apiErr
		}
		claim.Complete(ctx, outcome.Answer{Status: http.StatusOK, Body: []byte(`{}`)})
	}
	store.Wait()
	return Measurements{{outcomeWrites, requests, "requests", float64(table.writes) / requests, "writes"}}, nil
}
