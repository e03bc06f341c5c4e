package wire

// TypeCrashSuspicion is the type number of CrashSuspicion.
const TypeCrashSuspicion Type = 500

var outcomeDecoders = map[Type]func() Message{
	TypeCrashSuspicion: func() Message { return &CrashSuspicion{} },
}

// CrashSuspicion reports that upstreams have crashed while running a request. With
// 0 crashes it reports that the request is no longer suspected.
type CrashSuspicion struct {
	Key     []byte `cbor:"1,keyasint"`
	Crashes int    `cbor:"2,keyasint"`
	Holder  string `cbor:"3,keyasint"`
	// DurationMillis is the duration of the suspicion in milliseconds, counted from
	// the receipt of the message.
	DurationMillis int64 `cbor:"4,keyasint"`
	// LastCrash identifies the last crash. It is the same on every host.
	LastCrash string `cbor:"5,keyasint"`
}

// WireType implements Message.
func (*CrashSuspicion) WireType() Type { return TypeCrashSuspicion }
