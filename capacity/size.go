// Package capacity measures what the mechanisms of a host cost, by driving them
// in small loops on virtual time, and works out from these slopes what they
// cost at the size to design for.
//
// Only what is the same in every run is measured: bytes, messages, allocations,
// calls of the platform and live heap. Processor time is not.
package capacity

// The size to design for.
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
	// adapterMovesPerHour is the share of the adapters that wake up or fall idle.
	adapterMovesPerHour = 0.092
	// tokenIntervalSeconds is the time between two tokens, in seconds.
	tokenIntervalSeconds = 0.031
)

// What may be spent.
const (
	hostBytesPerSecond = 7_000
	hostMemoryBytes    = 64e6
	// tableWritesPerSecond and tableReadsPerSecond are a second: several hundred, and about two
	// thousand.
	tableWritesPerSecond = 300
	tableReadsPerSecond  = 2_000
	// weightLoadsPerSecond is how many loads a second the smaller weight store allows.
	weightLoadsPerSecond = 2
)

// What the size leaves open, and is assumed.
const (
	// keyedRequestShare is the share of the requests with an idempotency key.
	keyedRequestShare = 1.0 / 15
	// largestOrganisationShare is the largest organisation's share of the requests.
	largestOrganisationShare = 0.1
	// organisations is their number.
	organisations = 5_000
	// heapGrowthFactor is what the garbage collector lets the heap grow by, as a factor
	// of what is live.
	heapGrowthFactor = 2
	// slotsPerReplica is how many adapters an engine holds.
	slotsPerReplica = 8
)

// What the daemon does.
const (
	reportsPerSecond   = 4
	hostListsPerSecond = 1
	groupsPerZone      = 8
	// sweepsPerSecond are the pages of expired outcomes that all hosts together read and
	// delete, a second.
	sweepsPerSecond = 4
	leases          = zones * groupsPerZone
	secondsPerDay   = 86_400
	secondsPerHour  = 3_600
)

// requestsInFlight follows from the time that a request's tokens take.
const requestsInFlight = tokensPerSecond * tokenIntervalSeconds

// upstreamsPerLease is the mean, and that of an owner with one lease.
const upstreamsPerLease = (replicas + leases/2) / leases
