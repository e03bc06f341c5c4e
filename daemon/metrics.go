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

// firstTokenBuckets are the upper bounds of the buckets of the time to first token, in seconds. They
// include 1 s, the target for the 95th percentile.
var firstTokenBuckets = []float64{0.025, 0.05, 0.1, 0.25, 0.5, 1, 2, 5, 10, 30}

// daemonMetrics holds the instruments of a host. The methods countDecision and recordEvent are called
// with the runtime's lock held; the others may be called at any time.
type daemonMetrics struct {
	provider         *metrics.Provider
	decisions        metric.Int64Counter
	refusals         metric.Int64Counter
	attempts         metric.Int64Counter
	orders           metric.Int64Counter
	storeErrors      metric.Int64Counter
	timeToFirstToken metric.Float64Histogram
	// labelOptions caches the label sets of the counters, which are expensive to create. It is guarded by the
	// runtime's lock.
	labelOptions map[labelKey]metric.MeasurementOption
}

// labelKey is the key of a cached label set: the first label's name and the values of both labels. The
// first label's name differs between counters, so that counters do not share entries.
type labelKey struct{ name, first, second string }

func newDaemonMetrics() (*daemonMetrics, error) {
	provider, err := metrics.New()
	if err != nil {
		return nil, err
	}
	m := &daemonMetrics{provider: provider, labelOptions: map[labelKey]metric.MeasurementOption{}}
	meter := provider.Meter("daemon")
	counters := []struct {
		counter           *metric.Int64Counter
		name, description string
	}{
		{&m.decisions, "jasminelock.decisions", "Decisions by rule"},
		{&m.refusals, "jasminelock.refusals", "Refusals and failures told to callers, by kind"},
		{&m.attempts, "jasminelock.attempts", "Attempts that have ended, by outcome"},
		{&m.orders, "jasminelock.orders.ended", "Orders to engines that have ended, by result"},
		{&m.storeErrors, "jasminelock.store.errors", "Calls of the platform that were not answered, by service"},
	}
	for _, c := range counters {
		counter, counterErr := meter.Int64Counter(c.name, metric.WithDescription(c.description))
		*c.counter = counter
		err = errors.Join(err, counterErr)
	}
	var histogramErr error
	m.timeToFirstToken, histogramErr = meter.Float64Histogram("jasminelock.first_token", metric.WithUnit("s"),
		metric.WithDescription("Time from dispatch to the start of the answer"), metric.WithExplicitBucketBoundaries(firstTokenBuckets...))
	return m, errors.Join(err, histogramErr)
}

// registerGauges registers the gauges, whose values are read at each scrape.
func (m *daemonMetrics) registerGauges(board *blackboard.Board, inFlight func() int) error {
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

// labelOption returns the option that sets two labels, or only the first if secondName is empty. It is called
// with the runtime's lock held.
func (m *daemonMetrics) labelOption(firstName, first, secondName, second string) metric.MeasurementOption {
	key := labelKey{firstName, first, second}
	option, ok := m.labelOptions[key]
	if !ok {
		attributes := []attribute.KeyValue{attribute.String(firstName, first)}
		if secondName != "" {
			attributes = append(attributes, attribute.String(secondName, second))
		}
		option = metric.WithAttributeSet(attribute.NewSet(attributes...))
		m.labelOptions[key] = option
	}
	return option
}

// countDecision counts a decision of the core: a dispatch, an order or a refusal.
func (m *daemonMetrics) countDecision(d core.Decision) {
	switch d := d.(type) {
	case core.Dispatch:
		m.countRule("route", d.Why)
	case core.Order:
		m.countRule("place", d.Order.Why)
	case core.Finish:
		if d.Err == nil {
			return
		}
		m.countRule("refuse", d.Why)
		m.refusals.Add(context.Background(), 1, m.labelOption("kind", d.Err.Kind.String(), "ran", d.Err.Ran.String()))
	}
}

func (m *daemonMetrics) countRule(decision string, reason sched.Reason) {
	m.decisions.Add(context.Background(), 1, m.labelOption("decision", decision, "rule", reason.Rule))
}

// recordEvent records an event that the core handles: the start of an answer, the end of an attempt or of an
// order.
func (m *daemonMetrics) recordEvent(ev core.Event) {
	switch e := ev.(type) {
	case core.FirstByteReceived:
		m.timeToFirstToken.Record(context.Background(), e.FirstToken.Seconds())
	case core.AttemptEnded:
		m.attempts.Add(context.Background(), 1, m.labelOption("outcome", e.Outcome.String(), "answer_started", yesNo(e.AnswerStarted)))
	case core.OrderEnded:
		m.orders.Add(context.Background(), 1, m.labelOption("result", orderResult(e.End.Err), "", ""))
	}
}

func orderResult(err error) string {
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

// countStoreError counts a call to the platform that was not answered. It may be called at any time, without
// the runtime's lock, and therefore does not use labelOptions.
func (m *daemonMetrics) countStoreError(service string) {
	m.storeErrors.Add(context.Background(), 1, metric.WithAttributes(attribute.String("service", service)))
}
