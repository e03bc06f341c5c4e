package wire

// The type numbers of the messages about the rate limits of upstreams.
const (
	TypeRateLimits Type = 620 + iota
	TypeRateLimitReport
)

var rateLimitDecoders = map[Type]func() Message{
	TypeRateLimits:      func() Message { return &RateLimits{} },
	TypeRateLimitReport: func() Message { return &RateLimitReport{} },
}

// RateLimit is the request rate that an upstream accepts from all hosts together.
type RateLimit struct {
	Upstream  string `cbor:"1,keyasint"`
	StartedAt int64  `cbor:"2,keyasint"`
	// PerSecond is the limit in requests per second.
	PerSecond float64 `cbor:"3,keyasint"`
	// Withdrawn means that the upstream has responded without stating the limit.
	Withdrawn bool `cbor:"4,keyasint,omitempty"`
	// AgeMillis is the time since the limit was last heard of, in milliseconds.
	AgeMillis int64 `cbor:"5,keyasint,omitempty"`
	// Version is the leader's version of the limit, 0 if no leader has confirmed it.
	Version uint64 `cbor:"6,keyasint,omitempty"`
}

// RateLimits announces the leader's list of limits, or its changes, to a host.
type RateLimits struct {
	// Version is the version of the list.
	Version uint64 `cbor:"1,keyasint"`
	// Base is the version of the list that this message updates. 0 means that the message
	// carries the whole list.
	Base   uint64      `cbor:"2,keyasint,omitempty"`
	Limits []RateLimit `cbor:"3,keyasint,omitempty"`
	// Ended are the limits that have been removed.
	Ended []RateLimit `cbor:"4,keyasint,omitempty"`
}

// RateLimitReport reports limits that a host knows to the leader, or to some other hosts if no
// leader announces them.
type RateLimitReport struct {
	Limits []RateLimit `cbor:"1,keyasint"`
}

// RateLimitState describes the limit under which a decision was made, for the logs of the host
// that submitted the request.
type RateLimitState struct {
	PerSecond float64 `cbor:"1,keyasint"`
	// Share is the share of the limit that the sender may use.
	Share     float64 `cbor:"2,keyasint"`
	AgeMillis int64   `cbor:"3,keyasint,omitempty"`
}

// WireType implements Message.
func (*RateLimits) WireType() Type { return TypeRateLimits }

// WireType implements Message.
func (*RateLimitReport) WireType() Type { return TypeRateLimitReport }
