package quarantine

import (
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// crasher is the key of a request that crashes upstreams.
var crasher = Key{1}

func testIncarnation(n int) Incarnation { return IncarnationOf("u"+strconv.Itoa(n), 1) }

func refused(l *Ledger, now time.Time, k Key) bool {
	_, isRefused := l.Refused(now, k)
	return isRefused
}

// Guards against a request that is dispatched again although two upstreams ended while they
// ran it, where the end is seen as late as ConfirmWindow after the interruption, or before it.
func TestLedger_RefusesAfterTwoUpstreamEnds(t *testing.T) {
	l, now := NewLedger(), startTime
	require.True(t, l.RecordInterrupted(now, crasher, testIncarnation(1)))
	require.False(t, l.RecordInterrupted(now, crasher, testIncarnation(1)), "already recorded")
	require.Equal(t, []Key{crasher}, l.RecordUpstreamEnd(now.Add(ConfirmWindow), testIncarnation(1)))
	require.Empty(t, l.RecordUpstreamEnd(now.Add(ConfirmWindow), testIncarnation(1)), "already attributed")
	require.False(t, refused(l, now, crasher))
	l.RecordUpstreamEnd(now, testIncarnation(2))
	require.True(t, l.RecordInterrupted(now.Add(time.Second), crasher, testIncarnation(2)), "the end was seen before the interruption")
	require.True(t, refused(l, now.Add(time.Second), crasher))
	require.False(t, refused(l, now.Add(RefusalPeriod+time.Second), crasher))
}

// Guards against crashes that go unrecognised because no upstream was seen to end, and
// against requests that are refused because one live upstream lost several of their answers.
func TestLedger_RefusesAfterFourInterruptions(t *testing.T) {
	l, now := NewLedger(), startTime
	for n := range MaxInterruptions {
		require.False(t, refused(l, now, crasher))
		for range 5 {
			l.RecordInterrupted(now, crasher, testIncarnation(n))
		}
		now = now.Add(20 * time.Second)
		l.RecordUpstreamEnd(now, testIncarnation(n)) // outside ConfirmWindow
	}
	require.True(t, refused(l, now, crasher))
}

// Guards against attempts that are not counted because their caller had left before the
// upstream ended.
func TestLedger_CountsAbandonedAttempts(t *testing.T) {
	l, now := NewLedger(), startTime
	for n := range 10 {
		require.False(t, l.RecordAbandoned(now, crasher, testIncarnation(n)))
	}
	require.False(t, refused(l, now, crasher))
	require.Equal(t, []Key{crasher}, l.RecordUpstreamEnd(now.Add(3*time.Second), testIncarnation(1)))
	l.RecordUpstreamEnd(now.Add(3*time.Second), testIncarnation(2))
	require.True(t, refused(l, now.Add(3*time.Second), crasher))
}

// Guards against a request that is refused although it succeeded in between, also where
// another host still reports the interruptions from before the success.
func TestLedger_SuccessClears(t *testing.T) {
	l, other, now := NewLedger(), NewLedger(), startTime
	for n := range 3 {
		l.RecordUpstreamEnd(now, testIncarnation(n))
		l.RecordInterrupted(now, crasher, testIncarnation(n))
	}
	before, _ := l.Entry(now, crasher)
	other.Learn(now, before)
	now = now.Add(time.Second)
	require.True(t, l.RecordSuccess(now, crasher))
	require.False(t, l.RecordSuccess(now, crasher), "no interrupted attempts on record")
	require.False(t, l.Learn(now, before))
	require.False(t, refused(l, now, crasher))
	cleared, _ := l.Entry(now, crasher)
	require.True(t, other.Learn(now, cleared))
	require.False(t, refused(other, now, crasher))
}

// Guards against memory that grows with the number of interrupted attempts, and against a
// crashing request that is evicted by them.
func TestLedger_Bounded(t *testing.T) {
	l, now := NewLedger(), startTime
	for n := range 2 {
		l.RecordUpstreamEnd(now, testIncarnation(n))
		l.RecordInterrupted(now, crasher, testIncarnation(n))
	}
	for n := range 5 * MaxEntries {
		now = now.Add(time.Millisecond)
		key := Key{2, byte(n), byte(n >> 8), byte(n >> 16)}
		l.RecordInterrupted(now, key, testIncarnation(n))
		l.RecordAbandoned(now, key, testIncarnation(n))
		l.RecordUpstreamEnd(now, testIncarnation(n+10*MaxEntries))
		require.LessOrEqual(t, len(l.entries), MaxEntries)
		require.LessOrEqual(t, len(l.abandoned), MaxEntries)
		require.LessOrEqual(t, len(l.endTimes), maxEndTimes)
	}
	require.True(t, refused(l, now, crasher))
}

// Guards against hosts that disagree on which requests are refused after they have exchanged
// all entries, in any order and repeatedly.
func TestLedger_HostsConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := startTime
		hosts := []*Ledger{NewLedger(), NewLedger(), NewLedger()}
		var reports []Entry
		for range rapid.IntRange(1, 25).Draw(t, "events") {
			now = now.Add(time.Second)
			h := hosts[rapid.IntRange(0, 2).Draw(t, "host")]
			k, incarnation := Key{byte(rapid.IntRange(1, 2).Draw(t, "key"))}, testIncarnation(
				rapid.IntRange(1, MaxInterruptions).Draw(t, "start"))
			switch rapid.IntRange(0, 3).Draw(t, "event") {
			case 0:
				h.RecordSuccess(now, k)
			case 1:
				h.RecordUpstreamEnd(now, incarnation)
			default:
				h.RecordInterrupted(now, k, incarnation)
			}
			if e, ok := h.Entry(now, k); ok {
				e.Interrupted = slices.Clone(e.Interrupted)
				reports = append(reports, e)
			}
		}
		for _, h := range hosts {
			for _, e := range rapid.Permutation(reports).Draw(t, "order") {
				h.Learn(now, e)
			}
			// A new leader is sent all entries, so also those not yet reported.
			for _, other := range hosts {
				for _, e := range other.Entries(now, MaxEntries, func(*Entry) bool { return true }) {
					e.Interrupted = slices.Clone(e.Interrupted)
					reports = append(reports, e)
				}
			}
		}
		for _, h := range hosts {
			for _, e := range rapid.Permutation(reports).Draw(t, "again") {
				h.Learn(now, e)
			}
		}
		for _, k := range []Key{{1}, {2}} {
			for _, h := range hosts[1:] {
				if refused(hosts[0], now, k) != refused(h, now, k) {
					t.Fatalf("hosts disagree on whether request %v is refused", k)
				}
			}
		}
	})
}
