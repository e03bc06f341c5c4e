package outcome

import (
	"context"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/jasminelock/jasminelock/store"
)

// fault is what happens to one call of the platform.
type fault int

const (
	noFault fault = iota
	down          // nothing is done
	lost          // it takes effect, and its answer is lost
	late          // its answer is lost, and it takes effect later
)

const lateBy = 4 * time.Second

// memory is the platform's table service and object store in memory.
type memory struct {
	mu      sync.Mutex
	rows    map[string]store.Row
	objects map[string][]byte
	commits int
	reads   int
	// fault decides what happens to a call; nil for none.
	fault func(write bool) fault
}

func newMemory() *memory {
	return &memory{rows: map[string]store.Row{}, objects: map[string][]byte{}}
}

func (m *memory) setFault(f func(write bool) fault) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.fault = f
}

// meet returns the fault of a call.
func (m *memory) meet(write bool) fault {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.fault == nil {
		return noFault
	}
	return m.fault(write)
}

// run carries out a write with its fault.
func (m *memory) run(write func() error) error {
	switch m.meet(true) {
	case down:
		return store.ErrUnavailable
	case lost:
		_ = write()
		return store.ErrUnavailable
	case late:
		go func() {
			time.Sleep(lateBy)
			_ = write()
		}()
		return store.ErrUnavailable
	}
	return write()
}

func (m *memory) Commit(_ context.Context, txn store.Txn) error {
	return m.run(func() error {
		m.mu.Lock()
		defer m.mu.Unlock()
		m.commits++
		for _, c := range txn.Conditions {
			if m.rows[c.Key].Version != c.Version {
				return store.ErrConflict
			}
		}
		for _, w := range txn.Writes {
			if w.Delete {
				delete(m.rows, w.Key)
				continue
			}
			m.rows[w.Key] = store.Row{Key: w.Key, Value: w.Value, Version: m.rows[w.Key].Version + 1}
		}
		return nil
	})
}

func (m *memory) Get(_ context.Context, _, key string) (store.Row, error) {
	if m.meet(false) != noFault {
		return store.Row{}, store.ErrUnavailable
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.reads++
	row, ok := m.rows[key]
	if !ok {
		return row, store.ErrNotFound
	}
	return row, nil
}

func (m *memory) List(_ context.Context, _, prefix, after string, limit int) ([]store.Row, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	var rows []store.Row
	for _, key := range slices.Sorted(maps.Keys(m.rows)) {
		if key > after && strings.HasPrefix(key, prefix) && len(rows) < limit {
			rows = append(rows, m.rows[key])
		}
	}
	return rows, nil
}

// objectStore gives memory the methods of store.ObjectStore.
type objectStore struct{ *memory }

func (o objectStore) Put(_ context.Context, name string, data []byte, _ bool) error {
	return o.run(func() error {
		o.mu.Lock()
		defer o.mu.Unlock()
		o.objects[name] = data
		return nil
	})
}

func (o objectStore) Get(_ context.Context, name string) ([]byte, error) {
	if o.meet(false) != noFault {
		return nil, store.ErrUnavailable
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	data, ok := o.objects[name]
	if !ok {
		return nil, store.ErrNotFound
	}
	return data, nil
}

func (o objectStore) Delete(_ context.Context, name string) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.objects, name)
	return nil
}

// store returns a host's store on the memory.
func (m *memory) store() *Store { return New(m, objectStore{m}) }

// first returns a fault that strikes the first n calls, writes only if so said.
func first(n int, f fault, writesOnly bool) func(bool) fault {
	return func(write bool) fault {
		if n == 0 || (writesOnly && !write) {
			return noFault
		}
		n--
		return f
	}
}
