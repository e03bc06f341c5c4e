package wire

// The type numbers of the messages on peer links. Each file of messages has a
// block of 100: membership from 100, configuration distribution from 200, limits from
// 300, scheduling from 400, outcomes from 500, assignment from 600.
const (
	TypeHello Type = 1
)

// FirstLimitType is the lowest type number of the messages about requests: limits,
// scheduling, outcomes and assignment. The messages below it carry the member list
// and the configuration.
const FirstLimitType Type = 300

var linkDecoders = map[Type]func() Message{
	TypeHello: func() Message { return &Hello{} },
}

// Hello is the first message on a peer link; both sides send one.
type Hello struct {
	Host        string `cbor:"1,keyasint"`
	Zone        string `cbor:"2,keyasint"`
	Incarnation uint64 `cbor:"3,keyasint"`
	MinVersion  int    `cbor:"4,keyasint"`
	MaxVersion  int    `cbor:"5,keyasint"`
}

// WireType implements Message.
func (*Hello) WireType() Type { return TypeHello }
