package quarantine

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var startTime = time.Unix(1000, 0)

func verdict(t *Tracker, now time.Time, k Key) Verdict {
	s, _ := t.Verdict(now, k)
	return s
}

func TestTracker_SecondCrashBlamesOnlySuspect(t *testing.T) {
	tr := NewTracker("a")
	poison, bystander, unrelated := Key{1}, Key{2}, Key{3}
	require.Len(t, tr.RecordCrash(startTime, "c1", []Key{poison, bystander}), 2)
	require.Equal(t, Suspect, verdict(tr, startTime, poison))
	require.Len(t, tr.ClearSuspect(startTime, bystander), 1)
	require.Len(t, tr.RecordCrash(startTime, "c2", []Key{unrelated, poison}), 1)
	require.Equal(t, Undecided, verdict(tr, startTime, poison))
	require.Equal(t, Quarantined, verdict(tr, startTime.Add(DecisionDelay), poison))
	require.Equal(t, Clear, verdict(tr, startTime, bystander))
	require.Equal(t, Clear, verdict(tr, startTime, unrelated))
	require.Equal(t, Clear, verdict(tr, startTime.Add(QuarantinePeriod), poison), "the quarantine has expired")
}

func TestTracker_SuspectRunsOnlyOnHolder(t *testing.T) {
	a, b := NewTracker("a"), NewTracker("b")
	for _, s := range a.RecordCrash(startTime, "c", []Key{{1}}) {
		b.Learn(startTime, s)
	}
	require.Equal(t, Suspect, verdict(a, startTime, Key{1}))
	require.Equal(t, SuspectElsewhere, verdict(b, startTime, Key{1}))
	for _, s := range a.ClearSuspect(startTime, Key{1}) {
		b.Learn(startTime, s)
	}
	require.Equal(t, Clear, verdict(b, startTime, Key{1}))
}

func TestTracker_HostsAgreeOnOneHolder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		names := []string{"a", "b", "c", "d"}
		trackers := map[string]*Tracker{}
		var messages []Suspicion
		for _, name := range names {
			trackers[name] = NewTracker(name)
			if rapid.Bool().Draw(t, "saw "+name) {
				messages = append(messages, trackers[name].RecordCrash(startTime, "c", []Key{{1}})...)
			}
		}
		for _, name := range names {
			for _, i := range rapid.Permutation(indices(len(messages))).Draw(t, "order") {
				trackers[name].Learn(startTime, messages[i])
			}
		}
		holders := 0
		for _, name := range names {
			if verdict(trackers[name], startTime, Key{1}) == Suspect {
				holders++
			}
		}
		require.Equal(t, min(len(messages), 1), holders)
	})
}

func TestTracker_SharedCrashAllowsThirdRun(t *testing.T) {
	a, b := NewTracker("a"), NewTracker("b")
	deliver := func(to *Tracker, suspicions []Suspicion) {
		for _, s := range suspicions {
			to.Learn(startTime, s)
		}
	}
	deliver(b, a.RecordCrash(startTime, "c1", []Key{{1}}))
	deliver(a, b.RecordCrash(startTime, "c1", []Key{{2}}))
	deliver(b, a.RecordCrash(startTime, "c2", []Key{{1}}))
	deliver(a, b.RecordCrash(startTime, "c2", []Key{{2}}))
	later := startTime.Add(DecisionDelay)
	require.Equal(t, Suspect, verdict(a, later, Key{1}))
	require.Equal(t, Suspect, verdict(b, later, Key{2}))
	for _, s := range b.ClearSuspect(later, Key{2}) {
		a.Learn(later, s)
	}
	require.Equal(t, Clear, verdict(a, later, Key{2}))
	a.RecordCrash(later, "c3", []Key{{1}})
	require.Equal(t, Quarantined, verdict(a, later, Key{1}))
}

func indices(n int) []int {
	all := make([]int, n)
	for i := range all {
		all[i] = i
	}
	return all
}

func TestTracker_EntriesBounded(t *testing.T) {
	tr := NewTracker("a")
	for i := range MaxEntries + 100 {
		tr.RecordCrash(startTime, "c", []Key{{byte(i), byte(i >> 8), 1}})
	}
	require.Equal(t, MaxEntries, tr.Len())
}

// A merge removes a suspicion if its holder has cleared it. Guards against one that is removed by the late message of an earlier
// holder, after the request has crashed another upstream.
func TestTracker_ClearedByHolderOnly(t *testing.T) {
	a, b, c := NewTracker("a"), NewTracker("b"), NewTracker("c")
	tell := func(to *Tracker, suspicions []Suspicion) {
		for _, s := range suspicions {
			to.Learn(startTime, s)
		}
	}
	first := a.RecordCrash(startTime, "c1", []Key{{1}})
	tell(b, first)
	tell(c, first)
	tell(c, b.RecordCrash(startTime, "c2", []Key{{1}}))
	tell(c, a.ClearSuspect(startTime, Key{1}))
	require.Equal(t, Quarantined, verdict(c, startTime.Add(DecisionDelay), Key{1}))
	require.Equal(t, Quarantined, verdict(b, startTime.Add(DecisionDelay), Key{1}))
}
