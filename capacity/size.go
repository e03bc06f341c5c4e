// Package capacity measures the cost of the mechanisms of a host in small
// simulations on virtual time, and extrapolates these costs to the design scale.
//
// It measures only quantities that are the same in every run: bytes, messages,
// allocations, calls of the platform and live heap. Processor time is not
// measured.
package capacity

// The design scale, to which costs are extrapolated.
const (
	hosts             = 390
	replicas          = 1_900
	requestsPerSecond = 2_300
	tokensPerSecond   = 880_000
	adapters          = 110_000
	zones             = 17
	changesPerDay     = 1_900
	failuresPerDay    = 32
	restartsPerDay    = 780
	// adapterMovesPerHour is the share of the adapters that become active or idle
	// within an hour.
	adapterMovesPerHour = 0.092
	// tokenIntervalSeconds is the time between two tokens of an answer.
	tokenIntervalSeconds = 0.031
)

// Limits of a host and of the platform.
const (
	hostBytesPerSecond = 7_000
	hostMemoryBytes    = 64e6
	// tableWritesPerSecond and tableReadsPerSecond are limits of the table service,
	// which allows several hundred writes and about two thousand reads a second.
	tableWritesPerSecond = 300
	tableReadsPerSecond  = 2_000
	// weightLoadsPerSecond is the limit of the smaller weight store.
	weightLoadsPerSecond = 2
)

// Assumptions, for quantities that the design scale does not state.
const (
	// keyedRequestShare is the share of the requests with an idempotency key.
	keyedRequestShare = 1.0 / 15
	// largestOrganisationShare is the largest organisation's share of the requests.
	largestOrganisationShare = 0.1
	// organisations is the number of organisations.
	organisations = 5_000
	// heapGrowthFactor is the ratio of the heap size to the live heap that the
	// garbage collector allows.
	heapGrowthFactor = 2
	// slotsPerReplica is the number of adapters that an engine holds.
	slotsPerReplica = 8
)

// Rates and group sizes of the daemon.
const (
	reportsPerSecond   = 4
	hostListsPerSecond = 1
	groupsPerZone      = 8
	// sweepsPerSecond is the number of pages of expired outcomes that all hosts
	// together read and delete.
	sweepsPerSecond = 4
	leases          = zones * groupsPerZone
	secondsPerDay   = 86_400
	secondsPerHour  = 3_600
)

// requestsInFlight is the number of requests in flight in the fleet: the token
// rate times the time per token of one request.
const requestsInFlight = tokensPerSecond * tokenIntervalSeconds

// upstreamsPerLease is the mean number of upstreams per lease, rounded, and thus
// the number of upstreams of an owner with one lease.
const upstreamsPerLease = (replicas + leases/2) / leases
