package wire

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/jasminelock/jasminelock/store"
)

// Guards against era fields that keep a host of an older build from decoding a host's heartbeat, and against a heartbeat of an
// older build that does not decode as one of era 0.
func TestEra_OlderBuild(t *testing.T) {
	raw, err := encMode.Marshal(&HostHeartbeat{Zone: "z", TablesChecksum: 7, StoreEra: 3, KnowsPriorEra: true})
	require.NoError(t, err)
	var older struct {
		Zone           string `cbor:"1,keyasint"`
		TablesChecksum uint64 `cbor:"7,keyasint,omitempty"`
	}
	require.NoError(t, decMode.Unmarshal(raw, &older))
	require.Equal(t, "z", older.Zone)
	require.Equal(t, uint64(7), older.TablesChecksum)
	raw, err = encMode.Marshal(older)
	require.NoError(t, err)
	var newer HostHeartbeat
	require.NoError(t, decMode.Unmarshal(raw, &newer))
	require.Zero(t, newer.StoreEra)
	require.False(t, newer.KnowsPriorEra)
}

// Guards against a leader's heartbeat that grows while the store states no era.
func TestEra_NoEraAddsNoBytes(t *testing.T) {
	type olderHeartbeat struct {
		Fence        int64 `cbor:"1,keyasint"`
		LeaseVersion int64 `cbor:"2,keyasint"`
	}
	older, err := encMode.Marshal(olderHeartbeat{Fence: 7, LeaseVersion: 8})
	require.NoError(t, err)
	newer, err := encMode.Marshal(&LeaderHeartbeat{Fence: 7, LeaseVersion: 8})
	require.NoError(t, err)
	require.Equal(t, older, newer)
}

// Guards against positions that lose their era in a message.
func TestEra_PositionsKept(t *testing.T) {
	at := func(version int64) store.Position { return store.NewPosition(store.MaxEra, version) }
	for _, m := range []Message{
		&LeaderHeartbeat{Fence: at(1), LeaseVersion: at(2), OperatorVersion: at(3), UpstreamsVersion: at(4), StoreEra: store.MaxEra},
		&HostHeartbeat{StoreEra: store.MaxEra},
		&Successor{Fence: at(1)},
		&ConfigPush{EvacuatedVersion: at(1)},
		&UpstreamPush{UpstreamsVersion: at(1)},
	} {
		raw, err := Encode(m)
		require.NoError(t, err)
		decoded, err := Decode(raw)
		require.NoError(t, err)
		require.Equal(t, m, decoded)
	}
}
