package wire

// Messages of scheduling.
const (
	TypeUseAsk Type = 400 + iota
	TypeUseAnswer
	TypeOwnerNotice
	TypeOwnerAck
)

var schedDecoders = map[Type]func() Message{
	TypeUseAsk:      func() Message { return &UseAsk{} },
	TypeUseAnswer:   func() Message { return &UseAnswer{} },
	TypeOwnerNotice: func() Message { return &OwnerNotice{} },
	TypeOwnerAck:    func() Message { return &OwnerAck{} },
}

// Use names an adapter version on an upstream.
type Use struct {
	Upstream string `cbor:"1,keyasint"`
	// Adapter is "adapter@version".
	Adapter string `cbor:"2,keyasint"`
	// Requests counts what the sender has dispatched for it since its last
	// message or, for a load, what waits.
	Requests int `cbor:"3,keyasint,omitempty"`
	// Load numbers a load within the process that asks for it.
	Load uint64 `cbor:"4,keyasint,omitempty"`
}

// SlotPrice says what a slot of an engine costs.
type SlotPrice struct {
	Upstream string `cbor:"1,keyasint"`
	// Free is the number of empty slots.
	Free int `cbor:"2,keyasint,omitempty"`
	// Demand is that for the adapter which would have to go, in requests.
	Demand float64 `cbor:"3,keyasint,omitempty"`
	// Blocked says that no adapter can go now.
	Blocked bool `cbor:"4,keyasint,omitempty"`
}

// UseAsk asks an upstream's owner for use grants and for loads. Messages may be
// lost or repeated: the sender asks again under a new number.
type UseAsk struct {
	Number uint64 `cbor:"1,keyasint"`
	// Process tells the sender's processes apart.
	Process uint64 `cbor:"4,keyasint"`
	// Uses are the grants asked for, new ones and renewals.
	Uses []Use `cbor:"2,keyasint,omitempty"`
	// Loads are to be started at once. The sender has taken the budget for them,
	// and asks again under the same number until it knows the end.
	Loads []Use `cbor:"3,keyasint,omitempty"`
}

// UseAnswer answers a UseAsk. A use that is not listed is not granted. One with
// Number 0 tells how loads ended and grants nothing.
type UseAnswer struct {
	Number  uint64 `cbor:"1,keyasint"`
	Granted []Use  `cbor:"2,keyasint,omitempty"`
	// NotOwned are upstreams that the answering host does not own.
	NotOwned []string    `cbor:"3,keyasint,omitempty"`
	Prices   []SlotPrice `cbor:"4,keyasint,omitempty"`
	// Started loads are under way, Busy ones have not been started and will not
	// be. Loaded and Failed ones have ended.
	Started []Use `cbor:"5,keyasint,omitempty"`
	Busy    []Use `cbor:"6,keyasint,omitempty"`
	Loaded  []Use `cbor:"7,keyasint,omitempty"`
	Failed  []Use `cbor:"8,keyasint,omitempty"`
}

// OwnerNotice says that the sender holds the lease of a group of upstreams
// under the given fencing number.
type OwnerNotice struct {
	Resource string `cbor:"1,keyasint"`
	Fence    int64  `cbor:"2,keyasint"`
}

// OwnerAck promises to give no grant under a lower fencing number.
type OwnerAck struct {
	Resource string `cbor:"1,keyasint"`
	Fence    int64  `cbor:"2,keyasint"`
}

// WireType implements Message.
func (*UseAsk) WireType() Type { return TypeUseAsk }

// WireType implements Message.
func (*UseAnswer) WireType() Type { return TypeUseAnswer }

// WireType implements Message.
func (*OwnerNotice) WireType() Type { return TypeOwnerNotice }

// WireType implements Message.
func (*OwnerAck) WireType() Type { return TypeOwnerAck }
