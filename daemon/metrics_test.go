package daemon

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jasminelock/jasminelock/apierr"
	"github.com/jasminelock/jasminelock/blackboard"
	"github.com/jasminelock/jasminelock/core"
	"github.com/jasminelock/jasminelock/record"
	"github.com/jasminelock/jasminelock/request"
	"github.com/jasminelock/jasminelock/sched"
)

func TestMetricsTellWhatWasDecidedAndMet(t *testing.T) {
	m, err := newDaemonMetrics()
	require.NoError(t, err)
	board := blackboard.New()
	require.NoError(t, m.watch(board, func() int { return 3 }))
	config, _ := record.NewConfig().Apply(7, nil)
	board.Config.Publish(config)

	why := sched.Reason{Rule: "resident"}
	m.decision(core.Dispatch{Why: why})
	m.decision(core.Dispatch{Why: why})
	m.decision(core.Order{Order: sched.Order{Why: sched.Reason{Rule: "lru"}}})
	m.decision(core.Finish{})
	m.decision(core.Finish{Err: apierr.New(apierr.InvalidKey, ""), Why: sched.Reason{Rule: "authorise"}})
	m.event(core.FirstByteReceived{FirstToken: 300 * time.Millisecond})
	m.event(core.AttemptEnded{Outcome: request.Interrupted, AnswerStarted: true})
	m.event(core.OrderEnded{End: sched.OrderEnd{Err: errors.New("no")}})
	m.storeFailed("tables")

	answer := httptest.NewRecorder()
	m.handler().ServeHTTP(answer, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	for _, line := range []string{
		`jasminelock_decisions_total{decision="route",rule="resident"} 2`,
		`jasminelock_decisions_total{decision="place",rule="lru"} 1`,
		`jasminelock_decisions_total{decision="refuse",rule="authorise"} 1`,
		`jasminelock_refusals_total{kind="invalid_api_key",ran="not_run"} 1`,
		`jasminelock_attempts_total{answer_started="yes",outcome="cut"} 1`,
		`jasminelock_orders_ended_total{result="failed"} 1`,
		`jasminelock_store_errors_total{service="tables"} 1`,
		`jasminelock_first_token_seconds_bucket{le="0.25"} 0`,
		`jasminelock_first_token_seconds_bucket{le="0.5"} 1`,
		`jasminelock_requests_in_flight 3`,
		`jasminelock_config_revision 7`,
	} {
		require.Contains(t, answer.Body.String(), line+"\n")
	}
}

func BenchmarkMetricsOfOneRequest(b *testing.B) {
	m, err := newDaemonMetrics()
	require.NoError(b, err)
	b.ReportAllocs()
	for b.Loop() {
		m.decision(core.Dispatch{Why: sched.Reason{Rule: "resident"}})
		m.event(core.FirstByteReceived{FirstToken: time.Second})
		m.event(core.AttemptEnded{Outcome: request.Completed})
		m.decision(core.Finish{})
	}
}
