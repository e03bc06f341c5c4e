package daemon

import (
	"context"
	"sync"

	"github.com/jasminelock/jasminelock/core"
)

// workers is the number of goroutines of one queue, which carry out decisions
// that need network traffic.
const workers = 16

// workQueues keeps orders to engines, which may take minutes, apart from calls
// of the table service, which keep leases and leads alive.
type workQueues struct {
	orders *workQueue
	calls  *workQueue
}

func newWorkQueues() *workQueues {
	return &workQueues{orders: newWorkQueue(), calls: newWorkQueue()}
}

// add never waits.
func (q *workQueues) add(d core.Decision) {
	if _, order := d.(core.Order); order {
		q.orders.add(d)
		return
	}
	q.calls.add(d)
}

// run carries decisions out until the context ends.
func (q *workQueues) run(ctx context.Context, do func(context.Context, core.Decision)) {
	var group sync.WaitGroup
	group.Go(func() { q.orders.run(ctx, do) })
	group.Go(func() { q.calls.run(ctx, do) })
	group.Wait()
}

// workQueue holds decisions until a worker is free. Its length is bounded by
// what the core has open: one order for each engine, one claim for each lease.
type workQueue struct {
	mu    sync.Mutex
	items []core.Decision
	wake  chan struct{}
}

func newWorkQueue() *workQueue {
	return &workQueue{wake: make(chan struct{}, 1)}
}

// add never waits.
func (q *workQueue) add(d core.Decision) {
	q.mu.Lock()
	q.items = append(q.items, d)
	q.mu.Unlock()
	q.signal()
}

func (q *workQueue) signal() {
	select {
	case q.wake <- struct{}{}:
	default:
	}
}

func (q *workQueue) take() (core.Decision, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.items) == 0 {
		return nil, false
	}
	d := q.items[0]
	q.items = q.items[1:]
	if len(q.items) > 0 {
		q.signal()
	}
	return d, true
}

// run carries decisions out until the context ends.
func (q *workQueue) run(ctx context.Context, do func(context.Context, core.Decision)) {
	var group sync.WaitGroup
	for range workers {
		group.Go(func() {
			for {
				select {
				case <-ctx.Done():
					return
				case <-q.wake:
				}
				if d, ok := q.take(); ok {
					do(ctx, d)
				}
			}
		})
	}
	group.Wait()
}
