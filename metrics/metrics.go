// Package metrics gives each package that measures something a meter, and
// serves what was measured as Prometheus text.
package metrics

import (
	"net/http"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	exporter "go.opentelemetry.io/otel/exporters/prometheus"
	"go.opentelemetry.io/otel/metric"
	sdk "go.opentelemetry.io/otel/sdk/metric"
)

// Provider is one host's metrics. Several hosts of one process have one each.
type Provider struct {
	registry *prometheus.Registry
	provider *sdk.MeterProvider
}

// New returns metrics of the process and of the Go runtime, and of whoever
// takes a meter.
func New() (*Provider, error) {
	registry := prometheus.NewRegistry()
	registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	reader, err := exporter.New(exporter.WithRegisterer(registry), exporter.WithoutScopeInfo(), exporter.WithoutTargetInfo())
	if err != nil {
		return nil, err
	}
	return &Provider{registry: registry, provider: sdk.NewMeterProvider(sdk.WithReader(reader))}, nil
}

// Meter returns the meter of a package.
func (p *Provider) Meter(pkg string) metric.Meter {
	return p.provider.Meter("github.com/jasminelock/jasminelock/" + pkg)
}

// Handler serves the metrics as Prometheus text.
func (p *Provider) Handler() http.Handler {
	return promhttp.HandlerFor(p.registry, promhttp.HandlerOpts{})
}
