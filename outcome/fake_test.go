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
	noFault     fault = iota
	unavailable       // nothing is done
	replyLost         // it takes effect, and its answer is lost
	appliedLate       // its answer is lost, and it takes effect later
)

const lateApplyDelay = 4 * time.Second

// fakePlatform is the platform's table service and object store in memory.
type fakePlatform struct {
	mu      sync.Mutex
	rows    map[string]store.Row
	objects map[string][]byte
	commits int
	reads   int
	// fault decides what happens to a call; nil for none.
	faultFunc func(write bool) fault
}

func newFakePlatform() *fakePlatform {
	return &fakePlatform{rows: map[string]store.Row{}, objects: map[string][]byte{}}
}

func (p *fakePlatform) setFault(f func(write bool) fault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faultFunc = f
}

// meet returns the fault of a call.
func (p *fakePlatform) nextFault(write bool) fault {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.faultFunc == nil {
		return noFault
	}
	return p.faultFunc(write)
}

// run carries out a write with its fault.
func (p *fakePlatform) runWrite(write func() error) error {
	switch p.nextFault(true) {
	case unavailable:
		return store.ErrUnavailable
	case replyLost:
		_ = write()
		return store.ErrUnavailable
	case appliedLate:
		go func() {
			time.Sleep(lateApplyDelay)
			_ = write()
		}()
		return store.ErrUnavailable
	}
	return write()
}

func (p *fakePlatform) Commit(_ context.Context, txn store.Txn) error {
	return p.runWrite(func() error {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.commits++
		for _, c := range txn.Conditions {
			if p.rows[c.Key].Version != c.Version {
				return store.ErrConflict
			}
		}
		for _, w := range txn.Writes {
			if w.Delete {
				delete(p.rows, w.Key)
				continue
			}
			p.rows[w.Key] = store.Row{Key: w.Key, Value: w.Value, Version: p.rows[w.Key].Version + 1}
		}
		return nil
	})
}

func (p *fakePlatform) Get(_ context.Context, _, key string) (store.Row, error) {
	if p.nextFault(false) != noFault {
		return store.Row{}, store.ErrUnavailable
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reads++
	row, ok := p.rows[key]
	if !ok {
		return row, store.ErrNotFound
	}
	return row, nil
}

func (p *fakePlatform) List(_ context.Context, _, prefix, after string, limit int) ([]store.Row, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var rows []store.Row
	for _, key := range slices.Sorted(maps.Keys(p.rows)) {
		if key > after && strings.HasPrefix(key, prefix) && len(rows) < limit {
			rows = append(rows, p.rows[key])
		}
	}
	return rows, nil
}

// fakeObjects gives memory the methods of store.ObjectStore.
type fakeObjects struct{ *fakePlatform }

func (o fakeObjects) Put(_ context.Context, name string, data []byte, _ bool) error {
	return o.runWrite(func() error {
		o.mu.Lock()
		defer o.mu.Unlock()
		o.objects[name] = data
		return nil
	})
}

func (o fakeObjects) Get(_ context.Context, name string) ([]byte, error) {
	if o.nextFault(false) != noFault {
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

func (o fakeObjects) Delete(_ context.Context, name string) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.objects, name)
	return nil
}

// store returns a host's store on the memory.
func (p *fakePlatform) newStore() *Store { return New(p, fakeObjects{p}) }

// firstCalls returns a fault that strikes the first n calls, writes only if so said.
func firstCalls(n int, f fault, writesOnly bool) func(bool) fault {
	return func(write bool) fault {
		if n == 0 || (writesOnly && !write) {
			return noFault
		}
		n--
		return f
	}
}
