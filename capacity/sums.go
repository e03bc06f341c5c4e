package capacity

import (
	"fmt"
	"strings"
)

// platformRows returns the rows for the calls of all hosts to the table service
// and the host list.
func platformRows(m Measurements) []Row {
	claims := m.atLargestSize(schedClaims) * leases
	keyed := m.atLargestSize(outcomeWrites) * requestsPerSecond * keyedRequestShare
	views := float64(restartsPerDay) * viewsPerRestart / secondsPerDay
	limiterReads := m.atLargestSize(limitHeadReads) * hosts
	return []Row{
		m.row(scaledRow{
			role: "outcome records", mechanism: "a claim before dispatch, its end after",
			metric: outcomeWrites, factor: requestsPerSecond * keyedRequestShare, steps: fmt.Sprintf("× %d requests/s × 1/%.0f with a key", requestsPerSecond, 1/keyedRequestShare),
			limit: tableWritesPerSecond - claims, unit: "writes/s, what leases leave",
			change: "the answers go to the object store and only claims to the table; then each service has one write for a request. Gathering several in one transaction is of no use: a host has one keyed request in some seconds",
			then:   keyed / 2,
		}),
		m.row(scaledRow{
			role: "placement", mechanism: "renewal of leases, one for a group of upstreams",
			metric: schedClaims, factor: leases, steps: fmt.Sprintf("× %d zones × %d groups, 1 write a claim", zones, groupsPerZone), limit: tableWritesPerSecond, unit: "writes/s",
		}),
		{
			Role: "platform, table service", Mechanism: "all writes: leases, outcomes, sweeps, views, changes", Slope: "the rows above", MeasuredRange: "as there",
			Calculation: fmt.Sprintf("%s + %s + %d + %s + %s", number(claims), number(keyed), sweepsPerSecond, number(views), number(float64(changesPerDay)/secondsPerDay)),
			Value:       claims + keyed + sweepsPerSecond + views + float64(changesPerDay)/secondsPerDay, Limit: tableWritesPerSecond, Unit: "writes/s",
			Change: "as for outcome records", ValueAfterChange: claims + keyed/2 + sweepsPerSecond + views,
		},
		{
			Role: "platform, table service", Mechanism: "all reads: two heads, leases, sweeps", Slope: "the rows above", MeasuredRange: "as there",
			Calculation: fmt.Sprintf("%s + %s × %d hosts + %s + %d", number(m.atLargestSize(configHeadReads)), number(m.atLargestSize(limitHeadReads)), hosts, number(claims), sweepsPerSecond),
			Value:       m.atLargestSize(configHeadReads) + limiterReads + claims + sweepsPerSecond, Limit: tableReadsPerSecond, Unit: "reads/s",
		},
		{
			Role: "platform, host list", Mechanism: "all reads of the list", Slope: "1 read/s", MeasuredRange: "by definition", Calculation: fmt.Sprintf("× %d hosts", hosts),
			Value: hosts * hostListsPerSecond, Limit: tableReadsPerSecond, Unit: "reads/s",
		},
	}
}

// liveBytes returns the live heap of all roles on one host, in bytes, and the
// steps of the sum. requested is the number of adapters that had a request on the
// host lately, idle that of adapters without a request for an hour, and
// organisationsLed that of organisations whose leader is the host.
func liveBytes(m Measurements, requested, idle, organisationsLed float64) (live float64, steps string) {
	parts := []float64{
		m.atLargestSize(configHeap), m.atLargestSize(schedHeap) * replicas, m.atLargestSize(schedRequestedHeap) * requested, m.atLargestSize(schedIdleHeap) * idle, m.atLargestSize(fleetHeap), m.atLargestSize(limitHeap) * organisationsLed,
	}
	texts := make([]string, 0, len(parts))
	for _, p := range parts {
		live += p
		texts = append(texts, number(p))
	}
	return live, strings.Join(texts, " + ")
}

// memoryRow returns the memory of a host if callers send requests to the host that
// the system locates for them: each adapter is then requested on one host of each
// zone.
func memoryRow(m Measurements) Row {
	live, steps := liveBytes(m, float64(adapters)*zones/hosts, 0, float64(organisations)/hosts)
	return Row{
		Role: "all", Mechanism: "live heap for control: configuration, upstreams, adapters asked for on one host of each zone, roster, organisations led",
		Slope: "the heap measurements", MeasuredRange: "as there", Calculation: fmt.Sprintf("(%s) × %d for the garbage collector", steps, heapGrowthFactor),
		Value: live * heapGrowthFactor, Limit: hostMemoryBytes, Unit: "B", Change: "as in the row for the worst case", ValueAfterChange: live * heapGrowthFactor,
	}
}

// worstMemoryRow returns the memory of a host in the worst case: every adapter was
// requested on it, those that become active or idle within an hour were requested
// lately, and the host is the leader of every organisation.
func worstMemoryRow(m Measurements) Row {
	live, steps := liveBytes(m, adapters*adapterMovesPerHour, adapters*(1-adapterMovesPerHour), organisations)
	after, _ := liveBytes(m, adapters*adapterMovesPerHour, 0, float64(organisations)/hosts)
	return Row{
		Role: "all", Mechanism: "the same with every adapter once asked for on the host, 9.2% of them of late, and every organisation led by it",
		Slope: "the heap measurements", MeasuredRange: "as there", Calculation: fmt.Sprintf("(%s) × %d for the garbage collector", steps, heapGrowthFactor),
		Value: live * heapGrowthFactor, Limit: hostMemoryBytes, Unit: "B",
		Change: "index tables that shrink when adapters are forgotten, and organisations led by all hosts; besides, an adapter's queue and maps made only when a request waits (not reckoned in)", ValueAfterChange: after * heapGrowthFactor,
	}
}

// totalRow returns the total of what a host sends and receives for all mechanisms
// while nothing fails, and the total that remains after the proposed changes.
func totalRow(rows []Row) Row {
	const perHost = "B/s a host"
	total, then := 0.0, 0.0
	for _, r := range rows {
		if r.Unit != perHost {
			continue
		}
		total += r.Value
		if r.WithinLimit() {
			then += r.Value
		} else {
			then += r.ValueAfterChange
		}
	}
	return Row{
		Role: "all", Mechanism: "all that a host sends and receives for control while nothing fails", Slope: "the rows by host", MeasuredRange: "as there", Calculation: "sum",
		Value: total, Limit: hostBytesPerSecond, Unit: perHost, Change: "the changes of the rows", ValueAfterChange: then,
	}
}

// atSize returns the value of a metric at one size. It panics if there is none.
func (m Measurements) atSize(metric Metric, size int) float64 {
	for _, x := range m {
		if x.Metric == metric && x.Size == size {
			return x.Value
		}
	}
	panic(fmt.Sprintf("capacity: %q was not measured at %d", metric, size))
}
