package wire

// TypeCrashSuspicion is the number of CrashSuspicion.
const TypeCrashSuspicion Type = 500

var outcomeDecoders = map[Type]func() Message{
	TypeCrashSuspicion: func() Message { return &CrashSuspicion{} },
}

// CrashSuspicion tells that upstreams have crashed under a request, or, with 0
// crashes, that the request is cleared.
type CrashSuspicion struct {
	Key     []byte `cbor:"1,keyasint"`
	Crashes int    `cbor:"2,keyasint"`
	Holder  string `cbor:"3,keyasint"`
	// DurationMillis is how long the suspicion lasts from its receipt.
	DurationMillis int64 `cbor:"4,keyasint"`
	// LastCrash names the last crash, the same on every host.
	LastCrash string `cbor:"5,keyasint"`
}

// WireType implements Message.
func (*CrashSuspicion) WireType() Type { return TypeCrashSuspicion }
