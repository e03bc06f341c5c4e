package throttle

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestParse(t *testing.T) {
	for text, want := range map[string]float64{"1.9": 1.9, "0.25": 0.25, "12": 12, "0": 0, "1e2": 100, "1000000": MaxPerSecond} {
		got, err := Parse(text)
		require.NoError(t, err, text)
		require.InDelta(t, want, got, 1e-9, text)
		got, err = Parse(" " + text + "\t")
		require.NoError(t, err, text)
		require.InDelta(t, want, got, 1e-9, text)
	}
}

// Guards against malformed limits that are taken for a number.
func TestParse_Invalid(t *testing.T) {
	for _, text := range []string{"", " ", "x", "1,9", "1.9 a second", "-1", "-0", "-0.0", "NaN", "nan", "Inf", "+Inf", "-inf", "1e400", "1000001", "1e7", "0x10", "1_0", "1.2.3"} {
		_, err := Parse(text)
		require.ErrorIs(t, err, ErrInvalidLimit, "%q", text)
	}
}

// Guards against a response that is older than a stated limit and withdraws it.
func TestTable_OlderResponseDoesNotWithdraw(t *testing.T) {
	now := time.Now()
	key := Incarnation{ID: "u", StartedAt: 1}
	table := NewTable()
	require.False(t, table.Outdated(key, now))
	require.True(t, table.Set(now, key, 2))
	require.False(t, table.Set(now.Add(time.Second), key, 2))
	require.False(t, table.Outdated(key, now.Add(500*time.Millisecond)))
	require.True(t, table.Outdated(key, now.Add(1500*time.Millisecond)))
	require.False(t, table.Outdated(Incarnation{ID: "u", StartedAt: 2}, now.Add(1500*time.Millisecond)))
	table.Withdraw(now.Add(2*time.Second), key, 0)
	require.False(t, table.Outdated(key, now.Add(3*time.Second)))
	require.True(t, table.Set(now.Add(3*time.Second), key, 2), "a limit that is stated again after it was withdrawn is a change")
}

// Guards against unbounded memory use when many upstreams state limits.
func TestTable_Bounded(t *testing.T) {
	now := time.Now()
	table := NewTable()
	for n := range maxLimits + 10 {
		table.Set(now.Add(time.Duration(n)), Incarnation{ID: "u", StartedAt: int64(n)}, 1)
	}
	require.Equal(t, maxLimits, table.Len())
	_, ok := table.Get(Incarnation{ID: "u", StartedAt: 0})
	require.False(t, ok, "the oldest limit is dropped first")
	_, ok = table.Get(Incarnation{ID: "u", StartedAt: maxLimits + 9})
	require.True(t, ok)
}
