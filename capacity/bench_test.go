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

// newLargeScheduler returns a scheduler at the design scale that holds the
// leases of all upstreams and has a load report of each.
func newLargeScheduler(now time.Time) *hostScheduler {
	p := newHostScheduler(hostName(0), unlimitedBudget{})
	p.grantLeases(now, p.Configure(now, engines(replicas, zones)))
	p.grantLeases(now, p.Tick(now))
	p.reportAll(now, replicas, 0)
	return p
}

// BenchmarkLoadReported applies one load report to a scheduler at the design
// scale.
func BenchmarkLoadReported(b *testing.B) {
	now := newClock().now
	p := newLargeScheduler(now)
	r := newLoadReport(slotsPerReplica)
	for b.Loop() {
		now = now.Add(time.Millisecond)
		p.LoadReported(now, engineName(0), r)
	}
}

// BenchmarkSchedulerTick runs ticks of a scheduler at the design scale without
// any request.
func BenchmarkSchedulerTick(b *testing.B) {
	now := newClock().now
	p := newLargeScheduler(now)
	for b.Loop() {
		now = now.Add(time.Millisecond)
		p.grantLeases(now, p.Tick(now))
	}
}

// BenchmarkFleetSecond reports the processor time that one second of heartbeats
// takes per host, including the simulation and the encoding of frames.
func BenchmarkFleetSecond(b *testing.B) {
	const n = 100
	s := newFleetSimulation(n, fleetZones[n])
	s.clock.run(settleTime)
	for b.Loop() {
		s.clock.run(time.Second)
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/n, "ns/host-second")
}
