package wire

// The messages of the limiter.
const (
	TypeLimitProbe       Type = 300
	TypeLimitProbeAnswer Type = 301
	TypeLimitView        Type = 302
	TypeLimitRequest         Type = 303
	TypeLimitAnswer      Type = 304
	TypeLimitReturn      Type = 305
	TypeLimitHeld        Type = 306
	TypeLimitHandover    Type = 307
	TypeLimitHandoverAck Type = 308
	TypeLimitGrantSettled       Type = 309
)

var limitDecoders = map[Type]func() Message{
	TypeLimitProbe:       func() Message { return &LimitProbe{} },
	TypeLimitProbeAnswer: func() Message { return &LimitProbeAnswer{} },
	TypeLimitView:        func() Message { return &LimitView{} },
	TypeLimitRequest:         func() Message { return &LimitRequest{} },
	TypeLimitAnswer:      func() Message { return &LimitAnswer{} },
	TypeLimitReturn:      func() Message { return &LimitReturn{} },
	TypeLimitHeld:        func() Message { return &LimitHeld{} },
	TypeLimitHandover:    func() Message { return &LimitHandover{} },
	TypeLimitHandoverAck: func() Message { return &LimitHandoverAck{} },
	TypeLimitGrantSettled:       func() Message { return &LimitGrantSettled{} },
}

// LimitMember is one run of a host's process.
type LimitMember struct {
	_           struct{} `cbor:",toarray"`
	Host        string
	Incarnation uint64
}

// LimitProbe tells a host the view that the sender has joined, and asks for the
// host's own.
type LimitProbe struct {
	_           struct{} `cbor:",toarray"`
	Round       uint64
	Incarnation uint64
	Epoch       int64
	// WantView asks for a later view itself, since the table service does not
	// give it.
	WantView bool
}

// LimitProbeAnswer says which view the sender has joined, 0 for none.
type LimitProbeAnswer struct {
	_           struct{} `cbor:",toarray"`
	Round       uint64
	Incarnation uint64
	Epoch       int64
}

// LimitView is a view as the table service holds it.
type LimitView struct {
	_     struct{} `cbor:",toarray"`
	Epoch int64
	// Members may lead organisations in this view.
	Members []LimitMember
	// Previous are the members of the view before.
	Previous []LimitMember
}

// LimitRequest asks an organisation's lead for tokens.
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
	Incarnation uint64 // of the host that asked
	Epoch       int64  // of the lead
	OK          bool
	RetryMillis int64
	Remaining   int64
	// Stamp is the lead's clock in milliseconds, of meaning to the lead only.
	Stamp int64
	// Exhausted says that the organisation's tokens are used up.
	Exhausted bool
}

// LimitGrantSettled says that a grant has been spent, or will not be.
type LimitGrantSettled struct {
	_            struct{} `cbor:",toarray"`
	ID           uint64   // of the LimitRequest
	Incarnation  uint64   // of the sender
	Organisation string
}

// LimitReturn gives tokens back to a lead. A negative amount is usage beyond
// what was reserved.
type LimitReturn struct {
	_            struct{} `cbor:",toarray"`
	Sequence     uint64   // grows with each LimitReturn of one sender to one lead in one epoch
	Incarnation  uint64   // of the sender
	Epoch        int64
	Organisation string
	Tokens       int64
	// Stamp is the latest of the lead's stamps that the sender had when the
	// request was settled.
	Stamp int64
}

// LimitHeld says how much of a budget in flight the sender holds.
type LimitHeld struct {
	_            struct{} `cbor:",toarray"`
	Incarnation  uint64
	Epoch        int64
	Organisation string
	Held         int64
	// Resolved is the last LimitRequest whose outcome Held includes.
	Resolved uint64
}

// LimitHandover passes on what the sender led before a view, and says what it
// holds of the budgets in flight that the receiver leads.
type LimitHandover struct {
	_           struct{} `cbor:",toarray"`
	Incarnation uint64
	Epoch       int64
	Accounts    []LimitAccount
	Held        []LimitHeld
}

// LimitAccount is the state of one organisation's bucket.
type LimitAccount struct {
	_            struct{} `cbor:",toarray"`
	Organisation string
	Tokens       float64
	Granted      float64
}

// LimitHandoverAck says that a LimitHandover has been taken.
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
