package callers

import (
	"context"
	"errors"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"github.com/jasminelock/jasminelock/intake"
)

// RegisterMetrics registers what callers hold, their limits, and what was refused or closed for them.
func (g *Gate) RegisterMetrics(meter metric.Meter) error {
	limits := g.budget.Limits()
	_, heldErr := meter.Int64ObservableGauge("jasminelock.callers.held", metric.WithUnit("By"),
		metric.WithDescription("Memory held for callers, by what holds it"),
		metric.WithInt64Callback(func(_ context.Context, o metric.Int64Observer) error {
			for _, k := range intake.Kinds() {
				o.Observe(g.budget.Held(k), metric.WithAttributes(attribute.String("kind", k.String())))
			}
			return nil
		}))
	_, refusedErr := meter.Int64ObservableCounter("jasminelock.callers.refused",
		metric.WithDescription("Requests refused and connections closed for the limits of callers, by reason"),
		metric.WithInt64Callback(func(_ context.Context, o metric.Int64Observer) error {
			for _, r := range intake.Reasons() {
				o.Observe(g.budget.Refused(r), metric.WithAttributes(attribute.String("reason", r.String())))
			}
			return nil
		}))
	errs := []error{heldErr, refusedErr}
	for _, gauge := range []struct {
		name, description string
		value             func() int64
	}{
		{"jasminelock.callers.limit", "Limit of the memory held for callers, in bytes", func() int64 { return limits.Bytes }},
		{"jasminelock.callers.connections", "Open connections of callers", func() int64 { return int64(g.budget.Connections()) }},
		{"jasminelock.callers.connections.limit", "Limit of these connections", func() int64 { return int64(limits.Connections) }},
	} {
		_, err := meter.Int64ObservableGauge(gauge.name, metric.WithDescription(gauge.description),
			metric.WithInt64Callback(func(_ context.Context, o metric.Int64Observer) error {
				o.Observe(gauge.value())
				return nil
			}))
		errs = append(errs, err)
	}
	return errors.Join(errs...)
}
