package daemon

import (
	"context"
	"errors"
	"net/http"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"github.com/jasminelock/jasminelock/blackboard"
	"github.com/jasminelock/jasminelock/core"
	"github.com/jasminelock/jasminelock/metrics"
	"github.com/jasminelock/jasminelock/sched"
)

// firstTokenBuckets are the upper bounds of the first token's histogram, in
// seconds. The target of 1 s for 95 in 100 is one of them.
var firstTokenBuckets = []float64{0.025, 0.05, 0.1, 0.25, 0.5, 1, 2, 5, 10, 30}

// daemonMetrics counts what a host decides and meets. The methods decision and
// event are called with the runtime's lock held; the others at any time.
type daemonMetrics struct {
	provider   *metrics.Provider
	decisions  metric.Int64Counter
	refusals   metric.Int64Counter
	attempts   metric.Int64Counter
	orders     metric.Int64Counter
	storeFails metric.Int64Counter
	firstToken metric.Float64Histogram
	// labels keeps the options of the counters, which are costly to make.
	labels map[label]metric.MeasurementOption
}

// label is what the options of a counter are made of. The first attribute's
// name tells the counters apart.
type label struct{ name, first, second string }

func newDaemonMetrics() (*daemonMetrics, error) {
	provider, err := metrics.New()
	if err != nil {
		return nil, err
	}
	m := &daemonMetrics{provider: provider, labels: map[label]metric.MeasurementOption{}}
	meter := provider.Meter("daemon")
	counters := []struct {
		counter           *metric.Int64Counter
		name, description string
	}{
		{&m.decisions, "jasminelock.decisions", "Decisions by rule"},
		{&m.refusals, "jasminelock.refusals", "Refusals and failures told to callers, by kind"},
		{&m.attempts, "jasminelock.attempts", "Attempts that have ended, by outcome"},
		{&m.orders, "jasminelock.orders.ended", "Orders to engines that have ended, by result"},
		{&m.storeFails, "jasminelock.store.errors", "Calls of the platform that were not answered, by service"},
	}
	for _, c := range counters {
		counter, counterErr := meter.Int64Counter(c.name, metric.WithDescription(c.description))
		*c.counter = counter
		err = errors.Join(err, counterErr)
	}
	var histogramErr error
	m.firstToken, histogramErr = meter.Float64Histogram("jasminelock.first_token", metric.WithUnit("s"),
		metric.WithDescription("Time from dispatch to the start of the answer"), metric.WithExplicitBucketBoundaries(firstTokenBuckets...))
	return m, errors.Join(err, histogramErr)
}

// watch adds the gauges that are read when the metrics are.
func (m *daemonMetrics) watch(board *blackboard.Board, inFlight func() int) error {
	meter := m.provider.Meter("daemon")
	gauges := []struct {
		name, description string
		value             func() int64
	}{
		{"jasminelock.requests.in_flight", "Requests that have not ended", func() int64 { return int64(inFlight()) }},
		{"jasminelock.config.revision", "Revision of the configuration in force", func() int64 { return board.Config.Snapshot().Revision }},
		{"jasminelock.config.adapters", "Adapters in the configuration in force", func() int64 { return int64(board.Config.Snapshot().AdapterCount()) }},
		{"jasminelock.hosts.seen", "Hosts on the host list as last seen", func() int64 { return int64(len(board.Hosts.Snapshot())) }},
	}
	for _, g := range gauges {
		observe := func(_ context.Context, o metric.Int64Observer) error {
			o.Observe(g.value())
			return nil
		}
		if _, err := meter.Int64ObservableGauge(g.name, metric.WithDescription(g.description), metric.WithInt64Callback(observe)); err != nil {
			return err
		}
	}
	return nil
}

func (m *daemonMetrics) handler() http.Handler { return m.provider.Handler() }

// label returns the option for two attributes, or for one where the second has
// no name.
func (m *daemonMetrics) label(firstName, first, secondName, second string) metric.MeasurementOption {
	key := label{firstName, first, second}
	option, ok := m.labels[key]
	if !ok {
		attributes := []attribute.KeyValue{attribute.String(firstName, first)}
		if secondName != "" {
			attributes = append(attributes, attribute.String(secondName, second))
		}
		option = metric.WithAttributeSet(attribute.NewSet(attributes...))
		m.labels[key] = option
	}
	return option
}

// decision counts a decision of the core.
func (m *daemonMetrics) decision(d core.Decision) {
	switch d := d.(type) {
	case core.Dispatch:
		m.decided("route", d.Why)
	case core.Order:
		m.decided("place", d.Order.Why)
	case core.Finish:
		if d.Err == nil {
			return
		}
		m.decided("refuse", d.Why)
		m.refusals.Add(context.Background(), 1, m.label("kind", d.Err.Kind.String(), "ran", d.Err.Ran.String()))
	}
}

func (m *daemonMetrics) decided(decision string, why sched.Reason) {
	m.decisions.Add(context.Background(), 1, m.label("decision", decision, "rule", why.Rule))
}

// event counts what the core is told.
func (m *daemonMetrics) event(ev core.Event) {
	switch e := ev.(type) {
	case core.FirstByteReceived:
		m.firstToken.Record(context.Background(), e.FirstToken.Seconds())
	case core.AttemptEnded:
		m.attempts.Add(context.Background(), 1, m.label("outcome", e.Outcome.String(), "answer_started", yesNo(e.AnswerStarted)))
	case core.OrderEnded:
		m.orders.Add(context.Background(), 1, m.label("result", result(e.End.Err), "", ""))
	}
}

func result(err error) string {
	if err != nil {
		return "failed"
	}
	return "done"
}

func yesNo(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}

// storeFailed counts a call of the platform that was not answered. It is called
// at any time, so that it keeps its options apart.
func (m *daemonMetrics) storeFailed(service string) {
	m.storeFails.Add(context.Background(), 1, metric.WithAttributes(attribute.String("service", service)))
}
