package host

import (
	"context"
	"errors"
	"net/http"
	"strconv"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"github.com/jasminelock/jasminelock/assign"
	"github.com/jasminelock/jasminelock/entry"
	"github.com/jasminelock/jasminelock/metrics"
)

// latencyBuckets are the upper bounds of the histogram buckets in seconds. They cover the
// latency targets of plain services and of streams.
var latencyBuckets = []float64{0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.2, 2, 4, 8, 15}

// turnErrorBuckets are the upper bounds of the histogram buckets of the error of estimated turns, in seconds. It is
// negative for a request whose turn came early.
var turnErrorBuckets = []float64{-4, -2, -1, -0.5, -0.2, -0.1, 0, 0.1, 0.2, 0.5, 1, 2, 4}

// maxRankLabel bounds the label for the rank of requests.
const maxRankLabel = 9

// hostMetrics holds the instruments of a host. Their labels are routes, statuses and
// closed lists of reasons, rules, calls, orders and results, so that the number of series
// does not grow with adapters or callers.
type hostMetrics struct {
	provider         *metrics.Provider
	requests         metric.Int64Counter
	attempts         metric.Int64Counter
	refusals         metric.Int64Counter
	ranked           metric.Int64Counter
	tokens           metric.Int64Counter
	storeCalls       metric.Int64Counter
	orders           metric.Int64Counter
	duration         metric.Float64Histogram
	timeToFirstToken metric.Float64Histogram
	turnError        metric.Float64Histogram
}

func newHostMetrics(h *Host) (*hostMetrics, error) {
	provider, err := metrics.New()
	if err != nil {
		return nil, err
	}
	m := &hostMetrics{provider: provider}
	meter := provider.Meter("host")
	var errs []error
	for _, c := range []struct {
		counter           *metric.Int64Counter
		name, description string
	}{
		{&m.requests, "jasminelock.entry.requests", "Requests that have ended, by route, status and reason"},
		{&m.attempts, "jasminelock.entry.attempts", "Requests sent to upstreams, by route"},
		{&m.refusals, "jasminelock.entry.refusals", "Requests that got no upstream, by what decided it"},
		{&m.ranked, "jasminelock.entry.ranked", "Requests by route, rank and result: served, waited, refused or displaced, and by what refused them"},
		{&m.tokens, "jasminelock.entry.tokens", "Tokens counted against the rates of organisations, by route"},
		{&m.storeCalls, "jasminelock.store.calls", "Calls to the platform's store, by call and result"},
		{&m.orders, "jasminelock.orders", "Orders given to engines, by order and result"},
	} {
		var err error
		*c.counter, err = meter.Int64Counter(c.name, metric.WithDescription(c.description))
		errs = append(errs, err)
	}
	var durationErr, firstTokenErr error
	m.duration, durationErr = meter.Float64Histogram("jasminelock.entry.duration", metric.WithUnit("s"),
		metric.WithDescription("Time from a request's arrival to its end"), metric.WithExplicitBucketBoundaries(latencyBuckets...))
	m.timeToFirstToken, firstTokenErr = meter.Float64Histogram("jasminelock.entry.first_token", metric.WithUnit("s"),
		metric.WithDescription("Time from a request's arrival to the start of its answer"), metric.WithExplicitBucketBoundaries(latencyBuckets...))
	var turnErr error
	m.turnError, turnErr = meter.Float64Histogram("jasminelock.entry.turn_error", metric.WithUnit("s"),
		metric.WithDescription("Time by which the turn of a request that waited came later than estimated at its admission"),
		metric.WithExplicitBucketBoundaries(turnErrorBuckets...))
	return m, errors.Join(append(errs, durationErr, firstTokenErr, turnErr, m.registerGauges(meter, h), h.callers.RegisterMetrics(meter))...)
}

// registerGauges registers the gauges, whose values are read when the metrics are collected.
func (m *hostMetrics) registerGauges(meter metric.Meter, h *Host) error {
	var errs []error
	for _, g := range []struct {
		name, description string
		value             func() float64
	}{
		{"jasminelock.config.version", "Version of the configuration in force", h.configVersion},
		{"jasminelock.store.age", "Seconds since this host last read the store itself", func() float64 { return h.watcher.StoreAge().Seconds() }},
		{"jasminelock.store.era", "Era of the store, 0 if it states none", func() float64 { return float64(h.broker.Stats().StoreEra) }},
		{"jasminelock.store.drills", "Times since the start that the store has come back from a copy", func() float64 { return float64(h.watcher.Drills()) }},
		{"jasminelock.lead.reclaims", "Times that this host has claimed the lease again after the store came back from a copy", func() float64 { return float64(h.broker.Stats().LeaseReclaims) }},
		{"jasminelock.upstreams.outdated", "Entries of upstreams in the restored store that are ignored", func() float64 { return float64(h.watcher.OutdatedUpstreams()) }},
		{"jasminelock.zones.held", "Zones of which the restored store is outdated", func() float64 { return float64(h.watcher.HeldZones()) }},
		{"jasminelock.upstreams", "Upstreams that are listed", func() float64 { return float64(len(h.watcher.View().Upstreams)) }},
		{"jasminelock.hosts", "Hosts that callers may be sent to", func() float64 { return float64(len(h.broker.Hosts())) }},
		{"jasminelock.waiting", "Requests that wait for an upstream here", func() float64 { return float64(h.broker.Stats().Waiting) }},
		{"jasminelock.leading", "Whether this host leads", func() float64 { return float64(h.broker.Stats().Leading) }},
		{"jasminelock.lead.fence", "Fencing token of the lead that is followed, 0 for none", func() float64 { return float64(h.broker.Stats().Fence) }},
		{"jasminelock.lead.age", "Seconds since the lead was last heard of", func() float64 { return h.broker.Stats().LeaderAge.Seconds() }},
		{"jasminelock.organisations.limited", "Organisations whose rate is used up", func() float64 { return float64(h.broker.Stats().ExhaustedOrganisations) }},
		{"jasminelock.requests.quarantined", "Requests that are refused since they crash upstreams", func() float64 { return float64(h.broker.Stats().Quarantined) }},
		{"jasminelock.parts.quarantined", "Parts of prompts that are refused since they crash upstreams", func() float64 { return float64(h.broker.Stats().QuarantinedParts) }},
		{"jasminelock.suspects", "Requests and parts of prompts that ran on upstreams that broke off", func() float64 { return float64(h.broker.Stats().Suspected) }},
		{"jasminelock.upstreams.rate_limited", "Upstreams that state a request rate limit", func() float64 { return float64(h.broker.Stats().RateLimits) }},
		{"jasminelock.upstreams.rate_limit", "Sum of the rate limits that upstreams state, in requests per second", func() float64 { return h.broker.Stats().RequestsPerSecond }},
		{"jasminelock.upstreams.rate_share", "Part of these limits that this host hands out, in requests per second", func() float64 { return h.broker.Stats().OwnRequestsPerSecond }},
		{"jasminelock.upstreams.rate_age", "Greatest time in seconds since one of these limits was heard of", func() float64 { return h.broker.Stats().OldestRateLimitAge.Seconds() }},
		{"jasminelock.upstreams.oldest_state", "Greatest age, in seconds, of what an engine has told, on the lead", func() float64 { return h.broker.Stats().OldestReportAge.Seconds() }},
		{"jasminelock.log.dropped", "Log lines that were dropped or summed up", func() float64 { return float64(h.sink.UnwrittenLines()) }},
	} {
		_, err := meter.Float64ObservableGauge(g.name, metric.WithDescription(g.description),
			metric.WithFloat64Callback(func(_ context.Context, o metric.Float64Observer) error {
				o.Observe(g.value())
				return nil
			}))
		errs = append(errs, err)
	}
	return errors.Join(errs...)
}

func (h *Host) configVersion() float64 {
	if c := h.watcher.View().Config; c != nil {
		return float64(c.Version)
	}
	return 0
}

// recordResult records the result of a request.
func (m *hostMetrics) recordResult(r entry.Result) {
	ctx := context.Background()
	route := attribute.String("route", r.Route)
	m.requests.Add(ctx, 1, metric.WithAttributes(route, attribute.String("status", strconv.Itoa(r.Status)), attribute.String("reason", r.Reason)))
	m.attempts.Add(ctx, int64(r.Attempts), metric.WithAttributes(route))
	m.tokens.Add(ctx, r.Tokens, metric.WithAttributes(route))
	if r.Rule != "" {
		m.refusals.Add(ctx, 1, metric.WithAttributes(attribute.String("rule", r.Rule)))
	}
	m.ranked.Add(ctx, 1, metric.WithAttributes(route, attribute.Int("rank", min(max(r.Rank, 0), maxRankLabel)),
		attribute.String("result", rankedResult(r)), attribute.String("rule", r.Rule)))
	if r.Queued {
		m.turnError.Record(ctx, (r.Held - r.Turn).Seconds(), metric.WithAttributes(route))
	}
	m.duration.Record(ctx, r.Duration.Seconds(), metric.WithAttributes(route))
	if r.TimeToFirstToken > 0 {
		m.timeToFirstToken.Record(ctx, r.TimeToFirstToken.Seconds(), metric.WithAttributes(route))
	}
}

// rankedResult returns what became of a request in the order of waiting requests.
func rankedResult(r entry.Result) string {
	switch {
	case r.Rule == assign.Displaced:
		return "displaced"
	case r.Rule != "":
		return "refused"
	case r.Queued:
		return "waited"
	}
	return "served"
}

// operatorHandler returns the HTTP handler for operators: the metrics, the work of the upstreams, the shares of
// organisations, and the refusals of what crashes upstreams.
func (h *Host) operatorHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", h.metrics.provider.Handler())
	mux.HandleFunc("GET /upstreams", h.listUpstreamWork)
	mux.HandleFunc("GET /quarantine", h.listRefusals)
	mux.HandleFunc("GET /shares", h.listShares)
	mux.HandleFunc("DELETE /quarantine/{key}", h.liftRefusal)
	return mux
}
