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

// fault is the failure of one call of the platform.
type fault int

const (
	noFault     fault = iota
	unavailable       // the call has no effect
	replyLost         // the call takes effect; its reply is lost
	appliedLate       // the reply is lost; the call takes effect after lateApplyDelay
)

const lateApplyDelay = 4 * time.Second

// fakePlatform is an in-memory table service and object store.
type fakePlatform struct {
	mu      sync.Mutex
	rows    map[string]store.Row
	objects map[string][]byte
	commits int
	reads   int
	// faultFunc returns the fault of the next call; nil means no faults.
	faultFunc func(write bool) fault
	era       int64
}

// Era implements store.EraReporter.
func (p *fakePlatform) Era() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.era
}

// copyRows returns a copy of the rows.
func (p *fakePlatform) copyRows() map[string]store.Row {
	p.mu.Lock()
	defer p.mu.Unlock()
	return maps.Clone(p.rows)
}

// restore replaces the rows by a copy and raises the era. The objects stay.
func (p *fakePlatform) restore(rows map[string]store.Row) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.rows = maps.Clone(rows)
	p.era++
}

func newFakePlatform() *fakePlatform {
	return &fakePlatform{rows: map[string]store.Row{}, objects: map[string][]byte{}}
}

func (p *fakePlatform) setFault(f func(write bool) fault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faultFunc = f
}

// nextFault returns the fault of the next call.
func (p *fakePlatform) nextFault(write bool) fault {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.faultFunc == nil {
		return noFault
	}
	return p.faultFunc(write)
}

// runWrite performs a write subject to the next fault.
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

// fakeObjects implements store.ObjectStore on a fakePlatform.
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

// newStore returns the Store of one more host on the platform.
func (p *fakePlatform) newStore() *Store { return New(p, fakeObjects{p}) }

// firstCalls returns a fault function that applies f to the first n calls, or to the
// first n writes if writesOnly is set.
func firstCalls(n int, f fault, writesOnly bool) func(bool) fault {
	return func(write bool) fault {
		if n == 0 || (writesOnly && !write) {
			return noFault
		}
		n--
		return f
	}
}
