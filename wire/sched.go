package wire

// The type numbers of the scheduling messages.
const (
	TypeUseRequest Type = 400 + iota
	TypeUseAnswer
	TypeOwnerNotice
	TypeOwnerAck
)

var schedDecoders = map[Type]func() Message{
	TypeUseRequest:  func() Message { return &UseRequest{} },
	TypeUseAnswer:   func() Message { return &UseAnswer{} },
	TypeOwnerNotice: func() Message { return &OwnerNotice{} },
	TypeOwnerAck:    func() Message { return &OwnerAck{} },
}

// AdapterUse identifies the use of an adapter version on an upstream.
type AdapterUse struct {
	Upstream string `cbor:"1,keyasint"`
	// Adapter is "adapter@version".
	Adapter string `cbor:"2,keyasint"`
	// Requests is the number of requests for the adapter that the sender has dispatched
	// since its last message or, for a load, the number of requests waiting for it.
	Requests int `cbor:"3,keyasint,omitempty"`
	// LoadNumber is the number of a load, unique within the requesting process.
	LoadNumber uint64 `cbor:"4,keyasint,omitempty"`
}

// SlotPrice is the cost of loading one more adapter on an engine.
type SlotPrice struct {
	Upstream string `cbor:"1,keyasint"`
	// Free is the number of empty slots.
	Free int `cbor:"2,keyasint,omitempty"`
	// Demand is the demand for the adapter that would be evicted, in requests.
	Demand float64 `cbor:"3,keyasint,omitempty"`
	// Blocked means that no adapter can be evicted at present.
	Blocked bool `cbor:"4,keyasint,omitempty"`
}

// UseRequest requests use grants and loads from the owner of an upstream. Messages may
// be lost or duplicated; the sender retries with a new number.
type UseRequest struct {
	Number uint64 `cbor:"1,keyasint"`
	// Process identifies the sending process among successive processes of one host.
	Process uint64 `cbor:"4,keyasint"`
	// Uses are the requested grants, both new ones and renewals.
	Uses []AdapterUse `cbor:"2,keyasint,omitempty"`
	// Loads are the loads to start at once. The sender has reserved the budget for them
	// and repeats each load under the same load number until it knows the result.
	Loads []AdapterUse `cbor:"3,keyasint,omitempty"`
}

// UseAnswer answers a UseRequest. A use that is not listed is not granted. A UseAnswer
// with Number 0 reports the results of loads and grants nothing.
type UseAnswer struct {
	Number  uint64       `cbor:"1,keyasint"`
	Granted []AdapterUse `cbor:"2,keyasint,omitempty"`
	// NotOwned are the requested upstreams that the answering host does not own.
	NotOwned []string    `cbor:"3,keyasint,omitempty"`
	Prices   []SlotPrice `cbor:"4,keyasint,omitempty"`
	// Started are the loads in progress.
	Started []AdapterUse `cbor:"5,keyasint,omitempty"`
	// NotStarted are the loads that have not been started and will not be.
	NotStarted []AdapterUse `cbor:"6,keyasint,omitempty"`
	// Loaded and Failed are the loads that have ended.
	Loaded []AdapterUse `cbor:"7,keyasint,omitempty"`
	Failed []AdapterUse `cbor:"8,keyasint,omitempty"`
}

// OwnerNotice announces that the sender holds the lease of a group of upstreams
// under the given fencing number.
type OwnerNotice struct {
	Resource string `cbor:"1,keyasint"`
	Fence    int64  `cbor:"2,keyasint"`
}

// OwnerAck answers an OwnerNotice. The sender gives no more grants under a lower
// fencing number.
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
