package wire

// Messages of scheduling.
const (
	TypeUseRequest Type = 400 + iota
	TypeUseAnswer
	TypeOwnerNotice
	TypeOwnerAck
)

var schedDecoders = map[Type]func() Message{
	TypeUseRequest:      func() Message { return &UseRequest{} },
	TypeUseAnswer:   func() Message { return &UseAnswer{} },
	TypeOwnerNotice: func() Message { return &OwnerNotice{} },
	TypeOwnerAck:    func() Message { return &OwnerAck{} },
}

// AdapterUse names an adapter version on an upstream.
type AdapterUse struct {
	Upstream string `cbor:"1,keyasint"`
	// Adapter is "adapter@version".
	Adapter string `cbor:"2,keyasint"`
	// Requests counts what the sender has dispatched for it since its last
	// message or, for a load, what waits.
	Requests int `cbor:"3,keyasint,omitempty"`
	// LoadNumber numbers a load within the process that asks for it.
	LoadNumber uint64 `cbor:"4,keyasint,omitempty"`
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

// UseRequest asks an upstream's owner for use grants and for loads. Messages may be
// lost or repeated: the sender asks again under a new number.
type UseRequest struct {
	Number uint64 `cbor:"1,keyasint"`
	// Process tells the sender's processes apart.
	Process uint64 `cbor:"4,keyasint"`
	// Uses are the grants asked for, new ones and renewals.
	Uses []AdapterUse `cbor:"2,keyasint,omitempty"`
	// Loads are to be started at once. The sender has taken the budget for them,
	// and asks again under the same number until it knows the end.
	Loads []AdapterUse `cbor:"3,keyasint,omitempty"`
}

// UseAnswer answers a UseRequest. A use that is not listed is not granted. One with
// Number 0 tells how loads ended and grants nothing.
type UseAnswer struct {
	Number  uint64 `cbor:"1,keyasint"`
	Granted []AdapterUse  `cbor:"2,keyasint,omitempty"`
	// NotOwned are upstreams that the answering host does not own.
	NotOwned []string    `cbor:"3,keyasint,omitempty"`
	Prices   []SlotPrice `cbor:"4,keyasint,omitempty"`
	// Started loads are under way, Busy ones have not been started and will not
	// be. Loaded and Failed ones have ended.
	Started []AdapterUse `cbor:"5,keyasint,omitempty"`
	NotStarted    []AdapterUse `cbor:"6,keyasint,omitempty"`
	Loaded  []AdapterUse `cbor:"7,keyasint,omitempty"`
	Failed  []AdapterUse `cbor:"8,keyasint,omitempty"`
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
func (*UseRequest) WireType() Type { return TypeUseRequest }

// WireType implements Message.
func (*UseAnswer) WireType() Type { return TypeUseAnswer }

// WireType implements Message.
func (*OwnerNotice) WireType() Type { return TypeOwnerNotice }

// WireType implements Message.
func (*OwnerAck) WireType() Type { return TypeOwnerAck }
