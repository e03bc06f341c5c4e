package capacity

import (
	"fmt"
	"strings"
)

// platformRows are the calls of the table service of all hosts.
func platformRows(m Measurements) []Row {
	claims := m.at(schedClaims) * leases
	keyed := m.at(outcomeWrites) * requestsPerSecond * keyedShare
	views := float64(restartsPerDay) * viewsPerRestart / secondsPerDay
	limiterReads := m.at(limitHeadReads) * hosts
	return []Row{
		m.row(product{
			role: "outcome records", mechanism: "a claim before dispatch, its end after",
			metric: outcomeWrites, factor: requestsPerSecond * keyedShare, steps: fmt.Sprintf("× %d requests/s × 1/%.0f with a key", requestsPerSecond, 1/keyedShare),
			limit: tableWrites - claims, unit: "writes/s, what leases leave",
			change: "the answers go to the object store and only claims to the table; then each service has one write for a request. Gathering several in one transaction is of no use: a host has one keyed request in some seconds",
			then:   keyed / 2,
		}),
		m.row(product{
			role: "placement", mechanism: "renewal of leases, one for a group of upstreams",
			metric: schedClaims, factor: leases, steps: fmt.Sprintf("× %d zones × %d groups, 1 write a claim", zones, groupsPerZone), limit: tableWrites, unit: "writes/s",
		}),
		{
			Role: "platform, table service", Mechanism: "all writes: leases, outcomes, views, changes", Slope: "the rows above", Range: "as there",
			Steps: fmt.Sprintf("%s + %s + %s + %s", number(claims), number(keyed), number(views), number(float64(changesPerDay)/secondsPerDay)),
			Value: claims + keyed + views + float64(changesPerDay)/secondsPerDay, Limit: tableWrites, Unit: "writes/s",
			Change: "as for outcome records", Then: claims + keyed/2 + views,
		},
		{
			Role: "platform, table service", Mechanism: "all reads: two heads, leases", Slope: "the rows above", Range: "as there",
			Steps: fmt.Sprintf("%s + %s × %d hosts + %s", number(m.at(configHeadReads)), number(m.at(limitHeadReads)), hosts, number(claims)),
			Value: m.at(configHeadReads) + limiterReads + claims, Limit: tableReads, Unit: "reads/s",
		},
		{
			Role: "platform, host list", Mechanism: "all reads of the list", Slope: "1 read/s", Range: "by definition", Steps: fmt.Sprintf("× %d hosts", hosts),
			Value: hosts * hostListsPerSecond, Limit: tableReads, Unit: "reads/s",
		},
	}
}

// memoryRow sums the state of all roles. Every adapter is taken to have been
// asked for on this host.
func memoryRow(m Measurements) Row {
	parts := []float64{
		m.at(configHeap), m.at(schedHeap) * replicas, m.at(schedAdapterHeap) * adapters,
		m.at(fleetHeap), m.at(limitHeap) * organisations,
	}
	live := 0.0
	texts := make([]string, 0, len(parts))
	for _, p := range parts {
		live += p
		texts = append(texts, number(p))
	}
	return Row{
		Role: "all", Mechanism: "live heap for control: configuration, scheduler, its adapters asked for, roster, limiter",
		Slope: "the heap measurements", Range: "as there", Steps: fmt.Sprintf("(%s) × %d for the garbage collector", strings.Join(texts, " + "), heapGrowth),
		Value: live * heapGrowth, Limit: hostMemoryBytes, Unit: "B",
		Change: "forget the queue and the demand of an adapter that has not been asked for in an hour, so that only those awake are kept",
		Then:   (live - m.at(schedAdapterHeap)*adapters*(1-movesPerHour)) * heapGrowth,
	}
}

// totalRow sums what a host sends and receives for all mechanisms, and what
// would be left after the changes.
func totalRow(rows []Row) Row {
	const perHost = "B/s a host"
	total, then := 0.0, 0.0
	for _, r := range rows {
		if r.Unit != perHost {
			continue
		}
		total += r.Value
		if r.Holds() {
			then += r.Value
		} else {
			then += r.Then
		}
	}
	return Row{
		Role: "all", Mechanism: "all that a host sends and receives for control", Slope: "the rows by host", Range: "as there", Steps: "sum",
		Value: total, Limit: hostBytesPerSecond, Unit: perHost, Change: "those of the rows; outages and calm are both counted", Then: then,
	}
}

// atSize returns the figure of one size.
func (m Measurements) atSize(metric Metric, size int) float64 {
	for _, x := range m {
		if x.Metric == metric && x.Size == size {
			return x.Value
		}
	}
	panic(fmt.Sprintf("capacity: %q was not measured at %d", metric, size))
}
