package configstore

import (
	"context"
	"slices"
	"strings"

	"github.com/jasminelock/jasminelock/store"
)

// fault is the failure of one call of the table service.
type fault uint8

const (
	noFault fault = iota
	// unavailable has no effect and returns no reply.
	unavailable
	// replyLost takes effect and returns no reply.
	replyLost
	// delayed returns no reply and takes effect delayCalls later.
	delayed
	// conflictingWrite commits another operator's change first.
	conflictingWrite
	faultCount
)

// delayCalls is the number of calls after which a delayed commit takes effect.
const delayCalls = 3

// fakeTables is an in-memory table service with planned faults. It is not safe for
// concurrent use.
type fakeTables struct {
	rows map[string]map[string]store.Row
	// plan holds the faults of the next calls.
	plan []fault
	// concurrentChange commits another operator's change.
	concurrentChange func(f *fakeTables)
	delayedCommits   []delayedCommit
	calls            int
	reads            int
}

type delayedCommit struct {
	txn     store.Txn
	dueCall int
}

func newFakeTables() *fakeTables {
	return &fakeTables{rows: map[string]map[string]store.Row{}}
}

// nextFault returns the fault of this call, after applying the commits that are due.
func (f *fakeTables) nextFault() fault {
	f.calls++
	f.applyDue(f.calls)
	if len(f.plan) == 0 {
		return noFault
	}
	planned := f.plan[0]
	f.plan = f.plan[1:]
	return planned
}

// applyDue applies the delayed commits that are due at the given call number.
func (f *fakeTables) applyDue(calls int) {
	due := f.delayedCommits
	f.delayedCommits = nil
	for _, d := range due {
		if d.dueCall > calls {
			f.delayedCommits = append(f.delayedCommits, d)
			continue
		}
		_ = f.commit(d.txn) // the result is not reported to the writer
	}
}

func (f *fakeTables) Get(_ context.Context, table, key string) (store.Row, error) {
	f.reads++
	if planned := f.nextFault(); planned == unavailable || planned == replyLost {
		return store.Row{}, store.ErrUnavailable
	}
	row, ok := f.rows[table][key]
	if !ok {
		return row, store.ErrNotFound
	}
	return row, nil
}

func (f *fakeTables) List(_ context.Context, table, prefix, after string, limit int) ([]store.Row, error) {
	f.reads++
	if planned := f.nextFault(); planned == unavailable || planned == replyLost {
		return nil, store.ErrUnavailable
	}
	var rows []store.Row
	for key, row := range f.rows[table] {
		if key > after && strings.HasPrefix(key, prefix) {
			rows = append(rows, row)
		}
	}
	slices.SortFunc(rows, func(a, b store.Row) int { return strings.Compare(a.Key, b.Key) })
	return rows[:min(limit, len(rows))], nil
}

func (f *fakeTables) Commit(_ context.Context, txn store.Txn) error {
	switch f.nextFault() {
	case unavailable:
		return store.ErrUnavailable
	case replyLost:
		_ = f.commit(txn)
		return store.ErrUnavailable
	case delayed:
		f.delayedCommits = append(f.delayedCommits, delayedCommit{txn, f.calls + delayCalls})
		return store.ErrUnavailable
	case conflictingWrite:
		f.concurrentChange(f)
	}
	return f.commit(txn)
}

func (f *fakeTables) commit(txn store.Txn) error {
	for _, c := range txn.Conditions {
		if f.rows[c.Table][c.Key].Version != c.Version {
			return store.ErrConflict
		}
	}
	for _, w := range txn.Writes {
		if f.rows[w.Table] == nil {
			f.rows[w.Table] = map[string]store.Row{}
		}
		f.rows[w.Table][w.Key] = store.Row{Key: w.Key, Value: w.Value, Version: f.rows[w.Table][w.Key].Version + 1}
	}
	return nil
}

// withoutOperations is a faulty table service that does not keep operation ids.
type withoutOperations struct{ *fakeTables }

func (w withoutOperations) Get(ctx context.Context, table, key string) (store.Row, error) {
	row, err := w.fakeTables.Get(ctx, table, key)
	if table == tableOperations && err == nil {
		return store.Row{}, store.ErrNotFound
	}
	return row, err
}

func (w withoutOperations) Commit(ctx context.Context, txn store.Txn) error {
	txn.Conditions = slices.DeleteFunc(txn.Conditions, func(c store.Condition) bool { return c.Table == tableOperations })
	return w.fakeTables.Commit(ctx, txn)
}

// withoutHead is a faulty table service that ignores conditions on the head.
type withoutHead struct{ *fakeTables }

func (w withoutHead) Commit(ctx context.Context, txn store.Txn) error {
	txn.Conditions = slices.DeleteFunc(txn.Conditions, func(c store.Condition) bool { return c.Table == tableHead })
	return w.fakeTables.Commit(ctx, txn)
}
