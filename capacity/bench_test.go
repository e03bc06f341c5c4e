package capacity

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/jasminelock/jasminelock/upstream"
)

// BenchmarkReportDecode decodes an engine's load report.
func BenchmarkReportDecode(b *testing.B) {
	raw := []byte(encoded(report(slotsPerReplica)))
	for b.Loop() {
		var r upstream.Report
		if err := json.Unmarshal(raw, &r); err != nil {
			b.Fatal(err)
		}
	}
}

// largeScheduler returns a scheduler of all upstreams, which owns them.
func largeScheduler(now time.Time) *hostPolicy {
	p := newHostPolicy(hostName(0), freeLoads{})
	p.claim(now, p.Configure(now, engines(replicas, zones)))
	p.claim(now, p.Tick(now))
	p.reportAll(now, replicas, 0)
	return p
}

// BenchmarkReported takes a load report into a scheduler of all upstreams.
func BenchmarkReported(b *testing.B) {
	now := newClock().now
	p := largeScheduler(now)
	r := report(slotsPerReplica)
	for b.Loop() {
		now = now.Add(time.Millisecond)
		p.LoadReported(now, engineName(0), r)
	}
}

// BenchmarkSchedulerTick lets time pass with all upstreams and nothing to do.
func BenchmarkSchedulerTick(b *testing.B) {
	now := newClock().now
	p := largeScheduler(now)
	for b.Loop() {
		now = now.Add(time.Millisecond)
		p.claim(now, p.Tick(now))
	}
}

// BenchmarkFleetSecond reports the time of a host's second of heartbeats, the
// simulation and the encoding of frames included.
func BenchmarkFleetSecond(b *testing.B) {
	const n = 100
	w := newFleetWorld(n, fleetZones[n])
	w.clock.run(settle)
	for b.Loop() {
		w.clock.run(time.Second)
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/n, "ns/host-second")
}
