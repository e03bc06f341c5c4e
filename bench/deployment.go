// Package bench measures the decisions of package core on virtual time. It runs
// the real code with small fakes at its interfaces.
//
// Two deployments of the users' sizes run the same scenarios, each with the
// daemon's policy and with baselines. The same seed gives the same figures.
package bench

import "time"

// Deployment describes one user's fleet and its load.
type Deployment struct {
	Name  string
	Zones []string
	// ZoneLatency is the one-way latency between zones, and CallerLatency that
	// between a caller and a host.
	ZoneLatency   time.Duration
	CallerLatency time.Duration
	Hosts         int
	Engines       int
	Services      int
	AdapterSlots  int
	MaxBatch      int
	Adapters      int
	// LoadsPerSecond is the rate at which the weight store starts loads, and
	// LoadsInFlight the number of loads that it serves at full speed.
	LoadsPerSecond float64
	LoadsInFlight  int
	// LoadTime is the duration of one load while no more than LoadsInFlight run.
	LoadTime      time.Duration
	Organisations []Organisation
	// SessionRate is the number of sessions of all organisations that start per
	// second.
	SessionRate float64
	// ServiceRate is the number of calls of plain services per second.
	ServiceRate float64
}

// Organisation is a tenant of a deployment.
type Organisation struct {
	Name string
	// Share is the organisation's share of the sessions and of the service calls.
	Share float64
	// Headroom is the ratio of its rate limit to its mean use.
	Headroom float64
}

// Sizes that are the same in both deployments.
const (
	hosts          = 7
	adapterSlots   = 8
	maxBatch       = 16
	adapters       = 3000
	loadTime       = 250 * time.Millisecond
	maxLoadsAtOnce = 8
)

// Deployments returns the deployments of the two users.
func Deployments() []Deployment {
	return []Deployment{
		{
			Name:        "kretatabla",
			Zones:       []string{"hu-central-a", "hu-central-b", "hu-central-c"},
			ZoneLatency: 1500 * time.Microsecond, CallerLatency: time.Millisecond,
			Hosts: hosts, Engines: 10, Services: 3, AdapterSlots: adapterSlots, MaxBatch: maxBatch, Adapters: adapters,
			LoadsPerSecond: 2, LoadsInFlight: maxLoadsAtOnce, LoadTime: loadTime,
			Organisations: organisations("north", "west", "lakes", "plain", "south"),
			SessionRate:   1.5, ServiceRate: 4,
		},
		{
			Name:        "hoi-go",
			Zones:       []string{"vn-south-a", "vn-south-b", "vn-south-c"},
			ZoneLatency: time.Millisecond, CallerLatency: time.Millisecond,
			Hosts: hosts, Engines: 12, Services: 3, AdapterSlots: adapterSlots, MaxBatch: maxBatch, Adapters: adapters,
			LoadsPerSecond: 3, LoadsInFlight: maxLoadsAtOnce, LoadTime: loadTime,
			Organisations: organisations("resorts", "dealers-a", "dealers-b", "builders", "spas"),
			SessionRate:   2.2, ServiceRate: 8,
		},
	}
}

// organisations returns organisations with the given names, five at most, with
// shares in descending order.
func organisations(names ...string) []Organisation {
	shares := []float64{0.40, 0.30, 0.15, 0.10, 0.05}
	out := make([]Organisation, 0, len(names))
	for i, name := range names {
		out = append(out, Organisation{Name: name, Share: shares[i], Headroom: 2})
	}
	return out
}

// Scenario describes the load pattern and the faults of a run.
type Scenario struct {
	Name string
	// Skew is the exponent of the Zipf distribution of the adapters' popularity.
	Skew float64
	// ShiftEvery is the interval at which other adapters become popular. 0 means
	// never.
	ShiftEvery time.Duration
	// RestartAt is when RestartedEngines engines restart and lose their adapters.
	RestartAt        time.Duration
	RestartedEngines int
	// OutageFrom and OutageFor are the start and the duration of an outage of the
	// table service.
	OutageFrom, OutageFor time.Duration
	// GreedyFactor is how many times its rate limit the first organisation requests. 0
	// means its usual load.
	GreedyFactor float64
	// LoadFailureShare is the share of loads that fail.
	LoadFailureShare float64
	// KillHostAt is when the last host is killed. Callers then use other hosts.
	KillHostAt time.Duration
	// MarkLeavingAt is when one engine is marked as leaving.
	MarkLeavingAt time.Duration
}

// Scenarios returns the scenarios, in the order in which they are printed.
func Scenarios() []Scenario {
	const skew = 1.1
	return []Scenario{
		{Name: "steady", Skew: skew},
		{Name: "skewed", Skew: 1.5},
		{Name: "shifting", Skew: skew, ShiftEvery: time.Minute},
		{Name: "restart", Skew: skew, RestartAt: 120 * time.Second, RestartedEngines: 3},
		{Name: "outage", Skew: skew, OutageFrom: 100 * time.Second, OutageFor: 150 * time.Second},
		{Name: "greedy", Skew: skew, GreedyFactor: 5},
		{Name: "bad-loads", Skew: skew, LoadFailureShare: 0.2},
		{Name: "host-killed", Skew: skew, KillHostAt: 150 * time.Second},
		{Name: "leaving", Skew: skew, MarkLeavingAt: 150 * time.Second},
	}
}
