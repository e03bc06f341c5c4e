package daemon

import (
	"context"
	"time"

	"go.opentelemetry.io/otel/metric"

	"github.com/jasminelock/jasminelock/membership"
	"github.com/jasminelock/jasminelock/wire"
)

// watchFleet adds the metrics of the roster, of the configuration's freshness
// and of the links to other hosts.
func (d *Daemon) watchFleet() error {
	meter := d.metrics.provider.Meter("fleet")
	gauges := []struct {
		name, description string
		value             func() int64
	}{
		{"jasminelock.roster.live", "Hosts that serve, as this one knows them", func() int64 { return d.countRoster(isLive) }},
		{"jasminelock.roster.suspected", "Hosts that some host cannot reach", func() int64 { return d.countRoster(isSuspected) }},
		{"jasminelock.config.confirmed_for_seconds", "Time for which the configuration may be taken to be in force", d.confirmedFor},
		{"jasminelock.peers.open", "Links to other hosts", func() int64 { return d.peerCounts().Open }},
	}
	for _, g := range gauges {
		_, err := meter.Int64ObservableGauge(g.name, metric.WithDescription(g.description), observe(g.value))
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
		_, err := meter.Int64ObservableCounter(c.name, metric.WithDescription(c.description), observe(c.value))
		if err != nil {
			return err
		}
	}
	return nil
}

func observe(value func() int64) metric.Int64ObservableOption {
	return metric.WithInt64Callback(func(_ context.Context, o metric.Int64Observer) error {
		o.Observe(value())
		return nil
	})
}

func isLive(m membership.Member) bool { return m.State == wire.HostLive && !m.Suspected }

func isSuspected(m membership.Member) bool { return m.Suspected }

func (d *Daemon) countRoster(counts func(membership.Member) bool) int64 {
	n := int64(0)
	for _, m := range d.board.Members.Snapshot() {
		if counts(m) {
			n++
		}
	}
	return n
}

// confirmedFor is below 0 where requests with a key are refused.
func (d *Daemon) confirmedFor() int64 {
	until := d.freshUntil.Load()
	if until == nil || until.IsZero() {
		return 0
	}
	return int64(time.Until(*until).Seconds())
}
