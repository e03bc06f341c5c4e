package drain

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// The steps of a shutdown must keep their order at every grace time, and must leave the time that the platform's contract
// asks for: a request that may be interrupted was sent within 3 s of the signal, and is interrupted in the last sixth of the
// grace time.
func TestNewSchedule_KeepsOrderAtEveryGrace(t *testing.T) {
	for grace := time.Second; grace <= 2*time.Minute; grace += 97 * time.Millisecond {
		for _, cacheTime := range []time.Duration{time.Second, 3 * time.Second, 6 * time.Second, 15 * time.Second} {
			s := NewSchedule(grace, cacheTime)
			require.Positive(t, s.AcceptLongUntil, "grace %s", grace)
			require.LessOrEqual(t, s.AcceptLongUntil, s.AcceptUntil, "grace %s", grace)
			require.Less(t, s.AcceptUntil, s.CloseListenerAt, "grace %s", grace)
			require.Less(t, s.CloseListenerAt, s.AnswerBy, "grace %s", grace)
			require.Less(t, s.AnswerBy, s.AbortAt, "grace %s", grace)
			require.Less(t, s.AbortAt, grace, "grace %s", grace)
			require.Less(t, s.AcceptLongUntil, 3*time.Second, "grace %s", grace)
			require.Greater(t, s.AbortAt, grace*5/6, "grace %s", grace)
		}
	}
}

func TestNewSchedule_OfTheUsualGrace(t *testing.T) {
	require.Equal(t, Schedule{
		AcceptLongUntil: 2500 * time.Millisecond, AcceptUntil: 5 * time.Second, CloseListenerAt: 6 * time.Second,
		AnswerBy: 7300 * time.Millisecond, AbortAt: 7700 * time.Millisecond,
	}, NewSchedule(8*time.Second, 6*time.Second))
}

func TestShutdown_Steps(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := New(NewSchedule(8*time.Second, 6*time.Second))
		far := time.Now().Add(time.Hour)
		require.False(t, d.InProgress())
		require.True(t, d.Accepts(far))
		require.False(t, d.MayOutlast(far))

		require.True(t, d.Start())
		require.False(t, d.Start(), "a second signal changes nothing")
		begin := time.Now()
		require.True(t, d.MayOutlast(begin.Add(7301*time.Millisecond)))
		require.False(t, d.MayOutlast(begin.Add(7300*time.Millisecond)))
		require.Equal(t, begin.Add(6*time.Second), d.ListenerCloses())
		require.True(t, d.Accepts(far))
		<-d.LongRefused().Done()
		require.Equal(t, 2500*time.Millisecond, time.Since(begin))
		require.False(t, d.Accepts(far))
		require.True(t, d.Accepts(begin.Add(7300*time.Millisecond)))
		require.False(t, d.Accepts(begin.Add(7301*time.Millisecond)))
		time.Sleep(2500 * time.Millisecond)
		require.False(t, d.Accepts(time.Now().Add(time.Millisecond)), "the listener is about to close")
		<-d.AnswersDue().Done()
		require.Equal(t, 7300*time.Millisecond, time.Since(begin))
		<-d.Aborted().Done()
		require.Equal(t, 7700*time.Millisecond, time.Since(begin))
	})
}
