package capacity

import (
	"cmp"
	"context"
	"slices"
	"strings"
	"sync"

	"github.com/jasminelock/jasminelock/store"
)

// memoryTable is an in-memory table service that counts its reads and commits.
type memoryTable struct {
	// mu guards the fields below.
	mu            sync.Mutex
	rows          map[string]store.Row
	reads, writes int
}

func newMemoryTable() *memoryTable { return &memoryTable{rows: map[string]store.Row{}} }

// Get implements store.TableService.
func (t *memoryTable) Get(_ context.Context, table, key string) (store.Row, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.reads++
	row, ok := t.rows[table+"/"+key]
	if !ok {
		return row, store.ErrNotFound
	}
	return row, nil
}

// List implements store.TableService.
func (t *memoryTable) List(_ context.Context, table, prefix, after string, limit int) ([]store.Row, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.reads++
	var rows []store.Row
	for name, row := range t.rows {
		if strings.HasPrefix(name, table+"/"+prefix) && row.Key > after {
			rows = append(rows, row)
		}
	}
	slices.SortFunc(rows, func(a, b store.Row) int { return cmp.Compare(a.Key, b.Key) })
	return rows[:min(limit, len(rows))], nil
}

// Commit implements store.TableService.
func (t *memoryTable) Commit(_ context.Context, txn store.Txn) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, c := range txn.Conditions {
		if t.rows[c.Table+"/"+c.Key].Version != c.Version {
			return store.ErrConflict
		}
	}
	t.writes++
	for _, w := range txn.Writes {
		name := w.Table + "/" + w.Key
		if w.Delete {
			delete(t.rows, name)
			continue
		}
		t.rows[name] = store.Row{Key: w.Key, Value: w.Value, Version: t.rows[name].Version + 1}
	}
	return nil
}
