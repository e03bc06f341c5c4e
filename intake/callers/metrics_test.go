package callers_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/jasminelock/jasminelock/intake/callers"
	"github.com/jasminelock/jasminelock/metrics"
)

// Operators find what is held and what was refused under the names that docs/OPERATIONS.md states.
func TestRegisterMetrics_Names(t *testing.T) {
	provider, err := metrics.New()
	require.NoError(t, err)
	require.NoError(t, callers.NewGate(wide).RegisterMetrics(provider.Meter("test")))
	recorder := httptest.NewRecorder()
	provider.Handler().ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	raw, err := io.ReadAll(recorder.Body)
	require.NoError(t, err)
	for _, want := range []string{
		`jasminelock_callers_held_bytes{`, `kind="body"`, `jasminelock_callers_limit`, `jasminelock_callers_connections `,
		`jasminelock_callers_connections_limit`, `jasminelock_callers_refused_total{`, `reason="no_progress"`,
	} {
		require.Contains(t, string(raw), want)
	}
}
