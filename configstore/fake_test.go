package configstore

import (
	"context"
	"slices"
	"strings"

	"github.com/jasminelock/jasminelock/store"
)

// fault is what happens to one call of the table service.
type fault uint8

const (
	noFault fault = iota
	// unavailable does nothing and gives no answer.
	unavailable
	// replyLost takes effect and gives no answer.
	replyLost
	// delayed gives no answer and takes effect some calls later.
	delayed
	// conflictingWrite lets another operator's change come first.
	conflictingWrite
	faultCount
)

// delayCalls is how many calls later a delayed commit takes effect.
const delayCalls = 3

// fakeTables is a table service with planned faults. It is used by one
// goroutine.
type fakeTables struct {
	rows map[string]map[string]store.Row
	// plan holds the faults of the next calls.
	plan []fault
	// interfere commits another operator's change.
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

// next returns the fault of this call, after carrying out what is due.
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

// settle carries out the delayed commits that are due.
func (f *fakeTables) applyDue(calls int) {
	due := f.delayedCommits
	f.delayedCommits = nil
	for _, d := range due {
		if d.dueCall > calls {
			f.delayedCommits = append(f.delayedCommits, d)
			continue
		}
		_ = f.commit(d.txn) // nobody hears of its end
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

// withoutOperations is a broken mechanism: operation ids are not kept.
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

// withoutHead is a broken mechanism: changes are not conditional on the head.
type withoutHead struct{ *fakeTables }

func (w withoutHead) Commit(ctx context.Context, txn store.Txn) error {
	txn.Conditions = slices.DeleteFunc(txn.Conditions, func(c store.Condition) bool { return c.Table == tableHead })
	return w.fakeTables.Commit(ctx, txn)
}
