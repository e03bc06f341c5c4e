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
	// movesPerHour is the share of the adapters that wake up or fall idle.
	movesPerHour = 0.092
	// tokenInterval is the time between two tokens, in seconds.
	tokenInterval = 0.031
)

// What may be spent.
const (
	hostBytesPerSecond = 7_000
	hostMemoryBytes    = 64e6
	// tableWrites and tableReads are a second: several hundred, and about two
	// thousand.
	tableWrites = 300
	tableReads  = 2_000
	// weightLoads is how many loads a second the smaller weight store allows.
	weightLoads = 2
)

// What the size leaves open, and is assumed.
const (
	// keyedShare is the share of the requests with an idempotency key.
	keyedShare = 1.0 / 15
	// largestShare is the largest organisation's share of the requests.
	largestShare = 0.1
	// organisations is their number.
	organisations = 5_000
	// heapGrowth is what the garbage collector lets the heap grow by, as a factor
	// of what is live.
	heapGrowth = 2
	// slotsPerReplica is how many adapters an engine holds.
	slotsPerReplica = 8
)

// What the daemon does.
const (
	reportsPerSecond   = 4
	hostListsPerSecond = 1
	groupsPerZone      = 8
	// sweeps are the pages of expired outcomes that all hosts together read and
	// delete, a second.
	sweeps         = 4
	leases         = zones * groupsPerZone
	secondsPerDay  = 86_400
	secondsPerHour = 3_600
)

// requestsInFlight follows from the time that a request's tokens take.
const requestsInFlight = tokensPerSecond * tokenInterval

// upstreamsPerLease is the mean, and that of an owner with one lease.
const upstreamsPerLease = (replicas + leases/2) / leases
