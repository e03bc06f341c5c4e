// Package bench measures the decisions of package core on virtual time: the
// real code, with small fakes at its interfaces.
//
// Two deployments with the users' sizes are each put through the same
// scenarios, by our policy and by baselines. The same seed gives the same
// figures.
package bench

import "time"

// Deployment is the fixed shape of one user's fleet.
type Deployment struct {
	Name  string
	Zones []string
	// ZoneDistance is the time for one way between zones, CallerDistance
	// between a caller and a host.
	ZoneDistance   time.Duration
	CallerDistance time.Duration
	Hosts          int
	Engines        int
	Services       int
	AdapterSlots   int
	MaxBatch       int
	Adapters       int
	// LoadsPerSecond and LoadsInFlight are what the weight store gives.
	LoadsPerSecond float64
	LoadsInFlight  int
	// LoadTime is one load's time while no more than LoadsInFlight run.
	LoadTime      time.Duration
	Organisations []Organisation
	// SessionRate is how many sessions start a second over all organisations.
	SessionRate float64
	// ServiceRate is how many calls of plain services start a second.
	ServiceRate float64
}

// Organisation is a tenant of a deployment.
type Organisation struct {
	Name string
	// Share is its part of the sessions and of the adapters.
	Share float64
	// Headroom is its rate over its mean use.
	Headroom float64
}

// Sizes that both deployments share.
const (
	hosts          = 7
	adapterSlots   = 8
	maxBatch       = 16
	adapters       = 3000
	loadTime       = 250 * time.Millisecond
	maxLoadsAtOnce = 8
)

// Deployments returns the two deployments that the users run.
func Deployments() []Deployment {
	return []Deployment{
		{
			Name:         "kretatabla",
			Zones:        []string{"hu-central-a", "hu-central-b", "hu-central-c"},
			ZoneDistance: 1500 * time.Microsecond, CallerDistance: time.Millisecond,
			Hosts: hosts, Engines: 10, Services: 3, AdapterSlots: adapterSlots, MaxBatch: maxBatch, Adapters: adapters,
			LoadsPerSecond: 2, LoadsInFlight: maxLoadsAtOnce, LoadTime: loadTime,
			Organisations: organisations("north", "west", "lakes", "plain", "south"),
			SessionRate:   1.5, ServiceRate: 4,
		},
		{
			Name:         "hoi-go",
			Zones:        []string{"vn-south-a", "vn-south-b", "vn-south-c"},
			ZoneDistance: time.Millisecond, CallerDistance: time.Millisecond,
			Hosts: hosts, Engines: 12, Services: 3, AdapterSlots: adapterSlots, MaxBatch: maxBatch, Adapters: adapters,
			LoadsPerSecond: 3, LoadsInFlight: maxLoadsAtOnce, LoadTime: loadTime,
			Organisations: organisations("resorts", "dealers-a", "dealers-b", "builders", "spas"),
			SessionRate:   2.2, ServiceRate: 8,
		},
	}
}

// organisations returns five organisations, a few of them large.
func organisations(names ...string) []Organisation {
	shares := []float64{0.40, 0.30, 0.15, 0.10, 0.05}
	out := make([]Organisation, 0, len(names))
	for i, name := range names {
		out = append(out, Organisation{Name: name, Share: shares[i], Headroom: 2})
	}
	return out
}

// Scenario is what happens to a deployment while it is measured.
type Scenario struct {
	Name string
	// Skew is the exponent of the adapters' popularity (Zipf).
	Skew float64
	// ShiftEvery makes other adapters popular at this interval. 0 means never.
	ShiftEvery time.Duration
	// RestartAt restarts RestartEngines engines empty, at that time.
	RestartAt      time.Duration
	RestartEngines int
	// OutageFrom and OutageFor say when the table service is down.
	OutageFrom, OutageFor time.Duration
	// Greedy makes the first organisation ask for this many times its rate.
	Greedy float64
	// FailLoads is the share of loads that fail.
	FailLoads float64
	// KillHostAt kills one host. Its callers ask again for another.
	KillHostAt time.Duration
	// LeaveAt marks one engine as leaving.
	LeaveAt time.Duration
}

// Scenarios returns the scenarios, in the order in which they are printed.
func Scenarios() []Scenario {
	const skew = 1.1
	return []Scenario{
		{Name: "steady", Skew: skew},
		{Name: "skewed", Skew: 1.5},
		{Name: "shifting", Skew: skew, ShiftEvery: time.Minute},
		{Name: "restart", Skew: skew, RestartAt: 120 * time.Second, RestartEngines: 3},
		{Name: "outage", Skew: skew, OutageFrom: 100 * time.Second, OutageFor: 150 * time.Second},
		{Name: "greedy", Skew: skew, Greedy: 5},
		{Name: "bad-loads", Skew: skew, FailLoads: 0.2},
		{Name: "host-killed", Skew: skew, KillHostAt: 150 * time.Second},
		{Name: "leaving", Skew: skew, LeaveAt: 150 * time.Second},
	}
}
