// Package metrics provides OpenTelemetry meters to the packages that record metrics, and serves the
// metrics in the Prometheus text format.
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

// Provider holds the metrics of one host. If a process runs several hosts, each has its own Provider.
type Provider struct {
	registry      *prometheus.Registry
	meterProvider *sdk.MeterProvider
}

// New returns a provider of the metrics of the process, of the Go runtime and of all instruments that are
// created with its meters. It returns an error if the Prometheus exporter cannot be registered.
func New() (*Provider, error) {
	registry := prometheus.NewRegistry()
	registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	reader, err := exporter.New(exporter.WithRegisterer(registry), exporter.WithoutScopeInfo(), exporter.WithoutTargetInfo())
	if err != nil {
		return nil, err
	}
	return &Provider{registry: registry, meterProvider: sdk.NewMeterProvider(sdk.WithReader(reader))}, nil
}

// Meter returns the meter of a package, whose path is given relative to the module.
func (p *Provider) Meter(pkg string) metric.Meter {
	return p.meterProvider.Meter("github.com/jasminelock/jasminelock/" + pkg)
}

// Handler returns a handler that serves the metrics in the Prometheus text format.
func (p *Provider) Handler() http.Handler {
	return promhttp.HandlerFor(p.registry, promhttp.HandlerOpts{})
}
