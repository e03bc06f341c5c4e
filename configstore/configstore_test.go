package configstore

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"math"
	"os"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/jasminelock/jasminelock/record"
	"github.com/jasminelock/jasminelock/store"
)

// TestMain fixes the seed of the property tests.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

func organisation(name, display string) record.Envelope {
	return record.Envelope{Schema: 2, Kind: record.KindOrganisation, Name: name, Spec: json.RawMessage(fmt.Sprintf(`{"display_name":%q}`, display))}
}

func writerOn(t store.TableService, check Check) *Writer {
	w := NewWriter(t, check)
	w.pause = func(context.Context, int) {}
	return w
}

// wrap makes the table service that the operator sees of the one that is kept.
type wrap func(*fakeTables) store.TableService

func whole(f *fakeTables) store.TableService { return f }

// writeProperty sends one change through faults and compares what the operator
// was told with what was written, now and once all delayed commits have landed.
func writeProperty(draw *rapid.T, as wrap) error {
	f := newFakeTables()
	others := 0
	f.interfere = func(f *fakeTables) {
		others++
		other := Change{Operation: fmt.Sprintf("other-%d", others), Records: []record.Envelope{organisation(fmt.Sprintf("other-%d", others), "")}}
		plan := f.plan
		f.plan = nil
		_, _ = writerOn(f, nil).Write(context.Background(), other)
		f.plan = plan
	}
	f.interfere(f)
	f.plan = rapid.SliceOfN(rapid.Custom(func(t *rapid.T) fault { return fault(rapid.IntRange(0, int(faults)-1).Draw(t, "fault")) }), 0, 40).Draw(draw, "plan")
	records := []record.Envelope{organisation("mine", "")}
	if rapid.Bool().Draw(draw, "expects a revision") {
		records[0] = organisation("other-1", "mine")
		records[0].Revision = 1
	}
	change := Change{Operation: "mine", Records: records}
	revision, err := writerOn(as(f), nil).Write(context.Background(), change)
	f.plan = nil
	f.settle(math.MaxInt)
	if problem := agrees(f, revision, err); problem != nil {
		return problem
	}
	// Sending the change again must neither repeat nor lose it.
	again, err := writerOn(as(f), nil).Write(context.Background(), change)
	return errors.Join(agrees(f, again, err), noGaps(f))
}

// agrees compares an answer with the changes that are kept.
func agrees(f *fakeTables, revision int64, err error) error {
	made := madeAt(f)
	var unknown *UnknownOutcomeError
	switch {
	case len(made) > 1:
		return fmt.Errorf("made %d times", len(made))
	case err == nil && (len(made) != 1 || made[0] != revision):
		return fmt.Errorf("told revision %d, made at %v", revision, made)
	case err != nil && !errors.As(err, &unknown) && len(made) > 0:
		return fmt.Errorf("told %w, made at %v", err, made)
	}
	return nil
}

func madeAt(f *fakeTables) []int64 {
	var revisions []int64
	changes, _ := ReadChanges(context.Background(), f, 0, math.MaxInt32)
	for _, c := range changes {
		if c.Operation == "mine" {
			revisions = append(revisions, c.Revision)
		}
	}
	return revisions
}

// noGaps checks that revisions follow one another up to the head, and that no
// change took another's place.
func noGaps(f *fakeTables) error {
	h, _, err := readHead(context.Background(), f)
	if err != nil {
		return err
	}
	changes, err := ReadChanges(context.Background(), f, 0, math.MaxInt32)
	if err != nil {
		return err
	}
	if int64(len(changes)) != h.Revision {
		return fmt.Errorf("%d changes, head %d", len(changes), h.Revision)
	}
	for key, row := range f.rows[tableChanges] {
		if row.Version != 1 {
			return fmt.Errorf("change %s was written %d times", key, row.Version)
		}
	}
	return nil
}

func TestAChangeIsNeitherRepeatedNorLost(t *testing.T) {
	rapid.Check(t, func(draw *rapid.T) { require.NoError(draw, writeProperty(draw, whole)) })
}

func TestThePropertyFindsBrokenMechanisms(t *testing.T) {
	for name, broken := range map[string]wrap{
		"no operation ids": func(f *fakeTables) store.TableService { return withoutOperations{f} },
		"no head":          func(f *fakeTables) store.TableService { return withoutHead{f} },
	} {
		found := false
		rapid.Check(t, func(draw *rapid.T) { found = writeProperty(draw, broken) != nil || found })
		require.True(t, found, name)
	}
}

func TestErrorsSayWhetherTheChangeWasMade(t *testing.T) {
	everDown := make([]fault, 100)
	for i := range everDown {
		everDown[i] = down
	}
	expecting := organisation("a", "")
	expecting.Revision = 7
	for name, tc := range map[string]struct {
		plan    []fault
		records []record.Envelope
		check   func(t *testing.T, err error)
	}{
		"down from the start": {everDown, []record.Envelope{organisation("a", "")}, func(t *testing.T, err error) {
			var unknown *UnknownOutcomeError
			require.False(t, errors.As(err, &unknown), "nothing was sent")
		}},
		"down after the commit": {append([]fault{none, none, answerLost}, everDown...), []record.Envelope{organisation("a", "")}, func(t *testing.T, err error) {
			var unknown *UnknownOutcomeError
			require.ErrorAs(t, err, &unknown)
			require.ErrorContains(t, err, "operation id mine")
		}},
		"changed since": {nil, []record.Envelope{expecting}, func(t *testing.T, err error) {
			var conflict *ConflictError
			require.ErrorAs(t, err, &conflict)
			require.Equal(t, ConflictError{record.Ref{Kind: record.KindOrganisation, Name: "a"}, 7, 0}, *conflict)
		}},
		"no record": {nil, nil, func(*testing.T, error) {}},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFakeTables()
			f.plan = tc.plan
			_, err := writerOn(f, nil).Write(t.Context(), Change{Operation: "mine", Records: tc.records})
			require.Error(t, err)
			tc.check(t, err)
		})
	}
}

func TestAnOperationIDIsForOneChange(t *testing.T) {
	f := newFakeTables()
	_, err := writerOn(f, nil).Write(t.Context(), Change{Operation: "mine", Records: []record.Envelope{organisation("a", "")}})
	require.NoError(t, err)
	_, err = writerOn(f, nil).Write(t.Context(), Change{Operation: "mine", Records: []record.Envelope{organisation("b", "")}})
	var reused *OperationReusedError
	require.ErrorAs(t, err, &reused)
}

func TestReferencesAreCheckedAgainstTheHeadOfTheCommit(t *testing.T) {
	f := newFakeTables()
	adapter := []record.Envelope{{Schema: 2, Kind: record.KindAdapter, Name: "a", Spec: json.RawMessage(`{"organisation":"o","model":"m"}`)}}
	base := []record.Envelope{organisation("o", ""), {Schema: 2, Kind: record.KindModel, Name: "m", Spec: json.RawMessage(`{}`)}}
	_, err := writerOn(f, CheckReferences(f, adapter)).Write(t.Context(), Change{Operation: "early", Records: adapter})
	var missing *ReferenceError
	require.ErrorAs(t, err, &missing)
	require.Len(t, missing.Problems, 2)
	_, err = writerOn(f, CheckReferences(f, base)).Write(t.Context(), Change{Operation: "base", Records: base})
	require.NoError(t, err)

	// Another operator removes the organisation between check and commit.
	f.interfere = func(f *fakeTables) {
		removal := Change{Operation: "removal", Records: []record.Envelope{{Schema: 2, Kind: record.KindOrganisation, Name: "o", Deleted: true}}}
		_, err := writerOn(f, nil).Write(t.Context(), removal)
		require.NoError(t, err)
	}
	const readsBeforeCommit = 8 // the head, the operation, and what the check reads
	f.plan = make([]fault, readsBeforeCommit)
	for i := range f.plan {
		f.plan[i] = conflicting // has a meaning for commits only
	}
	_, err = writerOn(f, CheckReferences(f, adapter)).Write(t.Context(), Change{Operation: "late", Records: adapter})
	require.ErrorAs(t, err, &missing)
}

// fill writes changes to a few records.
func fill(t *testing.T, f *fakeTables, label string, changes int) {
	t.Helper()
	for i := range changes {
		e := organisation(fmt.Sprintf("o%d", i%5), fmt.Sprint(label, i))
		e.Deleted = i%7 == 0
		_, err := Write(t.Context(), f, Change{Operation: fmt.Sprint(label, i), Records: []record.Envelope{e}})
		require.NoError(t, err)
	}
}

func TestAStartingReaderDoesNotReadEveryChange(t *testing.T) {
	f := newFakeTables()
	fill(t, f, "early", 3*maxCatchUp)
	follower := NewReader(f)
	for _, want := range []int{3 * maxCatchUp, 3*maxCatchUp + 10} {
		if want > 3*maxCatchUp {
			fill(t, f, "more", 10)
		}
		reads := f.reads
		followed, problems, err := follower.Poll(t.Context())
		require.NoError(t, err)
		require.Empty(t, problems)
		require.Equal(t, int64(want), followed.Revision)
		require.LessOrEqual(t, f.reads-reads, 4)
		fresh, _, err := NewReader(f).Poll(t.Context())
		require.NoError(t, err)
		for i := range 5 {
			a, aok := followed.Organisation(fmt.Sprint("o", i))
			b, bok := fresh.Organisation(fmt.Sprint("o", i))
			require.Equal(t, aok, bok)
			require.Equal(t, a, b)
		}
	}
	none, _, err := follower.Poll(t.Context())
	require.NoError(t, err)
	require.Nil(t, none)
}

// changingTables lets a change be written while a reader lists the records.
type changingTables struct {
	*fakeTables
	during func()
}

func (c *changingTables) List(ctx context.Context, table, prefix, after string, limit int) ([]store.Row, error) {
	rows, err := c.fakeTables.List(ctx, table, prefix, after, limit)
	if c.during != nil && table == tableRecords {
		during := c.during
		c.during = nil
		during()
	}
	return rows, err
}

func TestAReaderMissesNoChangeThatComesWhileItReads(t *testing.T) {
	f := newFakeTables()
	fill(t, f, "early", 10)
	c := &changingTables{fakeTables: f, during: func() {
		_, err := Write(t.Context(), f, Change{Operation: "during", Records: []record.Envelope{organisation("o1", "during")}})
		require.NoError(t, err)
	}}
	config, _, err := NewReader(c).Poll(t.Context())
	require.NoError(t, err)
	require.Equal(t, int64(11), config.Revision)
	o, _ := config.Organisation("o1")
	require.Equal(t, "during", o.DisplayName)
}

func TestHistoryAndList(t *testing.T) {
	f := newFakeTables()
	fill(t, f, "early", 8)
	changes, err := History(t.Context(), f, 3)
	require.NoError(t, err)
	require.Len(t, changes, 3)
	require.Equal(t, int64(8), changes[2].Revision)
	count := 0
	require.NoError(t, List(t.Context(), f, record.KindOrganisation, func(page []record.Envelope) error {
		count += len(page)
		return nil
	}))
	require.Equal(t, 5, count)
	_, err = Get(t.Context(), f, record.Ref{Kind: record.KindOrganisation, Name: "zzz"})
	require.ErrorIs(t, err, store.ErrNotFound)
}
