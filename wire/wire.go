// Package wire defines the messages that hosts send to each other and their CBOR
// encoding. It contains no protocol logic and opens no connections.
package wire

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// Version is the frame version that Encode writes. Decode rejects frames below
// MinVersion and accepts newer ones.
const (
	Version    = 1
	MinVersion = 1
)

// MaxFrameBytes is the maximum size of an encoded frame, in bytes.
const MaxFrameBytes = 1 << 20

// Type is the number of a frame's message type. Numbers are never reused.
type Type uint16

// Message is one message between hosts.
type Message interface {
	// WireType returns the message's number.
	WireType() Type
}

// Outgoing is a message together with the name of the host that it is sent to.
type Outgoing struct {
	To      string
	Message Message
}

// frame is the envelope of a message.
type frame struct {
	Version int             `cbor:"1,keyasint"`
	Type    Type            `cbor:"2,keyasint"`
	Body    cbor.RawMessage `cbor:"3,keyasint"`
}

// decoders maps each message type to a constructor of an empty message. Each
// file of messages contributes its own map.
var decoders = mergeDecoders(linkDecoders, membershipDecoders, configDecoders, limitDecoders, schedDecoders,
	outcomeDecoders, assignDecoders, rateLimitDecoders)

func mergeDecoders(groups ...map[Type]func() Message) map[Type]func() Message {
	merged := map[Type]func() Message{}
	for _, group := range groups {
		for number, newMessage := range group {
			if _, duplicate := merged[number]; duplicate {
				panic(fmt.Sprintf("wire: message type %d is registered twice", number))
			}
			merged[number] = newMessage
		}
	}
	return merged
}

var (
	encMode = newEncMode()
	decMode = newDecMode()
)

// Decoder limits, as a protection against frames crafted to exhaust memory.
const (
	maxNesting  = 8
	maxElements = 64 << 10
)

func newEncMode() cbor.EncMode {
	m, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic(err)
	}
	return m
}

func newDecMode() cbor.DecMode {
	o := cbor.DecOptions{MaxNestedLevels: maxNesting, MaxArrayElements: maxElements, MaxMapPairs: maxElements}
	m, err := o.DecMode()
	if err != nil {
		panic(err)
	}
	return m
}

// Encode returns the encoded frame of a message. It returns an error for a frame
// above MaxFrameBytes.
func Encode(m Message) ([]byte, error) {
	body, err := encMode.Marshal(m)
	if err != nil {
		return nil, err
	}
	raw, err := encMode.Marshal(frame{Version: Version, Type: m.WireType(), Body: body})
	if err != nil {
		return nil, err
	}
	if len(raw) > MaxFrameBytes {
		return nil, fmt.Errorf("wire: frame of %d bytes exceeds the limit of %d bytes", len(raw), MaxFrameBytes)
	}
	return raw, nil
}

// Decode decodes a frame. For an unknown message type it returns nil without an
// error, so that a newer host may send messages that this build does not know.
func Decode(raw []byte) (Message, error) {
	if len(raw) > MaxFrameBytes {
		return nil, fmt.Errorf("wire: frame of %d bytes exceeds the limit of %d bytes", len(raw), MaxFrameBytes)
	}
	var f frame
	if err := decMode.Unmarshal(raw, &f); err != nil {
		return nil, fmt.Errorf("wire: decode frame: %w", err)
	}
	if f.Version < MinVersion {
		return nil, fmt.Errorf("wire: frame version %d is below the minimum of %d", f.Version, MinVersion)
	}
	newMessage, ok := decoders[f.Type]
	if !ok {
		return nil, nil
	}
	m := newMessage()
	if err := decMode.Unmarshal(f.Body, m); err != nil {
		return nil, fmt.Errorf("wire: decode message of type %d: %w", f.Type, err)
	}
	return m, nil
}
