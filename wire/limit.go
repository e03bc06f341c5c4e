package wire

// The type numbers of the limiter's messages.
const (
	TypeLimitProbe        Type = 300
	TypeLimitProbeAnswer  Type = 301
	TypeLimitView         Type = 302
	TypeLimitRequest      Type = 303
	TypeLimitAnswer       Type = 304
	TypeLimitReturn       Type = 305
	TypeLimitHeld         Type = 306
	TypeLimitHandover     Type = 307
	TypeLimitHandoverAck  Type = 308
	TypeLimitGrantSettled Type = 309
)

var limitDecoders = map[Type]func() Message{
	TypeLimitProbe:        func() Message { return &LimitProbe{} },
	TypeLimitProbeAnswer:  func() Message { return &LimitProbeAnswer{} },
	TypeLimitView:         func() Message { return &LimitView{} },
	TypeLimitRequest:      func() Message { return &LimitRequest{} },
	TypeLimitAnswer:       func() Message { return &LimitAnswer{} },
	TypeLimitReturn:       func() Message { return &LimitReturn{} },
	TypeLimitHeld:         func() Message { return &LimitHeld{} },
	TypeLimitHandover:     func() Message { return &LimitHandover{} },
	TypeLimitHandoverAck:  func() Message { return &LimitHandoverAck{} },
	TypeLimitGrantSettled: func() Message { return &LimitGrantSettled{} },
}

// LimitMember is one incarnation of a host.
type LimitMember struct {
	_           struct{} `cbor:",toarray"`
	Host        string
	Incarnation uint64
}

// LimitProbe carries the epoch of the view that the sender has joined and requests
// that of the receiver.
type LimitProbe struct {
	_           struct{} `cbor:",toarray"`
	Round       uint64
	Incarnation uint64
	Epoch       int64
	// WantView requests the receiver's view if it is later than Epoch, because the table
	// service does not answer the sender.
	WantView bool
}

// LimitProbeAnswer carries the epoch of the view that the sender has joined, 0 for none.
type LimitProbeAnswer struct {
	_           struct{} `cbor:",toarray"`
	Round       uint64
	Incarnation uint64
	Epoch       int64
}

// LimitView is a membership view as stored in the table service.
type LimitView struct {
	_     struct{} `cbor:",toarray"`
	Epoch int64
	// Members are the hosts that may be the leader of an organisation in this view.
	Members []LimitMember
	// Previous are the members of the preceding view.
	Previous []LimitMember
}

// LimitRequest requests tokens from an organisation's leader.
type LimitRequest struct {
	_            struct{} `cbor:",toarray"`
	ID           uint64
	Incarnation  uint64
	Epoch        int64
	Organisation string
	Tokens       int64
}

// LimitAnswer answers a LimitRequest.
type LimitAnswer struct {
	_           struct{} `cbor:",toarray"`
	ID          uint64
	Incarnation uint64 // of the requesting host
	Epoch       int64  // of the leader
	OK          bool
	RetryMillis int64
	Remaining   int64
	// Stamp is the leader's clock in milliseconds. It has a meaning only to the leader.
	Stamp int64
	// Exhausted means that the organisation's tokens are used up.
	Exhausted bool
}

// LimitGrantSettled reports that a grant has been spent or will never be spent.
type LimitGrantSettled struct {
	_            struct{} `cbor:",toarray"`
	ID           uint64   // of the LimitRequest
	Incarnation  uint64   // of the sender
	Organisation string
}

// LimitReturn returns unused tokens to a leader. A negative amount is usage beyond
// the reservation.
type LimitReturn struct {
	_            struct{} `cbor:",toarray"`
	Sequence     uint64   // increases with each LimitReturn of one sender to one leader in one epoch
	Incarnation  uint64   // of the sender
	Epoch        int64
	Organisation string
	Tokens       int64
	// Stamp is the leader's latest stamp that the sender knew when the request was
	// settled.
	Stamp int64
}

// LimitHeld reports how much of an in-flight budget the sender holds.
type LimitHeld struct {
	_            struct{} `cbor:",toarray"`
	Incarnation  uint64
	Epoch        int64
	Organisation string
	Held         int64
	// Resolved is the ID of the last LimitRequest whose outcome Held includes.
	Resolved uint64
}

// LimitHandover transfers the accounts that the sender led before a view change to
// their new leader, and reports how much the sender holds of the in-flight budgets
// that the receiver leads.
type LimitHandover struct {
	_           struct{} `cbor:",toarray"`
	Incarnation uint64
	Epoch       int64
	Accounts    []LimitAccount
	Held        []LimitHeld
}

// LimitAccount is the state of one organisation's token bucket.
type LimitAccount struct {
	_            struct{} `cbor:",toarray"`
	Organisation string
	Tokens       float64
	Granted      float64
}

// LimitHandoverAck confirms that a LimitHandover has been applied.
type LimitHandoverAck struct {
	_     struct{} `cbor:",toarray"`
	Epoch int64
}

// WireType implements Message.
func (*LimitProbe) WireType() Type { return TypeLimitProbe }

// WireType implements Message.
func (*LimitProbeAnswer) WireType() Type { return TypeLimitProbeAnswer }

// WireType implements Message.
func (*LimitView) WireType() Type { return TypeLimitView }

// WireType implements Message.
func (*LimitRequest) WireType() Type { return TypeLimitRequest }

// WireType implements Message.
func (*LimitAnswer) WireType() Type { return TypeLimitAnswer }

// WireType implements Message.
func (*LimitReturn) WireType() Type { return TypeLimitReturn }

// WireType implements Message.
func (*LimitHeld) WireType() Type { return TypeLimitHeld }

// WireType implements Message.
func (*LimitHandover) WireType() Type { return TypeLimitHandover }

// WireType implements Message.
func (*LimitHandoverAck) WireType() Type { return TypeLimitHandoverAck }

// WireType implements Message.
func (*LimitGrantSettled) WireType() Type { return TypeLimitGrantSettled }
