package capacity

import (
	"cmp"
	"fmt"
	"slices"
)

// Row is the cost of one mechanism at the design scale, compared with its limit.
type Row struct {
	Role      string `json:"role"`
	Mechanism string `json:"mechanism"`
	// Slope is the measured value and MeasuredRange the sizes at which it was measured.
	// Calculation describes the calculation from Slope to Value.
	Slope         string  `json:"slope"`
	MeasuredRange string  `json:"range"`
	Calculation   string  `json:"steps"`
	Value         float64 `json:"value"`
	Limit         float64 `json:"limit"`
	Unit          string  `json:"unit"`
	// Change is the design change that a row over its limit needs, and ValueAfterChange the
	// estimated value after that change.
	Change           string  `json:"change,omitempty"`
	ValueAfterChange float64 `json:"then,omitempty"`
}

// WithinLimit reports whether the value is within the limit.
func (r Row) WithinLimit() bool { return r.Value <= r.Limit }

// Margin returns the ratio of the limit to the value.
func (r Row) Margin() float64 { return r.Limit / r.Value }

// scaledRow describes a row whose value is a measured slope times a factor.
type scaledRow struct {
	role, mechanism string
	metric          Metric
	factor          float64
	steps           string
	limit           float64
	unit            string
	change          string
	then            float64
}

// row returns the row of p, with its slope at the largest measured size.
func (m Measurements) row(p scaledRow) Row {
	slope := m.atLargestSize(p.metric)
	return Row{
		Role: p.role, Mechanism: p.mechanism, Slope: fmt.Sprintf("%s %s", number(slope), m.unit(p.metric)), MeasuredRange: m.sizes(p.metric),
		Calculation: p.steps, Value: slope * p.factor, Limit: p.limit, Unit: p.unit, Change: p.change, ValueAfterChange: p.then,
	}
}

// Factors of the rows.
const (
	requestsPerHost = float64(requestsPerSecond) / hosts
	// sentAndReceived is the factor from sent to total traffic of a host, which on
	// average receives as much as it sends.
	sentAndReceived = 2
	// heartbeatPeers is the number of hosts with which a host exchanges heartbeats.
	heartbeatPeers = 10
	// viewsPerRestart is 2 because a restarting host leaves the limiter's view and
	// joins it again.
	viewsPerRestart = 2
	// rareListSeconds is the proposed interval between reads of the whole host
	// list, and announceSeconds that between announcements of a host, in seconds.
	rareListSeconds = 30
	announceSeconds = 3
	// grantMessagesPerRequest counts the request for a grant, the grant and the
	// notice that the use has ended.
	grantMessagesPerRequest = 3
)

// Rows returns the cost of each mechanism. Rows over their limit come first,
// sorted by margin with the worst first.
func Rows(m Measurements) []Row {
	rows := slices.Concat(reportRows(m), hostListRows(m), grantRows(m), limiterRows(m), fleetRows(m), platformRows(m))
	rows = append(rows, memoryRow(m), worstMemoryRow(m), totalRow(rows))
	slices.SortStableFunc(rows, func(a, b Row) int {
		switch {
		case a.WithinLimit() != b.WithinLimit():
			if a.WithinLimit() {
				return 1
			}
			return -1
		case a.WithinLimit():
			return 0
		}
		return cmp.Compare(a.Margin(), b.Margin())
	})
	return rows
}

func reportRows(m Measurements) []Row {
	return []Row{m.row(scaledRow{
		role: "router", mechanism: "every host reads every upstream's load report",
		metric: reportBytes, factor: replicas * reportsPerSecond, steps: fmt.Sprintf("× %d replicas × %d/s", replicas, reportsPerSecond),
		limit: hostBytesPerSecond, unit: "B/s a host",
		change: fmt.Sprintf("only the holder of the upstream's lease reads it, once a second; the others learn of load from grants and answers; the leases lie on all hosts alike. An upstream then serves 1 read a second and not %d", hosts*reportsPerSecond),
		then:   m.atLargestSize(reportBytes) * replicas / hosts,
	}), m.row(scaledRow{
		role: "router", mechanism: "every host reads every engine's cache events",
		metric: cacheEventsBytes, factor: replicas * reportsPerSecond, steps: fmt.Sprintf("× %d replicas × %d/s, without any event", replicas, reportsPerSecond),
		limit: hostBytesPerSecond, unit: "B/s a host",
		change: "the holder of the lease reads them once a second; events themselves are not reckoned in",
		then:   m.atLargestSize(cacheEventsBytes) * replicas / hosts,
	})}
}

func hostListRows(m Measurements) []Row {
	return []Row{
		m.row(scaledRow{
			role: "membership", mechanism: "every host reads the whole host list each second",
			metric: hostListBytes, factor: hostListsPerSecond, steps: "× 1/s",
			limit: hostBytesPerSecond, unit: "B/s a host",
			change: fmt.Sprintf("a host whose roster is joined reads the list every %d s; that it is still listed, on which evictions rely, comes from the answer to its own announcement", rareListSeconds),
			then:   m.atLargestSize(hostListBytes)/rareListSeconds + m.atLargestSize(announceBytes)/announceSeconds,
		}),
		m.row(scaledRow{
			role: "platform, host list", mechanism: "every host announces itself each second",
			metric: announceBytes, factor: hosts * hostListsPerSecond / m.atLargestSize(announceBytes), steps: fmt.Sprintf("1 write each × %d hosts × 1/s", hosts),
			limit: tableWritesPerSecond, unit: "writes/s",
			change: fmt.Sprintf("announce every %d s, within the entry's 10 s", announceSeconds), then: hosts / announceSeconds,
		}),
	}
}

func grantRows(m Measurements) []Row {
	first := m.atSize(grantBytes, 1) / m.atSize(grantMessages, 1)
	return []Row{
		m.row(scaledRow{
			role: "placement", mechanism: "use grants, renewed each second for each adapter in use, with the owner's prices",
			metric: grantBytes, factor: requestsInFlight / hosts * sentAndReceived,
			steps: fmt.Sprintf("× %d tokens/s × %.3f s a token ÷ %d hosts × %d for sent and received", tokensPerSecond, tokenIntervalSeconds, hosts, sentAndReceived),
			limit: hostBytesPerSecond, unit: "B/s a host",
			change: "a grant lasts until the holder says that its request has ended or the holder is lost; prices go out only when they have changed",
			then:   first * grantMessagesPerRequest * requestsPerHost * sentAndReceived,
		}),
		m.row(scaledRow{
			role: "placement", mechanism: "notices of new owners after restarts",
			metric: noticeBytes, factor: leases * sentAndReceived * float64(restartsPerDay) / hosts / secondsPerDay,
			steps: fmt.Sprintf("× %d leases ÷ %d hosts × %d restarts a day, to every host × %d", leases, hosts, restartsPerDay, sentAndReceived),
			limit: hostBytesPerSecond, unit: "B/s a host",
		}),
		{
			Role: "placement", Mechanism: "loads of adapters that wake up", Slope: "1 load each", MeasuredRange: "by definition",
			Calculation: fmt.Sprintf("%d adapters × %.1f%% an hour, if all that move wake up", adapters, adapterMovesPerHour*100),
			Value:       adapters * adapterMovesPerHour / secondsPerHour, Limit: weightLoadsPerSecond, Unit: "loads/s",
			Change: "a weight store that allows more than today's; nothing in the hosts helps, since each such load is needed. If half of the moves are wake-ups it holds", ValueAfterChange: adapters * adapterMovesPerHour / secondsPerHour / 2,
		},
		m.row(scaledRow{
			role: "router", mechanism: "suspicions of a crash, told to every host",
			metric: suspicionFrame, factor: float64(failuresPerDay) * sentAndReceived / secondsPerDay,
			steps: fmt.Sprintf("to every host × %d a day, if upstreams crash as often as hosts fail, × %d", failuresPerDay, sentAndReceived),
			limit: hostBytesPerSecond, unit: "B/s a host",
		}),
	}
}

func limiterRows(m Measurements) []Row {
	return []Row{
		m.row(scaledRow{
			role: "limiter", mechanism: "the host that leads the largest organisation is asked for each reservation",
			metric: limitBytes, factor: requestsPerSecond * largestOrganisationShare, steps: fmt.Sprintf("× %d requests/s × %.0f%%", requestsPerSecond, largestOrganisationShare*100),
			limit: hostBytesPerSecond, unit: "B/s that host",
			change: "the lead grants a second's tokens ahead to one host of each zone, which grants to the others of its zone", then: m.atLargestSize(limitBytes) * zones,
		}),
		m.row(scaledRow{
			role: "limiter", mechanism: "reservations at the organisation's lead",
			metric: limitBytes, factor: requestsPerHost * sentAndReceived, steps: fmt.Sprintf("× %.1f requests/s a host × %d", requestsPerHost, sentAndReceived),
			limit: hostBytesPerSecond, unit: "B/s a host",
		}),
		m.row(scaledRow{
			role: "limiter", mechanism: "views read after restarts",
			metric: limitView, factor: float64(restartsPerDay) * viewsPerRestart / secondsPerDay,
			steps: fmt.Sprintf("× %d restarts a day × %d views", restartsPerDay, viewsPerRestart),
			limit: hostBytesPerSecond, unit: "B/s a host",
		}),
		m.row(scaledRow{
			role: "limiter", mechanism: "views read while all hosts are replaced within an hour",
			metric: limitView, factor: float64(hosts) * viewsPerRestart / secondsPerHour,
			steps: fmt.Sprintf("× %d hosts × %d views in an hour", hosts, viewsPerRestart),
			limit: hostBytesPerSecond, unit: "B/s a host meanwhile",
		}),
	}
}

func fleetRows(m Measurements) []Row {
	return []Row{
		m.row(scaledRow{
			role: "membership, configuration spread", mechanism: "heartbeats to five hosts, confirmations on them",
			metric: fleetBytes, factor: sentAndReceived, steps: "× 2 for sent and received", limit: hostBytesPerSecond, unit: "B/s a host",
		}),
		m.row(scaledRow{
			role: "membership, configuration spread", mechanism: "the same in a table service outage",
			metric: fleetOutageBytes, factor: sentAndReceived, steps: "× 2 for sent and received", limit: hostBytesPerSecond, unit: "B/s a host meanwhile",
		}),
		m.row(scaledRow{
			role: "configuration spread", mechanism: "changes passed on to all contacts",
			metric: configChangeFrame, factor: float64(changesPerDay) * heartbeatPeers * sentAndReceived / secondsPerDay,
			steps: fmt.Sprintf("× %d changes a day × %d contacts × %d", changesPerDay, heartbeatPeers, sentAndReceived), limit: hostBytesPerSecond, unit: "B/s a host",
		}),
		m.row(scaledRow{
			role: "configuration spread", mechanism: "all records given to hosts that start",
			metric: configArchive, factor: float64(restartsPerDay) * sentAndReceived / secondsPerDay / hosts,
			steps: fmt.Sprintf("× %d restarts a day ÷ %d hosts × %d", restartsPerDay, hosts, sentAndReceived), limit: hostBytesPerSecond, unit: "B/s a host",
		}),
		m.row(scaledRow{
			role: "configuration spread, limiter", mechanism: "reads of the two heads",
			metric: configHeadBytes, factor: m.atLargestSize(configHeadReads)/hosts + m.atLargestSize(limitHeadReads),
			steps: fmt.Sprintf("× (%s/s of all hosts ÷ %d + %s/s)", number(m.atLargestSize(configHeadReads)), hosts, number(m.atLargestSize(limitHeadReads))), limit: hostBytesPerSecond, unit: "B/s a host",
		}),
	}
}
