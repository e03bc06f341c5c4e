package wire

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func FuzzDecodeFrame(f *testing.F) {
	raw, err := Encode(&CrashSuspicion{Key: []byte("key"), Crashes: 1, Holder: "a", DurationMillis: 1000, LastCrash: "u/1"})
	require.NoError(f, err)
	f.Add(raw)
	f.Add(raw[:len(raw)-1])
	f.Add([]byte{0xa0})
	f.Fuzz(func(t *testing.T, raw []byte) {
		m, err := Decode(raw)
		if err != nil || m == nil {
			return
		}
		again, err := Encode(m)
		require.NoError(t, err)
		second, err := Decode(again)
		require.NoError(t, err)
		require.Equal(t, m, second)
	})
}
