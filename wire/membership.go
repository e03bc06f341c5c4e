package wire

// The numbers of the membership messages.
const (
	TypePing         Type = 100
	TypeAck          Type = 101
	TypeMemberListUpdate Type = 102
	TypeMemberListDigest Type = 103
	TypeSuspicion    Type = 104
	TypeProbeRequest      Type = 105
	TypeAlive        Type = 106
)

var membershipDecoders = map[Type]func() Message{
	TypePing:         func() Message { return &Ping{} },
	TypeAck:          func() Message { return &Ack{} },
	TypeMemberListUpdate: func() Message { return &MemberListUpdate{} },
	TypeMemberListDigest: func() Message { return &MemberListDigest{} },
	TypeSuspicion:    func() Message { return &Suspicion{} },
	TypeProbeRequest:      func() Message { return &ProbeRequest{} },
	TypeAlive:        func() Message { return &Alive{} },
}

// HostState is where a host is in its life. For one incarnation it only grows.
type HostState uint8

// The states of a host.
const (
	// HostJoining hosts are not ready to be given callers.
	HostJoining HostState = iota + 1
	// HostLive hosts serve.
	HostLive
	// HostLeaving hosts finish their work and take no new callers.
	HostLeaving
	// HostGone hosts have left or failed.
	HostGone
)

// String returns the state's name in logs and status.
func (s HostState) String() string {
	switch s {
	case HostJoining:
		return "joining"
	case HostLive:
		return "live"
	case HostLeaving:
		return "leaving"
	case HostGone:
		return "gone"
	}
	return "unknown"
}

// HostEntry is what the roster knows of a host. The entry with the higher
// incarnation is the newer one; within an incarnation, the one with the higher
// state.
type HostEntry struct {
	Name        string    `cbor:"1,keyasint"`
	Zone        string    `cbor:"2,keyasint"`
	Incarnation uint64    `cbor:"3,keyasint"`
	State       HostState `cbor:"4,keyasint"`
	CallerURL   string    `cbor:"5,keyasint,omitempty"`
	PeerURL     string    `cbor:"6,keyasint,omitempty"`
}

// HeartbeatState is what every heartbeat says of its sender.
type HeartbeatState struct {
	// Sequence is the sender's number of a Ping; an Ack repeats it.
	Sequence uint32 `cbor:"1,keyasint"`
	// Incarnation and State are those of the sender's own entry.
	Incarnation uint64    `cbor:"2,keyasint"`
	State       HostState `cbor:"3,keyasint"`
	// MemberListHash is the hash of all entries that the sender holds.
	MemberListHash uint64 `cbor:"4,keyasint"`
	// Load is the number of requests that the sender works on.
	Load uint32 `cbor:"5,keyasint,omitempty"`
	// Revision is the configuration that the sender has in force.
	Revision int64 `cbor:"6,keyasint,omitempty"`
}

// Ping is a heartbeat.
type Ping struct {
	HeartbeatState
	// Probe marks a Ping that is not one of a regular series: its end is no sign
	// of trouble.
	Probe bool `cbor:"7,keyasint,omitempty"`
}

// Ack answers a Ping. Ages count from the answer's making, so that the host
// that asked can reckon them from the time of its question without comparing
// clocks.
type Ack struct {
	HeartbeatState
	// Confirmed says that Revision was the newest ConfirmedAgeMillis ago.
	Confirmed          bool   `cbor:"7,keyasint,omitempty"`
	ConfirmedAgeMillis uint32 `cbor:"8,keyasint,omitempty"`
	// FailedReads are the failed reads of the table service, four numbers each: hash
	// of the zone, hash of the host that tried, age in milliseconds, revision that
	// the host has in force.
	FailedReads []uint32 `cbor:"9,keyasint,omitempty"`
	// RequiredZones are the hashes of the zones that must be heard from before the table
	// service is taken to be down. They are told where the confirmation is old,
	// since a host that has just started knows only the zones it can reach.
	RequiredZones []uint32 `cbor:"10,keyasint,omitempty"`
}

// MemberListUpdate brings entries.
type MemberListUpdate struct {
	Entries []HostEntry `cbor:"1,keyasint"`
}

// MemberListDigest brings a hash of each bucket of the sender's roster. The
// receiver answers with its entries of the buckets that differ.
type MemberListDigest struct {
	Buckets []uint64 `cbor:"1,keyasint"`
	// WantDigest asks for the receiver's digest in return.
	WantDigest bool `cbor:"2,keyasint,omitempty"`
}

// Suspicion says that its witness cannot reach a host.
type Suspicion struct {
	Host        string `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint"`
	Witness     string `cbor:"3,keyasint"`
}

// ProbeRequest asks the receiver to find out whether a host can be reached.
type ProbeRequest struct {
	Host string `cbor:"1,keyasint"`
}

// Alive answers an Inquiry: the host has just been heard.
type Alive struct {
	Host string `cbor:"1,keyasint"`
}

// WireType implements Message.
func (*Ping) WireType() Type { return TypePing }

// WireType implements Message.
func (*Ack) WireType() Type { return TypeAck }

// WireType implements Message.
func (*MemberListUpdate) WireType() Type { return TypeMemberListUpdate }

// WireType implements Message.
func (*MemberListDigest) WireType() Type { return TypeMemberListDigest }

// WireType implements Message.
func (*Suspicion) WireType() Type { return TypeSuspicion }

// WireType implements Message.
func (*ProbeRequest) WireType() Type { return TypeProbeRequest }

// WireType implements Message.
func (*Alive) WireType() Type { return TypeAlive }
