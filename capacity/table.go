package capacity

import (
	"cmp"
	"context"
	"slices"
	"strings"
	"sync"

	"github.com/jasminelock/jasminelock/platform"
)

// memoryTable is a table service in memory that counts its calls.
type memoryTable struct {
	// mu guards all below.
	mu            sync.Mutex
	rows          map[string]platform.Row
	reads, writes int
}

func newMemoryTable() *memoryTable { return &memoryTable{rows: map[string]platform.Row{}} }

// Get implements platform.TableService.
func (t *memoryTable) Get(_ context.Context, table, key string) (platform.Row, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.reads++
	row, ok := t.rows[table+"/"+key]
	if !ok {
		return row, platform.ErrNotFound
	}
	return row, nil
}

// List implements platform.TableService.
func (t *memoryTable) List(_ context.Context, table, prefix, after string, limit int) ([]platform.Row, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.reads++
	var rows []platform.Row
	for name, row := range t.rows {
		if strings.HasPrefix(name, table+"/"+prefix) && row.Key > after {
			rows = append(rows, row)
		}
	}
	slices.SortFunc(rows, func(a, b platform.Row) int { return cmp.Compare(a.Key, b.Key) })
	return rows[:min(limit, len(rows))], nil
}

// Commit implements platform.TableService.
func (t *memoryTable) Commit(_ context.Context, txn platform.Txn) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, c := range txn.Conditions {
		if t.rows[c.Table+"/"+c.Key].Version != c.Version {
			return platform.ErrConflict
		}
	}
	t.writes++
	for _, w := range txn.Writes {
		name := w.Table + "/" + w.Key
		if w.Delete {
			delete(t.rows, name)
			continue
		}
		t.rows[name] = platform.Row{Key: w.Key, Value: w.Value, Version: t.rows[name].Version + 1}
	}
	return nil
}
