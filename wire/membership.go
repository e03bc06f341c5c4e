package wire

// The type numbers of the membership messages.
const (
	TypePing             Type = 100
	TypeAck              Type = 101
	TypeMemberListUpdate Type = 102
	TypeMemberListDigest Type = 103
	TypeSuspicion        Type = 104
	TypeProbeRequest     Type = 105
	TypeAlive            Type = 106
)

var membershipDecoders = map[Type]func() Message{
	TypePing:             func() Message { return &Ping{} },
	TypeAck:              func() Message { return &Ack{} },
	TypeMemberListUpdate: func() Message { return &MemberListUpdate{} },
	TypeMemberListDigest: func() Message { return &MemberListDigest{} },
	TypeSuspicion:        func() Message { return &Suspicion{} },
	TypeProbeRequest:     func() Message { return &ProbeRequest{} },
	TypeAlive:            func() Message { return &Alive{} },
}

// HostState is the lifecycle state of a host. Within one incarnation it only increases.
type HostState uint8

// The states of a host.
const (
	// HostJoining hosts are not ready for callers.
	HostJoining HostState = iota + 1
	// HostLive hosts serve callers.
	HostLive
	// HostLeaving hosts finish their requests and accept no new callers.
	HostLeaving
	// HostGone hosts have left or failed.
	HostGone
)

// String returns the name of the state as shown in logs and in the status.
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

// HostEntry is the entry of one host in the member list. Of two entries, the one
// with the higher incarnation is newer; within one incarnation, the one with the
// higher state.
type HostEntry struct {
	Name        string    `cbor:"1,keyasint"`
	Zone        string    `cbor:"2,keyasint"`
	Incarnation uint64    `cbor:"3,keyasint"`
	State       HostState `cbor:"4,keyasint"`
	CallerURL   string    `cbor:"5,keyasint,omitempty"`
	PeerURL     string    `cbor:"6,keyasint,omitempty"`
}

// HeartbeatState is the sender's state, which every heartbeat carries.
type HeartbeatState struct {
	// Sequence is the sender's number of a Ping. The Ack repeats it.
	Sequence uint32 `cbor:"1,keyasint"`
	// Incarnation and State are those of the sender's own HostEntry.
	Incarnation uint64    `cbor:"2,keyasint"`
	State       HostState `cbor:"3,keyasint"`
	// MemberListHash is the hash of all entries of the sender's member list.
	MemberListHash uint64 `cbor:"4,keyasint"`
	// Load is the number of requests in progress on the sender.
	Load uint32 `cbor:"5,keyasint,omitempty"`
	// Revision is the revision of the configuration in force on the sender.
	Revision int64 `cbor:"6,keyasint,omitempty"`
}

// Ping is a heartbeat.
type Ping struct {
	HeartbeatState
	// Probe marks a Ping outside the regular series. That no further Ping follows it
	// does not indicate a failure of the sender.
	Probe bool `cbor:"7,keyasint,omitempty"`
}

// Ack answers a Ping. Ages are relative to the creation of the Ack, so that the
// host that sent the Ping can compute them from its sending time without comparing
// the clocks of two hosts.
type Ack struct {
	HeartbeatState
	// Confirmed means that Revision was the newest revision ConfirmedAgeMillis
	// milliseconds ago.
	Confirmed          bool   `cbor:"7,keyasint,omitempty"`
	ConfirmedAgeMillis uint32 `cbor:"8,keyasint,omitempty"`
	// FailedReads are the failed reads of the table service, as groups of four numbers:
	// the hash of the zone, the hash of the reading host, the age in milliseconds and
	// the revision in force on that host.
	FailedReads []uint32 `cbor:"9,keyasint,omitempty"`
	// RequiredZones are the hashes of the zones that must have reported before the table
	// service is considered down. They are sent while the confirmation is old, because
	// a host that has just started knows only the zones that it can reach.
	RequiredZones []uint32 `cbor:"10,keyasint,omitempty"`
}

// MemberListUpdate carries entries of the sender's member list.
type MemberListUpdate struct {
	Entries []HostEntry `cbor:"1,keyasint"`
}

// MemberListDigest carries a hash of each bucket of the sender's member list. The
// receiver answers with its entries of the buckets whose hashes differ.
type MemberListDigest struct {
	Buckets []uint64 `cbor:"1,keyasint"`
	// WantDigest requests the receiver's digest in return.
	WantDigest bool `cbor:"2,keyasint,omitempty"`
}

// Suspicion reports that the witness cannot reach a host.
type Suspicion struct {
	Host        string `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint"`
	Witness     string `cbor:"3,keyasint"`
}

// ProbeRequest requests that the receiver check whether a host can be reached.
type ProbeRequest struct {
	Host string `cbor:"1,keyasint"`
}

// Alive reports that the sender has just heard from a host, in answer to the request
// to check that host.
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
