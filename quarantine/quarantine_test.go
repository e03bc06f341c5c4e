package quarantine

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var start = time.Unix(1000, 0)

func standing(t *Tracker, now time.Time, k Key) Verdict {
	s, _ := t.Verdict(now, k)
	return s
}

func TestASecondCrashBlamesOnlyTheSuspect(t *testing.T) {
	tr := NewTracker("a")
	poison, bystander, late := Key{1}, Key{2}, Key{3}
	require.Len(t, tr.RecordCrash(start, "c1", []Key{poison, bystander}), 2)
	require.Equal(t, Suspect, standing(tr, start, poison))
	require.Len(t, tr.ClearSuspect(start, bystander), 1)
	require.Len(t, tr.RecordCrash(start, "c2", []Key{late, poison}), 1)
	require.Equal(t, Undecided, standing(tr, start, poison))
	require.Equal(t, Quarantined, standing(tr, start.Add(DecisionDelay), poison))
	require.Equal(t, Clear, standing(tr, start, bystander))
	require.Equal(t, Clear, standing(tr, start, late))
	require.Equal(t, Clear, standing(tr, start.Add(QuarantinePeriod), poison), "it is released")
}

func TestAnotherHostDoesNotTryASuspect(t *testing.T) {
	a, b := NewTracker("a"), NewTracker("b")
	for _, s := range a.RecordCrash(start, "c", []Key{{1}}) {
		b.Learn(start, s)
	}
	require.Equal(t, Suspect, standing(a, start, Key{1}))
	require.Equal(t, SuspectElsewhere, standing(b, start, Key{1}))
	for _, s := range a.ClearSuspect(start, Key{1}) {
		b.Learn(start, s)
	}
	require.Equal(t, Clear, standing(b, start, Key{1}))
}

func TestHostsThatBothSawTheCrashAgreeOnOneHolder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		names := []string{"a", "b", "c", "d"}
		trackers := map[string]*Tracker{}
		var messages []Suspicion
		for _, name := range names {
			trackers[name] = NewTracker(name)
			if rapid.Bool().Draw(t, "saw "+name) {
				messages = append(messages, trackers[name].RecordCrash(start, "c", []Key{{1}})...)
			}
		}
		for _, name := range names {
			for _, i := range rapid.Permutation(indices(len(messages))).Draw(t, "order") {
				trackers[name].Learn(start, messages[i])
			}
		}
		holders := 0
		for _, name := range names {
			if standing(trackers[name], start, Key{1}) == Suspect {
				holders++
			}
		}
		require.Equal(t, min(len(messages), 1), holders)
	})
}

func TestTwoSuspectsAtOneCrashEachRunAThirdTime(t *testing.T) {
	a, b := NewTracker("a"), NewTracker("b")
	tell := func(to *Tracker, suspicions []Suspicion) {
		for _, s := range suspicions {
			to.Learn(start, s)
		}
	}
	tell(b, a.RecordCrash(start, "c1", []Key{{1}}))
	tell(a, b.RecordCrash(start, "c1", []Key{{2}}))
	tell(b, a.RecordCrash(start, "c2", []Key{{1}}))
	tell(a, b.RecordCrash(start, "c2", []Key{{2}}))
	later := start.Add(DecisionDelay)
	require.Equal(t, Suspect, standing(a, later, Key{1}))
	require.Equal(t, Suspect, standing(b, later, Key{2}))
	for _, s := range b.ClearSuspect(later, Key{2}) {
		a.Learn(later, s)
	}
	require.Equal(t, Clear, standing(a, later, Key{2}))
	a.RecordCrash(later, "c3", []Key{{1}})
	require.Equal(t, Quarantined, standing(a, later, Key{1}))
}

func indices(n int) []int {
	all := make([]int, n)
	for i := range all {
		all[i] = i
	}
	return all
}

func TestEntriesAreBounded(t *testing.T) {
	tr := NewTracker("a")
	for i := range MaxEntries + 100 {
		tr.RecordCrash(start, "c", []Key{{byte(i), byte(i >> 8), 1}})
	}
	require.Equal(t, MaxEntries, tr.Len())
}
