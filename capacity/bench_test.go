package capacity

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/jasminelock/jasminelock/upstream"
)

// BenchmarkReportDecode decodes an engine's load report.
func BenchmarkReportDecode(b *testing.B) {
	raw := []byte(encodeJSON(newLoadReport(slotsPerReplica)))
	for b.Loop() {
		var r upstream.Report
		if err := json.Unmarshal(raw, &r); err != nil {
			b.Fatal(err)
		}
	}
}

// newLargeScheduler returns a scheduler of all upstreams, which owns them.
func newLargeScheduler(now time.Time) *hostScheduler {
	p := newHostScheduler(hostName(0), unlimitedBudget{})
	p.grantLeases(now, p.Configure(now, engines(replicas, zones)))
	p.grantLeases(now, p.Tick(now))
	p.reportAll(now, replicas, 0)
	return p
}

// BenchmarkLoadReported takes a load report into a scheduler of all upstreams.
func BenchmarkLoadReported(b *testing.B) {
	now := newClock().now
	p := newLargeScheduler(now)
	r := newLoadReport(slotsPerReplica)
	for b.Loop() {
		now = now.Add(time.Millisecond)
		p.LoadReported(now, engineName(0), r)
	}
}

// BenchmarkSchedulerTick lets time pass with all upstreams and nothing to do.
func BenchmarkSchedulerTick(b *testing.B) {
	now := newClock().now
	p := newLargeScheduler(now)
	for b.Loop() {
		now = now.Add(time.Millisecond)
		p.grantLeases(now, p.Tick(now))
	}
}

// BenchmarkFleetSecond reports the time of a host's second of heartbeats, the
// simulation and the encoding of frames included.
func BenchmarkFleetSecond(b *testing.B) {
	const n = 100
	s := newFleetSimulation(n, fleetZones[n])
	s.clock.run(settleTime)
	for b.Loop() {
		s.clock.run(time.Second)
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/n, "ns/host-second")
}
