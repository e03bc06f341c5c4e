package wire

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// The messages with a load as hosts of older builds know them.
type (
	olderFirstByteReceived struct {
		Number uint64 `cbor:"1,keyasint"`
	}
	olderAttemptEnded struct {
		Number        uint64 `cbor:"1,keyasint"`
		Outcome       uint8  `cbor:"2,keyasint"`
		HasLoad       bool   `cbor:"3,keyasint,omitempty"`
		Running       int    `cbor:"4,keyasint,omitempty"`
		Waiting       int    `cbor:"5,keyasint,omitempty"`
		BackOffMillis int64  `cbor:"6,keyasint,omitempty"`
		EventGaps     uint8  `cbor:"7,keyasint,omitempty"`
	}
)

// Hosts of both builds must read each other's messages while a fleet is updated.
func TestPace_OlderBuild(t *testing.T) {
	first := FirstByteReceived{Number: 7, Running: 3, Waiting: 1, PacePercent: 170}
	raw, err := encMode.Marshal(first)
	require.NoError(t, err)
	var olderFirst olderFirstByteReceived
	require.NoError(t, decMode.Unmarshal(raw, &olderFirst))
	require.Equal(t, olderFirstByteReceived{Number: 7}, olderFirst)

	ended := AttemptEnded{Number: 7, Outcome: 1, HasLoad: true, Running: 3, Waiting: 1, EventGaps: 2, PacePercent: 170, OutputTokens: 90}
	raw, err = encMode.Marshal(ended)
	require.NoError(t, err)
	var olderEnded olderAttemptEnded
	require.NoError(t, decMode.Unmarshal(raw, &olderEnded))
	require.Equal(t, olderAttemptEnded{Number: 7, Outcome: 1, HasLoad: true, Running: 3, Waiting: 1, EventGaps: 2}, olderEnded)

	raw, err = encMode.Marshal(olderEnded)
	require.NoError(t, err)
	var got AttemptEnded
	require.NoError(t, decMode.Unmarshal(raw, &got))
	require.Equal(t, AttemptEnded{Number: 7, Outcome: 1, HasLoad: true, Running: 3, Waiting: 1, EventGaps: 2}, got)
}
