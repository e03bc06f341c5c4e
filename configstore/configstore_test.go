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

// TestMain sets a fixed seed for the property tests.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

func organisation(name, display string) record.Envelope {
	return record.Envelope{Schema: 2, Kind: record.KindOrganisation, Name: name, Spec: json.RawMessage(fmt.Sprintf(`{"display_name":%q}`, display))}
}

func newTestWriter(t store.TableService, check Check) *Writer {
	w := NewWriter(t, check)
	w.backoff = func(context.Context, int) {}
	return w
}

// tablesWrapper returns the table service that the Writer uses, based on the fake one.
type tablesWrapper func(*fakeTables) store.TableService

func unmodified(f *fakeTables) store.TableService { return f }

// checkWrite writes one change under random faults. It compares the result returned
// to the operator with the stored changes after all delayed commits have taken effect.
func checkWrite(draw *rapid.T, wrapTables tablesWrapper) error {
	f := newFakeTables()
	otherCount := 0
	f.concurrentChange = func(f *fakeTables) {
		otherCount++
		other := Change{Operation: fmt.Sprintf("other-%d", otherCount), Records: []record.Envelope{organisation(fmt.Sprintf("other-%d", otherCount), "")}}
		plan := f.plan
		f.plan = nil
		_, _ = newTestWriter(f, nil).Write(context.Background(), other)
		f.plan = plan
	}
	f.concurrentChange(f)
	f.plan = rapid.SliceOfN(rapid.Custom(func(t *rapid.T) fault { return fault(rapid.IntRange(0, int(faultCount)-1).Draw(t, "fault")) }), 0, 40).Draw(draw, "plan")
	records := []record.Envelope{organisation("mine", "")}
	if rapid.Bool().Draw(draw, "expects a revision") {
		records[0] = organisation("other-1", "mine")
		records[0].Revision = 1
	}
	change := Change{Operation: "mine", Records: records}
	revision, err := newTestWriter(wrapTables(f), nil).Write(context.Background(), change)
	f.plan = nil
	f.applyDue(math.MaxInt)
	if problem := checkResult(f, revision, err); problem != nil {
		return problem
	}
	// Writing the change again must neither repeat nor lose it.
	secondRevision, err := newTestWriter(wrapTables(f), nil).Write(context.Background(), change)
	return errors.Join(checkResult(f, secondRevision, err), checkNoGaps(f))
}

// checkResult compares the result of a write with the stored changes.
func checkResult(f *fakeTables, revision int64, err error) error {
	committed := committedRevisions(f)
	var unknown *UnknownOutcomeError
	switch {
	case len(committed) > 1:
		return fmt.Errorf("change written %d times", len(committed))
	case err == nil && (len(committed) != 1 || committed[0] != revision):
		return fmt.Errorf("returned revision %d, change written at revisions %v", revision, committed)
	case err != nil && !errors.As(err, &unknown) && len(committed) > 0:
		return fmt.Errorf("returned %w, change written at revisions %v", err, committed)
	}
	return nil
}

func committedRevisions(f *fakeTables) []int64 {
	var revisions []int64
	changes, _ := ReadChanges(context.Background(), f, 0, math.MaxInt32)
	for _, c := range changes {
		if c.Operation == "mine" {
			revisions = append(revisions, c.Revision)
		}
	}
	return revisions
}

// checkNoGaps checks that revisions are consecutive up to the head and that no change
// overwrote another.
func checkNoGaps(f *fakeTables) error {
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

func TestWrite_NeitherRepeatedNorLost(t *testing.T) {
	rapid.Check(t, func(draw *rapid.T) { require.NoError(draw, checkWrite(draw, unmodified)) })
}

func TestWriteProperty_DetectsFaultyStore(t *testing.T) {
	for name, wrapTables := range map[string]tablesWrapper{
		"no operation ids": func(f *fakeTables) store.TableService { return withoutOperations{f} },
		"no head":          func(f *fakeTables) store.TableService { return withoutHead{f} },
	} {
		detected := false
		rapid.Check(t, func(draw *rapid.T) { detected = checkWrite(draw, wrapTables) != nil || detected })
		require.True(t, detected, name)
	}
}

func TestWrite_ErrorReportsOutcome(t *testing.T) {
	alwaysUnavailable := make([]fault, 100)
	for i := range alwaysUnavailable {
		alwaysUnavailable[i] = unavailable
	}
	expecting := organisation("a", "")
	expecting.Revision = 7
	for name, tc := range map[string]struct {
		plan    []fault
		records []record.Envelope
		check   func(t *testing.T, err error)
	}{
		"unavailable from the start": {alwaysUnavailable, []record.Envelope{organisation("a", "")}, func(t *testing.T, err error) {
			var unknown *UnknownOutcomeError
			require.False(t, errors.As(err, &unknown), "no commit was sent")
		}},
		"unavailable after the commit": {append([]fault{noFault, noFault, replyLost}, alwaysUnavailable...), []record.Envelope{organisation("a", "")}, func(t *testing.T, err error) {
			var unknown *UnknownOutcomeError
			require.ErrorAs(t, err, &unknown)
			require.ErrorContains(t, err, "operation id mine")
		}},
		"record changed since the read": {nil, []record.Envelope{expecting}, func(t *testing.T, err error) {
			var conflict *ConflictError
			require.ErrorAs(t, err, &conflict)
			require.Equal(t, ConflictError{record.Ref{Kind: record.KindOrganisation, Name: "a"}, 7, 0}, *conflict)
		}},
		"no records": {nil, nil, func(*testing.T, error) {}},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFakeTables()
			f.plan = tc.plan
			_, err := newTestWriter(f, nil).Write(t.Context(), Change{Operation: "mine", Records: tc.records})
			require.Error(t, err)
			tc.check(t, err)
		})
	}
}

func TestWrite_RejectsReusedOperationID(t *testing.T) {
	f := newFakeTables()
	_, err := newTestWriter(f, nil).Write(t.Context(), Change{Operation: "mine", Records: []record.Envelope{organisation("a", "")}})
	require.NoError(t, err)
	_, err = newTestWriter(f, nil).Write(t.Context(), Change{Operation: "mine", Records: []record.Envelope{organisation("b", "")}})
	var reused *OperationReusedError
	require.ErrorAs(t, err, &reused)
}

func TestCheckReferences_AtHeadOfCommit(t *testing.T) {
	f := newFakeTables()
	adapter := []record.Envelope{{Schema: 2, Kind: record.KindAdapter, Name: "a", Spec: json.RawMessage(`{"organisation":"o","model":"m"}`)}}
	base := []record.Envelope{organisation("o", ""), {Schema: 2, Kind: record.KindModel, Name: "m", Spec: json.RawMessage(`{}`)}}
	_, err := newTestWriter(f, CheckReferences(f, adapter)).Write(t.Context(), Change{Operation: "early", Records: adapter})
	var missing *ReferenceError
	require.ErrorAs(t, err, &missing)
	require.Len(t, missing.Problems, 2)
	_, err = newTestWriter(f, CheckReferences(f, base)).Write(t.Context(), Change{Operation: "base", Records: base})
	require.NoError(t, err)

	// Another operator deletes the organisation between the check and the commit.
	f.concurrentChange = func(f *fakeTables) {
		removal := Change{Operation: "removal", Records: []record.Envelope{{Schema: 2, Kind: record.KindOrganisation, Name: "o", Deleted: true}}}
		_, err := newTestWriter(f, nil).Write(t.Context(), removal)
		require.NoError(t, err)
	}
	const readsBeforeCommit = 8 // the head, the operation, and the reads of the check
	f.plan = make([]fault, readsBeforeCommit)
	for i := range f.plan {
		f.plan[i] = conflictingWrite // affects commits only
	}
	_, err = newTestWriter(f, CheckReferences(f, adapter)).Write(t.Context(), Change{Operation: "late", Records: adapter})
	require.ErrorAs(t, err, &missing)
}

// writeChanges writes the given number of changes, spread over five records.
func writeChanges(t *testing.T, f *fakeTables, label string, changes int) {
	t.Helper()
	for i := range changes {
		e := organisation(fmt.Sprintf("o%d", i%5), fmt.Sprint(label, i))
		e.Deleted = i%7 == 0
		_, err := Write(t.Context(), f, Change{Operation: fmt.Sprint(label, i), Records: []record.Envelope{e}})
		require.NoError(t, err)
	}
}

func TestReader_StartWithoutFullHistory(t *testing.T) {
	f := newFakeTables()
	writeChanges(t, f, "early", 3*maxIncrementalChanges)
	follower := NewReader(f)
	for _, want := range []int{3 * maxIncrementalChanges, 3*maxIncrementalChanges + 10} {
		if want > 3*maxIncrementalChanges {
			writeChanges(t, f, "more", 10)
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
	unchanged, _, err := follower.Poll(t.Context())
	require.NoError(t, err)
	require.Nil(t, unchanged)
}

// concurrentTables runs duringList once, while a reader lists the records.
type concurrentTables struct {
	*fakeTables
	duringList func()
}

func (c *concurrentTables) List(ctx context.Context, table, prefix, after string, limit int) ([]store.Row, error) {
	rows, err := c.fakeTables.List(ctx, table, prefix, after, limit)
	if c.duringList != nil && table == tableRecords {
		callback := c.duringList
		c.duringList = nil
		callback()
	}
	return rows, err
}

func TestReader_ChangeDuringInitialRead(t *testing.T) {
	f := newFakeTables()
	writeChanges(t, f, "early", 10)
	c := &concurrentTables{fakeTables: f, duringList: func() {
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
	writeChanges(t, f, "early", 8)
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
