package wire

// TypeSuspicion is the number of Suspicion.
const TypeSuspicion Type = 500

var outcomeDecoders = map[Type]func() Message{
	TypeSuspicion: func() Message { return &Suspicion{} },
}

// Suspicion tells that upstreams have crashed under a request, or, with 0
// crashes, that the request is cleared.
type Suspicion struct {
	Key     []byte `cbor:"1,keyasint"`
	Crashes int    `cbor:"2,keyasint"`
	Holder  string `cbor:"3,keyasint"`
	// ForMilliseconds is how long the suspicion lasts from its receipt.
	ForMilliseconds int64 `cbor:"4,keyasint"`
	// Crash names the last crash, the same on every host.
	Crash string `cbor:"5,keyasint"`
}

// WireType implements Message.
func (*Suspicion) WireType() Type { return TypeSuspicion }
