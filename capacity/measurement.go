package capacity

import (
	"fmt"
	"runtime"
	"slices"
	"strings"
)

// Metric is the name of a measured quantity, as printed.
type Metric string

// The metrics.
const (
	configHeap        Metric = "configuration: live heap of a host"
	configArchive     Metric = "configuration: packed records given to a new host"
	configChangeFrame Metric = "configuration: frame of a change of one version"
	configHeadReads   Metric = "configuration: head reads of all hosts"
	configHeadBytes   Metric = "configuration: one read of the head over HTTP"

	fleetMessages    Metric = "membership and spread: messages sent by a host"
	fleetBytes       Metric = "membership and spread: bytes sent by a host"
	fleetOutageBytes Metric = "membership and spread: bytes sent by a host, table service down"
	fleetHeap        Metric = "membership and spread: live heap of a host"

	hostListBytes Metric = "host list: one read over HTTP"
	announceBytes Metric = "host list: one announcement over HTTP"

	limitMessages  Metric = "limiter: messages for a reservation"
	limitBytes     Metric = "limiter: bytes for a reservation"
	limitHeadReads Metric = "limiter: head reads of a host"
	limitWrites    Metric = "limiter: writes for an organisation first seen"
	limitHeap      Metric = "limiter: live heap of an idle organisation"
	limitView      Metric = "limiter: view in the table service"

	schedHeap          Metric = "scheduler: live heap for an upstream with its adapters"
	schedRequestedHeap Metric = "scheduler: live heap for an adapter asked for of late"
	schedIdleHeap      Metric = "scheduler: live heap for an adapter not asked for in an hour"
	schedAllocations   Metric = "scheduler: allocations for a routed request"
	schedClaims        Metric = "scheduler: claims of a held lease"
	grantMessages      Metric = "use grants: messages for a request in flight"
	grantBytes         Metric = "use grants: bytes for a request in flight"
	noticeBytes        Metric = "use grants: notice of a new owner with its acknowledgement"

	cacheEventsBytes Metric = "cache events: one read over HTTP that brings none"
	reportBytes      Metric = "load report: one read over HTTP"
	outcomeWrites    Metric = "outcomes: writes for a keyed request"
	suspicionFrame   Metric = "quarantine: frame of a suspicion"
)

// Measurement is the value of a metric at one size. SizeUnit is the unit of Size, Unit
// that of Value.
type Measurement struct {
	Metric   Metric  `json:"metric"`
	Size     int     `json:"size"`
	SizeUnit string  `json:"of"`
	Value    float64 `json:"value"`
	Unit     string  `json:"unit"`
}

// Measurements holds one measurement for each metric and size.
type Measurements []Measurement

// atLargestSize returns the value at the largest size at which a metric was
// measured. It panics if there is none.
func (m Measurements) atLargestSize(metric Metric) float64 {
	size, value := -1, 0.0
	for _, x := range m {
		if x.Metric == metric && x.Size > size {
			size, value = x.Size, x.Value
		}
	}
	if size < 0 {
		panic(fmt.Sprintf("capacity: %q was not measured", metric))
	}
	return value
}

// unit returns the unit of a metric that was measured.
func (m Measurements) unit(metric Metric) string {
	i := slices.IndexFunc(m, func(x Measurement) bool { return x.Metric == metric })
	return m[i].Unit
}

// sizes returns the range of sizes at which a metric was measured, as printed.
func (m Measurements) sizes(metric Metric) string {
	smallest, largest, of := 0, 0, ""
	for _, x := range m {
		if x.Metric != metric {
			continue
		}
		if of == "" || x.Size < smallest {
			smallest = x.Size
		}
		largest, of = max(largest, x.Size), x.SizeUnit
	}
	if smallest == largest {
		return fmt.Sprintf("%d %s", largest, of)
	}
	return fmt.Sprintf("%d to %d %s", smallest, largest, of)
}

// Options limits the sizes at which metrics are measured.
type Options struct {
	// MaxHosts, MaxReplicas and MaxAdapters are the largest sizes to measure.
	// 0 means no limit.
	MaxHosts, MaxReplicas, MaxAdapters int
}

// sizesUpTo returns the sizes that are no larger than largest, or all of them if
// largest is 0.
func sizesUpTo(sizes []int, largest int) []int {
	var kept []int
	for _, s := range sizes {
		if largest == 0 || s <= largest {
			kept = append(kept, s)
		}
	}
	return kept
}

// Measure measures all metrics and returns them sorted by metric.
func Measure(o Options) (Measurements, error) {
	var all Measurements
	for _, part := range []func(Options) (Measurements, error){
		measureConfiguration, measureFleet, measureLimiter, measureScheduler, measureGrants, measureFrames, measureOutcomes,
	} {
		m, err := part(o)
		if err != nil {
			return nil, err
		}
		all = append(all, m...)
	}
	slices.SortStableFunc(all, func(a, b Measurement) int { return strings.Compare(string(a.Metric), string(b.Metric)) })
	return all, nil
}

// liveHeap returns the size of all live heap objects, in bytes.
func liveHeap() float64 {
	runtime.GC()
	runtime.GC() // the second run frees what finalizers kept alive in the first
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// allocations returns the mean number of allocations per call of f, rounded down:
// the race detector now and then empties pools, which adds a fraction of an
// allocation per call.
func allocations(calls int, f func()) float64 {
	f()
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	for range calls {
		f()
	}
	runtime.ReadMemStats(&after)
	return float64((after.Mallocs - before.Mallocs) / uint64(calls))
}
