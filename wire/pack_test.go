package wire

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestPackedUpstreams(t *testing.T) {
	var list []Upstream
	for i := range 1900 {
		list = append(list, Upstream{
			ID: fmt.Sprintf("i-%010x", i*7919), StartedAt: 1_700_000_000_000 + int64(i), Service: "models", Address: fmt.Sprintf("10.1.%d.%d:9000", i/250, i%250),
			Zone: "zone-a", Slots: 16, Models: "base-model",
		})
	}
	packed, err := PackUpstreams(list)
	require.NoError(t, err)
	require.Less(t, len(packed), len(list)*30)
	got, err := UnpackUpstreams(packed)
	require.NoError(t, err)
	require.Equal(t, list, got)
	for _, bad := range [][]byte{nil, {1, 2, 3}, packed[:len(packed)/2]} {
		_, err = UnpackUpstreams(bad)
		require.Error(t, err)
	}
}
