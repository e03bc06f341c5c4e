package quarantine

import (
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// crasher is a request that crashes upstreams.
var crasher = Key{1}

func startNumber(n int) Incarnation { return IncarnationOf("u"+strconv.Itoa(n), 1) }

func refused(l *Ledger, now time.Time, k Key) bool {
	_, is := l.Refused(now, k)
	return is
}

// Guards against a request that is sent on although two upstreams have ended under it,
// however late after its attempts that is seen.
func TestALedgerRefusesAfterTwoEnds(t *testing.T) {
	l, now := NewLedger(), start
	require.True(t, l.RecordInterrupted(now, crasher, startNumber(1)))
	require.False(t, l.RecordInterrupted(now, crasher, startNumber(1)), "known")
	require.Equal(t, []Key{crasher}, l.RecordUpstreamEnd(now.Add(ConfirmWindow), startNumber(1)))
	require.Empty(t, l.RecordUpstreamEnd(now.Add(ConfirmWindow), startNumber(1)), "known")
	require.False(t, refused(l, now, crasher))
	l.RecordUpstreamEnd(now, startNumber(2))
	require.True(t, l.RecordInterrupted(now.Add(time.Second), crasher, startNumber(2)), "the end was seen before the attempt broke off")
	require.True(t, refused(l, now.Add(time.Second), crasher))
	require.False(t, refused(l, now.Add(RefusalPeriod+time.Second), crasher))
}

// Guards against crashes that are not recognised, and against requests that are refused
// since a living upstream has lost some of their answers.
func TestALedgerRefusesWithoutAnEndAfterFour(t *testing.T) {
	l, now := NewLedger(), start
	for n := range MaxInterruptions {
		require.False(t, refused(l, now, crasher))
		for range 5 {
			l.RecordInterrupted(now, crasher, startNumber(n))
		}
		now = now.Add(20 * time.Second)
		l.RecordUpstreamEnd(now, startNumber(n)) // too late to be the cause
	}
	require.True(t, refused(l, now, crasher))
}

// Guards against attempts that are not counted since their caller had left.
func TestALedgerCountsAttemptsThatWereGivenUp(t *testing.T) {
	l, now := NewLedger(), start
	for n := range 10 {
		require.False(t, l.RecordAbandoned(now, crasher, startNumber(n)))
	}
	require.False(t, refused(l, now, crasher))
	require.Equal(t, []Key{crasher}, l.RecordUpstreamEnd(now.Add(3*time.Second), startNumber(1)))
	l.RecordUpstreamEnd(now.Add(3*time.Second), startNumber(2))
	require.True(t, refused(l, now.Add(3*time.Second), crasher))
}

// Guards against a request that is refused although it is answered in between, also
// where another host still tells of what was before.
func TestASuccessClears(t *testing.T) {
	l, other, now := NewLedger(), NewLedger(), start
	for n := range 3 {
		l.RecordUpstreamEnd(now, startNumber(n))
		l.RecordInterrupted(now, crasher, startNumber(n))
	}
	before, _ := l.Entry(now, crasher)
	other.Learn(now, before)
	now = now.Add(time.Second)
	require.True(t, l.RecordSuccess(now, crasher))
	require.False(t, l.RecordSuccess(now, crasher), "nothing is held against it")
	require.False(t, l.Learn(now, before))
	require.False(t, refused(l, now, crasher))
	cleared, _ := l.Entry(now, crasher)
	require.True(t, other.Learn(now, cleared))
	require.False(t, refused(other, now, crasher))
}

// Guards against memory that grows with the attempts that break off, and against a
// crashing request that is forgotten among them.
func TestALedgerIsBounded(t *testing.T) {
	l, now := NewLedger(), start
	for n := range 2 {
		l.RecordUpstreamEnd(now, startNumber(n))
		l.RecordInterrupted(now, crasher, startNumber(n))
	}
	for n := range 5 * MaxEntries {
		now = now.Add(time.Millisecond)
		key := Key{2, byte(n), byte(n >> 8), byte(n >> 16)}
		l.RecordInterrupted(now, key, startNumber(n))
		l.RecordAbandoned(now, key, startNumber(n))
		l.RecordUpstreamEnd(now, startNumber(n+10*MaxEntries))
		require.LessOrEqual(t, len(l.entries), MaxEntries)
		require.LessOrEqual(t, len(l.silent), MaxEntries)
		require.LessOrEqual(t, len(l.ends), maxEnds)
	}
	require.True(t, refused(l, now, crasher))
}

// Guards against hosts that differ on which requests are refused, whatever the order in
// which they hear of it and however often.
func TestLedgersAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := start
		hosts := []*Ledger{NewLedger(), NewLedger(), NewLedger()}
		var told []Entry
		for range rapid.IntRange(1, 25).Draw(t, "events") {
			now = now.Add(time.Second)
			h := hosts[rapid.IntRange(0, 2).Draw(t, "host")]
			k, s := Key{byte(rapid.IntRange(1, 2).Draw(t, "key"))}, startNumber(rapid.IntRange(1, MaxInterruptions).Draw(t, "start"))
			switch rapid.IntRange(0, 3).Draw(t, "event") {
			case 0:
				h.RecordSuccess(now, k)
			case 1:
				h.RecordUpstreamEnd(now, s)
			default:
				h.RecordInterrupted(now, k, s)
			}
			if e, ok := h.Entry(now, k); ok {
				e.Interrupted = slices.Clone(e.Interrupted)
				told = append(told, e)
			}
		}
		for _, h := range hosts {
			for _, e := range rapid.Permutation(told).Draw(t, "order") {
				h.Learn(now, e)
			}
			// What a host has seen since it told last is told again with a new lead.
			for _, other := range hosts {
				for _, e := range other.Entries(now, MaxEntries, func(*Entry) bool { return true }) {
					e.Interrupted = slices.Clone(e.Interrupted)
					told = append(told, e)
				}
			}
		}
		for _, h := range hosts {
			for _, e := range rapid.Permutation(told).Draw(t, "again") {
				h.Learn(now, e)
			}
		}
		for _, k := range []Key{{1}, {2}} {
			for _, h := range hosts[1:] {
				if refused(hosts[0], now, k) != refused(h, now, k) {
					t.Fatalf("hosts differ on %v", k)
				}
			}
		}
	})
}
