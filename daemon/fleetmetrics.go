package daemon

import (
	"context"
	"time"

	"go.opentelemetry.io/otel/metric"

	"github.com/jasminelock/jasminelock/membership"
	"github.com/jasminelock/jasminelock/wire"
)

// registerFleetMetrics registers the metrics of the member list, of the configuration's freshness and of the links
// to other hosts.
func (d *Daemon) registerFleetMetrics() error {
	meter := d.metrics.provider.Meter("fleet")
	gauges := []struct {
		name, description string
		value             func() int64
	}{
		{"jasminelock.roster.live", "Hosts that serve, as this one knows them", func() int64 { return d.countMembers(isLive) }},
		{"jasminelock.roster.suspected", "Hosts that some host cannot reach", func() int64 { return d.countMembers(isSuspected) }},
		{"jasminelock.config.confirmed_for_seconds", "Time for which the configuration may be taken to be in force", d.confirmedForSeconds},
		{"jasminelock.peers.open", "Links to other hosts", func() int64 { return d.peerCounts().Open }},
	}
	for _, g := range gauges {
		_, err := meter.Int64ObservableGauge(g.name, metric.WithDescription(g.description), observeInt64(g.value))
		if err != nil {
			return err
		}
	}
	counters := []struct {
		name, description string
		value             func() int64
	}{
		{"jasminelock.peers.sent_bytes", "Bytes sent to other hosts", func() int64 { return d.peerCounts().SentBytes }},
		{"jasminelock.peers.received_bytes", "Bytes received from other hosts", func() int64 { return d.peerCounts().ReceivedBytes }},
		{"jasminelock.peers.dropped", "Frames that were not sent", func() int64 { return d.peerCounts().Dropped }},
		{"jasminelock.peers.refused", "Links that failed authentication or the version check", func() int64 { return d.peerCounts().Refused }},
		{"jasminelock.peers.malformed", "Frames that could not be read", func() int64 { return d.peerCounts().Malformed }},
	}
	for _, c := range counters {
		_, err := meter.Int64ObservableCounter(c.name, metric.WithDescription(c.description), observeInt64(c.value))
		if err != nil {
			return err
		}
	}
	return nil
}

func observeInt64(value func() int64) metric.Int64ObservableOption {
	return metric.WithInt64Callback(func(_ context.Context, o metric.Int64Observer) error {
		o.Observe(value())
		return nil
	})
}

func isLive(m membership.Member) bool { return m.State == wire.HostLive && !m.Suspected }

func isSuspected(m membership.Member) bool { return m.Suspected }

func (d *Daemon) countMembers(counts func(membership.Member) bool) int64 {
	n := int64(0)
	for _, m := range d.board.Members.Snapshot() {
		if counts(m) {
			n++
		}
	}
	return n
}

// confirmedForSeconds returns the remaining time in seconds for which the configuration counts as confirmed to
// be in force, 0 before the first confirmation. Below 0, requests with an API key are refused.
func (d *Daemon) confirmedForSeconds() int64 {
	until := d.freshUntil.Load()
	if until == nil || until.IsZero() {
		return 0
	}
	return int64(time.Until(*until).Seconds())
}
